#include "citron/policy/drain_tracker.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const upstream_id kUpstream("desk-1");

monotonic_time At(double ms) { return monotonic_time() + FromMilliseconds(ms); }

// The operator drains an upstream while three requests run there, and some time
// later the upstream itself reports that it is leaving. If the second sign
// restarted the measurement, the drain time would be too short, and an operator
// who relies on it would remove the upstream before the last request has ended.
BOOST_AUTO_TEST_CASE(CountsFromTheFirstSignToTheLastRequest) {
  drain_tracker tracker;
  BOOST_TEST(!tracker.Observe(kUpstream, false, 3, At(0)).has_value());
  BOOST_TEST(!tracker.IsLeaving(kUpstream));
  BOOST_TEST(!tracker.Observe(kUpstream, true, 3, At(100)).has_value());
  BOOST_TEST(tracker.IsLeaving(kUpstream));
  BOOST_TEST(!tracker.Observe(kUpstream, true, 1, At(900)).has_value());
  const auto drain_time = tracker.Observe(kUpstream, true, 0, At(1350));
  BOOST_REQUIRE(drain_time.has_value());
  BOOST_TEST((*drain_time == FromMilliseconds(1250)));
}

// An idle upstream is drained and keeps reporting it with each health report.
// Counting each report as a drain would hide the drains that took long.
BOOST_AUTO_TEST_CASE(OneDrainIsReportedOnce) {
  drain_tracker tracker;
  const auto drain_time = tracker.Observe(kUpstream, true, 0, At(10));
  BOOST_REQUIRE(drain_time.has_value());
  BOOST_TEST((*drain_time == duration()));
  BOOST_TEST(!tracker.Observe(kUpstream, true, 0, At(20)).has_value());
  BOOST_TEST(!tracker.Observe(kUpstream, true, 0, At(9000)).has_value());
}

// The operator cancels a drain while requests still run, and drains the
// upstream again an hour later. Neither the hour nor the cancelled drain counts
// as a drain time.
BOOST_AUTO_TEST_CASE(CancelledDrainIsNotCounted) {
  drain_tracker tracker;
  BOOST_TEST(!tracker.Observe(kUpstream, true, 2, At(0)).has_value());
  BOOST_TEST(!tracker.Observe(kUpstream, false, 2, At(50)).has_value());
  BOOST_TEST(!tracker.IsLeaving(kUpstream));
  BOOST_TEST(!tracker.Observe(kUpstream, false, 0, At(90)).has_value());
  BOOST_TEST(!tracker.Observe(kUpstream, true, 1, At(3600000)).has_value());
  const auto drain_time = tracker.Observe(kUpstream, true, 0, At(3600070));
  BOOST_REQUIRE(drain_time.has_value());
  BOOST_TEST((*drain_time == FromMilliseconds(70)));
  // After the upstream is back, the next drain is measured anew.
  BOOST_TEST(!tracker.Observe(kUpstream, false, 0, At(3700000)).has_value());
  BOOST_TEST(tracker.Observe(kUpstream, true, 0, At(3800000)).has_value());
}

// An upstream is removed from the configuration while its last request runs,
// and the dispatch drops all state of it when that request ends. The drain has
// ended, and an operator looks for the line that reports it.
BOOST_AUTO_TEST_CASE(RemovedWhileItDrainsIsStillReported) {
  drain_tracker tracker;
  BOOST_TEST(!tracker.Observe(kUpstream, true, 1, At(0)).has_value());
  const auto drain_time = tracker.Observe(kUpstream, false, 0, At(400));
  BOOST_REQUIRE(drain_time.has_value());
  BOOST_TEST((*drain_time == FromMilliseconds(400)));
  BOOST_TEST(!tracker.IsLeaving(kUpstream));
}

}  // namespace
}  // namespace citron
