#include "citron/policy/link_budget.h"

#include <algorithm>
#include <cmath>

namespace citron {

// Answers: photo bundles and reports that cross between regions. The link is
// narrow (300 Mbit/s) and shared by all traffic, so one morning's bundles
// stretch every look-up that crosses beside them; one notices by look-ups that
// are slow only when they cross. Each entry VM spends only its part of the
// link's bytes.
//
// A 100 MB bundle is larger than any sensible burst. If it had to fit, it could
// never cross; if the burst were as large as the largest bundle, the link could
// be filled for seconds. So it may start when the burst is whole and leaves a
// debt that is paid back before the next crossing: over any time t no more than
// rate x t + burst + one transfer is taken.

link_budget::link_budget(double bytes_per_s, duration burst)
    : bytes_per_s_(bytes_per_s), burst_(burst) {}

double link_budget::BytesAt(monotonic_time now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - counted_at_));
  return std::min(Burst(), bytes_ + elapsed * Rate());
}

void link_budget::SetShare(double fraction, monotonic_time now) {
  // What was saved up under a larger share must not outlive it.
  bytes_ = BytesAt(now);
  counted_at_ = now;
  fraction_ = std::clamp(fraction, 0.0, 1.0);
  bytes_ = std::min(bytes_, Burst());
}

bool link_budget::CanTake(std::uint64_t bytes, monotonic_time now) const {
  if (Rate() <= 0) return false;
  const double needed = std::min(static_cast<double>(bytes), Burst());
  // Half a byte of slack, as AvailableAt rounds to nanoseconds.
  return BytesAt(now) + 0.5 >= needed;
}

bool link_budget::TryTake(std::uint64_t bytes, monotonic_time now) {
  if (!CanTake(bytes, now)) return false;
  bytes_ = BytesAt(now) - static_cast<double>(bytes);
  counted_at_ = now;
  return true;
}

void link_budget::Settle(std::uint64_t taken, std::uint64_t used,
                         monotonic_time now) {
  const double excess = static_cast<double>(used) - static_cast<double>(taken);
  bytes_ = std::min(Burst(), BytesAt(now) - excess);
  counted_at_ = std::max(counted_at_, now);
}

monotonic_time link_budget::AvailableAt(std::uint64_t bytes,
                                        monotonic_time now) const {
  if (Rate() <= 0) return monotonic_time::max();
  const double needed = std::min(static_cast<double>(bytes), Burst());
  const double missing = std::max(0.0, needed - BytesAt(now));
  return now + FromSeconds(missing / Rate());
}

}  // namespace citron
