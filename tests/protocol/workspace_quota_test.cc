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
  workspace_quota quota(quota_options{}, now);
  for (int i = 0; i < 1000; ++i) BOOST_REQUIRE(quota.TryAdmit(now));
}

// A workspace sends at five eighths of its rate, evenly. None of its requests
// may be refused: each would be one that the contract grants.
BOOST_AUTO_TEST_CASE(AnOrdinaryWorkspaceIsNotRefused) {
  for (const double rate : {5.0, 20.0, 140.0}) {
    BOOST_TEST_CONTEXT("rate " << rate) {
      quota_fleet fleet(10, rate, rate, 1);
      fleet.SetEvenDemand(0.62 * rate);
      fleet.Run(seconds(40));
      BOOST_TEST(fleet.Refused() <= fleet.Admitted() / 100);
      BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
    }
  }
}

// One workspace sends eight times its usual, suddenly and everywhere. The whole
// fleet together must stay within its contract from the first second on.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContract) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    for (const double rate : {10.0, 140.0}) {
      BOOST_TEST_CONTEXT("seed " << seed << ", rate " << rate) {
        quota_fleet fleet(10, rate, rate, seed);
        fleet.SetEvenDemand(0.62 * rate);
        fleet.Run(seconds(10));
        fleet.SetEvenDemand(5 * rate);
        fleet.Run(seconds(15));
        BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
        fleet.SetEvenDemand(0.62 * rate);
        fleet.Run(seconds(10));
        BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
      }
    }
  }
}

// A flood of eight times the usual that comes and goes, at a large workspace
// and many draws of arrivals: the fullest five seconds keep half of the
// overshoot and of the slack free, for what the bench of a deployment sees that
// a VM doesn't, such as requests that were sent earlier and arrive together.
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
      BOOST_TEST(fleet.MostInWindow() <= (kRate * 6) * 1.05 + 10);
    }
  }
}

// The flood comes through two VMs only, and moves to two others.
BOOST_AUTO_TEST_CASE(AFloodThatMovesStaysWithinTheContract) {
  constexpr double kRate = 100;
  quota_fleet fleet(10, kRate, kRate, 7);
  for (std::size_t turn = 0; turn < 5; ++turn) {
    std::vector<double> demand(10, 0);
    demand[2 * turn] = demand[2 * turn + 1] = 2.5 * kRate;
    fleet.SetDemand(demand);
    fleet.Run(seconds(4));
  }
  BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
}

// A region is cut off, and callers of a busy workspace press on the others. The
// others take its VMs for gone when their records lapse, but until these can't
// prove any more that their keys are in force, they let in their part. It must
// not be given away before.
BOOST_AUTO_TEST_CASE(VmsThatAreCutOffKeepTheirPartWhileTheyLetIn) {
  constexpr double kRate = 622;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      quota_fleet fleet(18, kRate * 1.05, kRate, seed);
      fleet.SetEvenDemand(1.15 * kRate);
      fleet.Run(seconds(10));
      for (std::size_t vm = 0; vm < 9; ++vm) fleet.Cut(vm);
      fleet.Run(milliseconds(2500));
      fleet.Remove(0, 9);
      std::vector<double> demand(18, 0.25 * kRate);
      std::fill(demand.begin(), demand.begin() + 9, 1.15 * kRate / 18);
      fleet.SetDemand(demand);
      fleet.Run(milliseconds(1600));
      std::fill(demand.begin(), demand.begin() + 9, 0.0);
      fleet.SetDemand(demand);
      fleet.Run(seconds(6));
      BOOST_TEST(fleet.MostInWindow() <= kRate * 6 * 1.1 + 20);
      // Later the others have all of it.
      const int before = fleet.Admitted();
      fleet.Run(seconds(5));
      BOOST_TEST(fleet.Admitted() - before > 0.9 * kRate * 5);
    }
  }
}

// All VMs of a large fleet serve callers, and tell each other every two seconds
// only. Callers of a workspace that is at its limit come to a third of them
// besides. Each lets in what the fleet seems to have room for; what the others
// have let in since they told counts for that, or all fill the same room.
BOOST_AUTO_TEST_CASE(WhatIsHeardSeldomCountsAsOld) {
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
      BOOST_TEST(fleet.MostInWindow() <= kRate * 6 * 1.1 + 20);
    }
  }
}

