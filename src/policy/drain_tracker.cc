#include "citron/policy/drain_tracker.h"

namespace citron {

std::optional<duration> drain_tracker::Observe(const upstream_id& upstream,
                                               bool leaving, int in_flight,
                                               monotonic_time now) {
  const auto found = drains_.find(upstream);
  if (found == drains_.end() && !leaving) return std::nullopt;
  // A later sign of the same drain doesn't restart it: the drain by the
  // operator and the report of the upstream arrive seconds apart.
  drain& current =
      found != drains_.end()
          ? found->second
          : drains_.emplace(upstream, drain{.started_at = now}).first->second;
  std::optional<duration> drain_time;
  if (!current.ended && in_flight == 0) {
    current.ended = true;
    drain_time = now - current.started_at;
  }
  // The upstream is back, or this process no longer owns it. It is erased only
  // after the check for requests in flight: an upstream that is removed from
  // the configuration while it drains loses its signs with its last request,
  // and its drain has ended nevertheless.
  if (!leaving) drains_.erase(upstream);
  return drain_time;
}

}  // namespace citron
