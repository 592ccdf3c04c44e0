#include "citron/policy/processor_gauge.h"

#include <cmath>

namespace citron {

// Answers: more callers than the few VMs carry that are named to them. A VM at
// the end of its processor answers late, whatever upstreams do; one notices by
// requests that reach no upstream for a long time. Others are named as soon as
// one says that it is strained, before that.

processor_gauge::processor_gauge(double share,
                                 const processor_gauge_options& options)
    : options_(options), share_(share) {}

void processor_gauge::OnSample(duration used, monotonic_time now) {
  const std::optional<sample> last = last_;
  last_ = sample{used, now};
  if (!last || now <= last->at || share_ <= 0) return;
  const double passed = ToSeconds(now - last->at);
  const double use = ToSeconds(used - last->used) / passed / share_;
  const double weight = 1 - std::exp(-passed / ToSeconds(options_.horizon));
  use_ += weight * (use - use_);
  if (use_ > options_.strained_use) strained_ = true;
  if (use_ < options_.easy_use) strained_ = false;
}

}  // namespace citron
