#include "citron/protocol/workspace_quota.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "protocol/quota_simulation.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(WithoutARateThereIsNoLimit) {
  const monotonic_time now{std::chrono::hours(1)};
  const report_contacts contacts;
  workspace_quota quota(quota_options{}, contacts, now);
  for (int i = 0; i < 1000; ++i) BOOST_REQUIRE(quota.TryAdmit(now));
}

// A workspace sends 62% of its rate, spread evenly over all VMs. The contract
// grants each of its requests, so none should be rejected; 1% is tolerated.
BOOST_AUTO_TEST_CASE(OrdinaryWorkspaceIsNotRejected) {
  for (const double rate : {5.0, 20.0, 140.0}) {
    BOOST_TEST_CONTEXT("rate " << rate) {
      quota_fleet fleet(10, rate, rate, 1);
      fleet.SetEvenDemand(0.62 * rate);
      fleet.Run(seconds(40));
      BOOST_TEST(fleet.Rejected() <= fleet.Ran() / 100);
      BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
    }
  }
}

// One workspace suddenly sends eight times its usual load on all VMs. The whole
// fleet must stay within the contract from the first second on.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContract) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    for (const double rate : {10.0, 140.0}) {
      BOOST_TEST_CONTEXT("seed " << seed << ", rate " << rate) {
        quota_fleet fleet(10, rate, rate, seed);
        fleet.SetEvenDemand(0.62 * rate);
        fleet.Run(seconds(10));
        fleet.SetEvenDemand(5 * rate);
        fleet.Run(seconds(15));
        BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
        fleet.SetEvenDemand(0.62 * rate);
        fleet.Run(seconds(10));
        BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
      }
    }
  }
}

// A flood of nine to fifteen times the usual load comes and goes at a large
// workspace, with many random arrival sequences. The fullest five seconds keep
// half of the overshoot and of the slack free for what a deployment's benchmark
// sees and a VM doesn't, such as requests that were sent earlier and arrive
// together.
BOOST_AUTO_TEST_CASE(AFloodLeavesHalfOfTheOvershootFree) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      constexpr double kRate = 163;
      quota_fleet fleet(10, kRate, kRate, seed);
      fleet.SetEvenDemand(0.62 * kRate);
      fleet.Run(milliseconds(5000 + 37 * static_cast<int>(seed)));
      std::vector<double> demand(10, 0.3 * kRate);
      for (std::size_t vm = 0; vm < 10; vm += 1 + seed % 3) {
        demand[vm] = 0.9 * kRate;
      }
      fleet.SetDemand(demand);
      fleet.Run(seconds(9));
      fleet.SetEvenDemand(0.62 * kRate);
      fleet.Run(seconds(3));
      fleet.SetDemand(demand);
      fleet.Run(seconds(9));
      BOOST_TEST(fleet.MaxInWindow() <= (kRate * 6) * 1.05 + 10);
    }
  }
}

// The flood comes through only two VMs at a time and moves to two others.
BOOST_AUTO_TEST_CASE(AFloodThatMovesStaysWithinTheContract) {
  constexpr double kRate = 100;
  quota_fleet fleet(10, kRate, kRate, 7);
  for (std::size_t turn = 0; turn < 5; ++turn) {
    std::vector<double> demand(10, 0);
    demand[2 * turn] = demand[2 * turn + 1] = 2.5 * kRate;
    fleet.SetDemand(demand);
    fleet.Run(seconds(4));
  }
  BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
}

// Nine of 18 VMs are cut off while callers of a busy workspace load the others.
// The others remove the nine VMs 2.5 s later, but those admit their share until
// they can no longer prove that their keys are in force. The share must not be
// given to others before.
BOOST_AUTO_TEST_CASE(IsolatedVmsKeepTheirShareWhileTheyAdmit) {
  constexpr double kRate = 622;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      quota_fleet fleet(18, kRate * 1.05, kRate, seed);
      fleet.SetEvenDemand(1.15 * kRate);
      fleet.Run(seconds(10));
      for (std::size_t vm = 0; vm < 9; ++vm) fleet.Isolate(vm);
      fleet.Run(milliseconds(2500));
      fleet.RemoveVms(0, 9);
      std::vector<double> demand(18, 0.25 * kRate);
      std::fill(demand.begin(), demand.begin() + 9, 1.15 * kRate / 18);
      fleet.SetDemand(demand);
      fleet.Run(milliseconds(1600));
      std::fill(demand.begin(), demand.begin() + 9, 0.0);
      fleet.SetDemand(demand);
      fleet.Run(seconds(6));
      BOOST_TEST(fleet.MaxInWindow() <= kRate * 6 * 1.1 + 20);
      // Later the other VMs have the whole contract.
      const int before = fleet.Ran();
      fleet.Run(seconds(5));
      BOOST_TEST(fleet.Ran() - before > 0.9 * kRate * 5);
    }
  }
}

