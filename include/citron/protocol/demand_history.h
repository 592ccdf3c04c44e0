#ifndef CITRON_PROTOCOL_DEMAND_HISTORY_H_
#define CITRON_PROTOCOL_DEMAND_HISTORY_H_

#include <vector>

#include "citron/base/time.h"

namespace citron {

// Reported demand over time, in requests per second; zero before the first
// report.
class demand_history {
 public:
  void Add(double per_s, monotonic_time now);
  // Drops the values that were replaced by `before`; keeps the value in force
  // at that time.
  void DropReplacedBefore(monotonic_time before);

  double Newest() const { return values_.back().per_s; }
  // Returns the minimum of the value in force at `at` and all later values.
  double MinimumSince(monotonic_time at) const;

 private:
  struct value {
    double per_s = 0;
    monotonic_time at{};
  };
  std::vector<value> values_ = {{}};  // Oldest first; never empty.
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_DEMAND_HISTORY_H_
