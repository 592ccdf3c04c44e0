#ifndef TESTS_SOAK_SOAK_PLAN_H_
#define TESTS_SOAK_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citron {

// What is done to the fleet from outside. Each lasts for a while and is taken
// back at its end.
enum class disturbance_kind {
  kVmKilled,   // And started again at its end.
  kVmStopped,  // As planned, and started again.
  kVmPaused,
  kVmReloaded,
  kAllVmsKilled,
  kStoreDown,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreStallsWatches,  // They are held; other calls are answered.
  kStoreMutesWatches,   // They tell nothing, and then the history is gone.
  kStoreCutFromVm,      // Connections hang in both directions.
  kStoreResetForVm,     // Open ones are reset, once.
  kUpstreamCrashed,
  kUpstreamLeaves,
  kUpstreamFails,  // Half of its answers are failures.
  kUpstreamSheds,
  kUpstreamAsksForPauses,  // With a part of its answers.
  kUpstreamSaysItLeaves,   // In its answers alone; started again at the end.
  kUpstreamLosesAnswers,
  kUpstreamAnswersLate,  // An answer a second time, where the next is due.
  kUpstreamCutsAnswers,
  kUpstreamWayDelayed,
  kUpstreamWayReset,
  kZoneClosed,
  kRouteAdded,
  kKeyWithdrawn,
  kFlood,  // One workspace sends many times its rate.
};

std::string_view DisturbanceName(disturbance_kind kind);

struct disturbance {
  disturbance_kind kind = disturbance_kind::kVmKilled;
  double at_s = 0;
  double for_s = 0;
  int target = 0;  // Number of the VM, upstream, zone or key.

  double EndsAt() const { return at_s + for_s; }
};

std::string Describe(const disturbance& what);

struct soak_plan {
  std::uint64_t seed = 1;
  int zones = 2;
  int vms_in_zone = 2;
  int upstreams_in_zone = 3;
  double requests_per_s = 80;
  double seconds = 20;
  double calm_from_s = 12;                // Nothing is disturbed after it.
  std::vector<disturbance> disturbances;  // By their times.
};

// Disturbances come in rows and overlap; the last two fifths of the time are
// calm.
soak_plan DrawPlan(std::uint64_t seed, double seconds);

}  // namespace citron

#endif  // TESTS_SOAK_SOAK_PLAN_H_
