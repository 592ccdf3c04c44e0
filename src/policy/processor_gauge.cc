#include "citron/policy/processor_gauge.h"

#include <cmath>

namespace citron {

// Load pattern: more callers than the few VMs named to them can serve. A VM
// that has used up its processor share answers late, whatever upstreams do, and
// its requests take long to reach an upstream. Other VMs are named as soon as a
// VM reports that it is near capacity, before its share is used up.

processor_gauge::processor_gauge(double share,
                                 const processor_gauge_options& options)
    : options_(options), share_(share) {}

void processor_gauge::OnSample(duration used, monotonic_time now) {
  const std::optional<sample> previous = last_sample_;
  last_sample_ = sample{used, now};
  if (!previous || now <= previous->at || share_ <= 0) return;
  const double elapsed_s = ToSeconds(now - previous->at);
  const double use = ToSeconds(used - previous->used) / elapsed_s / share_;
  const double weight =
      1 - std::exp(-elapsed_s / ToSeconds(options_.mean_time_constant));
  mean_use_ += weight * (use - mean_use_);
  if (mean_use_ > options_.near_capacity_use) is_near_capacity_ = true;
  if (mean_use_ < options_.normal_use) is_near_capacity_ = false;
}

}  // namespace citron
