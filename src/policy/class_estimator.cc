#include "citron/policy/class_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citron {
namespace {

// Load pattern: reports that take seconds beside look-ups that take
// milliseconds. One mean over both predicts neither: look-ups would be refused
// as too late, and reports that can't end in time would be started.
//
// The weight of a new sample, an eighth as in TCP's round-trip estimator: the
// mean reaches a new level within about twenty answers, and one outlier moves
// the mean by only an eighth of its distance.
constexpr double kGain = 1.0 / 8;

// A mean so high that every request of the class is refused gets no answers
// that could lower it, and the class would stay refused after one slow period.
// Mean() therefore lets the excess over the initial estimate decay without new
// answers, by half in each half-life after the first.
constexpr duration kHalfLife = std::chrono::seconds(5);

}  // namespace

class_estimator::class_estimator(std::map<std::string, duration> initial_means,
                                 duration default_mean)
    : initial_means_(std::move(initial_means)),
      default_mean_(default_mean),
      overall_mean_s_(ToSeconds(default_mean)) {}

class_estimator::estimate class_estimator::InitialEstimate(
    const std::string& request_class) const {
  const auto found = initial_means_.find(request_class);
  const bool known =
      found != initial_means_.end() && found->second > duration();
  const duration initial_mean = known ? found->second : default_mean_;
  estimate first;
  first.initial_mean_s = ToSeconds(initial_mean);
  first.mean_s = first.initial_mean_s;
  first.deviation_s = first.initial_mean_s / 2;
  return first;
}

void class_estimator::OnServed(const std::string& request_class,
                               duration service_time, monotonic_time now) {
  const auto [at, added] = estimates_.try_emplace(request_class);
  estimate& e = at->second;
  if (added) e = InitialEstimate(request_class);
  const double sample = ToSeconds(service_time);
  ++e.samples;
  // The initial estimate may be far off, so it counts only as much as one of
  // the first answers.
  const double gain = std::max(kGain, 1.0 / (e.samples + 1));
  e.deviation_s += gain * (std::abs(sample - e.mean_s) - e.deviation_s);
  e.mean_s += gain * (sample - e.mean_s);
  e.updated_at = now;
  overall_mean_s_ += kGain * (sample - overall_mean_s_);
}

duration class_estimator::Mean(const std::string& request_class,
                               monotonic_time now) const {
  const auto found = estimates_.find(request_class);
  if (found == estimates_.end())
    return FromSeconds(InitialEstimate(request_class).mean_s);
  const estimate& e = found->second;
  const duration age = now - e.updated_at;
  if (age <= kHalfLife || e.mean_s <= e.initial_mean_s)
    return FromSeconds(e.mean_s);
  const double excess_kept =
      std::exp2(-(ToSeconds(age) / ToSeconds(kHalfLife) - 1));
  return FromSeconds(e.initial_mean_s +
                     (e.mean_s - e.initial_mean_s) * excess_kept);
}

duration class_estimator::Deviation(const std::string& request_class) const {
  const auto found = estimates_.find(request_class);
  if (found == estimates_.end()) {
    return FromSeconds(InitialEstimate(request_class).deviation_s);
  }
  return FromSeconds(found->second.deviation_s);
}

duration class_estimator::OverallMean() const {
  return FromSeconds(overall_mean_s_);
}

}  // namespace citron
