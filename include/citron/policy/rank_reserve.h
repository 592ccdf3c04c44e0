#ifndef CITRON_POLICY_RANK_RESERVE_H_
#define CITRON_POLICY_RANK_RESERVE_H_

#include <map>

#include "citron/base/time.h"

namespace citron {

// Urgency of a request: the workspace's rank decides, then the route's; 0 is
// the most urgent.
struct request_rank {
  int workspace = 0;
  int route = 0;
  friend auto operator<=>(const request_rank&, const request_rank&) = default;
};

struct rank_reserve_options {
  // Averaging time of the demand of each rank.
  duration averaging_time = std::chrono::seconds(1);
  // Part of a scarce resource that stays open to all ranks, so that none
  // starves.
  double open_part = 0.25;
};

// Keeps a scarce resource (tokens of a contract, retries, room in a queue) for
// the more urgent ranks. Load pattern: requests of several ranks compete for
// less than they ask together. Where one rank alone asks, or the resource is
// not short, nothing is kept.
class rank_reserve {
 public:
  explicit rank_reserve(const rank_reserve_options& options = {});

  // Counts a request that asks for the resource.
  void OnDemand(const request_rank& rank, monotonic_time now);
  // Returns whether a request of that rank may take one unit when `available`
  // units are there and `refill_per_s` come back.
  bool MayTake(const request_rank& rank, double available, double refill_per_s,
               monotonic_time now);
  // Returns the demand of all ranks more urgent than `rank`, per second.
  double MoreUrgentDemand(const request_rank& rank, monotonic_time now) const;

 private:
  struct demand {
    double per_s = 0;
    monotonic_time at{};
  };

  rank_reserve_options options_;
  std::map<request_rank, demand> demands_;
  double open_credit_ = 0;
};

}  // namespace citron

#endif  // CITRON_POLICY_RANK_RESERVE_H_
