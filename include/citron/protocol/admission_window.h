#ifndef CITRON_PROTOCOL_ADMISSION_WINDOW_H_
#define CITRON_PROTOCOL_ADMISSION_WINDOW_H_

#include <array>
#include <cstdint>

#include "citron/base/time.h"

namespace citron {

// Counts the requests that this VM admitted during the last window, in tenths
// of the window. The oldest tenth leaves the count evenly while it leaves the
// window.
class admission_window {
 public:
  explicit admission_window(duration length) : length_(length) {}

  // Drops what has left the window. The other functions refer to this time.
  void Advance(monotonic_time now);
  void Add();
  // Takes back a request that was admitted at `at`.
  void Remove(monotonic_time at);
  double Count() const { return whole_ + remaining_ * At(OldestSlot()); }
  // Returns when at most `limit` requests are left in the window; at the latest
  // when all have left it.
  monotonic_time WhenAtMost(double limit) const;

 private:
  static constexpr std::int64_t kSlots = 10;

  std::int64_t SlotOf(monotonic_time at) const;
  std::int64_t OldestSlot() const { return slot_ - kSlots; }
  double& At(std::int64_t slot) {
    return counts_[static_cast<std::size_t>(slot % (kSlots + 1))];
  }
  double At(std::int64_t slot) const {
    return counts_[static_cast<std::size_t>(slot % (kSlots + 1))];
  }

  duration length_;
  std::array<double, kSlots + 1> counts_{};
  std::int64_t slot_ = kSlots;
  double whole_ = 0;      // Sum of the slots after the oldest.
  double remaining_ = 0;  // Fraction of the oldest slot that is in the window.
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_ADMISSION_WINDOW_H_
