#include "citron/protocol/token_bucket.h"

#include <cassert>

namespace citron {

namespace {

// Longer waits count as no token; the limit keeps the arithmetic inside the
// range of a duration.
constexpr double kMaxWaitSeconds = 3600;

// Reservations that end within one step share a record, so that a workspace of
// a thousand requests per second has some twenty records and not hundreds.
constexpr duration kReservationStep = std::chrono::milliseconds(10);

monotonic_time RoundUp(monotonic_time t) {
  const duration over = t.time_since_epoch() % kReservationStep;
  return over == duration::zero() ? t : t + (kReservationStep - over);
}

}  // namespace

token_bucket::token_bucket(double rate_per_s, double burst, monotonic_time now)
    : contract_rate_(rate_per_s), contract_burst_(burst), refilled_at_(now) {}

void token_bucket::SetContract(double rate_per_s, double burst,
                               monotonic_time now) {
  Advance(now);
  contract_rate_ = rate_per_s;
  contract_burst_ = burst;
  RecomputeLimits(now);
}

void token_bucket::SetPart(const bucket_part& part, monotonic_time now) {
  Advance(now);
  std::erase_if(parts_, [&](const bucket_part& p) { return p.id == part.id; });
  if (part.ppb != 0 && part.until > now) parts_.push_back(part);
  RecomputeLimits(now);
}

void token_bucket::RemovePart(std::uint64_t id, monotonic_time now) {
  SetPart(bucket_part{id, 0, now}, now);
}

void token_bucket::AddTokens(double tokens, monotonic_time now) {
  assert(tokens >= 0);
  Advance(now);
  tokens_ = std::min(capacity_, tokens_ + tokens);
}

double token_bucket::TakeTokens(double tokens, monotonic_time now) {
  Advance(now);
  const double taken = std::clamp(tokens, 0.0, tokens_);
  tokens_ -= taken;
  return taken;
}

// A token that another entry uses a moment after it left this bucket would come
// on top of a bucket that has refilled in between: the burst plus the tokens in
// flight in one instant. With the capacity lowered, the two never exceed the
// burst.
void token_bucket::ReserveCapacity(double tokens, monotonic_time until,
                                   monotonic_time now) {
  assert(tokens >= 0);
  Advance(now);
  const monotonic_time ends = RoundUp(until);
  const auto same =
      std::find_if(reservations_.begin(), reservations_.end(),
                   [&](const reservation& a) { return a.until == ends; });
  if (same == reservations_.end()) {
    reservations_.push_back({tokens, ends});
  } else {
    same->tokens += tokens;
  }
  RecomputeLimits(now);
}

double token_bucket::CapacityUntil(monotonic_time until) const {
  std::int64_t sum = 0;
  for (const bucket_part& part : parts_) {
    if (part.ppb < 0 || part.until >= until) sum += part.ppb;
  }
  return contract_burst_ * static_cast<double>(sum) /
             static_cast<double>(kWholePpb) -
         reserved_tokens_;
}

std::optional<monotonic_time> token_bucket::NextTokenAt(
    monotonic_time now, std::size_t ahead) const {
  // Simulates a copy, as the wait may reach over the ends of several parts.
  token_bucket bucket = *this;
  bucket.Advance(now);
  double missing = static_cast<double>(ahead) + 1 - bucket.tokens_;
  monotonic_time at = now;
  while (missing > 0) {
    const bool reaches_whole_tokens = bucket.capacity_ >= 1.0;
    if (reaches_whole_tokens && missing < bucket.rate_ * kMaxWaitSeconds) {
      // One nanosecond more, so that rounding doesn't fall short of a token.
      const monotonic_time full = at + FromSeconds(missing / bucket.rate_) +
                                  std::chrono::nanoseconds(1);
      if (full < bucket.next_change_) return full;
    }
    const monotonic_time change = bucket.next_change_;
    if (change == monotonic_time::max()) return std::nullopt;
    if (reaches_whole_tokens) {
      missing -= bucket.rate_ * ToSeconds(change - at);
    }
    at = change;
    bucket.Advance(at);
    // A capacity below one token lets no token be taken: the tokens that remain
    // after the change count.
    if (!reaches_whole_tokens) {
      missing = static_cast<double>(ahead) + 1 - bucket.tokens_;
    }
  }
  return at;
}

// A process that was frozen, or a bucket without requests for a while, may
// advance long after some of its parts have ended and may be in use elsewhere.
// Refilling at the present rate up to now would count that time twice in the
// fleet. So the time is split at each deadline, and the tokens are cut to the
// capacity that is left at each.
void token_bucket::AdvanceOverChanges(monotonic_time now) {
  while (now >= next_change_) {
    const monotonic_time change = next_change_;
    Refill(change);
    RecomputeLimits(change);
  }
  Refill(now);
}

void token_bucket::RecomputeLimits(monotonic_time now) {
  std::erase_if(parts_, [&](const bucket_part& p) { return p.until <= now; });
  std::int64_t sum = 0;
  next_change_ = monotonic_time::max();
  for (const bucket_part& part : parts_) {
    sum += part.ppb;
    next_change_ = std::min(next_change_, part.until);
  }
  // The sum is negative when the share shrank below what is lent; it never
  // exceeds the whole unless a message was false.
  ppb_ = std::clamp<std::int64_t>(sum, 0, kWholePpb);
  const double fraction =
      static_cast<double>(ppb_) / static_cast<double>(kWholePpb);
  rate_ = contract_rate_ * fraction;
  std::erase_if(reservations_,
                [&](const reservation& a) { return a.until <= now; });
  reserved_tokens_ = 0;
  for (const reservation& a : reservations_) {
    reserved_tokens_ += a.tokens;
    next_change_ = std::min(next_change_, a.until);
  }
  capacity_ = std::max(0.0, contract_burst_ * fraction - reserved_tokens_);
  tokens_ = std::min(tokens_, capacity_);
}

}  // namespace citron
