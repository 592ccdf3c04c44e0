#ifndef CITRON_PLATFORM_RETRY_BACKOFF_H_
#define CITRON_PLATFORM_RETRY_BACKOFF_H_

#include <cstdint>
#include <pcg_random.hpp>

#include "citron/base/time.h"

namespace citron {

struct retry_backoff_limits {
  duration first = std::chrono::milliseconds(100);
  duration longest = std::chrono::seconds(5);
};

// When to ask a server again that did not answer: full jitter over a bound
// that doubles up to a cap.
class retry_backoff {
 public:
  // Each process has its own seed, so that no two wait alike.
  retry_backoff(const retry_backoff_limits& limits, std::uint64_t seed);

  // Counts one more failure and answers when to try again.
  monotonic_time NextAttempt(monotonic_time now);

  // An answer came: the next failure starts again from the first bound.
  void Reset();

  int Failures() const { return failures_; }

 private:
  retry_backoff_limits limits_;
  duration bound_;
  pcg32 random_;
  int failures_ = 0;
};

}  // namespace citron

#endif  // CITRON_PLATFORM_RETRY_BACKOFF_H_
