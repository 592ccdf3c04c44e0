#ifndef CITRON_POLICY_DRAIN_TRACKER_H_
#define CITRON_POLICY_DRAIN_TRACKER_H_

#include <map>
#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// Measures the drain time of a leaving upstream: from the first sign that it is
// leaving until no request of this process is in flight there.
class drain_tracker {
 public:
  // Takes the current state of the upstream, after each event that may change
  // it. Returns the drain time once for each drain, at the first call with no
  // request in flight.
  std::optional<duration> Observe(const upstream_id& upstream, bool leaving,
                                  int in_flight, monotonic_time now);

  // Returns whether the upstream is leaving, drained or not.
  bool IsLeaving(const upstream_id& upstream) const {
    return drains_.contains(upstream);
  }

 private:
  struct drain {
    monotonic_time started_at;
    bool ended = false;
  };

  std::map<upstream_id, drain> drains_;
};

}  // namespace citron

#endif  // CITRON_POLICY_DRAIN_TRACKER_H_
