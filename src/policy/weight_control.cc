#include "citron/policy/weight_control.h"

#include <algorithm>
#include <cmath>

namespace citron {

// Load pattern: uneven zones and closed ones, so that some upstreams get more
// objects than they keep warm. A lower weight moves a stable part of their
// objects to others; VMs hear the same reports and reach nearly the same
// weights.

weight_control::weight_control(const weight_control_options& options)
    : options_(options) {}

void weight_control::OnLoad(double load, monotonic_time now) {
  const duration passed = now - stepped_at_;
  stepped_at_ = now;
  const double weight =
      1 - std::exp(-ToSeconds(passed) / ToSeconds(options_.horizon));
  mean_load_ +=
      std::min(weight, options_.most_report_weight) * (load - mean_load_);
  const double step = ToSeconds(std::min(passed, options_.longest_step));
  if (mean_load_ > options_.high_load) {
    weight_ *= std::exp(-options_.down_per_s * step);
  } else if (mean_load_ < options_.low_load) {
    weight_ *= std::exp(options_.up_per_s * step);
  }
  weight_ = std::clamp(weight_, options_.least, 1.0);
}

void weight_control::Reset() {
  weight_ = 1;
  mean_load_ = 0;
}

}  // namespace citron
