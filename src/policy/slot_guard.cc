#include "citron/policy/slot_guard.h"

#include <algorithm>
#include <cmath>

namespace citron {
namespace {

// Answers: long reports among short look-ups. Twelve reports on twelve slots
// stop every look-up in the zone for seconds, however short the queue is; one
// notices by look-ups whose p99 is the service time of a report. So long work
// may not take the last slots.
//
// A fixed part alone is wrong both ways: too small, look-ups wait at dawn; too
// large, slots stand idle all afternoon. So the part kept is the larger of the
// configured one and what short work needs at present: its load in slots, by
// Little's law, and the square root of that for its swings. Twice the square
// root left the look-ups' p99 the same and took a third of their work from the
// reports.
constexpr double kSwing = 1.0;

// A flood of short work must not shut long work out for good: this is the most
// that is kept by measured load. Which workspace gets the rest is the queue's
// decision.
constexpr double kLargestReserve = 0.75;

// Long enough that the load's noise doesn't move the limit, short enough that
// a burst at dawn has its slots after a few look-ups' time.
constexpr duration kMemory = std::chrono::seconds(2);

}  // namespace

slot_guard::slot_guard(double reserve)
    : reserve_(std::clamp(reserve, 0.0, 1.0)) {}

double slot_guard::ShortLoad(monotonic_time now) const {
  const double age = std::max(0.0, ToSeconds(now - counted_at_));
  const double kept = slot_seconds_ * std::exp(-age / ToSeconds(kMemory));
  return kept / ToSeconds(kMemory);
}

void slot_guard::OnShortArrival(duration expected, monotonic_time now) {
  slot_seconds_ = ShortLoad(now) * ToSeconds(kMemory) + ToSeconds(expected);
  counted_at_ = std::max(counted_at_, now);
}

int slot_guard::LongLimit(int usable_slots, monotonic_time now) const {
  if (usable_slots <= 0) return 0;
  if (reserve_ <= 0) return usable_slots;
  const double load = ShortLoad(now);
  const double needed = load + kSwing * std::sqrt(load);
  const double most = std::max(reserve_, kLargestReserve) * usable_slots;
  const double kept = std::min(most, std::max(reserve_ * usable_slots, needed));
  const int limit = usable_slots - static_cast<int>(std::ceil(kept));
  return std::max(1, limit);
}

}  // namespace citron
