#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "integration/closed_load.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr int kCallers = 6;
constexpr int kSlots = 4;
// Beyond every lease, that of ownership and that of shares.
constexpr double kCutMs = 14000;
// After the cut: the time in which a spike would come.
constexpr double kRejoinedMs = 4000;

struct served {
  int asked = 0;
  int answered = 0;
  std::string first_refusal;
};

// Two zones with one VM and two upstreams each, and callers of both. They ask
// for less than the part of the rate that each zone has.
class cut_zone_fixture : public harness {
 public:
  cut_zone_fixture()
      : fleet_(*this, SmallPlan(2, 1, 2)),
        load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int, const planned_call& planned, const caller_call& call) {
              OnEnd(planned, call);
            }) {
    fleet_.Start();
  }

  fleet& Fleet() { return fleet_; }
  closed_load& Load() { return load_; }

  void CutZone(bool cut) {
    fleet_.Cut("z1vm1", "z2vm1", cut);
    fleet_.Cut("z1vm1", "platform", cut);
  }

  // Lets the callers go on until an upstream has taken one of their requests
  // that much later.
  void RunOn(double ms) {
    const double until = ToMilliseconds(MonotonicNow() - monotonic_time()) + ms;
    BOOST_REQUIRE(load_.RunUntil([&] { return last_started_ms_ >= until; }));
  }

  const served& Served(const std::string& vm) { return served_[vm]; }
  void CountAnew() { served_.clear(); }

  void CheckServed(const std::string& when) {
    for (const char* vm : {"z1vm1", "z2vm1"}) {
      const served& s = Served(vm);
      fmt::print("{}, {}: {} of {} served\n", when, vm, s.answered, s.asked);
      BOOST_TEST(s.answered * 100 > s.asked * 95,
                 when << ", " << vm << ": " << s.first_refusal);
    }
  }

  // No upstream was given more than its slots, at any time.
  void CheckNoOverload() {
    for (const char* upstream : {"z1u1", "z1u2", "z2u1", "z2u2"}) {
      const nlohmann::json ledger =
          Caller().GetJson(fleet_.Upstream(upstream), "/admin/ledger?after=0");
      BOOST_TEST(ledger.at("max_in_flight").get<int>() <= kSlots);
    }
    for (const auto& entry : fleet_.Ledger()) {
      BOOST_TEST(entry.at("outcome") != "shed");
    }
  }

 private:
  planned_call Next(int caller) {
    planned_call next;
    next.vm = caller % 2 == 0 ? "z1vm1" : "z2vm1";
    next.server = fleet_.Entry(next.vm);
    next.request = {"GET",
                    "/desk/lots?work_ms=20",
                    {{"Authorization", "Bearer key-of-depot"}},
                    ""};
    return next;
  }

  void OnEnd(const planned_call& planned, const caller_call& call) {
    served& s = served_[planned.vm];
    ++s.asked;
    if (call.response.head.status != 200) {
      if (s.first_refusal.empty()) s.first_refusal = call.response.body;
      return;
    }
    ++s.answered;
    last_started_ms_ = ToMilliseconds(call.started - monotonic_time());
  }

  fleet fleet_;
  std::map<std::string, served> served_;
  double last_started_ms_ = 0;
  closed_load load_;
};

BOOST_FIXTURE_TEST_SUITE(cut_zone, cut_zone_fixture)

// A zone loses the platform and the other zone for longer than any lease
// lasts. Its callers can go nowhere else: they are served by its own upstreams
// all the while. When the cut ends both sides meet with what they hold, and
// neither floods an upstream or turns callers away.
BOOST_AUTO_TEST_CASE(ServesItsOwnThroughTheCut) {
  RunOn(500);
  CountAnew();
  CutZone(true);
  RunOn(kCutMs);
  CheckServed("in the cut");
  CountAnew();
  CutZone(false);
  RunOn(kRejoinedMs);
  BOOST_REQUIRE(Load().Stop());
  CheckServed("after it");
  CheckNoOverload();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
