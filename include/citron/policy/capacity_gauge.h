#ifndef CITRON_POLICY_CAPACITY_GAUGE_H_
#define CITRON_POLICY_CAPACITY_GAUGE_H_

#include <optional>

#include "citron/base/time.h"

namespace citron {

struct capacity_gauge_options {
  // Fraction of the capacity above which the process is near it. The rest
  // serves requests until callers have received the report of that, which takes
  // a few seconds.
  double near_capacity_use = 0.6;
  // Fraction of the capacity below which the process is no longer near it.
  double normal_use = 0.35;
  // Time constant of the exponential mean of the use.
  duration mean_time_constant = FromMilliseconds(1000);
};

// Detects when this process is near the capacity of something that it uses up
// over time: seconds of a processor, bytes of a link.
class capacity_gauge {
 public:
  // `capacity_per_s`: units that this process may use in a second; 0 if
  // unknown.
  explicit capacity_gauge(double capacity_per_s,
                          const capacity_gauge_options& options = {});

  // `used`: units since the start of the process.
  void OnSample(double used, monotonic_time now);
  bool IsNearCapacity() const { return is_near_capacity_; }

 private:
  struct sample {
    double used = 0;
    monotonic_time at;
  };

  capacity_gauge_options options_;
  double capacity_per_s_;
  double mean_use_ = 0;
  bool is_near_capacity_ = false;
  std::optional<sample> last_sample_;
};

}  // namespace citron

#endif  // CITRON_POLICY_CAPACITY_GAUGE_H_
