#include "citron/policy/refusal.h"

namespace citron {

std::string_view RefusalName(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kQueueFull:
      return "queue_full";
    case refusal_reason::kWouldMissDeadline:
      return "would_miss_deadline";
    case refusal_reason::kExpiredInQueue:
      return "expired_in_queue";
    case refusal_reason::kPoison:
      return "poison";
    case refusal_reason::kNoUpstream:
      return "no_upstream";
    case refusal_reason::kDraining:
      return "draining";
    case refusal_reason::kOverRate:
      return "over_rate";
    case refusal_reason::kNoCapacity:
      return "no_capacity";
    case refusal_reason::kShiftCap:
      return "shift_cap";
    case refusal_reason::kLinkBudget:
      return "link_budget";
    case refusal_reason::kRetryBudget:
      return "retry_budget";
    case refusal_reason::kUnknownService:
      return "unknown_service";
  }
  return "unknown";
}

}  // namespace citron
