#include "citron/policy/overflow_control.h"

#include <boost/test/unit_test.hpp>

namespace citron {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(MovesExactlyItsFraction) {
  overflow_control control;
  for (int i = 0; i < 5; ++i) control.OnReport(milliseconds(50));
  const double fraction = control.MovedFraction();
  BOOST_TEST(fraction > 0.1);
  int moved = 0;
  for (int i = 0; i < 1000; ++i) moved += control.ShouldMoveNext() ? 1 : 0;
  BOOST_TEST(std::abs(moved - 1000 * fraction) <= 1);
}

// A burst arrives right after a report. The refusals must move traffic before
// the next report.
BOOST_AUTO_TEST_CASE(RefusalsMoveTrafficBeforeTheNextReport) {
  overflow_control control;
  for (int i = 0; i < 100; ++i) control.OnRefused();
  BOOST_TEST(control.MovedFraction() > 0.45);
  for (int i = 0; i < 1000; ++i) control.OnRefused();
  BOOST_TEST(control.MovedFraction() <= 1);
  for (int i = 0; i < 100; ++i) control.OnReport({});
  BOOST_TEST(control.MovedFraction() == 0);
  BOOST_TEST(!control.ShouldMoveNext());
}

}  // namespace citron
