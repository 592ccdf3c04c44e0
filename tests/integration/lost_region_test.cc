#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "integration/closed_load.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

// Six callers in each region, and nine in each of two: one more than a region
// has slots.
constexpr int kCallers = 18;
constexpr int kSlots = 4;
constexpr int kUpstreamsOfRegion = 2;
constexpr double kPeakMs = 1000;
// The first seconds, in which others may notice the loss.
constexpr double kFirstMs = 3000;
constexpr double kWatchedMs = 8000;
constexpr char kLost[] = "r3vm1";
const std::vector<std::string> kVms = {"r1vm1", "r2vm1", kLost};

fleet_plan Plan() {
  fleet_plan plan = SmallPlan(0, 0, 0);
  plan.upstreams_behind_proxy = true;
  for (const std::string& vm : kVms) {
    const std::string region = vm.substr(0, 2);
    plan.vms.push_back({vm, region + "z", region});
    for (int i = 1; i <= kUpstreamsOfRegion; ++i) {
      plan.upstreams.push_back(
          {fmt::format("{}u{}", region, i), "desk", region + "z", kSlots});
    }
  }
  return plan;
}

struct served {
  int asked = 0;
  int answered = 0;
  std::string first_refusal;
};

// Three regions of one zone, one VM and two upstreams each.
class lost_region_fixture : public harness {
 public:
  lost_region_fixture()
      : fleet_(*this, Plan()),
        load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int caller, const planned_call&, const caller_call& call) {
              OnEnd(caller, call);
            }) {
    fleet_.Start();
  }

  closed_load& Load() { return load_; }

  // Everything of the region ends at once; its callers go to the others.
  void LoseRegion() {
    is_lost_ = true;
    fleet_.KillVm(kLost);
    for (int i = 1; i <= kUpstreamsOfRegion; ++i) {
      fleet_.SetRouteFault("r3z", fmt::format("r3u{}", i),
                           {{"cut", true}, {"refuse", true}});
    }
  }

  // Lets the callers go on until one of them is served by a request that it
  // sent that much later.
  void RunOn(double ms) {
    const double until = ToMilliseconds(MonotonicNow() - monotonic_time()) + ms;
    BOOST_REQUIRE(load_.RunUntil([&] { return last_started_ms_ >= until; }));
  }

  void CountAnew() { served_.clear(); }

  void Print(const std::string& when) {
    for (const auto& [region, s] : served_) {
      fmt::print("{}, callers of {}: {} of {} served {}\n", when, region,
                 s.answered, s.asked, s.first_refusal);
    }
  }

  void CheckServed(const std::string& region) {
    const served& s = served_[region];
    BOOST_TEST(s.asked > 0);
    BOOST_TEST((s.asked - s.answered) * 100 < s.asked,
               region << ": " << s.answered << " of " << s.asked << " served; "
                      << s.first_refusal);
  }

  // No upstream was given more than its slots, at any time.
  void CheckNoOverload() {
    for (const fleet_upstream& upstream : Plan().upstreams) {
      const nlohmann::json ledger = Caller().GetJson(
          fleet_.Upstream(upstream.name), "/admin/ledger?after=0");
      BOOST_TEST(ledger.at("max_in_flight").get<int>() <= kSlots);
    }
    for (const auto& entry : fleet_.Ledger()) {
      BOOST_TEST(entry.at("outcome") != "shed");
    }
  }

 private:
  static std::size_t HomeOf(int caller) {
    return static_cast<std::size_t>(caller) % kVms.size();
  }

  planned_call Next(int caller) {
    planned_call next;
    next.vm = kVms[HomeOf(caller)];
    if (is_lost_ && next.vm == kLost) {
      next.vm = kVms[static_cast<std::size_t>(caller) / kVms.size() % 2];
    }
    next.server = fleet_.Entry(next.vm);
    next.request = {"GET",
                    "/desk/lots?work_ms=100",
                    {{"Authorization", "Bearer key-of-depot"}},
                    ""};
    return next;
  }

  void OnEnd(int caller, const caller_call& call) {
    served& s = served_[kVms[HomeOf(caller)].substr(0, 2)];
    ++s.asked;
    if (call.response.head.status != 200) {
      if (s.first_refusal.empty()) s.first_refusal = call.response.body;
      return;
    }
    ++s.answered;
    last_started_ms_ = ToMilliseconds(call.started - monotonic_time());
  }

  fleet fleet_;
  bool is_lost_ = false;
  std::map<std::string, served> served_;
  double last_started_ms_ = 0;
  closed_load load_;
};

BOOST_FIXTURE_TEST_SUITE(lost_region, lost_region_fixture)

// Every VM and every upstream of a region ends under the load of all regions,
// and its callers come to the other two, which then have more callers than
// slots. Those regions' own callers must hardly notice: a queue that fills, or
// requests that go on to the dead region, would make them wait or lose them.
BOOST_AUTO_TEST_CASE(CallersOfTheOthersGoOn) {
  RunOn(kPeakMs);
  CountAnew();
  LoseRegion();
  RunOn(kFirstMs);
  Print("first seconds");
  CountAnew();
  RunOn(kWatchedMs);
  BOOST_REQUIRE(Load().Stop());
  Print("after them");
  CheckServed("r1");
  CheckServed("r2");
  CheckNoOverload();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
