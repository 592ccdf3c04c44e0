#include "citron/policy/service_time_estimate.h"

#include <algorithm>

namespace citron {

namespace {

constexpr int kLeastSamples = 20;
// The median moves by this part of itself with each sample; the first ones move
// it by more.
constexpr double kStep = 0.03;
constexpr double kFirstStep = 0.5;

}  // namespace

void service_time_estimate::OnServed(duration took) {
  const double took_s = ToSeconds(took);
  samples_ = std::min(samples_ + 1, kLeastSamples);
  if (median_s_ == 0) {
    median_s_ = took_s;
    return;
  }
  const double step = std::max(kStep, kFirstStep / samples_);
  median_s_ *= took_s > median_s_ ? 1 + step : 1 - step;
}

duration service_time_estimate::Median() const {
  return samples_ < kLeastSamples ? duration::zero() : FromSeconds(median_s_);
}

}  // namespace citron
