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

// Another VM held the question for half a second; its own copy was proved 300
// ms before it answered. Whatever the answer's way took, this copy is proved
// to that moment and no later: a withdrawn key must not live on by a slow way.
BOOST_AUTO_TEST_CASE(ARelayedAnswerProvesWhatTheOtherVmHadProved) {
  ReadCopy(5);
  now_ += seconds(1);
  const monotonic_time asked = now_;
  const auto order = feed_.Next(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(order->relayed);
  BOOST_TEST(order->after == 5u);
  now_ += seconds(7);
  feed_.OnRelayed(9, milliseconds(500), milliseconds(300), {}, now_);
  BOOST_CHECK(feed_.ProvenAt() == asked + milliseconds(200));
  BOOST_TEST(feed_.Revision() == 9u);
}

// An answer by an older proof than one that is at hand takes nothing back.
BOOST_AUTO_TEST_CASE(AnOldProofDoesNotReplaceANewerOne) {
  ReadCopy(5);
  const monotonic_time proven = *feed_.ProvenAt();
  now_ += milliseconds(400);
  BOOST_REQUIRE(feed_.Next(now_, true));
  feed_.OnRelayed(5, {}, seconds(3), {}, now_);
  BOOST_CHECK(feed_.ProvenAt() == proven);
}

BOOST_AUTO_TEST_CASE(WithoutACopyOnlyTheStoreHelps) {
  auto order = feed_.Next(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(!order->relayed);
  BOOST_CHECK(order->what == fleet_feed::call::kRange);
  feed_.OnRange(5, now_);
  now_ += seconds(1);
  BOOST_TEST(feed_.Next(now_, true)->relayed);
  feed_.OnCompacted(now_);
  order = feed_.Next(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(!order->relayed);
}

// The store can't be reached from here, but another VM reaches it. What it says
// adds to the copy that is there.
BOOST_AUTO_TEST_CASE(AnotherVmHelpsWhileTheStoreIsLost) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.Next(now_));
  feed_.OnFailed(now_);
  now_ += seconds(1);
  const auto order = feed_.Next(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(order->relayed);
  feed_.OnRelayed(7, {}, {}, {}, now_);
  BOOST_TEST(feed_.IsInTouch());
  BOOST_TEST(feed_.Revision() == 7u);
}

// The next one is asked at once: the proof grows older meanwhile.
BOOST_AUTO_TEST_CASE(AFailedRelayCostsNoWait) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.Next(now_, true));
  feed_.OnRelayFailed(now_);
  BOOST_TEST(feed_.Next(now_, true).has_value());
}

// What the other VM holds for lapsed in an outage is kept here as long.
BOOST_AUTO_TEST_CASE(ARelayedOutageKeepsWhatIsMissing) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.Next(now_, true));
  feed_.OnRelayed(7, {}, {}, milliseconds(1500), now_);
  BOOST_CHECK(feed_.LapsedUntil() == now_ + milliseconds(1500));
}

// Nothing changes anywhere. The copies of VMs that ask others must be proved
// young enough for them to be ready, through two VMs between them and the
// store.
BOOST_AUTO_TEST_CASE(ProofsStayYoungThroughTwoVms) {
  fleet_feed feeds[3] = {fleet_feed(feed_options{}), fleet_feed(feed_options{}),
                         fleet_feed(feed_options{})};
  feeds[0].SetShared(true);
  for (fleet_feed& feed : feeds) {
    BOOST_REQUIRE(feed.Next(now_));
    feed.OnRange(5, now_);
  }
  struct under_way {
    bool is_there = false;
    monotonic_time sent{};
    duration wait{};
  };
  under_way calls[3];
  duration oldest{};
  for (int step = 0; step < 2000; ++step) {
    now_ += milliseconds(10);
    for (int i = 0; i < 3; ++i) {
      under_way& call = calls[i];
      if (call.is_there && now_ >= call.sent + call.wait) {
        call.is_there = false;
        if (i == 0) {
          feeds[0].OnEvents(5, false, now_);
        } else {
          feeds[i].OnRelayed(5, call.wait, now_ - *feeds[i - 1].ProvenAt(), {},
                             now_);
        }
      }
      const auto order = feeds[i].Next(now_, i > 0);
      if (order) call = {true, now_, order->wait};
      oldest = std::max(oldest, now_ - *feeds[i].ProvenAt());
    }
  }
  // A VM is ready up to three seconds; the rest is for ways and ticks.
  BOOST_TEST(ToSeconds(oldest) < 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
