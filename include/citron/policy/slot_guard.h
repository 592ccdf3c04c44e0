#ifndef CITRON_POLICY_SLOT_GUARD_H_
#define CITRON_POLICY_SLOT_GUARD_H_

#include "citron/base/time.h"

namespace citron {

// Keeps slots free of long work, so that short work need not wait for its end.
class slot_guard {
 public:
  // `reserve` is the part of the slots kept in any case, 0 to 1.
  explicit slot_guard(double reserve);

  // A short request arrived that will keep a slot for about `expected`.
  void OnShortArrival(duration expected, monotonic_time now);

  // How many of the slots long work may hold at once.
  int LongLimit(int usable_slots, monotonic_time now) const;

 private:
  double ShortLoad(monotonic_time now) const;

  double reserve_;
  double slot_seconds_ = 0;  // Of short work, decayed.
  monotonic_time counted_at_;
};

}  // namespace citron

#endif  // CITRON_POLICY_SLOT_GUARD_H_
