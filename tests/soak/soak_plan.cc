#include "soak/soak_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <random>
#include <span>

namespace citron {

namespace {

// How often a kind is drawn against others, and how long it lasts at the most.
struct kind_terms {
  disturbance_kind kind;
  std::string_view name;
  int weight = 1;
  double longest_s = 3;
};

using kind = disturbance_kind;

constexpr std::array kKinds = {
    kind_terms{kind::kVmKilled, "vm_killed", 3, 2},
    kind_terms{kind::kVmStopped, "vm_stopped", 3, 1},
    kind_terms{kind::kVmPaused, "vm_paused", 2, 4},
    kind_terms{kind::kVmReloaded, "vm_reloaded", 1, 0.1},
    kind_terms{kind::kAllVmsKilled, "all_vms_killed", 1, 1},
    kind_terms{kind::kStoreDown, "store_down", 2, 4},
    kind_terms{kind::kStoreSlow, "store_slow", 1, 3},
    kind_terms{kind::kStoreLosesAnswers, "store_loses_answers", 1, 2},
    kind_terms{kind::kStoreCutFromVm, "store_cut_from_vm", 2, 6},
    kind_terms{kind::kStoreResetForVm, "store_reset_for_vm", 1, 0.1},
    kind_terms{kind::kUpstreamCrashed, "upstream_crashed", 3, 2},
    kind_terms{kind::kUpstreamLeaves, "upstream_leaves", 3, 4},
    kind_terms{kind::kUpstreamFails, "upstream_fails", 2, 3},
    kind_terms{kind::kUpstreamSheds, "upstream_sheds", 2, 3},
    kind_terms{kind::kUpstreamLosesAnswers, "upstream_loses_answers", 3, 3},
    kind_terms{kind::kUpstreamAnswersLate, "upstream_answers_late", 3, 3},
    kind_terms{kind::kUpstreamCutsAnswers, "upstream_cuts_answers", 2, 3},
    kind_terms{kind::kUpstreamWayDelayed, "upstream_way_delayed", 1, 3},
    kind_terms{kind::kUpstreamWayReset, "upstream_way_reset", 2, 0.1},
    kind_terms{kind::kZoneClosed, "zone_closed", 1, 6},
    kind_terms{kind::kRouteAdded, "route_added", 2, 0.1},
    kind_terms{kind::kKeyWithdrawn, "key_withdrawn", 2, 0.1},
    kind_terms{kind::kFlood, "flood", 2, 3},
};

// Drawn apart, so that seeds that have failed keep their other disturbances.
constexpr std::array kWatchKinds = {
    kind_terms{kind::kStoreStallsWatches, "store_stalls_watches", 1, 4},
    kind_terms{kind::kStoreMutesWatches, "store_mutes_watches", 1, 2},
};

// Drawn apart for the same reason.
constexpr std::array kSignalKinds = {
    kind_terms{kind::kUpstreamAsksForPauses, "upstream_asks_for_pauses", 1, 4},
    kind_terms{kind::kUpstreamSaysItLeaves, "upstream_says_it_leaves", 1, 4},
};

constexpr std::uint64_t kWatchStream = 2;
constexpr std::uint64_t kSignalStream = 3;

const kind_terms& TermsOf(kind wanted) {
  const std::array<std::span<const kind_terms>, 3> lists = {kKinds, kWatchKinds,
                                                            kSignalKinds};
  for (const auto& list : lists) {
    for (const kind_terms& terms : list) {
      if (terms.kind == wanted) return terms;
    }
  }
  return kKinds.back();
}

const kind_terms& DrawKind(pcg32& random) {
  int all = 0;
  for (const kind_terms& terms : kKinds) all += terms.weight;
  int left = static_cast<int>(random(static_cast<std::uint32_t>(all)));
  for (const kind_terms& terms : kKinds) {
    left -= terms.weight;
    if (left < 0) return terms;
  }
  return kKinds.back();
}

// Each with a stream of random numbers of its own.
void AddDisturbances(std::span<const kind_terms> kinds, std::uint64_t stream,
                     soak_plan& plan) {
  pcg32 random(plan.seed, stream);
  const auto between = [&random](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
  };
  double at = between(0.5, 4);
  while (at < plan.calm_from_s) {
    const kind_terms& terms =
        kinds[random(static_cast<std::uint32_t>(kinds.size()))];
    const double longest = std::min(terms.longest_s, plan.calm_from_s - at);
    const double length = between(0.3 * longest, longest);
    const int target =
        stream == kWatchStream ? 0 : static_cast<int>(random(1000));
    plan.disturbances.push_back({terms.kind, at, length, target});
    at += length + between(0.5, 4);
  }
  std::stable_sort(plan.disturbances.begin(), plan.disturbances.end(),
                   [](const disturbance& a, const disturbance& b) {
                     return a.at_s < b.at_s;
                   });
}

}  // namespace

std::string_view DisturbanceName(disturbance_kind kind) {
  return TermsOf(kind).name;
}

std::string Describe(const disturbance& what) {
  return fmt::format("{:.2f} s to {:.2f} s {} {}", what.at_s, what.EndsAt(),
                     DisturbanceName(what.kind), what.target);
}

soak_plan DrawPlan(std::uint64_t seed, double seconds) {
  pcg32 random(seed);
  const auto between = [&random](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
  };
  soak_plan plan;
  plan.seed = seed;
  plan.seconds = seconds;
  plan.zones = 2 + static_cast<int>(random(2));
  plan.vms_in_zone = 1 + static_cast<int>(random(2));
  plan.upstreams_in_zone = 2 + static_cast<int>(random(3));
  plan.calm_from_s = 0.6 * seconds;
  double at = between(0.5, 1.5);
  while (at < plan.calm_from_s) {
    // A row of one kind, or a single one.
    const kind_terms& terms = DrawKind(random);
    const int row = random(4) == 0 ? 3 : 1;
    for (int i = 0; i < row && at < plan.calm_from_s; ++i) {
      const double longest = std::min(terms.longest_s, plan.calm_from_s - at);
      plan.disturbances.push_back({terms.kind, at,
                                   between(0.3 * longest, longest),
                                   static_cast<int>(random(1000))});
      at += between(0.05, 0.5);
    }
    at += between(0.2, 2.0);
  }
  AddDisturbances(kWatchKinds, kWatchStream, plan);
  AddDisturbances(kSignalKinds, kSignalStream, plan);
  return plan;
}

}  // namespace citron
