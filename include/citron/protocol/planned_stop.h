#ifndef CITRON_PROTOCOL_PLANNED_STOP_H_
#define CITRON_PROTOCOL_PLANNED_STOP_H_

#include "citron/base/time.h"

namespace citron {

struct planned_stop_options {
  // From the signal until the process is killed.
  duration grace_period = FromSeconds(6);
  // Requests that arrive later than this after the signal may not be cut by the
  // end of the process, whatever their upstreams do.
  duration late_arrival = FromSeconds(3);
};

// The phases of a VM that was told to stop: it takes requests, then only those
// that are due before its end, then no connections; then it ends.
class planned_stop {
 public:
  // Only the first call counts.
  void Begin(const planned_stop_options& options, monotonic_time now);

  bool HasBegun() const { return has_begun_; }
  monotonic_time BeganAt() const { return began_at_; }
  monotonic_time EndsAt() const { return ends_at_; }
  // Whether callers may still connect.
  bool Listens(monotonic_time now) const {
    return !has_begun_ || now < listens_until_;
  }
  // Whether a request that is due at `deadline` may be passed on now.
  bool MayPassOn(monotonic_time deadline, monotonic_time now) const {
    return !has_begun_ || now < passes_all_until_ || deadline <= due_until_;
  }

 private:
  bool has_begun_ = false;
  monotonic_time began_at_{};
  monotonic_time passes_all_until_{};
  monotonic_time listens_until_{};
  monotonic_time due_until_{};
  monotonic_time ends_at_{};
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_PLANNED_STOP_H_
