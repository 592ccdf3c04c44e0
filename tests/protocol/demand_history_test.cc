#include "citron/protocol/demand_history.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::seconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

BOOST_AUTO_TEST_CASE(DemandIsZeroBeforeTheFirstValue) {
  demand_history history;
  BOOST_TEST(history.Newest() == 0);
  history.Add(5, kStart);
  BOOST_TEST(history.Newest() == 5);
  BOOST_TEST(history.MinimumSince(kStart - seconds(1)) == 0);
  BOOST_TEST(history.MinimumSince(kStart) == 5);
}

BOOST_AUTO_TEST_CASE(ValueIsInForceUntilTheNextOne) {
  demand_history history;
  history.Add(5, kStart);
  history.Add(3, kStart + seconds(1));
  history.Add(8, kStart + seconds(2));
  BOOST_TEST(history.MinimumSince(kStart + seconds(3)) == 8);
  BOOST_TEST(history.MinimumSince(kStart + seconds(2)) == 8);
  BOOST_TEST(history.MinimumSince(kStart + std::chrono::milliseconds(1500)) ==
             3);
  BOOST_TEST(history.MinimumSince(kStart) == 3);
}

// Dropping a value too early would raise a share before all VMs know of the
// demand.
BOOST_AUTO_TEST_CASE(DroppingKeepsTheValueInForce) {
  demand_history history;
  history.Add(5, kStart);
  history.Add(8, kStart + seconds(4));
  history.DropReplacedBefore(kStart + seconds(3));
  BOOST_TEST(history.MinimumSince(kStart + seconds(3)) == 5);
  history.DropReplacedBefore(kStart + seconds(4));
  BOOST_TEST(history.MinimumSince(kStart) == 8);
}

}  // namespace
}  // namespace citron
