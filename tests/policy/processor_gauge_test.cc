#include "citron/policy/processor_gauge.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

class gauge_fixture {
 public:
  // Uses a part of one core for so long, in samples of 50 ms.
  void Use(double part, double seconds) {
    for (int i = 0; i < 20 * seconds; ++i) {
      now_ += FromMilliseconds(50);
      used_ += FromMilliseconds(50 * part);
      gauge_.OnSample(used_, now_);
    }
  }

  monotonic_time now_{std::chrono::hours(1)};
  duration used_{};
  processor_gauge gauge_{0.2};
};

BOOST_FIXTURE_TEST_SUITE(gauge, gauge_fixture)

BOOST_AUTO_TEST_CASE(AnIdleProcessIsNotStrained) {
  Use(0.05, 10);
  BOOST_TEST(!gauge_.IsStrained());
}

// Callers of other zones come as well. The VM must say so while it still has a
// part of its processor left.
BOOST_AUTO_TEST_CASE(ManyCallersStrainItWithinSeconds) {
  Use(0.05, 10);
  Use(0.19, 2);
  BOOST_TEST(gauge_.IsStrained());
}

// The load moves away and comes back as soon as nothing is said any more.
BOOST_AUTO_TEST_CASE(ItIsEasyAgainWellBelowWhatStrainedIt) {
  Use(0.19, 5);
  Use(0.1, 10);
  BOOST_TEST(gauge_.IsStrained());
  Use(0.05, 10);
  BOOST_TEST(!gauge_.IsStrained());
}

BOOST_AUTO_TEST_CASE(AShortBurstOfWorkIsNoStrain) {
  Use(0.2, 0.3);
  Use(0.02, 1);
  BOOST_TEST(!gauge_.IsStrained());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(WithoutAKnownShareNothingIsSaid) {
  processor_gauge gauge(0);
  const monotonic_time now{std::chrono::hours(1)};
  gauge.OnSample({}, now);
  gauge.OnSample(std::chrono::seconds(1), now + std::chrono::seconds(1));
  BOOST_TEST(!gauge.IsStrained());
}

}  // namespace
}  // namespace citron
