#include "citron/protocol/fleet_feed.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class feed_fixture {
 public:
  feed_fixture() : feed_(feed_options{}) {}

  // Reads a first full copy without delay.
  void ReadCopy(std::uint64_t revision) {
    BOOST_REQUIRE(feed_.NextCall(now_).has_value());
    feed_.OnRange(revision, now_);
  }

  monotonic_time now_{std::chrono::hours(1)};
  fleet_feed feed_;
};

BOOST_FIXTURE_TEST_SUITE(feed, feed_fixture)

BOOST_AUTO_TEST_CASE(StartsWithAFullCopyThenWatches) {
  BOOST_CHECK(feed_.NextCall(now_)->what == fleet_feed::call::kRange);
  BOOST_CHECK(!feed_.NextCall(now_));
  feed_.OnRange(41, now_);
  BOOST_CHECK(!feed_.NextCall(now_));
  now_ += seconds(1);
  const auto order = feed_.NextCall(now_);
  BOOST_REQUIRE(order);
  BOOST_CHECK(order->what == fleet_feed::call::kWatch);
  BOOST_TEST(order->after == 41u);
}

// An operator makes sixteen changes a second, so each call returns a change at
// once. Each VM must receive them in time without a call for each change.
BOOST_AUTO_TEST_CASE(ManyChangesAreFetchedTogether) {
  ReadCopy(1);
  std::uint64_t calls = 0;
  for (int ms = 0; ms < 6000; ms += 10) {
    now_ += milliseconds(10);
    if (!feed_.NextCall(now_)) continue;
    ++calls;
    feed_.OnEvents(calls + 1, true, now_);
  }
  BOOST_TEST(calls >= 19u);
  BOOST_TEST(calls <= 20u);
}

// The store held the watch for its whole wait. The local copy was certainly
// current at the end of the wait, even if the VM was frozen before it read the
// answer, but isn't certainly current now.
BOOST_AUTO_TEST_CASE(AnEmptyAnswerProvesTheEndOfItsWait) {
  ReadCopy(5);
  now_ += milliseconds(300);
  const monotonic_time sent = now_;
  const auto order = feed_.NextCall(now_);
  BOOST_REQUIRE(order);
  now_ += seconds(9);
  feed_.OnEvents(5, false, now_);
  BOOST_CHECK(feed_.ProvenAt() == sent + order->wait);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithChangesProvesOnlyItsStart) {
  ReadCopy(5);
  now_ += seconds(1);
  const monotonic_time sent = now_;
  BOOST_REQUIRE(feed_.NextCall(now_));
  now_ += milliseconds(1500);
  feed_.OnEvents(6, true, now_);
  BOOST_CHECK(feed_.ProvenAt() == sent);
}

// A fleet of 60 VMs, five times the small fleet. The calls of all VMs together
// are paid for, so each VM must call less often.
BOOST_AUTO_TEST_CASE(ALargerFleetCallsLessOften) {
  ReadCopy(1);
  feed_.SetFleetSize(60);
  now_ += seconds(1);
  std::uint64_t calls = 0;
  for (int ms = 0; ms < 11000; ms += 10) {
    now_ += milliseconds(10);
    if (!feed_.NextCall(now_)) continue;
    ++calls;
    feed_.OnEvents(calls + 1, true, now_);
  }
  BOOST_TEST(calls == 10u);
}

// A late answer proves only the state at the time of the request. A VM that
// counted from the answer would admit withdrawn keys for longer.
BOOST_AUTO_TEST_CASE(TheProofCountsFromTheRequest) {
  BOOST_REQUIRE(feed_.NextCall(now_));
  const monotonic_time sent = now_;
  now_ += milliseconds(900);
  feed_.OnRange(5, now_);
  BOOST_CHECK(feed_.ProvenAt() == sent);
  BOOST_TEST(feed_.IsProvenWithin(seconds(3), sent + milliseconds(2999)));
  BOOST_TEST(!feed_.IsProvenWithin(seconds(3), sent + seconds(3)));
}

