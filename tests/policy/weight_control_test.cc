#include "citron/policy/weight_control.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;

class control_fixture {
 public:
  // Reports a constant load every half second.
  void Report(double load, int seconds) {
    for (int i = 0; i < 2 * seconds; ++i) {
      now_ += milliseconds(500);
      control_.OnLoadReport(load, now_);
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

// An upstream gets more requests than it can serve. It must lose a share of
// them within seconds, and keep enough for its recovery to be visible.
BOOST_AUTO_TEST_CASE(AnOverloadedUpstreamFallsToTheMinimumWeight) {
  Report(3, 5);
  BOOST_TEST(control_.Weight() < 0.5);
  Report(3, 60);
  BOOST_TEST(control_.Weight() == 0.1);
}

// The requests of a region must not move to another region from one second to
// the next. In two seconds, however many reports arrive, the weight falls no
// further than its rate allows.
BOOST_AUTO_TEST_CASE(TheWeightFallsNoFasterThanItsRate) {
  Report(0.8, 2);
  for (int i = 0; i < 2000; ++i) {
    now_ += milliseconds(1);
    control_.OnLoadReport(9, now_);
  }
  BOOST_TEST(control_.Weight() > 0.66);
}

// After a long gap, one report says nothing about the time in between.
BOOST_AUTO_TEST_CASE(OneReportAfterAGapIsOneStep) {
  Report(3, 2);
  const double before = control_.Weight();
  now_ += std::chrono::minutes(5);
  control_.OnLoadReport(3, now_);
  BOOST_TEST(control_.Weight() > 0.8 * before);
}

// The weight returns slowly: an upstream that regains all of its objects at
// once would be overloaded again.
BOOST_AUTO_TEST_CASE(ARecoveredUpstreamRegainsWeightSlowly) {
  Report(3, 60);
  Report(0.1, 10);
  BOOST_TEST(control_.Weight() > 0.11);
  BOOST_TEST(control_.Weight() < 0.14);
  Report(0.1, 300);
  BOOST_TEST(control_.Weight() == 1);
}

BOOST_AUTO_TEST_CASE(ARestartRestoresTheFullWeight) {
  Report(3, 60);
  control_.Reset();
  BOOST_TEST(control_.Weight() == 1);
  Report(0.9, 1);
  BOOST_TEST(control_.Weight() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
