#include "citron/policy/drain_tracker.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const upstream_id kDesk("desk-1");

monotonic_time At(double ms) { return monotonic_time() + FromMilliseconds(ms); }

// An upstream is drained by its operator while three requests run there, and
// some time later says itself that it is leaving. The operator waits for the
// last request and would take the upstream away too early if the second sign
// started the count again.
BOOST_AUTO_TEST_CASE(CountsFromTheFirstSignToTheLastRequest) {
  drain_tracker drains;
  BOOST_TEST(!drains.Observe(kDesk, false, 3, At(0)).has_value());
  BOOST_TEST(!drains.IsLeaving(kDesk));
  BOOST_TEST(!drains.Observe(kDesk, true, 3, At(100)).has_value());
  BOOST_TEST(drains.IsLeaving(kDesk));
  BOOST_TEST(!drains.Observe(kDesk, true, 1, At(900)).has_value());
  const auto took = drains.Observe(kDesk, true, 0, At(1350));
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took == FromMilliseconds(1250)));
}

// An idle upstream is drained, and goes on saying so with each health answer.
// Each of them counted as a drain would bury the drains that took long.
BOOST_AUTO_TEST_CASE(OneDrainIsReportedOnce) {
  drain_tracker drains;
  const auto took = drains.Observe(kDesk, true, 0, At(10));
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took == duration()));
  BOOST_TEST(!drains.Observe(kDesk, true, 0, At(20)).has_value());
  BOOST_TEST(!drains.Observe(kDesk, true, 0, At(9000)).has_value());
}

// The operator calls a drain back while requests still run, and drains the
// upstream again an hour later. Neither the hour nor the drain that was called
// back is a drain time.
BOOST_AUTO_TEST_CASE(DrainThatWasCalledBackIsNotCounted) {
  drain_tracker drains;
  BOOST_TEST(!drains.Observe(kDesk, true, 2, At(0)).has_value());
  BOOST_TEST(!drains.Observe(kDesk, false, 2, At(50)).has_value());
  BOOST_TEST(!drains.IsLeaving(kDesk));
  BOOST_TEST(!drains.Observe(kDesk, false, 0, At(90)).has_value());
  BOOST_TEST(!drains.Observe(kDesk, true, 1, At(3600000)).has_value());
  const auto took = drains.Observe(kDesk, true, 0, At(3600070));
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took == FromMilliseconds(70)));
  // And back after it: the next drain counts anew.
  BOOST_TEST(!drains.Observe(kDesk, false, 0, At(3700000)).has_value());
  BOOST_TEST(drains.Observe(kDesk, true, 0, At(3800000)).has_value());
}

// An upstream is removed from the configuration while its last request runs;
// with that request's end the dispatch knows nothing of it any more. Its drain
// has ended, and an operator looks for exactly that line.
BOOST_AUTO_TEST_CASE(RemovedWhileItDrainsIsStillReported) {
  drain_tracker drains;
  BOOST_TEST(!drains.Observe(kDesk, true, 1, At(0)).has_value());
  const auto took = drains.Observe(kDesk, false, 0, At(400));
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took == FromMilliseconds(400)));
  BOOST_TEST(!drains.IsLeaving(kDesk));
}

}  // namespace
}  // namespace citron
