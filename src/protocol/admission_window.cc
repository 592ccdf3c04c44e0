#include "citron/protocol/admission_window.h"

#include <algorithm>
#include <numeric>

namespace citron {

std::int64_t admission_window::SlotOf(monotonic_time at) const {
  return at.time_since_epoch() / (length_ / kSlots);
}

void admission_window::Advance(monotonic_time now) {
  const std::int64_t slot = SlotOf(now);
  if (slot < slot_) return;
  const duration into = now.time_since_epoch() % (length_ / kSlots);
  remaining_ = 1 - ToSeconds(into) / ToSeconds(length_ / kSlots);
  if (slot == slot_) return;
  const std::int64_t passed = std::min(slot - slot_, kSlots + 1);
  for (std::int64_t i = 0; i < passed; ++i) At(slot - i) = 0;
  slot_ = slot;
  whole_ =
      std::accumulate(counts_.begin(), counts_.end(), 0.0) - At(OldestSlot());
}

void admission_window::Add() {
  At(slot_) += 1;
  whole_ += 1;
}

void admission_window::Remove(monotonic_time at) {
  const std::int64_t slot = SlotOf(at);
  if (slot < OldestSlot() || slot > slot_ || At(slot) < 1) return;
  At(slot) -= 1;
  if (slot != OldestSlot()) whole_ -= 1;
}

monotonic_time admission_window::WhenAtMost(double limit) const {
  const duration slot_length = length_ / kSlots;
  // Requests after the slot; a slot has left the window kSlots later.
  double left = whole_;
  std::int64_t slot = OldestSlot();
  while (left > limit && slot < slot_) left -= At(++slot);
  const double fraction =
      At(slot) <= 0 ? 0 : std::clamp((limit - left) / At(slot), 0.0, 1.0);
  return monotonic_time((slot + kSlots + 1) * slot_length) -
         FromSeconds(fraction * ToSeconds(slot_length));
}

}  // namespace citron
