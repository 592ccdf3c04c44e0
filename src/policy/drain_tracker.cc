#include "citron/policy/drain_tracker.h"

namespace citron {

std::optional<duration> drain_tracker::Observe(const upstream_id& upstream,
                                               bool leaving, int in_flight,
                                               monotonic_time now) {
  const auto found = drains_.find(upstream);
  if (found == drains_.end() && !leaving) return std::nullopt;
  // A later sign of the same leaving doesn't begin it anew: the operator's word
  // and the upstream's own come seconds apart.
  drain& seen =
      found != drains_.end()
          ? found->second
          : drains_.emplace(upstream, drain{.first_sign = now}).first->second;
  std::optional<duration> took;
  if (!seen.ended && in_flight == 0) {
    seen.ended = true;
    took = now - seen.first_sign;
  }
  // Back, or no longer ours. It is forgotten only after the look at what is in
  // flight: one that is taken from the configuration while it drains loses its
  // signs with its last request, and that drain has ended all the same.
  if (!leaving) drains_.erase(upstream);
  return took;
}

}  // namespace citron
