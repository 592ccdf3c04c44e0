#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>

#include "integration/caller_ledger.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr duration kDeadline = std::chrono::seconds(40);
// Far above the freeze and the work that waits: whoever waits for longer is
// forgotten, and hears of it at its deadline.
constexpr duration kPatience = std::chrono::seconds(30);
constexpr std::size_t kUpstreams = 3;
constexpr std::size_t kSlots = 12;  // Of the zone.
// Enough for a queue at both dispatches, each time.
constexpr std::size_t kRequests = 60;

fleet_plan PatientPlan() {
  fleet_plan plan = SmallPlan(1, 2, kUpstreams);
  // Longer than the freeze, so that what the frozen dispatch holds is wanted
  // still when it wakes.
  plan.contracts["depot"]["default_deadline_ms"] = ToMilliseconds(kDeadline);
  return plan;
}

// One zone with two VMs and three upstreams of four slots.
class takeover_fixture : public harness {
 public:
  takeover_fixture() : fleet_(*this, PatientPlan()), ledger_(Caller()) {
    fleet_.Start();
    for (const char* vm : {"z1vm1", "z1vm2"}) {
      BOOST_REQUIRE(Caller().WaitFor([&] { return Owned(vm) > 0; }));
    }
  }

  fleet& Fleet() { return fleet_; }
  caller_ledger& Ledger() { return ledger_; }

  std::size_t Owned(const std::string& vm) {
    const nlohmann::json status = fleet_.Status(vm);
    for (const auto& member : status.at("members")) {
      if (member.at("vm") != vm || !member.contains("services")) continue;
      return member["services"]["desk"]["usable_upstreams"].get<std::size_t>();
    }
    return 0;
  }

  // Begins requests at both entries in turn.
  void Begin(std::size_t count, const std::string& target) {
    for (std::size_t i = 0; i < count; ++i) {
      ledger_.Begin(fleet_.Entry(i % 2 == 0 ? "z1vm1" : "z1vm2"), "POST",
                    target);
    }
  }

  std::size_t Running() {
    const auto ledger = fleet_.Ledger();
    return static_cast<std::size_t>(std::count_if(
        ledger.begin(), ledger.end(),
        [](const auto& entry) { return entry.at("outcome") == "running"; }));
  }

  bool WaitUntilFull() {
    return Caller().WaitFor([&] { return Running() == kSlots; });
  }

  // An upstream sheds just what comes to it beyond its slots.
  std::size_t BeyondSlots() {
    std::size_t count = 0;
    for (const auto& entry : fleet_.Ledger()) {
      count += entry.at("outcome") == "shed" ? 1 : 0;
    }
    return count;
  }

 private:
  fleet fleet_;
  caller_ledger ledger_;
};

BOOST_FIXTURE_TEST_SUITE(ownership_takeover, takeover_fixture)

// A dispatch with a full queue stands still for longer than its lease, under
// load, and its neighbour takes its upstreams over. It wakes with a queue of
// requests that are wanted still. If it sent them beside the new owner, the
// upstreams would get more than their slots and shed bookings.
BOOST_AUTO_TEST_CASE(FrozenOwnerWakesWithAFullQueue) {
  const std::string target = "/lots?work_ms=400";
  Begin(kRequests, target);
  BOOST_REQUIRE(WaitUntilFull());
  child_process& frozen = Fleet().Daemon("z1vm1", "dispatch");
  frozen.Signal(SIGSTOP);
  BOOST_REQUIRE(Caller().WaitFor([&] { return Owned("z1vm2") == kUpstreams; }));
  Begin(kRequests, target);
  BOOST_REQUIRE(WaitUntilFull());
  BOOST_TEST(Ledger().Open() > kSlots);
  frozen.Signal(SIGCONT);
  Begin(kRequests, target);
  BOOST_REQUIRE(Ledger().WaitForAll());
  BOOST_TEST(BeyondSlots() == 0u);
  for (const caller_record& record : Ledger().Records()) {
    const bool in_time = record.call->ended < record.call->started + kPatience;
    BOOST_TEST(in_time, record.upstream_target + " was kept waiting");
  }
  BOOST_TEST(Ledger().Answered(200) > kRequests);
  for (const std::string& record : Ledger().FalselyNotRun(Fleet().Ledger())) {
    BOOST_ERROR("answered as not run, but ran: " + record);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
