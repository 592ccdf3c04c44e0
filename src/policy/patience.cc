#include "citron/policy/patience.h"

#include <cctz/civil_time.h>
#include <cctz/time_zone.h>

#include <algorithm>

namespace citron {
namespace {

// Load pattern: callers that wait for different times over the day. A single
// deadline is either too long at dawn, when a clerk has given up and the answer
// is wasted work, or too short for a report in the afternoon. Hours are in the
// time zone of the workspace: Chile and Hokkaido are half a day apart, and
// Chile has daylight saving time.

bool Covers(const patience_rule& rule, int minute) {
  if (rule.from_minute <= rule.to_minute) {
    return rule.from_minute <= minute && minute < rule.to_minute;
  }
  return minute >= rule.from_minute || minute < rule.to_minute;
}

// Returns the timeout of the first rule that matches, or the default.
duration ContractTimeout(const contract& terms, const service_id& service,
                         int minute) {
  for (const patience_rule& rule : terms.patience) {
    if (rule.service == service && Covers(rule, minute)) return rule.deadline;
  }
  return terms.default_deadline;
}

}  // namespace

int MinuteOfDay(const std::string& time_zone, wall_time wall_now) {
  cctz::time_zone tz = cctz::utc_time_zone();
  // Leaves UTC in place if there is no such time zone.
  cctz::load_time_zone(time_zone, &tz);
  const auto seconds = std::chrono::time_point_cast<cctz::seconds>(wall_now);
  const cctz::civil_minute local(cctz::convert(seconds, tz));
  return local.hour() * 60 + local.minute();
}

monotonic_time DeadlineFor(const contract& terms, const service_id& service,
                           wall_time wall_now, monotonic_time now,
                           std::optional<duration> requested) {
  const int minute = MinuteOfDay(terms.time_zone, wall_now);
  duration timeout = ContractTimeout(terms, service, minute);
  if (requested) timeout = std::clamp(*requested, duration(), timeout);
  return now + timeout;
}

}  // namespace citron
