#include "citron/protocol/token_bucket.h"

#include <cassert>

namespace citron {

namespace {

// Seconds beyond which a retry time says nothing more than "much later"; keeps
// the arithmetic inside the range of a duration.
constexpr double kLongestWaitSeconds = 3600;

// Tokens set aside within one step share a record, so that a workspace of a
// thousand requests a second has some twenty of them and not hundreds.
constexpr duration kAsideStep = std::chrono::milliseconds(10);

monotonic_time RoundUp(monotonic_time t) {
  const duration over = t.time_since_epoch() % kAsideStep;
  return over == duration::zero() ? t : t + (kAsideStep - over);
}

}  // namespace

token_bucket::token_bucket(double rate_per_s, double burst, monotonic_time now)
    : contract_rate_(rate_per_s), contract_burst_(burst), refilled_at_(now) {}

void token_bucket::SetContract(double rate_per_s, double burst,
                               monotonic_time now) {
  Advance(now);
  contract_rate_ = rate_per_s;
  contract_burst_ = burst;
  Recount(now);
}

void token_bucket::SetPart(const bucket_part& part, monotonic_time now) {
  Advance(now);
  std::erase_if(parts_, [&](const bucket_part& p) { return p.id == part.id; });
  if (part.ppb != 0 && part.until > now) parts_.push_back(part);
  Recount(now);
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
// on top of a bucket that has refilled in between: burst plus what was under
// way in one instant. With less room here the two are never more than the
// burst.
void token_bucket::SetAside(double tokens, monotonic_time until,
                            monotonic_time now) {
  assert(tokens >= 0);
  Advance(now);
  const monotonic_time ends = RoundUp(until);
  const auto same =
      std::find_if(set_aside_.begin(), set_aside_.end(),
                   [&](const tokens_aside& a) { return a.until == ends; });
  if (same == set_aside_.end()) {
    set_aside_.push_back({tokens, ends});
  } else {
    same->tokens += tokens;
  }
  Recount(now);
}

double token_bucket::CapacityUntil(monotonic_time until) const {
  std::int64_t sum = 0;
  for (const bucket_part& part : parts_) {
    if (part.ppb < 0 || part.until >= until) sum += part.ppb;
  }
  return contract_burst_ * static_cast<double>(sum) /
             static_cast<double>(kWholePpb) -
         aside_;
}

std::optional<monotonic_time> token_bucket::NextTokenAt(
    monotonic_time now, std::size_t ahead) const {
  // Played on a copy: the wait may reach over the ends of several parts.
  token_bucket bucket = *this;
  bucket.Advance(now);
  double missing = static_cast<double>(ahead) + 1 - bucket.tokens_;
  monotonic_time at = now;
  while (missing > 0) {
    const bool reaches_whole_tokens = bucket.capacity_ >= 1.0;
    if (reaches_whole_tokens && missing < bucket.rate_ * kLongestWaitSeconds) {
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
    // Of less room than a token nothing was taken: what is left of it counts.
    if (!reaches_whole_tokens) {
      missing = static_cast<double>(ahead) + 1 - bucket.tokens_;
    }
  }
  return at;
}

// A process that was frozen, or a bucket that nobody asked for a while, looks
// at the clock long after some of its parts have ended and may be in use
// elsewhere. Refilling at today's rate up to now would count that time twice
// in the fleet. So the time is cut at each deadline, and the tokens at each
// are dropped to the capacity that was left.
void token_bucket::AdvanceOverChanges(monotonic_time now) {
  while (now >= next_change_) {
    const monotonic_time change = next_change_;
    Refill(change);
    Recount(change);
  }
  Refill(now);
}

void token_bucket::Recount(monotonic_time now) {
  std::erase_if(parts_, [&](const bucket_part& p) { return p.until <= now; });
  std::int64_t sum = 0;
  next_change_ = monotonic_time::max();
  for (const bucket_part& part : parts_) {
    sum += part.ppb;
    next_change_ = std::min(next_change_, part.until);
  }
  // Below 0 when the share shrank under what is lent; above the whole never,
  // unless a message lied.
  ppb_ = std::clamp<std::int64_t>(sum, 0, kWholePpb);
  const double fraction =
      static_cast<double>(ppb_) / static_cast<double>(kWholePpb);
  rate_ = contract_rate_ * fraction;
  std::erase_if(set_aside_,
                [&](const tokens_aside& a) { return a.until <= now; });
  aside_ = 0;
  for (const tokens_aside& a : set_aside_) {
    aside_ += a.tokens;
    next_change_ = std::min(next_change_, a.until);
  }
  capacity_ = std::max(0.0, contract_burst_ * fraction - aside_);
  tokens_ = std::min(tokens_, capacity_);
}

}  // namespace citron
