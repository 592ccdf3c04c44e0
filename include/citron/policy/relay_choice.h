#ifndef CITRON_POLICY_RELAY_CHOICE_H_
#define CITRON_POLICY_RELAY_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "citron/base/strong_id.h"

namespace citron {

// Another VM that may carry this VM's connections to upstreams. Callers of
// ChooseRelay leave out VMs that are known not to reach upstreams.
struct relay_candidate {
  vm_id vm;
  zone_id zone;
  region_id region;
  // Whether it lets callers in. One that doesn't may be about to stop, but may
  // as well have lost the store only.
  bool is_ready = true;
};

struct relay_request {
  zone_id own_zone;
  region_id own_region;
  std::uint64_t upstream_hash = 0;
  region_id upstream_region;
  // The request may be handled in some regions only, and the upstream is in one
  // of them.
  bool is_region_bound = false;
};

// Returns the VM through which to reach an upstream, a ready one if there is
// any: one in the upstream's region, in this VM's zone if there is any; else,
// unless the request is bound to regions, the nearest. Equal ones share the
// upstreams by hash.
std::optional<vm_id> ChooseRelay(const std::vector<relay_candidate>& candidates,
                                 const relay_request& request);

}  // namespace citron

#endif  // CITRON_POLICY_RELAY_CHOICE_H_
