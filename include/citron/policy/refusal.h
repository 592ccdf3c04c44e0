#ifndef CITRON_POLICY_REFUSAL_H_
#define CITRON_POLICY_REFUSAL_H_

#include <string_view>

#include "citron/base/time.h"

namespace citron {

// Why a request was turned away. A refusal always means "not run".
enum class refusal_reason {
  kQueueFull,          // The queue is at its bound.
  kWouldMissDeadline,  // Its predicted end lies after its deadline.
  kExpiredInQueue,     // It waited until it could no longer end in time.
  kPoison,             // Its like was in flight at two upstream crashes.
  kNoUpstream,         // No upstream takes work.
  kDraining,           // The place that was asked is leaving.
  kOverRate,           // The workspace is over its rate and burst.
  kNoCapacity,         // No zone is expected to answer in time.
  kShiftCap,           // The receiving region grants no more yet.
  kLinkBudget,         // The link between the regions is used up.
  kRetryBudget,        // Retries are already their full part of the traffic.
  kUnknownService,     // Nobody serves it.
};

// "queue_full" and so on; for answers, logs and metric labels.
std::string_view RefusalName(refusal_reason reason);

struct refusal {
  refusal_reason reason = refusal_reason::kNoCapacity;
  monotonic_time retry_at;  // When asking again makes sense.
};

}  // namespace citron

#endif  // CITRON_POLICY_REFUSAL_H_
