#ifndef CITRON_PROTOCOL_TOKEN_BUCKET_H_
#define CITRON_PROTOCOL_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "citron/base/time.h"

namespace citron {

// Shares of a contract inside a VM are counted per billion, so that a share can
// be split among loops and loans without losing much to rounding.
inline constexpr std::int64_t kWholePpb = 1'000'000'000;

// A share of the contract that a bucket has, or lacks when `ppb` is negative,
// until a moment by the monotonic clock.
struct bucket_part {
  std::uint64_t id = 0;
  std::int64_t ppb = 0;
  monotonic_time until{};
};

// A token bucket whose rate and capacity are a fraction of a contract's. The
// fraction is the sum of parts that end at deadlines. Refilling counts each
// part only up to its deadline, however late the bucket is advanced, and tokens
// above the capacity are dropped at the moment when the capacity shrinks.
class token_bucket {
 public:
  // Starts empty and without parts. `rate_per_s` and `burst` are those of the
  // whole contract.
  token_bucket(double rate_per_s, double burst, monotonic_time now);

  void SetContract(double rate_per_s, double burst, monotonic_time now);
  // Adds a part or replaces the one with the same id.
  void SetPart(const bucket_part& part, monotonic_time now);
  void RemovePart(std::uint64_t id, monotonic_time now);
  // Adds tokens; tokens above the capacity are dropped.
  void AddTokens(double tokens, monotonic_time now);
  // Takes at most the tokens in the bucket; returns the number taken.
  double TakeTokens(double tokens, monotonic_time now);

  // Takes one token if there is one.
  bool TryTake(monotonic_time now) {
    Advance(now);
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

  // Lowers the capacity until `until` by tokens that were taken here and may
  // still be used elsewhere; the rate stays. Rounds `until` up to whole steps
  // of 10 ms.
  void ReserveCapacity(double tokens, monotonic_time until, monotonic_time now);
  double ReservedTokens() const { return reserved_tokens_; }
  // Returns the capacity of the parts that last until `until`. Negative parts
  // and reserved tokens count in full even if they end earlier.
  double CapacityUntil(monotonic_time until) const;

  // Returns when a token will be there, by the present parts, for a request
  // behind `ahead` others that take one token each. Empty if none is expected
  // within an hour between two changes of the parts.
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
  struct reservation {
    double tokens = 0;
    monotonic_time until{};
  };

  void AdvanceOverChanges(monotonic_time now);
  void RecomputeLimits(monotonic_time now);

  double contract_rate_;
  double contract_burst_;
  double tokens_ = 0;
  double rate_ = 0;
  double capacity_ = 0;
  monotonic_time refilled_at_;
  monotonic_time next_change_ = monotonic_time::max();
  std::int64_t ppb_ = 0;
  std::vector<bucket_part> parts_;
  double reserved_tokens_ = 0;
  std::vector<reservation> reservations_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_TOKEN_BUCKET_H_