// All VMs of a large fleet serve callers and report only every two seconds, and
// extra callers of a workspace at its limit arrive at a third of the VMs. Each
// VM admits what the fleet seems to have room for; it must count what others
// may have admitted since their reports, or all VMs fill the same room.
BOOST_AUTO_TEST_CASE(InfrequentReportsCountAsOld) {
  constexpr double kRate = 622;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      quota_fleet fleet(68, kRate * 1.05, kRate, seed, milliseconds(2270));
      fleet.SetEvenDemand(1.15 * kRate);
      fleet.Run(seconds(8));
      std::vector<double> demand(68, 1.15 * kRate / 68);
      for (std::size_t vm = 0; vm < 24; ++vm) demand[vm] += kRate / 24;
      fleet.SetDemand(demand);
      fleet.Run(seconds(5));
      BOOST_TEST(fleet.MaxInWindow() <= kRate * 6 * 1.1 + 20);
    }
  }
}

// A VM stops as planned: its record is removed first, and it reports requests
// for some seconds more. After it has gone, its share must return to the
// others.
BOOST_AUTO_TEST_CASE(ShareOfAStoppedVmReturnsToTheOthers) {
  const monotonic_time start{std::chrono::hours(1)};
  report_contacts contacts;
  workspace_quota quota(quota_options{}, contacts, start);
  quota.SetContract(100, 100, start);
  quota.SetFleetSize(2);
  const vm_id other("other");
  contacts.OnVmListed(other);
  quota.OnReport(contacts.OnReport(other, {}, start + seconds(1)), {50, 250},
                 start + seconds(1));
  quota.SetFleetSize(1);
  contacts.OnVmUnlisted(other, start + seconds(2));
  quota.OnReport(contacts.OnReport(other, {}, start + seconds(3)), {40, 200},
                 start + seconds(3));
  const double share_while_reporting = quota.State(start + seconds(3)).share;
  for (int i = 4; i < 20; ++i) quota.Report(start + seconds(i));
  BOOST_TEST(share_while_reporting < 0.5);
  BOOST_TEST(quota.State(start + seconds(20)).share == 1);
  BOOST_TEST(quota.State(start + seconds(20)).fleet_admitted == 0);
}

// Guards against a VM without demand that is cut off and whose share the others
// take, while callers reach it.
BOOST_AUTO_TEST_CASE(AnIdleVmThatIsSilentKeepsItsShare) {
  const monotonic_time start{std::chrono::hours(1)};
  report_contacts contacts;
  workspace_quota quota(quota_options{}, contacts, start);
  quota.SetContract(100, 100, start);
  quota.SetFleetSize(2);
  quota.OnReport(contacts.OnReport(vm_id("idle"), {}, start + seconds(3)),
                 quota_report{}, start + seconds(3));
  quota.Report(start + seconds(3));
  for (int i = 1; i < 500; ++i) quota.TryAdmit(start + i * milliseconds(20));
  quota.Report(start + seconds(10));
  BOOST_TEST(contacts.Silent(start + seconds(10)).size() == 1U);
  BOOST_TEST(quota.State(start + seconds(10)).share <= 0.5);
}

// The state must show when a rejection relies on few reports.
BOOST_AUTO_TEST_CASE(StateShowsHowManyVmsHaveReported) {
  const monotonic_time start{std::chrono::hours(1)};
  report_contacts contacts;
  workspace_quota quota(quota_options{}, contacts, start);
  contacts.SetSilenceLimit(seconds(2));
  quota.OnReport(contacts.OnReport(vm_id("silent"), {}, start), {50, 250},
                 start);
  quota.OnReport(contacts.OnReport(vm_id("heard"), {}, start + seconds(2)),
                 {50, 250}, start + seconds(2));
  BOOST_TEST(quota.State(start + seconds(3)).vms_told == 2);
  BOOST_TEST(quota.State(start + seconds(3)).vms_heard == 1);
}