// Changes come just before watches would have ended. A VM whose proof grew
// older with each of them would report itself not ready, and so would all other
// VMs at the same moment.
BOOST_AUTO_TEST_CASE(ChangesDoNotAgeTheProof) {
  ReadCopy(5);
  for (std::uint64_t i = 0; i < 20; ++i) {
    now_ = std::max(now_, feed_.NextAt());
    const auto order = feed_.NextCall(now_);
    BOOST_REQUIRE(order);
    const bool change = i % 3 != 2;
    now_ += change ? order->wait - milliseconds(10) : order->wait;
    BOOST_TEST(feed_.IsProvenWithin(milliseconds(2701), now_));
    feed_.OnEvents(6 + i, change, now_);
  }
}

// The store compacts its history while changes are made. A watch from the old
// revision would miss these changes for ever.
BOOST_AUTO_TEST_CASE(ACompactedHistoryIsReadAgainAtOnce) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.NextCall(now_));
  feed_.OnCompacted(now_);
  const auto order = feed_.NextCall(now_);
  BOOST_REQUIRE(order);
  BOOST_CHECK(order->what == fleet_feed::call::kRange);
}

// A watch that breaks off may have missed the changes just before.
BOOST_AUTO_TEST_CASE(AFailureForcesAFullCopy) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.NextCall(now_));
  feed_.OnFailed(now_);
  BOOST_TEST(!feed_.IsConnected());
  BOOST_CHECK(!feed_.NextCall(now_));
  now_ += milliseconds(300);
  BOOST_CHECK(feed_.NextCall(now_)->what == fleet_feed::call::kRange);
}

// Entries expire while the store is unreachable, and their owners write them
// again within two seconds of its return. Dropping the entries at once would
// empty the list of upstreams.
BOOST_AUTO_TEST_CASE(MissingEntriesGetAGraceAfterAnOutage) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.NextCall(now_));
  feed_.OnFailed(now_);
  now_ += seconds(4);
  BOOST_REQUIRE(feed_.StartRefresh(now_).has_value());
  feed_.OnRefreshed(9, now_, now_);
  BOOST_CHECK(feed_.ExpiryGraceUntil() == now_ + milliseconds(2100));
  BOOST_TEST(feed_.IsConnected());
}

// Another VM held the request for half a second, and its copy was proved 300 ms
// before it answered. Whatever the network delay of the answer, the local copy
// is proved up to that moment and no later: a slow network path must not keep a
// withdrawn key valid.
BOOST_AUTO_TEST_CASE(ARelayedAnswerProvesWhatTheOtherVmHadProved) {
  ReadCopy(5);
  now_ += seconds(1);
  const monotonic_time sent = now_;
  const auto order = feed_.NextCall(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(order->relayed);
  BOOST_TEST(order->after == 5u);
  now_ += seconds(7);
  feed_.OnRelayed(9, milliseconds(500), milliseconds(300), {}, now_);
  BOOST_CHECK(feed_.ProvenAt() == sent + milliseconds(200));
  BOOST_TEST(feed_.Revision() == 9u);
}

// An answer with an older proof than the local one must not lower it.
BOOST_AUTO_TEST_CASE(AnOldProofDoesNotReplaceANewerOne) {
  ReadCopy(5);
  const monotonic_time proven = *feed_.ProvenAt();
  now_ += milliseconds(400);
  BOOST_REQUIRE(feed_.NextCall(now_, true));
  feed_.OnRelayed(5, {}, seconds(3), {}, now_);
  BOOST_CHECK(feed_.ProvenAt() == proven);
}

BOOST_AUTO_TEST_CASE(WithoutACopyOnlyTheStoreIsRead) {
  auto order = feed_.NextCall(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(!order->relayed);
  BOOST_CHECK(order->what == fleet_feed::call::kRange);
  feed_.OnRange(5, now_);
  now_ += seconds(1);
  BOOST_TEST(feed_.NextCall(now_, true)->relayed);
  feed_.OnCompacted(now_);
  order = feed_.NextCall(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(!order->relayed);
}

// The store is unreachable from this VM, but another VM reaches it. Answers of
// that VM add to the local copy.
BOOST_AUTO_TEST_CASE(RelayedAnswersReplaceAnUnreachableStore) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.NextCall(now_));
  feed_.OnFailed(now_);
  now_ += seconds(1);
  const auto order = feed_.NextCall(now_, true);
  BOOST_REQUIRE(order);
  BOOST_TEST(order->relayed);
  feed_.OnRelayed(7, {}, {}, {}, now_);
  BOOST_TEST(feed_.IsConnected());
  BOOST_TEST(feed_.Revision() == 7u);
}

// The next VM gets a request at once, since the proof ages meanwhile.
BOOST_AUTO_TEST_CASE(AFailedRelayCostsNoWait) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.NextCall(now_, true));
  feed_.OnRelayFailed(now_);
  BOOST_TEST(feed_.NextCall(now_, true).has_value());
}

