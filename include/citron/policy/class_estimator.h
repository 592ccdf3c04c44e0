#ifndef CITRON_POLICY_CLASS_ESTIMATOR_H_
#define CITRON_POLICY_CLASS_ESTIMATOR_H_

#include <map>
#include <string>

#include "citron/base/time.h"

namespace citron {

// Estimates how long the requests of each class occupy a slot.
class class_estimator {
 public:
  class_estimator(std::map<std::string, duration> initial_means,
                  duration default_mean);

  void OnServed(const std::string& request_class, duration service_time,
                monotonic_time now);

  duration Mean(const std::string& request_class, monotonic_time now) const;
  // Returns the mean absolute deviation from the mean.
  duration Deviation(const std::string& request_class) const;
  // Returns the moving mean over all requests, regardless of class.
  duration OverallMean() const;

 private:
  struct estimate {
    double mean_s = 0;
    double deviation_s = 0;
    double initial_mean_s = 0;
    int samples = 0;
    monotonic_time updated_at;
  };

  estimate InitialEstimate(const std::string& request_class) const;

  std::map<std::string, duration> initial_means_;
  duration default_mean_;
  std::map<std::string, estimate> estimates_;
  double overall_mean_s_;
};

}  // namespace citron

#endif  // CITRON_POLICY_CLASS_ESTIMATOR_H_
