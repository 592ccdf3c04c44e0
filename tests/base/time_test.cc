#include "citron/base/time.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace citron {
namespace {

// Guards against numbers from outside that overflow, and in another way on each
// kind of processor.
BOOST_AUTO_TEST_CASE(SecondsOfAnySizeCanBeAddedToATime) {
  const monotonic_time now{std::chrono::hours(24 * 365)};
  for (const double seconds :
       {1e300, 1e10, std::numeric_limits<double>::infinity()}) {
    BOOST_TEST((now + FromSeconds(seconds) > now));
    BOOST_TEST((now + FromSeconds(-seconds) < now));
  }
  BOOST_TEST((FromSeconds(std::numeric_limits<double>::quiet_NaN()) ==
              duration::zero()));
}

BOOST_AUTO_TEST_CASE(SecondsAreExact) {
  BOOST_TEST((FromSeconds(1.5) == std::chrono::milliseconds(1500)));
  BOOST_TEST((FromMilliseconds(-2) == std::chrono::milliseconds(-2)));
}

}  // namespace
}  // namespace citron