// A third of the load moves from four VMs to one other VM. The callers stay
// within the contract and must be admitted there.
BOOST_AUTO_TEST_CASE(MovingCallersAreAdmitted) {
  constexpr double kRate = 100;
  quota_fleet fleet(10, kRate, kRate, 3);
  std::vector<double> before(10, 6.2);
  std::vector<double> after(10, 6.2);
  for (std::size_t vm = 0; vm < 4; ++vm) after[vm] = 1.2;
  after[9] = 26;
  fleet.SetDemand(before);
  fleet.Run(seconds(10));
  fleet.SetDemand(after);
  fleet.Run(seconds(10));
  BOOST_TEST(fleet.Rejected() <= 10);
}

// All or half of the VMs are killed and start again during a flood. None
// remembers what was admitted just before, but the contract's five seconds
// reach back over the restart.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContractWhenVmsRestart) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (const std::size_t restarted : {10, 5}) {
      BOOST_TEST_CONTEXT("seed " << seed << ", " << restarted << " restarted") {
        quota_fleet fleet(10, 163, 163, seed);
        fleet.SetEvenDemand(5 * 163);
        fleet.Run(seconds(8));
        fleet.Restart(0, restarted);
        fleet.Run(seconds(10));
        BOOST_TEST(fleet.MaxInWindow() <= 163 * 6 * 1.05 + 10);
      }
    }
  }
}

// After a restart under ordinary load, requests may be rejected only briefly.
BOOST_AUTO_TEST_CASE(OrdinaryWorkspaceIsAdmittedAfterARestart) {
  quota_fleet fleet(10, 100, 100, 2);
  fleet.SetEvenDemand(62);
  fleet.Run(seconds(8));
  fleet.Restart(0, 10);
  fleet.Run(seconds(10));
  BOOST_TEST(fleet.Rejected() <= 12);
}

// VMs that receive no reports could mistake a flood on themselves for moving
// callers, and each could take the share of the VMs that it receives nothing
// from.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContractAcrossAPartition) {
  constexpr double kRate = 93;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (const std::size_t cut : {1, 4, 9}) {
      BOOST_TEST_CONTEXT("seed " << seed << ", " << cut << " cut off") {
        quota_fleet fleet(10, kRate, kRate, seed);
        fleet.SetEvenDemand(0.4 * kRate);
        fleet.Run(seconds(5));
        for (std::size_t vm = 0; vm < cut; ++vm) fleet.Isolate(vm);
        fleet.Run(seconds(4));
        fleet.SetEvenDemand(3.2 * kRate);
        fleet.Run(seconds(8));
        BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
      }
    }
  }
}

// During a flood above the contract, upstreams reject half of the admitted
// requests. A request that has not run must leave its place to another request,
// and what runs stays within the contract.
BOOST_AUTO_TEST_CASE(RequestsThatDoNotRunFreeTheirPlace) {
  constexpr double kRate = 140;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      quota_fleet fleet(10, kRate, kRate, seed);
      fleet.SetEvenDemand(0.4 * kRate);
      fleet.Run(seconds(8));
      fleet.SetNotRunFraction(0.5);
      fleet.SetEvenDemand(3.2 * kRate);
      const int before = fleet.Ran();
      fleet.Run(seconds(10));
      BOOST_TEST(fleet.Ran() - before >= 0.9 * kRate * 10);
      BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
    }
  }
}

// One VM neither receives nor delivers reports while the flood goes on through
// all VMs. The requests that it admits count, too.
BOOST_AUTO_TEST_CASE(IsolatedVmStaysWithinItsShare) {
  constexpr double kRate = 100;
  quota_fleet fleet(10, kRate, kRate, 4);
  fleet.SetEvenDemand(5 * kRate);
  fleet.Run(seconds(10));
  fleet.Isolate(3);
  fleet.Run(seconds(15));
  BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
}

}  // namespace
}  // namespace citron
