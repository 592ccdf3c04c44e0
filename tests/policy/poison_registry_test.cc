#include "citron/policy/poison_registry.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using standing = poison_registry::standing;
using std::chrono::milliseconds;
using std::chrono::seconds;

const upstream_id kA("a");
const upstream_id kB("b");
const monotonic_time kNow{seconds(10)};

}  // namespace

BOOST_AUTO_TEST_CASE(TwoCrashesMakePoison) {
  poison_registry registry(seconds(60));
  BOOST_TEST((registry.OnCrash(7, kA, kNow, kNow) == standing::kSuspect));
  BOOST_TEST((registry.OnCrash(7, kB, kNow, kNow) == standing::kPoison));
  BOOST_TEST((registry.StandingOf(7, kNow + seconds(59)) == standing::kPoison));
  BOOST_TEST((registry.StandingOf(7, kNow + seconds(60)) == standing::kClear));
}

// Two identical requests in flight at one crash count as one crash; a later
// crash of the same upstream counts as another.
BOOST_AUTO_TEST_CASE(TwoIdenticalRequestsAtOneCrashCountOnce) {
  poison_registry registry(seconds(60));
  registry.OnCrash(7, kA, kNow, kNow);
  BOOST_TEST((registry.OnCrash(7, kA, kNow, kNow) == standing::kSuspect));
  const monotonic_time later = kNow + seconds(5);
  BOOST_TEST((registry.OnCrash(7, kA, later, later) == standing::kPoison));
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsASuspectOnly) {
  poison_registry registry(seconds(60));
  registry.OnCrash(7, kA, kNow, kNow);
  registry.OnAnswered(7, kNow);
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kClear));
  registry.OnConvicted(8, kNow + seconds(5));
  registry.OnAnswered(8, kNow);
  BOOST_TEST((registry.StandingOf(8, kNow) == standing::kPoison));
  registry.Expire(kNow + seconds(5));
  BOOST_TEST(registry.IsEmpty());
}

// Guards against a conviction by lost connections: the network twice cuts the
// connection of the same request while the upstreams keep running. Answers to
// other requests that were in flight there withdraw both crashes.
BOOST_AUTO_TEST_CASE(LostConnectionsAreNoCrashes) {
  poison_registry registry(seconds(60));
  const monotonic_time later = kNow + seconds(5);
  registry.OnCrash(7, kA, kNow, kNow);
  registry.OnCrash(7, kB, later, later);
  // Neither a request sent after the loss nor an answer read at the time of the
  // loss refutes the crash.
  const monotonic_time answered = later + seconds(1);
  registry.OnUpstreamAlive(kB, later, answered);
  registry.OnUpstreamAlive(kB, later - seconds(1), later);
  BOOST_TEST((registry.StandingOf(7, later) == standing::kPoison));
  registry.OnUpstreamAlive(kB, later - seconds(1), answered);
  BOOST_TEST((registry.StandingOf(7, later) == standing::kSuspect));
  registry.OnUpstreamAlive(kA, kNow - seconds(1), answered);
  BOOST_TEST((registry.StandingOf(7, later) == standing::kClear));
}

BOOST_AUTO_TEST_CASE(AnUnknownFingerprintIsNeverSuspected) {
  poison_registry registry(seconds(60));
  registry.OnCrash(0, kA, kNow, kNow);
  registry.OnCrash(0, kB, kNow, kNow);
  BOOST_TEST((registry.StandingOf(0, kNow) == standing::kClear));
}

BOOST_AUTO_TEST_CASE(ASuspectOfAnotherProcessNeedsOneMoreCrash) {
  poison_registry registry(seconds(60));
  registry.OnSuspect(7, {kB, kNow}, kNow);
  BOOST_TEST((registry.OnCrash(7, kA, kNow, kNow) == standing::kPoison));
}

// Guards against a third crash: the report of the first crash arrives late,
// after the request has crashed another upstream of this process.
BOOST_AUTO_TEST_CASE(ALateReportAddsToALocalCrash) {
  poison_registry registry(seconds(60));
  registry.OnCrash(7, kA, kNow, kNow);
  registry.OnSuspect(7, {kB, kNow - milliseconds(30)}, kNow);
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kPoison));
}

// Guards against two reports of one crash that count as two crashes.
BOOST_AUTO_TEST_CASE(TwoReportsOfOneCrashCountOnce) {
  poison_registry registry(seconds(60));
  registry.OnSuspect(7, {kA, kNow}, kNow);
  registry.OnSuspect(7, {kA, kNow + milliseconds(40)}, kNow);
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kSuspect));
  registry.OnSuspect(7, {kA, kNow + seconds(1)}, kNow + seconds(1));
  BOOST_TEST((registry.StandingOf(7, kNow + seconds(1)) == standing::kPoison));
}

// Guards against a conviction by one crash, whose report comes by two ways.
BOOST_AUTO_TEST_CASE(SuspicionElsewhereIsNoCrash) {
  poison_registry registry(seconds(60));
  registry.OnSuspectedElsewhere(7, kNow);
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kSuspect));
  registry.OnSuspect(7, {kA, kNow}, kNow + milliseconds(300));
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kSuspect));
  registry.OnSuspect(7, {kB, kNow}, kNow + milliseconds(300));
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kPoison));
  registry.OnAnswered(8, kNow);
  registry.OnSuspectedElsewhere(8, kNow + seconds(1));
  BOOST_TEST((registry.StandingOf(8, kNow + seconds(1)) == standing::kClear));
}

// Guards against a harmless request that is refused because it shared the
// upstream with the poison request at both crashes, one of which was reported
// by another process.
BOOST_AUTO_TEST_CASE(TwoSuspectsOfTheSameCrashesAreNotConvicted) {
  poison_registry registry(seconds(60));
  for (const std::uint64_t each : {7, 8}) {
    registry.OnCrash(each, kA, kNow, kNow);
    registry.OnSuspect(each, {kB, kNow}, kNow);
  }
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kSuspect));
  BOOST_TEST((registry.StandingOf(8, kNow) == standing::kSuspect));
  registry.OnAnswered(8, kNow);
  BOOST_TEST((registry.StandingOf(7, kNow) == standing::kPoison));
}

// Guards against a request of many callers that is refused as poison because it
// is in flight at every crash.
BOOST_AUTO_TEST_CASE(ARequestAnsweredJustBeforeACrashIsNoSuspect) {
  poison_registry registry(seconds(60));
  registry.OnAnswered(7, kNow);
  const monotonic_time soon = kNow + seconds(1);
  BOOST_TEST((registry.OnCrash(7, kA, kNow, soon) == standing::kClear));
  registry.OnSuspect(7, {kB, soon}, soon);
  BOOST_TEST((registry.StandingOf(7, soon) == standing::kClear));
  const monotonic_time later = kNow + seconds(10);
  BOOST_TEST((registry.OnCrash(7, kA, later, later) == standing::kSuspect));
}

BOOST_AUTO_TEST_CASE(OneSuspectPerUpstreamAndOneRequestPerSuspect) {
  poison_registry registry(seconds(60));
  registry.OnSuspectSent(7, kA);
  BOOST_TEST(!registry.MaySendSuspect(7));
  BOOST_TEST(registry.MaySendSuspect(8));
  BOOST_TEST(registry.HasSuspectInFlight(kA));
  BOOST_TEST(!registry.HasSuspectInFlight(kB));
  registry.OnSuspectDone(7, kA);
  BOOST_TEST(registry.MaySendSuspect(7));
  BOOST_TEST(!registry.HasSuspectInFlight(kA));
}

}  // namespace citron
