#include "citron/policy/rank_reserve.h"

#include <algorithm>

namespace citron {

namespace {

// A rank below this demand has not asked for about three averaging times.
constexpr double kForgottenDemandPerS = 0.05;

}  // namespace

// Load pattern: callers of different urgency ask for more than there is. The
// unit that a less urgent request takes comes back after 1 / refill; the more
// urgent requests of that time must find what they need in what it leaves.
// Otherwise an urgent request fails for a less urgent one.

void rank_reserve::OnDemand(const request_rank& rank, monotonic_time now) {
  std::erase_if(ranks_, [now](const auto& known) {
    return known.second.demand.PerS(now) < kForgottenDemandPerS;
  });
  const auto state =
      ranks_.try_emplace(rank, rank_state(options_.averaging_time)).first;
  state->second.demand.Add(now);
}

bool rank_reserve::MayTake(const request_rank& rank, double available,
                           double refill_per_s, monotonic_time now) {
  AccrueOpenCredit(refill_per_s, now);
  if (available < 1) return false;
  if (refill_per_s <= 0 || TotalDemand(now) <= refill_per_s) return true;
  const auto state = ranks_.find(rank);
  if (state != ranks_.end() && state->second.open_credit >= 1) {
    state->second.open_credit -= 1;
    return true;
  }
  const double kept = MoreUrgentDemand(rank, now) / refill_per_s;
  return available - 1 >= kept + LessUrgentCredit(rank);
}

double rank_reserve::MoreUrgentDemand(const request_rank& rank,
                                      monotonic_time now) const {
  double sum = 0;
  const auto end = ranks_.lower_bound(rank);
  for (auto it = ranks_.begin(); it != end; ++it) {
    sum += it->second.demand.PerS(now);
  }
  return sum;
}

double rank_reserve::TotalDemand(monotonic_time now) const {
  double sum = 0;
  for (const auto& [rank, state] : ranks_) sum += state.demand.PerS(now);
  return sum;
}

// The even share protects a rank from a flood of another one, the share by
// demand a rank that asks more than the others.
void rank_reserve::AccrueOpenCredit(double refill_per_s, monotonic_time now) {
  const double elapsed_s = std::max(0.0, ToSeconds(now - accrued_at_));
  accrued_at_ = now;
  const double total = TotalDemand(now);
  if (ranks_.size() < 2 || total <= 0 || refill_per_s <= 0) return;
  const double even_share = 1.0 / static_cast<double>(ranks_.size());
  for (auto& [rank, state] : ranks_) {
    const double share = std::max(even_share, state.demand.PerS(now) / total);
    state.open_credit =
        std::min(1.0, state.open_credit + options_.open_part * share *
                                              refill_per_s * elapsed_s);
  }
}

double rank_reserve::LessUrgentCredit(const request_rank& rank) const {
  double sum = 0;
  for (auto it = ranks_.upper_bound(rank); it != ranks_.end(); ++it) {
    sum += it->second.open_credit;
  }
  return sum;
}

}  // namespace citron
