#include "citron/policy/patience.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id kDesk("yard-desk");

contract Depot() {
  contract terms;
  terms.time_zone = "America/Santiago";
  terms.default_deadline = seconds(10);
  terms.patience = {{kDesk, 5 * 60, 8 * 60, milliseconds(800)},
                    {kDesk, 22 * 60, 4 * 60, seconds(30)}};
  return terms;
}

// 2026-01-15 00:00 UTC; 21:00 of the day before in Chile's summer.
const wall_time kMidnightUtc{seconds(1768435200)};

duration Patience(const service_id& service, wall_time at,
                  std::optional<duration> asked = {}) {
  const monotonic_time now{seconds(7)};
  return DeadlineFor(Depot(), service, at, now, asked) - now;
}

}  // namespace

// The yard clerk's dawn is 05:00 in Chile, 08:00 UTC in summer and 09:00 in
// winter. Reckoned by UTC he would get the patience of the night.
BOOST_AUTO_TEST_CASE(TheHoursAreTheWorkspacesOwn) {
  BOOST_TEST((Patience(kDesk, kMidnightUtc + hours(8)) == milliseconds(800)));
  BOOST_TEST((Patience(kDesk, kMidnightUtc + hours(11)) == seconds(10)));
  const wall_time winter = kMidnightUtc + hours(24 * 180);
  BOOST_TEST((Patience(kDesk, winter + hours(8)) == seconds(10)));
  BOOST_TEST((Patience(kDesk, winter + hours(9)) == milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(RulesMayCrossMidnight) {
  BOOST_TEST((Patience(kDesk, kMidnightUtc + hours(1)) == seconds(30)));
  BOOST_TEST((Patience(kDesk, kMidnightUtc + hours(6)) == seconds(30)));
  BOOST_TEST((Patience(kDesk, kMidnightUtc + hours(7)) == seconds(10)));
}

BOOST_AUTO_TEST_CASE(OtherServicesAndShorterWishes) {
  const wall_time dawn = kMidnightUtc + hours(8);
  BOOST_TEST((Patience(service_id("ledger"), dawn) == seconds(10)));
  BOOST_TEST((Patience(kDesk, dawn, milliseconds(100)) == milliseconds(100)));
  BOOST_TEST((Patience(kDesk, dawn, seconds(60)) == milliseconds(800)));
  BOOST_TEST((Patience(kDesk, dawn, seconds(-1)) == duration()));
}

BOOST_AUTO_TEST_CASE(UnknownZoneIsUtc) {
  BOOST_TEST(MinuteOfDay("Mars/Olympus", kMidnightUtc + hours(3)) == 180);
  BOOST_TEST(MinuteOfDay("Asia/Tokyo", kMidnightUtc) == 9 * 60);
}

}  // namespace citron
