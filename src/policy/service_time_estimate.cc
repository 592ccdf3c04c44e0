#include "citron/policy/service_time_estimate.h"

#include <algorithm>

namespace citron {

namespace {

// Samples before Median() returns an estimate.
constexpr int kMinSamples = 20;
// Sample n moves the median by the fraction `kStep` or `kInitialStep` / n of
// its value, whichever is larger; the first sample sets the median.
constexpr double kStep = 0.03;
constexpr double kInitialStep = 0.5;

}  // namespace

void service_time_estimate::AddSample(duration service_time) {
  const double service_time_s = ToSeconds(service_time);
  samples_ = std::min(samples_ + 1, kMinSamples);
  if (median_s_ == 0) {
    median_s_ = service_time_s;
    return;
  }
  const double step = std::max(kStep, kInitialStep / samples_);
  median_s_ *= service_time_s > median_s_ ? 1 + step : 1 - step;
}

duration service_time_estimate::Median() const {
  return samples_ < kMinSamples ? duration::zero() : FromSeconds(median_s_);
}

}  // namespace citron
