#ifndef CITRON_POLICY_REFUSAL_H_
#define CITRON_POLICY_REFUSAL_H_

#include <string_view>

#include "citron/base/time.h"

namespace citron {

// Why a request was rejected. A refusal always means that the request did not
// run.
enum class refusal_reason {
  kQueueFull,          // The queue is full.
  kWouldMissDeadline,  // The predicted end is after the deadline.
  kExpiredInQueue,     // The request waited until too late for its deadline.
  kPoison,             // Such requests were in flight at two upstream crashes.
  kNoUpstream,         // No upstream accepts requests.
  kDraining,           // The receiver of the request is leaving.
  kOverRate,           // The workspace exceeds its rate and burst.
  kNoCapacity,         // No zone can be chosen for the request.
  kShiftCap,           // No valid permit for the receiving region.
  kLinkBudget,         // The budget of the link between regions is used up.
  kRetryBudget,        // Retries are at their maximum share of traffic.
  kUnknownService,     // No zone is known to serve the service.
};

// Returns the external name, such as "queue_full", for responses, logs and
// metric labels.
std::string_view RefusalName(refusal_reason reason);

struct refusal {
  refusal_reason reason = refusal_reason::kNoCapacity;
  monotonic_time retry_at;  // Earliest useful time for a retry.
};

}  // namespace citron

#endif  // CITRON_POLICY_REFUSAL_H_
