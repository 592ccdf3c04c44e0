#ifndef CITRON_POLICY_LINK_BUDGET_H_
#define CITRON_POLICY_LINK_BUDGET_H_

#include <cstdint>

#include "citron/base/time.h"

namespace citron {

// This process's part of the bytes that may cross one link between two regions.
class link_budget {
 public:
  // `burst` is how much unused budget is kept.
  link_budget(double bytes_per_s, duration burst);

  // The part of the link that this process may fill, 0 to 1.
  void SetShare(double fraction, monotonic_time now);

  // Takes the bytes, or nothing. A transfer larger than the burst is let
  // through when the burst is whole and is paid back before the next one.
  bool TryTake(std::uint64_t bytes, monotonic_time now);
  // Corrects an earlier take once the true size is known.
  void Settle(std::uint64_t taken, std::uint64_t used, monotonic_time now);

  bool CanTake(std::uint64_t bytes, monotonic_time now) const;
  // When CanTake will hold; monotonic_time::max() without a share.
  monotonic_time AvailableAt(std::uint64_t bytes, monotonic_time now) const;

 private:
  double BytesAt(monotonic_time now) const;
  double Rate() const { return bytes_per_s_ * fraction_; }
  double Burst() const { return Rate() * ToSeconds(burst_); }

  double bytes_per_s_;
  duration burst_;
  double fraction_ = 0;
  double bytes_ = 0;
  monotonic_time counted_at_;
};

}  // namespace citron

#endif  // CITRON_POLICY_LINK_BUDGET_H_
