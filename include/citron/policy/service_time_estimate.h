#ifndef CITRON_POLICY_SERVICE_TIME_ESTIMATE_H_
#define CITRON_POLICY_SERVICE_TIME_ESTIMATE_H_

#include "citron/base/time.h"

namespace citron {

// A running median of how long requests take that need not wait for a slot. A
// mean would stand between the times of warm and cold objects and describe
// neither.
class service_time_estimate {
 public:
  void OnServed(duration took);
  // Zero until enough was served.
  duration Median() const;

 private:
  double median_s_ = 0;
  int samples_ = 0;  // Counted as far as they matter.
};

}  // namespace citron

#endif  // CITRON_POLICY_SERVICE_TIME_ESTIMATE_H_