// A VM stops as planned: its record goes first, and it tells of requests for
// some seconds more. When it has gone, its part must come back to the others.
BOOST_AUTO_TEST_CASE(AVmThatLeftGivesItsPartBack) {
  const monotonic_time start{std::chrono::hours(1)};
  workspace_quota quota(quota_options{}, start);
  quota.SetTerms(100, 100, start);
  quota.SetFleetSize(2);
  const vm_id other("other");
  quota.KeepVm(other);
  quota.OnReport(other, {50, 250}, start + seconds(1));
  quota.SetFleetSize(1);
  quota.RemoveVm(other, start + seconds(2));
  quota.OnReport(other, {40, 200}, start + seconds(3));
  const double while_there = quota.State(start + seconds(3)).share;
  for (int i = 4; i < 20; ++i) quota.Report(start + seconds(i));
  BOOST_TEST(while_there < 0.5);
  BOOST_TEST(quota.State(start + seconds(20)).share == 1);
  BOOST_TEST(quota.State(start + seconds(20)).fleet_admitted == 0);
}

// A refusal whose share rests on few reports must show it.
BOOST_AUTO_TEST_CASE(TheStateTellsOnHowManyVmsItRests) {
  const monotonic_time start{std::chrono::hours(1)};
  workspace_quota quota(quota_options{}, start);
  quota.SetSilenceLimit(seconds(2));
  quota.OnReport(vm_id("silent"), {50, 250}, start);
  quota.OnReport(vm_id("heard"), {50, 250}, start + seconds(2));
  BOOST_TEST(quota.State(start + seconds(3)).vms_told == 2);
  BOOST_TEST(quota.State(start + seconds(3)).vms_heard == 1);
}

// Most callers move from one zone to another. They stay within the contract and
// must be let in where they are now.
BOOST_AUTO_TEST_CASE(CallersWhoMoveAreLetIn) {
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
  BOOST_TEST(fleet.Refused() <= 10);
}

// Every VM is killed and starts again in the middle of a flood. None remembers
// what was let in just before, and yet the contract's five seconds reach back
// over the restart.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContractWhenVmsRestart) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (const std::size_t restarted : {10, 5}) {
      BOOST_TEST_CONTEXT("seed " << seed << ", " << restarted << " restarted") {
        quota_fleet fleet(10, 163, 163, seed);
        fleet.SetEvenDemand(5 * 163);
        fleet.Run(seconds(8));
        fleet.Restart(0, restarted);
        fleet.Run(seconds(10));
        BOOST_TEST(fleet.MostInWindow() <= 163 * 6 * 1.05 + 10);
      }
    }
  }
}

// After a restart in quiet times nobody is to be refused for long.
BOOST_AUTO_TEST_CASE(AnOrdinaryWorkspaceIsLetInAfterARestart) {
  quota_fleet fleet(10, 100, 100, 2);
  fleet.SetEvenDemand(62);
  fleet.Run(seconds(8));
  fleet.Restart(0, 10);
  fleet.Run(seconds(10));
  BOOST_TEST(fleet.Refused() <= 12);
}

// VMs that can't hear the others take a flood at themselves for a shift of
// callers, and each gives itself the part of those that it doesn't hear.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContractAcrossACut) {
  constexpr double kRate = 93;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (const std::size_t cut : {1, 4, 9}) {
      BOOST_TEST_CONTEXT("seed " << seed << ", " << cut << " cut off") {
        quota_fleet fleet(10, kRate, kRate, seed);
        fleet.SetEvenDemand(0.4 * kRate);
        fleet.Run(seconds(5));
        for (std::size_t vm = 0; vm < cut; ++vm) fleet.Cut(vm);
        fleet.Run(seconds(4));
        fleet.SetEvenDemand(3.2 * kRate);
        fleet.Run(seconds(8));
        BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
      }
    }
  }
}

// Upstreams turn away half of a flood that the contract lets in. What has not
// run must leave its place to another request, and what runs stays within the
// contract.
BOOST_AUTO_TEST_CASE(RequestsThatDoNotRunLeaveTheirPlace) {
  constexpr double kRate = 140;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      quota_fleet fleet(10, kRate, kRate, seed);
      fleet.SetEvenDemand(0.4 * kRate);
      fleet.Run(seconds(8));
      fleet.SetNotRun(0.5);
      fleet.SetEvenDemand(3.2 * kRate);
      const int before = fleet.Admitted();
      fleet.Run(seconds(10));
      BOOST_TEST(fleet.Admitted() - before >= 0.9 * kRate * 10);
      BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
    }
  }
}

// One VM can't hear the others nor be heard, while the flood goes on through
// all. What it lets in counts, too.
BOOST_AUTO_TEST_CASE(AVmThatIsCutOffKeepsToItsPart) {
  constexpr double kRate = 100;
  quota_fleet fleet(10, kRate, kRate, 4);
  fleet.SetEvenDemand(5 * kRate);
  fleet.Run(seconds(10));
  fleet.Cut(3);
  fleet.Run(seconds(15));
  BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
}

}  // namespace
}  // namespace citron
