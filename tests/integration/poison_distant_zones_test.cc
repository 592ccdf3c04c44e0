#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr std::size_t kMostCrashes = 2;
constexpr int kRounds = 3;

struct zone_layout {
  int zones = 0;
  int vms_in_zone = 0;
  int upstreams_in_zone = 0;
};

const std::string kCrash = "/desk/lots?crash=1&work_ms=10";
const std::string kCrashInAnswer =
    "/desk/lots?crash=answer&work_ms=10&bytes=1000000";

constexpr zone_layout kThreeZones{3, 2, 2};
constexpr zone_layout kFiveZones{5, 1, 1};

// Zones whose VMs hear of each other late. One caller sends a request that
// crashes upstreams to the zones in turn, each time as soon as it has the
// answer; there is no other traffic.
class distant_zones : public harness {
 public:
  // `delay_ms`: of each message from one zone to another.
  distant_zones(const zone_layout& layout, int delay_ms)
      : plan_(SmallPlan(layout.zones, layout.vms_in_zone,
                        layout.upstreams_in_zone)),
        fleet_(*this, plan_) {
    fleet_.Start();
    for (const fleet_vm& from : plan_.vms) {
      for (const fleet_vm& to : plan_.vms) {
        if (from.zone == to.zone) continue;
        fleet_.SetRouteFault(from.name, to.name, {{"delay_ms", delay_ms}});
      }
    }
  }

  // VMs of different zones follow each other.
  std::vector<std::string> VmsInTurn() const {
    std::vector<fleet_vm> vms = plan_.vms;
    std::stable_sort(vms.begin(), vms.end(), [](const auto& a, const auto& b) {
      return a.name.back() < b.name.back();
    });
    std::vector<std::string> names;
    for (const fleet_vm& vm : vms) names.push_back(vm.name);
    return names;
  }

  // Returns the error of the answer; "none" if it is incomplete.
  std::string Send(const std::string& vm, const std::string& method,
                   const std::string& target) {
    const caller_call call = Caller().Call(
        fleet_.Entry(vm),
        {method, target, {{"Authorization", "Bearer key-of-depot"}}, ""});
    const auto body = nlohmann::json::parse(call.response.body, nullptr, false);
    if (!body.is_object() || !body.contains("error")) return "none";
    return body.at("error").value("code", "none");
  }

  // Sends to each VM in turn; upstreams that crashed are back before the next
  // round. Returns how many answers had each error.
  std::map<std::string, int> SendInRounds(const std::string& method,
                                          const std::string& target = kCrash) {
    std::map<std::string, int> errors;
    for (int round = 0; round < kRounds; ++round) {
      for (const std::string& vm : VmsInTurn())
        ++errors[Send(vm, method, target)];
      WaitForUpstreams();
    }
    return errors;
  }

  void CutOff(const std::string& zone) {
    for (const fleet_vm& inside : plan_.vms) {
      if (inside.zone != zone) continue;
      for (const fleet_vm& outside : plan_.vms) {
        if (outside.zone != zone) fleet_.Cut(inside.name, outside.name, true);
      }
    }
  }

  // Times at which an upstream of the zone ended with a request in it; of all
  // zones if `zone` is empty.
  std::size_t Crashes(const std::string& zone = "") {
    std::set<std::pair<std::string, double>> crashes;
    for (const auto& entry : fleet_.Ledger()) {
      const std::string upstream = entry.at("upstream");
      if (entry.at("ran") != true || !upstream.starts_with(zone)) continue;
      crashes.emplace(upstream, entry.at("started_ms"));
    }
    return crashes.size();
  }

 private:
  void WaitForUpstreams() {
    BOOST_REQUIRE(Caller().WaitFor([this] {
      return std::all_of(plan_.upstreams.begin(), plan_.upstreams.end(),
                         [this](const fleet_upstream& upstream) {
                           return !Caller()
                                       .GetJson(fleet_.Upstream(upstream.name),
                                                "/health")
                                       .is_null();
                         });
    }));
  }

  fleet_plan plan_;
  fleet fleet_;
};

void ExpectTwoCrashesAtMost(const zone_layout& layout, int delay_ms,
                            const std::string& method,
                            const std::string& target = kCrash) {
  distant_zones zones(layout, delay_ms);
  std::map<std::string, int> errors = zones.SendInRounds(method, target);
  const std::size_t crashes = zones.Crashes();
  fmt::print("{} zones, {} ms, {}: {} crashes, {} refused as poison\n",
             layout.zones, delay_ms, method, crashes, errors["poison"]);
  for (const auto& [error, count] : errors) {
    fmt::print("  {} answered {}\n", count, error);
  }
  BOOST_TEST(crashes > 0U);
  BOOST_TEST(crashes <= kMostCrashes);
  BOOST_TEST(errors["poison"] > 0);
}

}  // namespace

// These guard against a crash in each zone that the caller reaches before the
// reports of the crashes do.
BOOST_AUTO_TEST_CASE(BookingInThreeZonesCrashesTwoAtMost) {
  ExpectTwoCrashesAtMost(kThreeZones, 50, "POST");
}

BOOST_AUTO_TEST_CASE(LookUpInThreeZonesCrashesTwoAtMost) {
  ExpectTwoCrashesAtMost(kThreeZones, 50, "GET");
}

BOOST_AUTO_TEST_CASE(BookingInFiveZonesCrashesTwoAtMost) {
  ExpectTwoCrashesAtMost(kFiveZones, 120, "POST");
}

BOOST_AUTO_TEST_CASE(BookingInFiveRemoteZonesCrashesTwoAtMost) {
  ExpectTwoCrashesAtMost(kFiveZones, 300, "POST");
}

// An answer that ends in the middle tells the caller of the crash, too.
BOOST_AUTO_TEST_CASE(CrashInTheAnswerHappensTwiceAtMost) {
  ExpectTwoCrashesAtMost(kFiveZones, 120, "POST", kCrashInAnswer);
}

// The replies of the other dispatches come after the deadline, their reports
// before it.
BOOST_AUTO_TEST_CASE(RepliesAfterTheDeadlineCrashTwoAtMost) {
  ExpectTwoCrashesAtMost(kFiveZones, 700, "POST");
}

// Guards against an answer that waits for a zone that can't reply. A zone that
// is cut off can't know of crashes elsewhere: two are possible on each side.
BOOST_AUTO_TEST_CASE(CutOffZoneDelaysNoAnswerUntilItsDeadline) {
  distant_zones zones(kThreeZones, 0);
  zones.CutOff("z3");
  std::map<std::string, int> errors = zones.SendInRounds("POST");
  fmt::print("a zone cut off: {} crashes there, {} in all\n",
             zones.Crashes("z3"), zones.Crashes());
  BOOST_TEST(zones.Crashes("z3") <= kMostCrashes);
  BOOST_TEST(zones.Crashes() - zones.Crashes("z3") <= kMostCrashes);
  BOOST_TEST(errors["deadline"] == 0);
  BOOST_TEST(errors["upstream_lost"] > 0);
}

}  // namespace citron
