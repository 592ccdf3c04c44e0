#ifndef CITRON_POLICY_DRAIN_TRACKER_H_
#define CITRON_POLICY_DRAIN_TRACKER_H_

#include <map>
#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// Measures how long an upstream that takes no more work still runs requests of
// ours: from the first sign of its leaving until none is in flight.
class drain_tracker {
 public:
  // What is known of the upstream now; after each event that may change it.
  // The drain time, once, when the last request there has ended.
  std::optional<duration> Observe(const upstream_id& upstream, bool leaving,
                                  int in_flight, monotonic_time now);

  // Whether it leaves, drained or not.
  bool IsLeaving(const upstream_id& upstream) const {
    return drains_.contains(upstream);
  }

 private:
  struct drain {
    monotonic_time first_sign;
    bool ended = false;
  };

  std::map<upstream_id, drain> drains_;
};

}  // namespace citron

#endif  // CITRON_POLICY_DRAIN_TRACKER_H_
