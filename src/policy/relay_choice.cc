#include "citron/policy/relay_choice.h"

#include <tuple>

#include "citron/base/digest.h"
#include "citron/policy/rendezvous.h"

namespace citron {

namespace {

// Lower is better.
int Distance(const relay_candidate& candidate, const relay_request& request) {
  const bool is_own_zone = candidate.zone == request.own_zone;
  if (candidate.region == request.upstream_region) return is_own_zone ? 0 : 1;
  if (is_own_zone) return 2;
  return candidate.region == request.own_region ? 3 : 4;
}

}  // namespace

// Load pattern: a VM cut off from the upstreams that still gets requests. A
// relay in the upstream's region adds no way between regions, and is where a
// request that is bound to regions may be handled.
std::optional<vm_id> ChooseRelay(const std::vector<relay_candidate>& candidates,
                                 const relay_request& request) {
  std::optional<vm_id> best;
  std::tuple<bool, int, double> best_cost;
  for (const relay_candidate& candidate : candidates) {
    const bool is_allowed =
        !request.is_region_bound || candidate.region == request.upstream_region;
    if (!is_allowed) continue;
    const std::tuple<bool, int, double> cost = {
        !candidate.is_ready, Distance(candidate, request),
        RendezvousCost(request.upstream_hash, HashBytes(candidate.vm.Str()),
                       1)};
    if (best && cost >= best_cost) continue;
    best = candidate.vm;
    best_cost = cost;
  }
  return best;
}

}  // namespace citron