// Entries that may only have expired in an outage at the other VM are kept for
// the same time.
BOOST_AUTO_TEST_CASE(ARelayedOutageKeepsMissingEntries) {
  ReadCopy(5);
  now_ += seconds(1);
  BOOST_REQUIRE(feed_.NextCall(now_, true));
  feed_.OnRelayed(7, {}, {}, milliseconds(1500), now_);
  BOOST_CHECK(feed_.ExpiryGraceUntil() == now_ + milliseconds(1500));
}

// Nothing changes in the store. VMs that read from other VMs need proofs that
// are young enough for readiness, through two VMs before the store.
BOOST_AUTO_TEST_CASE(ProofsStayYoungAcrossTwoRelays) {
  fleet_feed feeds[3] = {fleet_feed(feed_options{}), fleet_feed(feed_options{}),
                         fleet_feed(feed_options{})};
  feeds[0].SetServesOthers(true);
  for (fleet_feed& feed : feeds) {
    BOOST_REQUIRE(feed.NextCall(now_));
    feed.OnRange(5, now_);
  }
  struct pending_call {
    bool in_flight = false;
    monotonic_time sent{};
    duration wait{};
  };
  pending_call calls[3];
  duration oldest{};
  for (int step = 0; step < 2000; ++step) {
    now_ += milliseconds(10);
    for (int i = 0; i < 3; ++i) {
      pending_call& call = calls[i];
      if (call.in_flight && now_ >= call.sent + call.wait) {
        call.in_flight = false;
        if (i == 0) {
          feeds[0].OnEvents(5, false, now_);
        } else {
          feeds[i].OnRelayed(5, call.wait, now_ - *feeds[i - 1].ProvenAt(), {},
                             now_);
        }
      }
      const auto order = feeds[i].NextCall(now_, i > 0);
      if (order) call = {true, now_, order->wait};
      oldest = std::max(oldest, now_ - *feeds[i].ProvenAt());
    }
  }
  // A VM is ready with proofs of up to three seconds; the rest is left for
  // network delays and ticks.
  BOOST_TEST(ToSeconds(oldest) < 2.5);
}

// Guards against a watch that goes silent: the store is read by a second call
// before the bound of 2.5 s, and again while that isn't answered.
BOOST_AUTO_TEST_CASE(ASilentCallIsNotWaitedFor) {
  ReadCopy(5);
  const monotonic_time proven = *feed_.ProvenAt();
  now_ += milliseconds(300);
  BOOST_REQUIRE(feed_.NextCall(now_));
  std::vector<monotonic_time> starts;
  while (now_ < proven + milliseconds(2500)) {
    if (feed_.StartRefresh(now_)) starts.push_back(now_);
    now_ += milliseconds(10);
  }
  BOOST_REQUIRE(starts.size() == 3u);
  feed_.OnRefreshFailed(starts[0]);
  feed_.OnRefreshed(9, starts[1], now_);
  BOOST_CHECK(feed_.ProvenAt() == starts[1]);
  BOOST_TEST(feed_.Revision() == 9u);
  // The watch that began before says no more when it breaks off.
  feed_.OnFailed(now_);
  BOOST_TEST(feed_.IsConnected());
  BOOST_CHECK(feed_.NextCall(now_)->what == fleet_feed::call::kWatch);
}

