#ifndef CITRON_POLICY_DECAYING_RATE_H_
#define CITRON_POLICY_DECAYING_RATE_H_

#include <algorithm>
#include <cmath>

#include "citron/base/time.h"

namespace citron {

// Rate of events, averaged with exponentially decreasing weights. A clock that
// goes back counts as one that stands still.
class decaying_rate {
 public:
  explicit decaying_rate(duration averaging_time)
      : averaging_s_(ToSeconds(averaging_time)) {}

  void Add(monotonic_time now) {
    per_s_ = PerS(now) + 1 / averaging_s_;
    updated_at_ = now;
  }

  double PerS(monotonic_time now) const {
    const double elapsed_s = std::max(0.0, ToSeconds(now - updated_at_));
    return per_s_ * std::exp(-elapsed_s / averaging_s_);
  }

 private:
  double averaging_s_;
  double per_s_ = 0;
  monotonic_time updated_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_DECAYING_RATE_H_
