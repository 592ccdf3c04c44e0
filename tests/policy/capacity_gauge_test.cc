#include "citron/policy/capacity_gauge.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

class gauge_fixture {
 public:
  // Uses a fraction of one core for `seconds`, in samples of 50 ms.
  void Use(double fraction, double seconds) {
    for (int i = 0; i < 20 * seconds; ++i) {
      now_ += FromMilliseconds(50);
      used_ += FromMilliseconds(50 * fraction);
      gauge_.OnSample(ToSeconds(used_), now_);
    }
  }

  monotonic_time now_{std::chrono::hours(1)};
  duration used_{};
  capacity_gauge gauge_{0.2};
};

BOOST_FIXTURE_TEST_SUITE(gauge, gauge_fixture)

BOOST_AUTO_TEST_CASE(AnIdleProcessIsNotNearCapacity) {
  Use(0.05, 10);
  BOOST_TEST(!gauge_.IsNearCapacity());
}

// Guards against a late report when callers of other zones arrive too: the VM
// must report that it is near capacity while some of its share is left.
BOOST_AUTO_TEST_CASE(ManyCallersBringItNearCapacityWithinSeconds) {
  Use(0.05, 10);
  Use(0.19, 2);
  BOOST_TEST(gauge_.IsNearCapacity());
}

// Guards against oscillation: the load moves away and returns as soon as the VM
// stops reporting that it is near capacity.
BOOST_AUTO_TEST_CASE(NearCapacityEndsWellBelowWhereItBegins) {
  Use(0.19, 5);
  Use(0.1, 10);
  BOOST_TEST(gauge_.IsNearCapacity());
  Use(0.05, 10);
  BOOST_TEST(!gauge_.IsNearCapacity());
}

BOOST_AUTO_TEST_CASE(AShortBurstOfWorkIsNotNearCapacity) {
  Use(0.2, 0.3);
  Use(0.02, 1);
  BOOST_TEST(!gauge_.IsNearCapacity());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(WithoutAKnownShareItIsNeverNearCapacity) {
  capacity_gauge gauge(0);
  const monotonic_time now{std::chrono::hours(1)};
  gauge.OnSample(0, now);
  gauge.OnSample(1, now + std::chrono::seconds(1));
  BOOST_TEST(!gauge.IsNearCapacity());
}

}  // namespace
}  // namespace citron