// The VM that others read from reads the store before each of them does.
BOOST_AUTO_TEST_CASE(ASourceIsRefreshedBeforeItsReaders) {
  fleet_feed reader(feed_options{});
  BOOST_REQUIRE(reader.NextCall(now_));
  reader.OnRange(5, now_);
  ReadCopy(5);
  feed_.SetServesOthers(true);
  now_ += milliseconds(1200);
  BOOST_TEST(feed_.StartRefresh(now_).has_value());
  BOOST_TEST(!reader.StartRefresh(now_).has_value());
  now_ += milliseconds(400);
  BOOST_TEST(reader.StartRefresh(now_).has_value());
}

// The store takes long for each answer. Watches wait less, so that the copy
// isn't refreshed all the time.
BOOST_AUTO_TEST_CASE(ASlowStoreNeedsNoRefresh) {
  feed_.SetServesOthers(true);
  const duration delay = milliseconds(330);
  BOOST_REQUIRE(feed_.NextCall(now_));
  now_ += delay;
  feed_.OnRange(5, now_);
  for (int i = 0; i < 20; ++i) {
    now_ = std::max(now_, feed_.NextAt());
    const auto order = feed_.NextCall(now_);
    BOOST_REQUIRE(order);
    now_ += order->wait + delay;
    BOOST_CHECK(feed_.StartRefresh(now_) !=
                fleet_feed::refresh_reason::kOldProof);
    feed_.OnEvents(5, false, now_);
  }
}

// Guards against a change that no watch tells and that is missed for good.
BOOST_AUTO_TEST_CASE(AFullCopyIsReadNowAndThen) {
  ReadCopy(5);
  int copies = 0;
  const monotonic_time end = now_ + seconds(60);
  while (now_ < end) {
    now_ = std::max(now_, feed_.NextAt());
    const auto order = feed_.NextCall(now_);
    BOOST_REQUIRE(order);
    now_ += order->wait + milliseconds(5);
    if (feed_.StartRefresh(now_) == fleet_feed::refresh_reason::kAudit) {
      ++copies;
      feed_.OnRefreshed(5, now_, now_);
    }
    feed_.OnEvents(5, false, now_);
  }
  BOOST_TEST(copies == 5);
}

// Guards against a VM that reads all twice when it starts.
BOOST_AUTO_TEST_CASE(TheFirstCopyIsNoAudit) {
  BOOST_REQUIRE(feed_.NextCall(now_));
  BOOST_TEST(!feed_.StartRefresh(now_).has_value());
  now_ += seconds(1);
  BOOST_TEST(!feed_.StartRefresh(now_).has_value());
}

// A VM that reads through another one leaves the audit to that VM.
BOOST_AUTO_TEST_CASE(AReaderOfAnotherVmMakesNoAudits) {
  ReadCopy(5);
  for (int i = 0; i < 100; ++i) {
    now_ = std::max(now_, feed_.NextAt());
    const auto order = feed_.NextCall(now_, true);
    BOOST_REQUIRE(order);
    now_ += milliseconds(500);
    BOOST_TEST(!feed_.StartRefresh(now_).has_value());
    feed_.OnRelayed(5, milliseconds(500), milliseconds(100), {}, now_);
  }
}

BOOST_AUTO_TEST_CASE(AllWaitsAreScaledToTheBound) {
  const feed_options six = feed_options::ForBound(seconds(6));
  BOOST_TEST(ToSeconds(six.refresh_age) < 6 - 3 * 0.4);
  BOOST_TEST(ToSeconds(six.watch_wait) > 1.5);
  const feed_options one = feed_options::ForBound(seconds(1));
  BOOST_TEST(ToSeconds(one.refresh_age) < 0.7);
  BOOST_TEST(ToSeconds(one.watch_wait) < ToSeconds(one.refresh_age));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
