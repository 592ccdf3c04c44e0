#ifndef CITRON_POLICY_RETRY_BUDGET_H_
#define CITRON_POLICY_RETRY_BUDGET_H_

#include <string_view>

#include "citron/base/time.h"
#include "citron/policy/decaying_rate.h"
#include "citron/policy/rank_reserve.h"

namespace citron {

enum class retry_decision {
  kGranted,
  kSpent,             // No retry is left.
  kKeptForOtherRank,  // What is left is kept for requests of other ranks.
};

std::string_view ToString(retry_decision decision);

// Limits retries to a fraction of the traffic. Requests that tell their ranks
// get what there is in the order of their urgency.
class retry_budget {
 public:
  // Allows `share` retries for each request. Starts with `max_saved` saved
  // retries and saves up at most that many.
  explicit retry_budget(double share, double max_saved = 10);

  void OnRequest();
  bool TryTake();

  // The same for requests with ranks.
  void OnRequest(monotonic_time now);
  retry_decision TryTake(const request_rank& rank, monotonic_time now);

  double Available() const { return tokens_; }
  double RefillPerS(monotonic_time now) const {
    return share_ * request_rate_.PerS(now);
  }
  // Returns the retries per second that more urgent requests ask for.
  double MoreUrgentDemand(const request_rank& rank, monotonic_time now) const {
    return reserve_.MoreUrgentDemand(rank, now);
  }

 private:
  double share_;
  double max_saved_;
  double tokens_;
  decaying_rate request_rate_;
  rank_reserve reserve_;
};

}  // namespace citron

#endif  // CITRON_POLICY_RETRY_BUDGET_H_
