#ifndef CITRON_POLICY_LINK_BUDGET_H_
#define CITRON_POLICY_LINK_BUDGET_H_

#include <cstdint>

#include "citron/base/time.h"

namespace citron {

// This process's share of the byte rate of one link between two regions, as a
// token bucket.
class link_budget {
 public:
  // `burst` is the time for which unused budget accumulates.
  link_budget(double bytes_per_s, duration burst);

  // Sets the fraction of the link that this process may use, 0 to 1.
  void SetShare(double fraction, monotonic_time now);

  // Takes all of the bytes or none. A transfer larger than the burst may start
  // when the burst is full; the debt is paid back before the next transfer.
  bool TryTake(std::uint64_t bytes, monotonic_time now);
  // Corrects an earlier TryTake once the actual size is known.
  void Settle(std::uint64_t taken, std::uint64_t used, monotonic_time now);

  bool CanTake(std::uint64_t bytes, monotonic_time now) const;
  // Returns the time from which CanTake returns true, or monotonic_time::max()
  // without a share.
  monotonic_time AvailableAt(std::uint64_t bytes, monotonic_time now) const;

 private:
  double AvailableBytes(monotonic_time now) const;
  double Rate() const { return bytes_per_s_ * fraction_; }
  double Burst() const { return Rate() * ToSeconds(burst_); }

  double bytes_per_s_;
  duration burst_;
  double fraction_ = 0;
  double available_bytes_ = 0;
  monotonic_time updated_at_;
};

}  // namespace citron

#endif  // CITRON_POLICY_LINK_BUDGET_H_
