#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <pcg_random.hpp>
#include <random>
#include <vector>

#include "citron/protocol/workspace_quota.h"
#include "protocol/quota_simulation.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 10;

enum class fault {
  kGroups,
  kBridge,
  kNoSend,
  kNoReceive,
  kOneNeighbour,
  kLoss
};

// Draws random partitions, their times and the distribution of demand.
class random_partition {
 public:
  explicit random_partition(std::uint64_t seed) : random_(seed) {}

  void Apply(fault kind, quota_fleet& fleet) {
    std::vector<int> group(kVms);
    for (int& g : group) g = DrawInt(0, 2);
    const auto drawn = static_cast<std::size_t>(DrawInt(0, kVms - 2));
    for (std::size_t a = 0; a < kVms; ++a) {
      for (std::size_t b = 0; b < kVms; ++b) {
        const bool same = group[a] == group[b];
        const bool bridged = group[a] == 2 || group[b] == 2;
        const bool neighbours = a == drawn + 1 || b == drawn + 1;
        if ((kind == fault::kGroups && !same) ||
            (kind == fault::kBridge && !same && !bridged) ||
            (kind == fault::kNoSend && a == drawn) ||
            (kind == fault::kNoReceive && b == drawn) ||
            (kind == fault::kOneNeighbour && (a == drawn || b == drawn) &&
             !neighbours)) {
          fleet.Block(a, b);
        }
      }
    }
    if (kind == fault::kLoss) fleet.SetLossRate(0.3);
  }

  std::vector<double> Demand(double per_s) {
    std::vector<double> demand(kVms);
    for (double& d : demand) {
      d = std::uniform_real_distribution<double>(0.02, 1)(random_);
    }
    const double sum = std::accumulate(demand.begin(), demand.end(), 0.0);
    for (double& d : demand) d *= per_s / sum;
    return demand;
  }

  int DrawInt(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }

 private:
  pcg32 random_;
};

// Shares could add up to more than the contract when VMs have different views
// of each other.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContractUnderPartialConnectivity) {
  constexpr double kRate = 163;
  for (const fault kind :
       {fault::kGroups, fault::kBridge, fault::kNoSend, fault::kNoReceive,
        fault::kOneNeighbour, fault::kLoss}) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      BOOST_TEST_CONTEXT("kind " << static_cast<int>(kind) << ", seed "
                                 << seed) {
        random_partition draw(seed);
        quota_fleet fleet(kVms, 1.05 * kRate, kRate, seed);
        fleet.SetDemand(draw.Demand(0.6 * kRate));
        fleet.Run(seconds(6));
        const bool flood_first = draw.DrawInt(0, 1) == 1;
        if (!flood_first) draw.Apply(kind, fleet);
        fleet.Run(milliseconds(draw.DrawInt(0, 2000)));
        fleet.SetDemand(draw.Demand(5 * kRate));
        fleet.Run(milliseconds(draw.DrawInt(0, 2000)));
        if (flood_first) draw.Apply(kind, fleet);
        fleet.Run(seconds(4));
        fleet.SetDemand(draw.Demand(5 * kRate));
        fleet.Run(seconds(3));
        fleet.RestoreNetwork();
        fleet.Run(seconds(5));
        BOOST_TEST(fleet.MaxInWindow() <= (kRate * 6) * 1.1 + 20);
      }
    }
  }
}

// VMs that reach only a neighbour go on serving while it proves their keys. The
// other VMs must leave them their shares while the neighbour receives their
// reports.
BOOST_AUTO_TEST_CASE(VmsThatReachOnlyANeighbourKeepTheirShares) {
  constexpr double kRate = 358;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      quota_fleet fleet(kVms, 1.05 * kRate, kRate, seed);
      fleet.SetEvenDemand(0.5 * kRate);
      fleet.Run(seconds(6));
      for (const std::size_t vm : {0, 3, 6}) {
        for (std::size_t other = 0; other < kVms; ++other) {
          if (other == vm + 1) continue;
          fleet.Block(vm, other);
          fleet.Block(other, vm);
        }
      }
      fleet.Run(milliseconds(2600));
      for (const std::size_t vm : {0, 3, 6}) fleet.RemoveVms(vm, vm + 1);
      fleet.Run(seconds(11));
      fleet.SetEvenDemand(4 * kRate);
      fleet.Run(seconds(8));
      BOOST_TEST(fleet.MaxInWindow() <= (kRate * 6) * 1.1 + 20);
    }
  }
}

// A workspace floods before any VM detects that VMs are cut off.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContractAsAPartitionBegins) {
  constexpr double kRate = 358;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    for (const std::size_t cut : {1, 4, 9}) {
      for (const int after_ms : {0, 200, 600, 1000, 1500}) {
        BOOST_TEST_CONTEXT("seed " << seed << ", " << cut << " cut off, flood "
                                   << after_ms << " ms later") {
          quota_fleet fleet(10, kRate, kRate, seed);
          fleet.SetEvenDemand(0.4 * kRate);
          fleet.Run(seconds(5) + milliseconds(37 * static_cast<int>(seed)));
          for (std::size_t vm = 0; vm < cut; ++vm) fleet.Isolate(vm);
          fleet.Run(milliseconds(after_ms));
          fleet.SetEvenDemand(3.2 * kRate);
          fleet.Run(seconds(8));
          BOOST_TEST(fleet.MaxInWindow() <= fleet.MaxAllowedInWindow());
        }
      }
    }
  }
}

}  // namespace
}  // namespace citron
