#ifndef CITRON_POLICY_CLASS_ESTIMATOR_H_
#define CITRON_POLICY_CLASS_ESTIMATOR_H_

#include <map>
#include <string>

#include "citron/base/time.h"

namespace citron {

// Learns how long each request class keeps a slot.
class class_estimator {
 public:
  class_estimator(std::map<std::string, duration> first_guesses,
                  duration default_guess);

  void OnServed(const std::string& request_class, duration taken,
                monotonic_time now);

  duration Mean(const std::string& request_class, monotonic_time now) const;
  // Mean distance from the mean.
  duration Deviation(const std::string& request_class) const;
  // Over the requests of all classes, as they came.
  duration OverallMean() const;

 private:
  struct estimate {
    double mean_s = 0;
    double deviation_s = 0;
    double guess_s = 0;
    int samples = 0;
    monotonic_time learned_at;
  };

  estimate First(const std::string& request_class) const;

  std::map<std::string, duration> first_guesses_;
  duration default_guess_;
  std::map<std::string, estimate> estimates_;
  double overall_s_;
};

}  // namespace citron

#endif  // CITRON_POLICY_CLASS_ESTIMATOR_H_
