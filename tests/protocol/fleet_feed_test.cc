#include "citron/protocol/fleet_feed.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class feed_fixture {
 public:
  feed_fixture() : feed_(feed_options{}) {}

  // A first copy, read without delay.
  void ReadCopy(std::uint64_t revision) {
    BOOST_REQUIRE(feed_.Next(now_).has_value());
    feed_.OnRange(revision, now_);
  }

  monotonic_time now_{std::chrono::hours(1)};
  fleet_feed feed_;
};

BOOST_FIXTURE_TEST_SUITE(feed, feed_fixture)

BOOST_AUTO_TEST_CASE(BeginsWithAWholeCopyAndThenAsksForChanges) {
  BOOST_CHECK(feed_.Next(now_)->what == fleet_feed::call::kRange);
  BOOST_CHECK(!feed_.Next(now_));
  feed_.OnRange(41, now_);
  BOOST_CHECK(!feed_.Next(now_));
  now_ += seconds(1);
  const auto order = feed_.Next(now_);
  BOOST_REQUIRE(order);
  BOOST_CHECK(order->what == fleet_feed::call::kWatch);
  BOOST_TEST(order->after == 41u);
}

// An operator changes things sixteen times a second. Each VM must learn of them
// in time without a call for each.
BOOST_AUTO_TEST_CASE(ManyChangesAreFetchedTogether) {
  ReadCopy(1);
  std::uint64_t calls = 0;
  for (int ms = 0; ms < 6000; ms += 10) {
    now_ += milliseconds(10);
    if (!feed_.Next(now_)) continue;
    ++calls;
    feed_.OnEvents(calls + 1, true, now_);
  }
  BOOST_TEST(calls >= 19u);
  BOOST_TEST(calls <= 20u);
}

// The store held the watch for its whole wait. That the copy was current at its
// end is certain even if the VM was frozen before it read the answer; that it
// is current now isn't.
BOOST_AUTO_TEST_CASE(AnEmptyAnswerProvesTheEndOfItsWait) {
  ReadCopy(5);
  now_ += milliseconds(300);
  const monotonic_time asked = now_;
  BOOST_REQUIRE(feed_.Next(now_));
  now_ += seconds(9);
  feed_.OnEvents(5, false, now_);
  BOOST_CHECK(feed_.ProvenAt() == asked + seconds(2));
}

BOOST_AUTO_TEST_CASE(AnAnswerWithChangesProvesOnlyItsQuestion) {
  ReadCopy(5);
  now_ += seconds(1);
  const monotonic_time asked = now_;
  BOOST_REQUIRE(feed_.Next(now_));
  now_ += milliseconds(1500);
  feed_.OnEvents(6, true, now_);
  BOOST_CHECK(feed_.ProvenAt() == asked);
}

// The same with a fleet five times as large. The calls of all VMs together are
// what is paid for.
BOOST_AUTO_TEST_CASE(ALargerFleetAsksLessOften) {
  ReadCopy(1);
  feed_.SetFleetSize(60);
  now_ += seconds(1);
  std::uint64_t calls = 0;
  for (int ms = 0; ms < 11000; ms += 10) {
    now_ += milliseconds(10);
    if (!feed_.Next(now_)) continue;
    ++calls;
    feed_.OnEvents(calls + 1, true, now_);
  }
  BOOST_TEST(calls == 10u);
}

// An answer that comes late proves only what held when it was asked for. A VM
// that counted from the answer would let withdrawn keys in for longer.
BOOST_AUTO_TEST_CASE(TheProofCountsFromTheQuestion) {
  BOOST_REQUIRE(feed_.Next(now_));
  const monotonic_time asked = now_;
  now_ += milliseconds(900);
  feed_.OnRange(5, now_);
  BOOST_CHECK(feed_.ProvenAt() == asked);
  BOOST_TEST(feed_.IsProvenSince(seconds(3), asked + milliseconds(2999)));
  BOOST_TEST(!feed_.IsProvenSince(seconds(3), asked + seconds(3)));
}

// Changes come just before watches would have ended. A VM whose proof grew
// older with each of them would call itself not ready, and so would all others
// at the same moment.
BOOST_AUTO_TEST_CASE(ChangesDoNotLetTheProofGrowOld) {
  ReadCopy(5);
  for (std::uint64_t i = 0; i < 20; ++i) {
    now_ = std::max(now_, feed_.NextAt());
    const auto order = feed_.Next(now_);
    BOOST_REQUIRE(order);
    const bool change = i % 3 != 2;
    now_ += change ? order->wait - milliseconds(10) : order->wait;
    BOOST_TEST(feed_.IsProvenSince(milliseconds(2701), now_));
    feed_.OnEvents(6 + i, change, now_);
  }
}

// The store forgets its history while changes are made. Watching on from the
// old revision would miss them for ever.
BOOST_AUTO_TEST_CASE(AForgottenHistoryIsReadAnewAtOnce) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.Next(now_));
  feed_.OnCompacted(now_);
  const auto order = feed_.Next(now_);
  BOOST_REQUIRE(order);
  BOOST_CHECK(order->what == fleet_feed::call::kRange);
}

// A watch that is cut may have missed what happened just before.
BOOST_AUTO_TEST_CASE(AfterAFailureAllIsReadAnew) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.Next(now_));
  feed_.OnFailed(now_);
  BOOST_TEST(!feed_.IsInTouch());
  BOOST_CHECK(!feed_.Next(now_));
  now_ += milliseconds(300);
  BOOST_CHECK(feed_.Next(now_)->what == fleet_feed::call::kRange);
}

// Entries lapse while the store is away, and their owners write them again
// within two seconds of its return. Taking them for gone at once would empty
// the list of upstreams.
BOOST_AUTO_TEST_CASE(WhatIsMissingAfterAnOutageGetsSomeTime) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.Next(now_));
  feed_.OnFailed(now_);
  now_ += seconds(4);
  BOOST_REQUIRE(feed_.Next(now_));
  feed_.OnRange(9, now_);
  BOOST_CHECK(feed_.LapsedUntil() == now_ + milliseconds(2100));
  BOOST_TEST(feed_.IsInTouch());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
