#include "citron/policy/smoothed_mean.h"

#include <algorithm>
#include <cmath>

namespace citron {

void smoothed_mean::Add(double value) {
  ++samples_;
  const double gain = std::max(gain_, 1.0 / samples_);
  const double difference = value - mean_;
  mean_ += gain * difference;
  variance_ = (1 - gain) * (variance_ + gain * difference * difference);
}

double smoothed_mean::EquivalentSamples() const {
  return std::min<double>(samples_, (2 - gain_) / gain_);
}

bool IsAboveMultiple(const smoothed_mean& a, double factor,
                     const smoothed_mean& b, double standard_errors) {
  if (a.Samples() == 0 || b.Samples() == 0) return false;
  const double difference = a.Mean() / factor - b.Mean();
  const double variance =
      std::max(a.Variance() / (factor * factor), b.Variance());
  const double standard_error = std::sqrt(
      variance * (1 / a.EquivalentSamples() + 1 / b.EquivalentSamples()));
  return difference >= standard_errors * standard_error && difference >= 0;
}

}  // namespace citron
