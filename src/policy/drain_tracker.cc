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
  // The entry of an upstream that is back or no longer owned is erased only
  // after the check above: the leaving mark of an upstream that is removed from
  // the configuration disappears together with its last request, and that drain
  // has ended nevertheless.
  if (!leaving) drains_.erase(upstream);
  return drain_time;
}

}  // namespace citron
