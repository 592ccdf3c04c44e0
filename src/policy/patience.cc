#include "citron/policy/patience.h"

#include <cctz/civil_time.h>
#include <cctz/time_zone.h>

#include <algorithm>

namespace citron {
namespace {

// Answers: callers whose patience changes with the time of day. One deadline
// for all hours is either too long at dawn, when a clerk has given up and the
// answer is work for nobody, or too short for an afternoon's report. The hours
// are the workspace's own: Chile and Hokkaido are half a day apart, and Chile
// moves its clocks.

bool Covers(const patience_rule& rule, int minute) {
  if (rule.from_minute <= rule.to_minute) {
    return rule.from_minute <= minute && minute < rule.to_minute;
  }
  return minute >= rule.from_minute || minute < rule.to_minute;
}

duration ContractPatience(const contract& terms, const service_id& service,
                          int minute) {
  for (const patience_rule& rule : terms.patience) {
    if (rule.service == service && Covers(rule, minute)) return rule.deadline;
  }
  return terms.default_deadline;
}

}  // namespace

int MinuteOfDay(const std::string& time_zone, wall_time wall_now) {
  cctz::time_zone zone = cctz::utc_time_zone();
  // Leaves UTC in place if there is no such zone.
  cctz::load_time_zone(time_zone, &zone);
  const auto seconds = std::chrono::time_point_cast<cctz::seconds>(wall_now);
  const cctz::civil_minute local(cctz::convert(seconds, zone));
  return local.hour() * 60 + local.minute();
}

monotonic_time DeadlineFor(const contract& terms, const service_id& service,
                           wall_time wall_now, monotonic_time now,
                           std::optional<duration> asked) {
  const int minute = MinuteOfDay(terms.time_zone, wall_now);
  duration patience = ContractPatience(terms, service, minute);
  if (asked) patience = std::clamp(*asked, duration(), patience);
  return now + patience;
}

}  // namespace citron
