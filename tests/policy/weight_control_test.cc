#include "citron/policy/weight_control.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;

class control_fixture {
 public:
  // Reports of one load, every half second.
  void Report(double load, int seconds) {
    for (int i = 0; i < 2 * seconds; ++i) {
      now_ += milliseconds(500);
      control_.OnLoad(load, now_);
    }
  }

  monotonic_time now_{std::chrono::hours(1)};
  weight_control control_;
};

BOOST_FIXTURE_TEST_SUITE(control, control_fixture)

BOOST_AUTO_TEST_CASE(AnUpstreamWithFreeSlotsKeepsItsWeight) {
  Report(0.9, 60);
  BOOST_TEST(control_.Weight() == 1);
}

// An upstream gets more than it can carry. It must lose a part within seconds,
// and keep enough for its recovery to be seen.
BOOST_AUTO_TEST_CASE(AnOverloadedUpstreamLosesWeightDownToItsLeast) {
  Report(3, 5);
  BOOST_TEST(control_.Weight() < 0.5);
  Report(3, 60);
  BOOST_TEST(control_.Weight() == 0.1);
}

// A region's requests may not jump to another region from one second to the
// next. Of two seconds of reports, however many, the weight loses at most what
// its rate allows.
BOOST_AUTO_TEST_CASE(TheWeightMovesNoFasterThanItsRate) {
  Report(0.8, 2);
  for (int i = 0; i < 2000; ++i) {
    now_ += milliseconds(1);
    control_.OnLoad(9, now_);
  }
  BOOST_TEST(control_.Weight() > 0.66);
}

// After a long silence one report says nothing of the time between.
BOOST_AUTO_TEST_CASE(OneReportAfterASilenceIsOneStep) {
  Report(3, 2);
  const double before = control_.Weight();
  now_ += std::chrono::minutes(5);
  control_.OnLoad(3, now_);
  BOOST_TEST(control_.Weight() > 0.8 * before);
}

// The way back is slow: an upstream that takes all of its objects back at once
// would be overloaded again.
BOOST_AUTO_TEST_CASE(AWellUpstreamComesBackSlowly) {
  Report(3, 60);
  Report(0.1, 10);
  BOOST_TEST(control_.Weight() > 0.11);
  BOOST_TEST(control_.Weight() < 0.14);
  Report(0.1, 300);
  BOOST_TEST(control_.Weight() == 1);
}

BOOST_AUTO_TEST_CASE(ANewStartBeginsWithFullWeight) {
  Report(3, 60);
  control_.Reset();
  BOOST_TEST(control_.Weight() == 1);
  Report(0.9, 1);
  BOOST_TEST(control_.Weight() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
