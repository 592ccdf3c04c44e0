#ifndef CITRON_POLICY_SERVICE_TIME_ESTIMATE_H_
#define CITRON_POLICY_SERVICE_TIME_ESTIMATE_H_

#include "citron/base/time.h"

namespace citron {

// Running median of the service time of requests that find a free slot. A mean
// would lie between the times of warm and cold objects and describe neither.
class service_time_estimate {
 public:
  void AddSample(duration service_time);
  // Returns zero until enough requests were served.
  duration Median() const;

 private:
  double median_s_ = 0;
  int samples_ = 0;  // Counted up to the minimum that Median() needs.
};

}  // namespace citron

#endif  // CITRON_POLICY_SERVICE_TIME_ESTIMATE_H_
