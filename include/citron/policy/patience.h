#ifndef CITRON_POLICY_PATIENCE_H_
#define CITRON_POLICY_PATIENCE_H_

#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/config/fleet_config.h"

namespace citron {

// Returns the deadline of a request that arrives now: `now` plus the contract's
// timeout for the service at this local time of the workspace, or plus the
// timeout that the caller requested if that is shorter. A negative one counts
// as 0.
monotonic_time DeadlineFor(const contract& terms, const service_id& service,
                           wall_time wall_now, monotonic_time now,
                           std::optional<duration> requested);

// Returns the minutes since midnight in the named IANA time zone, or in UTC if
// the name is unknown.
int MinuteOfDay(const std::string& time_zone, wall_time wall_now);

}  // namespace citron

#endif  // CITRON_POLICY_PATIENCE_H_
