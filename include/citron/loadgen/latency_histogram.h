#ifndef CITRON_LOADGEN_LATENCY_HISTOGRAM_H_
#define CITRON_LOADGEN_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "citron/base/time.h"

namespace citron {

// Counts by buckets that grow by an eighth, from 10 us to above 10 minutes;
// percentiles are those of the merged counts, never averages of others.
class latency_histogram {
 public:
  void Add(duration latency);
  void Merge(const latency_histogram& other);

  std::uint64_t Count() const { return count_; }
  duration Max() const { return max_; }
  // Upper bound of the bucket that the part falls into, at most the maximum;
  // 0 without any value. `part` is 0 to 1.
  duration Percentile(double part) const;

 private:
  static constexpr std::size_t kBuckets = 160;

  std::array<std::uint64_t, kBuckets> counts_{};
  std::uint64_t count_ = 0;
  duration max_{};
};

}  // namespace citron

#endif  // CITRON_LOADGEN_LATENCY_HISTOGRAM_H_
