#include "citron/policy/weight_control.h"

#include <algorithm>
#include <cmath>

namespace citron {

// Answers: demand that lies unevenly over zones whose upstreams differ in
// number, and zones that are closed, so that few upstreams get the objects of
// many. An upstream keeps only its latest objects warm. One that holds more of
// them serves each one cold, in three times the time, and everything there is
// late while others stand idle; one notices by upstreams of one zone whose
// every answer takes the cold time. A lower weight gives a part of its objects
// to others, always the same ones, and what is left fits again. All VMs hear
// the same reports, so that their weights agree closely without talk.
//
// Measured with a closed zone, over 14 s: three upstreams with 50 to 55 objects
// each answered in 1.2 to 1.3 s (median), while those of another region with 10
// to 26 objects took 0.25 s.

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
