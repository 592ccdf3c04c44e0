#ifndef CITRON_POLICY_SLOT_GUARD_H_
#define CITRON_POLICY_SLOT_GUARD_H_

#include "citron/base/time.h"

namespace citron {

// Reserves slots for short requests, so that they don't wait for long requests
// to end.
class slot_guard {
 public:
  // `reserve` is the least fraction of the slots to reserve, 0 to 1; 0 disables
  // the guard. One long request is allowed whenever a slot is usable.
  explicit slot_guard(double reserve);

  // Records the arrival of a short request that will occupy a slot for about
  // `expected`.
  void OnShortArrival(duration expected, monotonic_time now);

  // Returns how many of the usable slots long requests may hold at once.
  int LongLimit(int usable_slots, monotonic_time now) const;

 private:
  double ShortLoad(monotonic_time now) const;

  double reserve_;
  double short_slot_seconds_ = 0;  // Demand of short requests, decayed.
  monotonic_time updated_at_;
};

}  // namespace citron

#endif  // CITRON_POLICY_SLOT_GUARD_H_
