#include "citron/loadgen/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace citron {

namespace {

constexpr double kFirstBoundSeconds = 10e-6;
constexpr double kGrowth = 1.125;

}  // namespace

void latency_histogram::Add(duration latency) {
  const double steps =
      std::log(std::max(ToSeconds(latency), kFirstBoundSeconds) /
               kFirstBoundSeconds) /
      std::log(kGrowth);
  const auto bucket = static_cast<std::size_t>(std::ceil(steps));
  ++counts_[std::min(bucket, kBuckets - 1)];
  ++count_;
  max_ = std::max(max_, latency);
}

void latency_histogram::Merge(const latency_histogram& other) {
  for (std::size_t i = 0; i < kBuckets; ++i) counts_[i] += other.counts_[i];
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
}

duration latency_histogram::Percentile(double part) const {
  if (count_ == 0) return duration::zero();
  const auto wanted =
      static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i + 1 < kBuckets; ++i) {
    seen += counts_[i];
    if (seen < std::max<std::uint64_t>(wanted, 1)) continue;
    const double bound =
        kFirstBoundSeconds * std::pow(kGrowth, static_cast<double>(i));
    return std::min(FromSeconds(bound), max_);
  }
  return max_;
}

}  // namespace citron
