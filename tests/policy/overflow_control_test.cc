#include "citron/policy/overflow_control.h"

#include <boost/test/unit_test.hpp>

namespace citron {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(MovesExactlyItsPart) {
  overflow_control control;
  for (int i = 0; i < 5; ++i) control.OnReport(milliseconds(50));
  const double part = control.Part();
  BOOST_TEST(part > 0.1);
  int moved = 0;
  for (int i = 0; i < 1000; ++i) moved += control.TakesMove() ? 1 : 0;
  BOOST_TEST(std::abs(moved - 1000 * part) <= 1);
}

// A burst comes right after a report. The refusals must move traffic before the
// next one does.
BOOST_AUTO_TEST_CASE(RefusalsDontWaitForAReport) {
  overflow_control control;
  for (int i = 0; i < 100; ++i) control.OnRefused();
  BOOST_TEST(control.Part() > 0.45);
  for (int i = 0; i < 1000; ++i) control.OnRefused();
  BOOST_TEST(control.Part() <= 1);
  for (int i = 0; i < 100; ++i) control.OnReport({});
  BOOST_TEST(control.Part() == 0);
  BOOST_TEST(!control.TakesMove());
}

}  // namespace citron
