#include "citron/policy/slot_guard.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

BOOST_AUTO_TEST_CASE(KeepsItsReserveAndMoreUnderShortLoad) {
  slot_guard guard(0.25);
  monotonic_time now{seconds(10)};
  BOOST_TEST(guard.LongLimit(16, now) == 12);
  // 200 requests of 40 ms a second need 8 slots, and a margin for bursts.
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds(5);
    guard.OnShortArrival(milliseconds(40), now);
  }
  BOOST_TEST(guard.LongLimit(16, now) == 5);
  BOOST_TEST(guard.LongLimit(16, now + seconds(30)) == 12);
}

BOOST_AUTO_TEST_CASE(AlwaysAdmitsSomeLongRequests) {
  slot_guard guard(0.25);
  const monotonic_time now{seconds(10)};
  for (int i = 0; i < 10000; ++i) guard.OnShortArrival(seconds(1), now);
  BOOST_TEST(guard.LongLimit(16, now) == 4);
  BOOST_TEST(guard.LongLimit(1, now) == 1);
  BOOST_TEST(guard.LongLimit(0, now) == 0);
  BOOST_TEST(slot_guard(0).LongLimit(16, now) == 16);
}

}  // namespace citron
