#include "citron/policy/working_set.h"

#include <cmath>

namespace citron {

namespace {

constexpr duration kForgetInterval = std::chrono::seconds(1);
// A sample below this part of its bound is enlarged.
constexpr std::size_t kSmallSampleDivisor = 8;

bool IsWithin(monotonic_time asked_at, duration memory, monotonic_time now) {
  return asked_at != monotonic_time{} && now - asked_at < memory;
}

}  // namespace

working_set::working_set(const working_set_options& options)
    : options_(options) {}

void working_set::OnRequest(std::uint64_t object, monotonic_time now) {
  if (now >= forget_at_) Forget(now);
  if (object > threshold_) return;
  request_times& times = asked_[object];
  times = {now, times[0], times[1]};
  if (asked_.size() > options_.max_remembered) ShrinkSample();
}

working_set::counts working_set::Count(monotonic_time now) const {
  counts result;
  for (const auto& [object, times] : asked_) {
    int requests = 0;
    for (const monotonic_time asked_at : times) {
      if (IsWithin(asked_at, options_.memory, now)) ++requests;
    }
    if (requests == 0) continue;
    ++result.seen;
    result.repeats += requests - 1;
    if (requests == 1) ++result.once;
    if (requests == 2) ++result.twice;
  }
  return result;
}

// Load pattern: many VMs that each see a small sample of the requests. Adds
// Chao's estimate of the objects not seen, from those seen once and twice;
// otherwise a VM with few requests would find few objects. Its standard error
// is added, so that such a VM expects rather more objects than the others.
double working_set::Objects(monotonic_time now) const {
  const counts c = Count(now);
  const double unseen =
      static_cast<double>(c.once) * (c.once - 1) / (2.0 * (c.twice + 1));
  const double sampled_part =
      static_cast<double>(threshold_) / static_cast<double>(~std::uint64_t{0});
  const double error = 1 / std::sqrt(c.repeats + 1.0);
  return (c.seen + unseen) * (1 + error) / sampled_part;
}

bool working_set::IsKnown(monotonic_time now) const {
  return now >= sample_whole_at_ && Count(now).repeats >= options_.min_repeats;
}

void working_set::Forget(monotonic_time now) {
  std::erase_if(asked_, [&](const auto& item) {
    return !IsWithin(item.second[0], options_.memory, now);
  });
  forget_at_ = now + kForgetInterval;
  const bool sample_small =
      asked_.size() < options_.max_remembered / kSmallSampleDivisor;
  if (threshold_ != ~std::uint64_t{0} && sample_small &&
      now >= sample_whole_at_) {
    GrowSample(now);
  }
}

void working_set::ShrinkSample() {
  threshold_ /= 2;
  asked_.erase(asked_.upper_bound(threshold_), asked_.end());
}

void working_set::GrowSample(monotonic_time now) {
  threshold_ = threshold_ * 2 + 1;
  sample_whole_at_ = now + options_.memory;
}

}  // namespace citron
