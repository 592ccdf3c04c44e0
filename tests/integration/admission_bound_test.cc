#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <string>
#include <vector>

#include "integration/caller_ledger.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr double kRate = 40;
constexpr double kBurst = 40;
constexpr std::size_t kServedInPhase = 40;
// More than a lease's worth at the full rate.
constexpr std::size_t kServedWhileFrozen = 250;
constexpr std::size_t kMaxOpen = 4;  // Of one caller.
constexpr duration kCallerPause = std::chrono::milliseconds(10);
const std::vector<std::string> kVms = {"z1vm1", "z1vm2", "z2vm1"};

fleet_plan Plan() {
  fleet_plan plan = SmallPlan(2, 1, 2);
  plan.vms.insert(plan.vms.begin() + 1, {"z1vm2", "z1", "r1"});
  plan.contracts["depot"]["rate_per_s"] = kRate;
  plan.contracts["depot"]["burst"] = kBurst;
  return plan;
}

struct span {
  double begun = 0;  // In seconds.
  double ended = 0;
};

// Two VMs in one zone and one in another; one workspace over its rate at each.
class admission_bound_fixture : public harness {
 public:
  admission_bound_fixture() : fleet_(*this, Plan()), ledger_(Caller()) {
    fleet_.Start();
  }

  fleet& Fleet() { return fleet_; }

  // Keeps callers asking for more than the rate at these entries until so many
  // more were served.
  void PumpUntilServed(std::size_t more,
                       const std::vector<std::string>& vms = kVms) {
    const std::size_t goal = ledger_.Answered(200) + more;
    BOOST_REQUIRE(Caller().WaitFor([&] {
      for (const std::string& vm : vms) Pump(vm);
      return ledger_.Answered(200) >= goal;
    }));
  }

  // All demand at one entry after the other, so that the others lend to it.
  void MoveAround() {
    for (const std::string& vm : kVms) PumpUntilServed(kServedInPhase, {vm});
  }

  void Restart(const std::string& vm, const std::string& role) {
    fleet_.Daemon(vm, role).Kill();
    PumpUntilServed(kServedInPhase);
    fleet_.StartDaemon(vm, role);
    MoveAround();
  }

  void Freeze(const std::string& vm, const std::string& role) {
    child_process& daemon = fleet_.Daemon(vm, role);
    daemon.Signal(SIGSTOP);
    PumpUntilServed(kServedWhileFrozen);
    daemon.Signal(SIGCONT);
    MoveAround();
  }

  void CutOffZ2(bool cut) {
    for (const char* other : {"z1vm1", "z1vm2", "platform"}) {
      fleet_.Cut("z2vm1", other, cut);
    }
  }

  // The revision of the change.
  std::uint64_t SetRate(double rate) {
    nlohmann::json terms = Plan().contracts["depot"];
    terms["rate_per_s"] = rate;
    terms["burst"] = rate;
    const caller_call put = Caller().Call(
        fleet_.Platform(),
        {"PUT", "/v1/kv?key=config/contract/depot", {}, terms.dump()});
    BOOST_REQUIRE(put.response.head.status == 200);
    return nlohmann::json::parse(put.response.body)["revision"];
  }

  // What was admitted for sure: it got an answer that no bucket refused.
  std::vector<span> Admitted() {
    BOOST_REQUIRE(ledger_.WaitForAll());
    std::vector<span> admitted;
    for (const caller_record& record : ledger_.Records()) {
      if (!record.call->answered || record.Status() != 200) continue;
      admitted.push_back({ToSeconds(record.call->started.time_since_epoch()),
                          ToSeconds(record.call->ended.time_since_epoch())});
    }
    return admitted;
  }

  // The least of burst + rate x t - admitted over all windows that begin and
  // end with a request, counting those that are inside for sure.
  static double LeastSlack(std::vector<span> admitted, double rate,
                           double burst) {
    std::sort(admitted.begin(), admitted.end(),
              [](const span& a, const span& b) { return a.ended < b.ended; });
    double least = burst;
    for (const span& first : admitted) {
      double count = 0;
      for (const span& last : admitted) {
        if (last.begun < first.begun) continue;
        ++count;
        const double t = last.ended - first.begun;
        least = std::min(least, burst + rate * t - count);
      }
    }
    return least;
  }

 private:
  void Pump(const std::string& vm) {
    caller& at = callers_[vm];
    std::erase_if(at.open, [](const auto& call) { return call->IsDone(); });
    const monotonic_time now = MonotonicNow();
    if (at.open.size() >= kMaxOpen || now < at.next) return;
    at.next = now + kCallerPause;
    at.open.push_back(
        ledger_.Begin(fleet_.Entry(vm), "POST", "/lots?work_ms=1").call);
  }

  struct caller {
    std::vector<std::shared_ptr<caller_call>> open;
    monotonic_time next{};
  };

  fleet fleet_;
  caller_ledger ledger_;
  std::map<std::string, caller> callers_;
};

BOOST_FIXTURE_TEST_SUITE(admission_bound, admission_bound_fixture)

// Entries and controls die, come back, stand still and wake, and a zone is cut
// off, while one workspace asks for more than its rate everywhere. Each of
// these could count tokens twice: a contract of 40 a second would then be one
// of 80, at the cost of its neighbours.
BOOST_AUTO_TEST_CASE(HoldsThroughFailures) {
  PumpUntilServed(kServedInPhase);
  Restart("z1vm1", "entry");
  Restart("z2vm1", "control");
  Freeze("z1vm2", "entry");
  Freeze("z1vm1", "control");
  CutOffZ2(true);
  PumpUntilServed(kServedInPhase);
  CutOffZ2(false);
  MoveAround();
  const double slack = LeastSlack(Admitted(), kRate, kBurst);
  BOOST_TEST_MESSAGE("least slack: " << slack);
  BOOST_TEST(slack >= 0);
}

// A contract is raised and lowered while its workspace asks for more. Once the
// lower one is in force everywhere, no window may hold more than it allows.
BOOST_AUTO_TEST_CASE(HoldsWhenTheContractChanges) {
  PumpUntilServed(kServedInPhase);
  SetRate(2 * kRate);
  PumpUntilServed(2 * kServedInPhase);
  const std::uint64_t lowered = SetRate(kRate / 2);
  BOOST_REQUIRE(Caller().WaitFor([&] {
    return std::all_of(kVms.begin(), kVms.end(), [&](const auto& vm) {
      return Fleet().Status(vm)["revision_in_force"] >= lowered;
    });
  }));
  const double in_force = ToSeconds(MonotonicNow().time_since_epoch());
  PumpUntilServed(2 * kServedInPhase);
  std::vector<span> admitted = Admitted();
  BOOST_TEST(LeastSlack(admitted, 2 * kRate, 2 * kRate) >= 0);
  std::erase_if(admitted,
                [&](const span& one) { return one.begun < in_force; });
  BOOST_TEST(admitted.size() >= kServedInPhase);
  BOOST_TEST(LeastSlack(admitted, kRate / 2, kRate / 2) >= 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
