#ifndef CITRON_POLICY_PROCESSOR_GAUGE_H_
#define CITRON_POLICY_PROCESSOR_GAUGE_H_

#include <optional>

#include "citron/base/time.h"

namespace citron {

struct processor_gauge_options {
  // Fraction of the processor share of this process above which the process is
  // near capacity. The rest of the share serves requests until callers have
  // received the report of that, which takes a few seconds.
  double near_capacity_use = 0.6;
  // Fraction of the share below which the process is no longer near capacity.
  double normal_use = 0.35;
  // Time constant of the exponential mean of the processor use.
  duration mean_time_constant = FromMilliseconds(1000);
};

// Detects when this process is near the capacity of its processor share.
class processor_gauge {
 public:
  // `share`: the fraction of one core that this process may use; 0 if unknown.
  explicit processor_gauge(double share,
                           const processor_gauge_options& options = {});

  // `used`: total processor time since the start of the process.
  void OnSample(duration used, monotonic_time now);
  bool IsNearCapacity() const { return is_near_capacity_; }

 private:
  struct sample {
    duration used{};
    monotonic_time at;
  };

  processor_gauge_options options_;
  double share_;
  double mean_use_ = 0;
  bool is_near_capacity_ = false;
  std::optional<sample> last_sample_;
};

}  // namespace citron

#endif  // CITRON_POLICY_PROCESSOR_GAUGE_H_
