#include "citron/policy/class_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citron {
namespace {

// Answers: monthly reports that take seconds beside look-ups that take
// milliseconds. One mean over both predicts neither: look-ups would be refused
// as too late and reports started that can't end in time.
//
// An eighth, as TCP does for round-trip times: a new level is learned within
// some twenty answers, and one odd answer moves the mean by an eighth only.
constexpr double kGain = 1.0 / 8;

// A mean that has risen so far that every request of the class is refused gets
// no answers any more that could lower it. One notices by a class that is
// refused for good after one slow spell. So an old mean falls back towards the
// first guess, by half each time this long has passed without an answer.
constexpr duration kHalfLife = std::chrono::seconds(5);

}  // namespace

class_estimator::class_estimator(std::map<std::string, duration> first_guesses,
                                 duration default_guess)
    : first_guesses_(std::move(first_guesses)),
      default_guess_(default_guess),
      overall_s_(ToSeconds(default_guess)) {}

class_estimator::estimate class_estimator::First(
    const std::string& request_class) const {
  const auto found = first_guesses_.find(request_class);
  const bool known =
      found != first_guesses_.end() && found->second > duration();
  const duration guess = known ? found->second : default_guess_;
  estimate first;
  first.guess_s = ToSeconds(guess);
  first.mean_s = first.guess_s;
  first.deviation_s = first.guess_s / 2;
  return first;
}

void class_estimator::OnServed(const std::string& request_class, duration taken,
                               monotonic_time now) {
  const auto [at, added] = estimates_.try_emplace(request_class);
  estimate& e = at->second;
  if (added) e = First(request_class);
  const double sample = ToSeconds(taken);
  ++e.samples;
  // The first answers outweigh the guess, which may be far off.
  const double gain = std::max(kGain, 1.0 / (e.samples + 1));
  e.deviation_s += gain * (std::abs(sample - e.mean_s) - e.deviation_s);
  e.mean_s += gain * (sample - e.mean_s);
  e.learned_at = now;
  overall_s_ += kGain * (sample - overall_s_);
}

duration class_estimator::Mean(const std::string& request_class,
                               monotonic_time now) const {
  const auto found = estimates_.find(request_class);
  if (found == estimates_.end())
    return FromSeconds(First(request_class).mean_s);
  const estimate& e = found->second;
  const duration age = now - e.learned_at;
  if (age <= kHalfLife || e.mean_s <= e.guess_s) return FromSeconds(e.mean_s);
  const double kept = std::exp2(-(ToSeconds(age) / ToSeconds(kHalfLife) - 1));
  return FromSeconds(e.guess_s + (e.mean_s - e.guess_s) * kept);
}

duration class_estimator::Deviation(const std::string& request_class) const {
  const auto found = estimates_.find(request_class);
  if (found == estimates_.end()) {
    return FromSeconds(First(request_class).deviation_s);
  }
  return FromSeconds(found->second.deviation_s);
}

duration class_estimator::OverallMean() const {
  return FromSeconds(overall_s_);
}

}  // namespace citron
