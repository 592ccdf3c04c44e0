#ifndef CITRON_POLICY_PATIENCE_H_
#define CITRON_POLICY_PATIENCE_H_

#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/config/fleet_config.h"

namespace citron {

// When the caller of a request that arrives now stops waiting: what the
// contract says for the service at this time of the workspace's own day, or
// what the caller asked for if that is sooner.
monotonic_time DeadlineFor(const contract& terms, const service_id& service,
                           wall_time wall_now, monotonic_time now,
                           std::optional<duration> asked);

// Minutes since midnight in the named IANA time zone; UTC if it isn't known.
int MinuteOfDay(const std::string& time_zone, wall_time wall_now);

}  // namespace citron

#endif  // CITRON_POLICY_PATIENCE_H_
