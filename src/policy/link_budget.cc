#include "citron/policy/link_budget.h"

#include <algorithm>
#include <cmath>

namespace citron {

// Handles photo bundles and reports sent between regions. The link is narrow
// (300 Mbit/s) and shared by all traffic, so the photo bundles of one morning
// delay every cross-region look-up; look-ups within a region stay fast. Each
// entry VM uses only its share of the link's bytes.
//
// A 100 MB photo bundle is larger than any useful burst. If the whole transfer
// had to fit, it could never be sent; with a burst as large as the largest
// bundle, the link could be filled for seconds. A transfer therefore may start
// when the burst is full, and leaves a debt that is paid back before the next
// transfer: over any time t TryTake takes at most rate x t + burst + one
// transfer. Settle charges underestimates later.

link_budget::link_budget(double bytes_per_s, duration burst)
    : bytes_per_s_(bytes_per_s), burst_(burst) {}

double link_budget::AvailableBytes(monotonic_time now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - updated_at_));
  return std::min(Burst(), available_bytes_ + elapsed * Rate());
}

void link_budget::SetShare(double fraction, monotonic_time now) {
  // Budget accumulated under a larger share must not outlast that share.
  available_bytes_ = AvailableBytes(now);
  updated_at_ = now;
  fraction_ = std::clamp(fraction, 0.0, 1.0);
  available_bytes_ = std::min(available_bytes_, Burst());
}

bool link_budget::CanTake(std::uint64_t bytes, monotonic_time now) const {
  if (Rate() <= 0) return false;
  const double needed = std::min(static_cast<double>(bytes), Burst());
  // Half a byte of tolerance, as AvailableAt rounds to nanoseconds.
  return AvailableBytes(now) + 0.5 >= needed;
}

bool link_budget::TryTake(std::uint64_t bytes, monotonic_time now) {
  if (!CanTake(bytes, now)) return false;
  available_bytes_ = AvailableBytes(now) - static_cast<double>(bytes);
  updated_at_ = now;
  return true;
}

void link_budget::Settle(std::uint64_t taken, std::uint64_t used,
                         monotonic_time now) {
  const double excess = static_cast<double>(used) - static_cast<double>(taken);
  available_bytes_ = std::min(Burst(), AvailableBytes(now) - excess);
  updated_at_ = std::max(updated_at_, now);
}

monotonic_time link_budget::AvailableAt(std::uint64_t bytes,
                                        monotonic_time now) const {
  if (Rate() <= 0) return monotonic_time::max();
  const double needed = std::min(static_cast<double>(bytes), Burst());
  const double missing = std::max(0.0, needed - AvailableBytes(now));
  return now + FromSeconds(missing / Rate());
}

}  // namespace citron
