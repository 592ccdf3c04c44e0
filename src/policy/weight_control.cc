#include "citron/policy/weight_control.h"

#include <algorithm>
#include <cmath>

namespace citron {

// Load pattern: uneven or closed zones, so that some upstreams get more objects
// than they keep warm. A lower weight moves a stable share of their objects to
// other upstreams. VMs receive similar reports, with answers and from each
// other, and reach nearly the same weights.

weight_control::weight_control(const weight_control_options& options)
    : options_(options) {}

void weight_control::OnLoadReport(double load, monotonic_time now) {
  const duration elapsed = now - last_report_at_;
  last_report_at_ = now;
  const double report_weight =
      1 - std::exp(-ToSeconds(elapsed) / ToSeconds(options_.averaging_time));
  mean_load_ +=
      std::min(report_weight, options_.max_report_weight) * (load - mean_load_);
  const double step = ToSeconds(std::min(elapsed, options_.max_step));
  if (mean_load_ > options_.high_load) {
    weight_ *= std::exp(-options_.decrease_per_s * step);
  } else if (mean_load_ < options_.low_load) {
    weight_ *= std::exp(options_.increase_per_s * step);
  }
  weight_ = std::clamp(weight_, options_.min_weight, 1.0);
}

void weight_control::Reset() {
  weight_ = 1;
  mean_load_ = 0;
}

}  // namespace citron
