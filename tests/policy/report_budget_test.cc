#include "citron/policy/report_budget.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct budget_fixture {
  // Reports that are sent in `length`, if there is news each millisecond.
  int ReportsIn(duration length, int readers) {
    int sent = 0;
    for (const monotonic_time end = now + length; now < end;
         now += milliseconds(1)) {
      if (budget.TryTake(readers, now)) ++sent;
    }
    return sent;
  }

  report_budget budget{{.datagrams_per_s = 1000, .burst_reports = 4}};
  monotonic_time now{seconds(100)};
};

BOOST_FIXTURE_TEST_SUITE(budget_of_reports, budget_fixture)

BOOST_AUTO_TEST_CASE(FirstReportsGoAtOnce) {
  for (int i = 0; i < 4; ++i) BOOST_TEST(budget.TryTake(294, now));
  BOOST_TEST(!budget.TryTake(294, now));
}

// Guards against VMs that spend their processor on telling each other of a
// flood of lost answers.
BOOST_AUTO_TEST_CASE(AFloodOfNewsCostsTheSameInAnyFleet) {
  for (const int readers : {9, 83, 294, 999}) {
    ReportsIn(seconds(10), readers);
    const int sent = ReportsIn(seconds(10), readers);
    BOOST_TEST_INFO(readers);
    BOOST_TEST(sent * readers <= 10'000 + readers);
    BOOST_TEST(sent * readers >= 9'000 - readers);
  }
}

BOOST_AUTO_TEST_CASE(WhatWasNotUsedIsNotSavedBeyondTheBurst) {
  ReportsIn(seconds(5), 100);
  now += seconds(60);
  BOOST_TEST(ReportsIn(milliseconds(1), 100) <= 4);
  BOOST_TEST(ReportsIn(milliseconds(50), 100) <= 4);
}

BOOST_AUTO_TEST_CASE(AVmWithoutReadersMayTell) {
  BOOST_TEST(budget.TryTake(0, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
