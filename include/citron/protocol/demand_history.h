#ifndef CITRON_PROTOCOL_DEMAND_HISTORY_H_
#define CITRON_PROTOCOL_DEMAND_HISTORY_H_

#include <vector>

#include "citron/base/time.h"

namespace citron {

// A demand in requests a second as it was told from time to time; zero before
// the first time.
class demand_history {
 public:
  void Add(double per_s, monotonic_time now);
  // What was told before the value of that time is of no use any more.
  void Forget(monotonic_time before);

  double Newest() const { return values_.back().per_s; }
  // The least value of that time and of all later ones.
  double LeastSince(monotonic_time at) const;

 private:
  struct value {
    double per_s = 0;
    monotonic_time at{};
  };
  std::vector<value> values_ = {{}};  // The newest last; never empty.
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_DEMAND_HISTORY_H_
