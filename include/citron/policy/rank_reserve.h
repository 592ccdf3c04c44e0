#ifndef CITRON_POLICY_RANK_RESERVE_H_
#define CITRON_POLICY_RANK_RESERVE_H_

#include <map>

#include "citron/base/time.h"
#include "citron/policy/decaying_rate.h"

namespace citron {

// Urgency of a request: the workspace's rank decides, then the route's; 0 is
// the most urgent.
struct request_rank {
  int workspace = 0;
  int route = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default <=>.
  friend auto operator<=>(const request_rank&, const request_rank&) = default;
};

struct rank_reserve_options {
  // Averaging time of the demand of each rank.
  duration averaging_time = std::chrono::seconds(1);
  // Part of its share of a scarce resource that no rank can lose to more
  // urgent ones. The share is by demand or even among the ranks that ask,
  // whichever is more.
  double open_part = 0.25;
};

// Keeps a scarce resource (tokens of a contract, retries) for the more urgent
// ranks. Load pattern: requests of several ranks compete for less than they ask
// together. Where one rank alone asks, or the resource is not short, nothing is
// kept.
class rank_reserve {
 public:
  explicit rank_reserve(const rank_reserve_options& options = {})
      : options_(options) {}

  // Counts a request that asks for the resource.
  void OnDemand(const request_rank& rank, monotonic_time now);
  // Returns whether a request of that rank may take one unit when `available`
  // units are there and `refill_per_s` come back. True counts the unit as
  // taken.
  bool MayTake(const request_rank& rank, double available, double refill_per_s,
               monotonic_time now);
  // Returns the demand of all ranks more urgent than `rank`, per second.
  double MoreUrgentDemand(const request_rank& rank, monotonic_time now) const;

 private:
  struct rank_state {
    explicit rank_state(duration averaging_time) : demand(averaging_time) {}
    decaying_rate demand;
    double open_credit = 0;  // Units kept for this rank, up to one.
  };

  double TotalDemand(monotonic_time now) const;
  void AccrueOpenCredit(double refill_per_s, monotonic_time now);
  // Returns the units kept for less urgent ranks.
  double LessUrgentCredit(const request_rank& rank) const;

  rank_reserve_options options_;
  std::map<request_rank, rank_state> ranks_;
  monotonic_time accrued_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_RANK_RESERVE_H_
