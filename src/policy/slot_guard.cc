#include "citron/policy/slot_guard.h"

#include <algorithm>
#include <cmath>

namespace citron {
namespace {

// Load pattern: long reports among short look-ups. Twelve reports on twelve
// slots stop every look-up in the zone for seconds, however short the queue is,
// and the p99 of look-ups becomes the service time of a report. Long requests
// therefore may not take the last slots.
//
// A fixed fraction alone is wrong both ways: if too small, look-ups wait during
// bursts; if too large, slots stay idle at low load. The reserve is the larger
// of the configured fraction and the current demand of short requests: their
// load in slots, by Little's law, plus the square root of that for bursts.
// Twice the square root left the p99 of look-ups the same and cost the reports
// a third of their work.
constexpr double kBurstFactor = 1.0;

// A flood of short requests must not keep all long requests out for good, so
// the reserve by load is at most this fraction of the slots. Which workspace
// gets the remaining slots is decided by the queue.
constexpr double kMaxLoadReserve = 0.75;

// The time constant of the average load. Long enough that noise in the load
// doesn't move the limit, short enough that a burst soon gets its slots.
constexpr duration kLoadDecayTime = std::chrono::seconds(2);

}  // namespace

slot_guard::slot_guard(double reserve)
    : reserve_(std::clamp(reserve, 0.0, 1.0)) {}

double slot_guard::ShortLoad(monotonic_time now) const {
  const double age = std::max(0.0, ToSeconds(now - updated_at_));
  const double decayed =
      short_slot_seconds_ * std::exp(-age / ToSeconds(kLoadDecayTime));
  return decayed / ToSeconds(kLoadDecayTime);
}

void slot_guard::OnShortArrival(duration expected, monotonic_time now) {
  short_slot_seconds_ =
      ShortLoad(now) * ToSeconds(kLoadDecayTime) + ToSeconds(expected);
  updated_at_ = std::max(updated_at_, now);
}

int slot_guard::LongLimit(int usable_slots, monotonic_time now) const {
  if (usable_slots <= 0) return 0;
  if (reserve_ <= 0) return usable_slots;
  const double load = ShortLoad(now);
  const double short_demand = load + kBurstFactor * std::sqrt(load);
  const double max_reserved =
      std::max(reserve_, kMaxLoadReserve) * usable_slots;
  const double reserved =
      std::min(max_reserved, std::max(reserve_ * usable_slots, short_demand));
  const int limit = usable_slots - static_cast<int>(std::ceil(reserved));
  return std::max(1, limit);
}

}  // namespace citron
