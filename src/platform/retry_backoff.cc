#include "citron/platform/retry_backoff.h"

#include <algorithm>
#include <limits>

namespace citron {

// The load: a store that comes back after an outage meets every daemon that
// waits for it. With equal waits they all come in the same instant, the store
// sheds most of them, and the next round is as bad. Drawn from the whole
// span, the attempts of n daemons spread evenly over it: at the cap of 5 s,
// 42 zones make about 17 attempts a second (mean wait 2.5 s), far below the
// few hundred writes that the store takes. The cap is below the 6 s in which
// a change must be in force everywhere.
retry_backoff::retry_backoff(const retry_backoff_limits& limits,
                             std::uint64_t seed)
    : limits_(limits), bound_(limits.first), random_(seed) {}

monotonic_time retry_backoff::NextAttempt(monotonic_time now) {
  ++failures_;
  const double part = static_cast<double>(random_()) /
                      static_cast<double>(std::numeric_limits<uint32_t>::max());
  // Never at once: a server that refuses instantly must not be asked in a
  // tight loop.
  const duration floor = limits_.first / 2;
  const duration span = bound_ - floor;
  const duration wait = floor + FromSeconds(ToSeconds(span) * part);
  bound_ = std::min(bound_ * 2, limits_.longest);
  return now + wait;
}

void retry_backoff::Reset() {
  bound_ = limits_.first;
  failures_ = 0;
}

}  // namespace citron
