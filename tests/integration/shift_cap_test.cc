#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "integration/closed_load.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

// Together the callers could send some four times as much.
constexpr int kCallers = 8;
constexpr int kCapPerS = 40;
constexpr double kWindowMs = 1000;
// All that is allowed is reached 30 s after the first permit.
constexpr double kBeforeCutMs = 12000;
constexpr double kCutMs = 8000;
constexpr double kAfterCutMs = 14000;
// Far below what the cap lets through in the whole run.
constexpr std::size_t kLeastShifted = 200;
constexpr char kCutOff[] = "r1vm1";
const std::vector<std::string> kSenders = {"r1vm1", "r1vm2", "r2vm1", "r2vm2"};
const std::vector<std::string> kReceivers = {"r3u1", "r3u2"};

// Three regions of one zone each. The first two have two VMs and so four
// senders, the third one receives.
fleet_plan Plan() {
  fleet_plan plan = SmallPlan(0, 0, 0);
  for (const std::string& vm : kSenders) {
    const std::string region = vm.substr(0, 2);
    plan.vms.push_back({vm, region + "z", region});
  }
  plan.vms.push_back({"r3vm1", "r3z", "r3"});
  for (const char* region : {"r1", "r2", "r3"}) {
    for (int i = 1; i <= 2; ++i) {
      plan.upstreams.push_back(
          {fmt::format("{}u{}", region, i), "desk", std::string(region) + "z"});
    }
  }
  return plan;
}

class shift_cap_fixture : public harness {
 public:
  shift_cap_fixture()
      : fleet_(*this, Plan()),
        load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int caller, const planned_call& planned,
                   const caller_call& call) { OnEnd(caller, planned, call); }) {
    fleet_.Start();
  }

  closed_load& Load() { return load_; }
  int Served(const std::string& vm) { return served_[vm]; }

  // Region r1's traffic is to move by plan, that of r2 because it is drained.
  // Nothing is sent before every VM knows of both.
  void DeclareShift() {
    Put("config/shift/desk", {{"from", "r1"},
                              {"to", "r3"},
                              {"fraction", 1},
                              {"cap_per_s", kCapPerS}});
    const std::uint64_t last =
        Put("config/drain/region/r2", nlohmann::json::object());
    for (const fleet_vm& vm : Plan().vms) {
      BOOST_REQUIRE(Caller().WaitFor([&] {
        const nlohmann::json status = fleet_.Status(vm.name);
        return status.is_object() && status.at("revision_in_force") >= last;
      }));
    }
  }

  void CutOff(bool cut) {
    for (const fleet_vm& vm : Plan().vms) {
      if (vm.name != kCutOff) fleet_.Cut(kCutOff, vm.name, cut);
    }
    fleet_.Cut(kCutOff, "platform", cut);
  }

  // Lets the callers go on until one of them is served by a request that it
  // sent that much later.
  void RunOn(double ms) {
    const double until = ToMilliseconds(MonotonicNow() - monotonic_time()) + ms;
    BOOST_REQUIRE(load_.RunUntil([&] { return last_started_ms_ >= until; }));
  }

  // When requests from other regions started at the receiving upstreams.
  std::vector<double> Shifted(const std::string& from) {
    std::vector<double> started;
    for (const std::string& upstream : kReceivers) {
      const nlohmann::json ledger =
          Caller().GetJson(fleet_.Upstream(upstream), "/admin/ledger?after=0");
      for (const auto& entry : ledger.at("entries")) {
        const std::string target = entry.at("target");
        if (!target.starts_with("/from-" + from)) continue;
        started.push_back(entry.at("started_ms"));
      }
    }
    std::sort(started.begin(), started.end());
    return started;
  }

 private:
  std::uint64_t Put(const std::string& key, const nlohmann::json& object) {
    const caller_call put = Caller().Call(
        fleet_.Platform(), {"PUT", "/v1/kv?key=" + key, {}, object.dump()});
    BOOST_REQUIRE(put.response.head.status == 200);
    return nlohmann::json::parse(put.response.body).at("revision");
  }

  // Two callers at each sender; one that was refused goes to its neighbour.
  planned_call Next(int caller) {
    const std::size_t at = static_cast<std::size_t>(caller) % kSenders.size();
    planned_call next;
    next.vm = kSenders[refused_[caller] ? at ^ 1U : at];
    next.server = fleet_.Entry(next.vm);
    next.request = {"GET",
                    fmt::format("/desk/from-{}?work_ms=40", next.vm),
                    {{"Authorization", "Bearer key-of-depot"}},
                    ""};
    return next;
  }

  void OnEnd(int caller, const planned_call& planned, const caller_call& call) {
    const bool served = call.response.head.status == 200;
    refused_[caller] = !served && !refused_[caller];
    if (!served) return;
    ++served_[planned.vm];
    last_started_ms_ = std::max(
        last_started_ms_, ToMilliseconds(call.started - monotonic_time()));
  }

  fleet fleet_;
  std::map<int, bool> refused_;
  std::map<std::string, int> served_;
  double last_started_ms_ = 0;
  closed_load load_;
};

// The most that started within any window, its end left out.
std::size_t MostInWindow(const std::vector<double>& started) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < started.size(); ++last) {
    while (started[last] - started[first] >= kWindowMs) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

BOOST_FIXTURE_TEST_SUITE(shift_cap, shift_cap_fixture)

// An operator moves a service to a region whose caches are cold, with a cap.
// Four VMs in two regions send there at once, and one of them is cut off from
// the others in the middle and comes back with what it held. If each kept a cap
// of its own, or used what it was once allowed at a later time, the region
// would get a multiple of the cap, and its callers would see answers several
// times as slow as before.
BOOST_AUTO_TEST_CASE(HoldsInEveryWindowFromAllSenders) {
  DeclareShift();
  RunOn(kBeforeCutMs);
  CutOff(true);
  RunOn(kCutMs);
  CutOff(false);
  RunOn(kAfterCutMs);
  BOOST_REQUIRE(Load().Stop());
  const std::vector<double> all = Shifted("");
  const std::size_t most = MostInWindow(all);
  fmt::print("{} requests, {} shifted; most in a window {} of {}\n",
             Load().Ended(), all.size(), most, kCapPerS);
  BOOST_TEST(most <= static_cast<std::size_t>(kCapPerS));
  BOOST_TEST(all.size() >= kLeastShifted);
  for (const std::string& vm : kSenders) {
    const std::size_t shifted = Shifted(vm).size();
    fmt::print("{}: {} served, {} shifted\n", vm, Served(vm), shifted);
    BOOST_TEST(shifted > 0U, vm << " shifted nothing");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
