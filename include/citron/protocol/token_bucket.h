#ifndef CITRON_PROTOCOL_TOKEN_BUCKET_H_
#define CITRON_PROTOCOL_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "citron/base/time.h"

namespace citron {

// Parts of a contract inside a VM are counted per billion, so that a share can
// be split among loops and loans without losing much to rounding.
inline constexpr std::int64_t kWholePpb = 1'000'000'000;

// A part of the contract that a bucket has, or lacks when `ppb` is negative,
// until a moment by the monotonic clock.
struct bucket_part {
  std::uint64_t id = 0;
  std::int64_t ppb = 0;
  monotonic_time until{};
};

// A token bucket whose rate and capacity are a fraction of a contract's. The
// fraction is the sum of parts that end at deadlines. Refilling counts each
// part only up to its deadline, however late the bucket is looked at, and
// tokens above the capacity are dropped at the moment the capacity shrinks.
class token_bucket {
 public:
  // Empty, without parts. `rate_per_s` and `burst` are the whole contract's.
  token_bucket(double rate_per_s, double burst, monotonic_time now);

  void SetContract(double rate_per_s, double burst, monotonic_time now);
  // Adds a part or replaces the one with the same id.
  void SetPart(const bucket_part& part, monotonic_time now);
  void RemovePart(std::uint64_t id, monotonic_time now);
  // Tokens above the capacity are dropped.
  void AddTokens(double tokens, monotonic_time now);
  // Takes at most what is there; returns what was taken.
  double TakeTokens(double tokens, monotonic_time now);

  // Takes one token if there is one.
  bool TryTake(monotonic_time now) {
    Advance(now);
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

  // Lowers the capacity until then by tokens that were taken here and may still
  // be used elsewhere; the rate stays. Rounds up to whole steps of 10 ms.
  void SetAside(double tokens, monotonic_time until, monotonic_time now);
  double TokensAside() const { return aside_; }
  // Of the parts that last until then, without what is set aside.
  double CapacityUntil(monotonic_time until) const;

  // When one token will be there, by the parts as they are now, for one who
  // comes behind `ahead` others that take one each; empty when it never will.
  std::optional<monotonic_time> NextTokenAt(monotonic_time now,
                                            std::size_t ahead = 0) const;

  void Advance(monotonic_time now) {
    if (now < next_change_) {
      Refill(now);
    } else {
      AdvanceOverChanges(now);
    }
  }

  double Tokens() const { return tokens_; }
  double TokensAt(monotonic_time now) {
    Advance(now);
    return tokens_;
  }
  std::int64_t Ppb() const { return ppb_; }
  double RatePerSecond() const { return rate_; }
  double Capacity() const { return capacity_; }
  double ContractRate() const { return contract_rate_; }
  double ContractBurst() const { return contract_burst_; }
  const std::vector<bucket_part>& Parts() const { return parts_; }

 private:
  void Refill(monotonic_time now) {
    if (now <= refilled_at_) return;
    const double seconds = ToSeconds(now - refilled_at_);
    tokens_ = std::min(capacity_, tokens_ + rate_ * seconds);
    refilled_at_ = now;
  }
  struct tokens_aside {
    double tokens = 0;
    monotonic_time until{};
  };

  void AdvanceOverChanges(monotonic_time now);
  void Recount(monotonic_time now);

  double contract_rate_;
  double contract_burst_;
  double tokens_ = 0;
  double rate_ = 0;
  double capacity_ = 0;
  monotonic_time refilled_at_;
  monotonic_time next_change_ = monotonic_time::max();
  std::int64_t ppb_ = 0;
  std::vector<bucket_part> parts_;
  double aside_ = 0;
  std::vector<tokens_aside> set_aside_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_TOKEN_BUCKET_H_
