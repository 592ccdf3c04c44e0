#include "citron/policy/capacity_gauge.h"

#include <cmath>

namespace citron {

// Load pattern: more callers than the few VMs named to them can serve. A VM
// that has used up its processor share or its link answers late, whatever
// upstreams do, and its requests take long to reach an upstream. Other VMs are
// named as soon as a VM reports that it is near capacity, before that.

capacity_gauge::capacity_gauge(double capacity_per_s,
                               const capacity_gauge_options& options)
    : options_(options), capacity_per_s_(capacity_per_s) {}

void capacity_gauge::OnSample(double used, monotonic_time now) {
  const std::optional<sample> previous = last_sample_;
  last_sample_ = sample{used, now};
  if (!previous || now <= previous->at || capacity_per_s_ <= 0) return;
  const double elapsed_s = ToSeconds(now - previous->at);
  const double use = (used - previous->used) / elapsed_s / capacity_per_s_;
  const double weight =
      1 - std::exp(-elapsed_s / ToSeconds(options_.mean_time_constant));
  mean_use_ += weight * (use - mean_use_);
  if (mean_use_ > options_.near_capacity_use) is_near_capacity_ = true;
  if (mean_use_ < options_.normal_use) is_near_capacity_ = false;
}

}  // namespace citron
