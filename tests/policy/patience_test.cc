#include "citron/policy/patience.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id kDeskService("yard-desk");

contract DepotContract() {
  contract terms;
  terms.time_zone = "America/Santiago";
  terms.default_deadline = seconds(10);
  terms.patience = {{kDeskService, 5 * 60, 8 * 60, milliseconds(800)},
                    {kDeskService, 22 * 60, 4 * 60, seconds(30)}};
  return terms;
}

// 2026-01-15 00:00 UTC; 21:00 of the previous day in the Chilean summer.
const wall_time kMidnightUtc{seconds(1768435200)};

duration Timeout(const service_id& service, wall_time at,
                 std::optional<duration> requested = {}) {
  const monotonic_time now{seconds(7)};
  return DeadlineFor(DepotContract(), service, at, now, requested) - now;
}

}  // namespace

// The dawn rule starts at 05:00 in Chile, which is 08:00 UTC in summer and
// 09:00 UTC in winter. Evaluated in UTC, a yard clerk at dawn would
// get the default of 10 s instead of 800 ms.
BOOST_AUTO_TEST_CASE(HoursAreInTheWorkspacesTimeZone) {
  BOOST_TEST(
      (Timeout(kDeskService, kMidnightUtc + hours(8)) == milliseconds(800)));
  BOOST_TEST((Timeout(kDeskService, kMidnightUtc + hours(11)) == seconds(10)));
  const wall_time winter = kMidnightUtc + hours(24 * 180);
  BOOST_TEST((Timeout(kDeskService, winter + hours(8)) == seconds(10)));
  BOOST_TEST((Timeout(kDeskService, winter + hours(9)) == milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(RulesMayCrossMidnight) {
  BOOST_TEST((Timeout(kDeskService, kMidnightUtc + hours(1)) == seconds(30)));
  BOOST_TEST((Timeout(kDeskService, kMidnightUtc + hours(6)) == seconds(30)));
  BOOST_TEST((Timeout(kDeskService, kMidnightUtc + hours(7)) == seconds(10)));
}

BOOST_AUTO_TEST_CASE(OtherServicesAndShorterRequestedDeadlines) {
  const wall_time dawn = kMidnightUtc + hours(8);
  BOOST_TEST((Timeout(service_id("ledger"), dawn) == seconds(10)));
  BOOST_TEST(
      (Timeout(kDeskService, dawn, milliseconds(100)) == milliseconds(100)));
  BOOST_TEST((Timeout(kDeskService, dawn, seconds(60)) == milliseconds(800)));
  BOOST_TEST((Timeout(kDeskService, dawn, seconds(-1)) == duration()));
}

BOOST_AUTO_TEST_CASE(UnknownTimeZoneIsUtc) {
  BOOST_TEST(MinuteOfDay("Mars/Olympus", kMidnightUtc + hours(3)) == 180);
  BOOST_TEST(MinuteOfDay("Asia/Tokyo", kMidnightUtc) == 9 * 60);
}

}  // namespace citron
