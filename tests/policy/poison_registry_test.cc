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
  BOOST_TEST((registry.Of(7, kNow + seconds(59)) == standing::kPoison));
  BOOST_TEST((registry.Of(7, kNow + seconds(60)) == standing::kClear));
}

// Two copies of a look-up were in flight when one server crashed. That is one
// crash; the same server crashing again is another.
BOOST_AUTO_TEST_CASE(TwoCopiesAtOneCrashAreOne) {
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
  BOOST_TEST((registry.Of(7, kNow) == standing::kClear));
  registry.OnPoison(8, kNow + seconds(5));
  registry.OnAnswered(8, kNow);
  BOOST_TEST((registry.Of(8, kNow) == standing::kPoison));
  registry.Expire(kNow + seconds(5));
  BOOST_TEST(registry.IsEmpty());
}

// The network cuts single connections, and twice it is the same look-up's. The
// servers live on, which shows when they answer what was in flight beside it;
// the look-up must not be refused any longer.
BOOST_AUTO_TEST_CASE(CutConnectionsAreNoCrashes) {
  poison_registry registry(seconds(60));
  const monotonic_time later = kNow + seconds(5);
  registry.OnCrash(7, kA, kNow, kNow);
  registry.OnCrash(7, kB, later, later);
  // Sent after the loss, or answered at the moment of it: may have crashed.
  const monotonic_time answered = later + seconds(1);
  registry.OnAlive(kB, later, answered);
  registry.OnAlive(kB, later - seconds(1), later);
  BOOST_TEST((registry.Of(7, later) == standing::kPoison));
  registry.OnAlive(kB, later - seconds(1), answered);
  BOOST_TEST((registry.Of(7, later) == standing::kSuspect));
  registry.OnAlive(kA, kNow - seconds(1), answered);
  BOOST_TEST((registry.Of(7, later) == standing::kClear));
}

BOOST_AUTO_TEST_CASE(AnUnknownFingerprintIsNeverBlamed) {
  poison_registry registry(seconds(60));
  registry.OnCrash(0, kA, kNow, kNow);
  registry.OnCrash(0, kB, kNow, kNow);
  BOOST_TEST((registry.Of(0, kNow) == standing::kClear));
}

BOOST_AUTO_TEST_CASE(ASuspectOfAnotherOwnerNeedsOneMoreCrash) {
  poison_registry registry(seconds(60));
  registry.OnSuspect(7, {kB, kNow}, kNow);
  BOOST_TEST((registry.OnCrash(7, kA, kNow, kNow) == standing::kPoison));
}

// Guards against a third crash: the word of the first one comes late, after a
// second copy has crashed an upstream here.
BOOST_AUTO_TEST_CASE(AWordThatComesAfterACrashHereMakesTwo) {
  poison_registry registry(seconds(60));
  registry.OnCrash(7, kA, kNow, kNow);
  registry.OnSuspect(7, {kB, kNow - milliseconds(30)}, kNow);
  BOOST_TEST((registry.Of(7, kNow) == standing::kPoison));
}

// Guards against two told words of one crash that count as two crashes.
BOOST_AUTO_TEST_CASE(TwoWordsOfOneCrashAreOne) {
  poison_registry registry(seconds(60));
  registry.OnSuspect(7, {kA, kNow}, kNow);
  registry.OnSuspect(7, {kA, kNow + milliseconds(40)}, kNow);
  BOOST_TEST((registry.Of(7, kNow) == standing::kSuspect));
  registry.OnSuspect(7, {kA, kNow + seconds(1)}, kNow + seconds(1));
  BOOST_TEST((registry.Of(7, kNow + seconds(1)) == standing::kPoison));
}

// Guards against an innocent request that is refused because it was beside the
// killer at both crashes and the words of the first came late.
BOOST_AUTO_TEST_CASE(TwoThatWereAtTheSameCrashesAreNotConvicted) {
  poison_registry registry(seconds(60));
  for (const std::uint64_t each : {7, 8}) {
    registry.OnCrash(each, kA, kNow, kNow);
    registry.OnSuspect(each, {kB, kNow}, kNow);
  }
  BOOST_TEST((registry.Of(7, kNow) == standing::kSuspect));
  BOOST_TEST((registry.Of(8, kNow) == standing::kSuspect));
  registry.OnAnswered(8, kNow);
  BOOST_TEST((registry.Of(7, kNow) == standing::kPoison));
}

// Guards against a request of many callers that is refused as poison since its
// copies are in flight at every crash.
BOOST_AUTO_TEST_CASE(WhatWasAnsweredJustBeforeACrashIsNoSuspect) {
  poison_registry registry(seconds(60));
  registry.OnAnswered(7, kNow);
  const monotonic_time soon = kNow + seconds(1);
  BOOST_TEST((registry.OnCrash(7, kA, kNow, soon) == standing::kClear));
  registry.OnSuspect(7, {kB, soon}, soon);
  BOOST_TEST((registry.Of(7, soon) == standing::kClear));
  const monotonic_time later = kNow + seconds(10);
  BOOST_TEST((registry.OnCrash(7, kA, later, later) == standing::kSuspect));
}

BOOST_AUTO_TEST_CASE(OneSuspectAnUpstreamAndOneCopyAnywhere) {
  poison_registry registry(seconds(60));
  registry.OnSuspectSent(7, kA);
  BOOST_TEST(!registry.MaySend(7));
  BOOST_TEST(registry.MaySend(8));
  BOOST_TEST(registry.HoldsSuspect(kA));
  BOOST_TEST(!registry.HoldsSuspect(kB));
  registry.OnSuspectDone(7, kA);
  BOOST_TEST(registry.MaySend(7));
  BOOST_TEST(!registry.HoldsSuspect(kA));
}

}  // namespace citron
