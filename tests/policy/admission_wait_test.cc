#include "citron/policy/admission_wait.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const workspace_id kPenco("penco");
const monotonic_time kStart{FromSeconds(100)};
// A deadline after the end of each wait.
const monotonic_time kFar = kStart + FromSeconds(5);

constexpr token_prospects kMayBorrow{true, std::nullopt, 0};
constexpr token_prospects kNoTokenExpected{false, std::nullopt, 0};

wait_ticket Id(int n) { return wait_ticket(n); }
int NumberOf(wait_ticket ticket) { return static_cast<int>(ticket); }

// Guards against the rejection of a single request of a small, idle workspace:
// with many VMs each VM's share of the burst is less than one token.
BOOST_AUTO_TEST_CASE(WaitingRequestIsAdmittedWhenATokenArrives) {
  admission_wait wait({});
  BOOST_TEST(wait.TryWait(kPenco, Id(1), kMayBorrow, kStart, kFar));
  BOOST_TEST(wait.TryWait(kPenco, Id(2), kMayBorrow, kStart, kFar));
  int tokens = 1;
  const auto admit = [&] { return tokens-- > 0; };
  const auto admitted = wait.TakeAdmitted(kPenco, admit);
  BOOST_REQUIRE(admitted.size() == 1u);
  BOOST_TEST(NumberOf(admitted[0]) == 1);
  BOOST_TEST(wait.WaitingWorkspaces().size() == 1u);
}

// Guards against a needless wait: a workspace over its rate keeps sending and
// no entry has tokens to lend, so a wait would only delay the rejection.
BOOST_AUTO_TEST_CASE(NothingWaitsWithoutAnExpectedToken) {
  admission_wait wait({});
  BOOST_TEST(!wait.TryWait(kPenco, Id(1), kNoTokenExpected, kStart, kFar));
  BOOST_TEST(wait.WaitingWorkspaces().empty());
}

// Guards against a rejection that asks for a retry after 0 ms: the bucket of a
// VM that has just started is empty, but at a thousand tokens a second the next
// token arrives before the caller would read the rejection.
BOOST_AUTO_TEST_CASE(RequestWaitsForTheNextTokenOfTheLocalRate) {
  admission_wait wait({});
  const monotonic_time soon = kStart + FromMilliseconds(1);
  BOOST_TEST(wait.TryWait(kPenco, Id(1), {false, soon, 1000}, kStart, kFar));
  BOOST_TEST((wait.NextTokenAt(kStart) == soon));
  BOOST_TEST(!wait.NextTokenAt(soon).has_value());
}

// Guards against callers of a VM that has just started being rejected within
// their contract until the VM's share begins.
BOOST_AUTO_TEST_CASE(RequestWaitsForTheShareOfAStartedEntry) {
  admission_wait wait({});
  const monotonic_time begins = kStart + FromSeconds(2);
  const monotonic_time token = begins + FromMilliseconds(1);
  const token_prospects starting{false, token, 1000, begins};
  BOOST_TEST(wait.TryWait(kPenco, Id(1), starting, kStart, kFar));
  BOOST_TEST(wait.TakeExpired(token).empty());
  BOOST_TEST(wait.TakeExpired(begins + FromMilliseconds(150)).size() == 1u);
}

// Guards against a request that waits until its deadline for a share that
// begins after the deadline.
BOOST_AUTO_TEST_CASE(NothingWaitsForAShareThatBeginsAfterItsDeadline) {
  admission_wait wait({});
  const monotonic_time begins = kStart + FromSeconds(2);
  const monotonic_time deadline = kStart + FromSeconds(1);
  BOOST_TEST(!wait.TryWait(kPenco, Id(1), {false, begins, 1000, begins}, kStart,
                           deadline));
  BOOST_TEST(wait.TryWait(kPenco, Id(2), {true, begins, 1000, begins}, kStart,
                          deadline));
  BOOST_TEST(wait.TakeExpired(kStart + FromMilliseconds(150)).size() == 1u);
}

// A token that arrives at the end of the longest wait or at the caller's
// deadline is too late, and a request whose deadline has come doesn't wait.
BOOST_AUTO_TEST_CASE(NothingWaitsForATokenThatComesTooLate) {
  admission_wait wait({});
  const monotonic_time late = kStart + FromMilliseconds(150);
  BOOST_TEST(!wait.TryWait(kPenco, Id(1), {false, late, 5}, kStart, kFar));
  const monotonic_time soon = kStart + FromMilliseconds(20);
  BOOST_TEST(!wait.TryWait(kPenco, Id(1), {false, soon, 50}, kStart, soon));
  BOOST_TEST(!wait.TryWait(kPenco, Id(1), kMayBorrow, kStart, kStart));
}

// The demand of a large workspace has moved to this entry and its loans are in
// flight. As many requests wait as the contract admits in the meantime, and no
// more.
BOOST_AUTO_TEST_CASE(AsManyWaitAsTheContractAdmitsDuringTheWait) {
  admission_wait wait({});
  const token_prospects large{true, std::nullopt, 400};
  int waiting = 0;
  while (wait.TryWait(kPenco, Id(waiting + 1), large, kStart, kFar)) ++waiting;
  BOOST_TEST(waiting == 60);
}

BOOST_AUTO_TEST_CASE(OldestIsTakenFirst) {
  admission_wait wait({});
  wait.TryWait(kPenco, Id(1), kMayBorrow, kStart, kFar);
  wait.TryWait(kPenco, Id(2), kMayBorrow, kStart, kFar);
  BOOST_TEST(NumberOf(*wait.TakeOldest(kPenco)) == 1);
  BOOST_TEST(NumberOf(*wait.TakeOldest(kPenco)) == 2);
  BOOST_TEST(!wait.TakeOldest(kPenco).has_value());
}

BOOST_AUTO_TEST_CASE(NumberAndTimeAreBounded) {
  admission_wait_options options;
  options.min_waiting_limit = 2;
  admission_wait wait(options);
  BOOST_TEST(wait.TryWait(kPenco, Id(1), kMayBorrow, kStart, kFar));
  const monotonic_time soon = kStart + FromMilliseconds(10);
  BOOST_TEST(wait.TryWait(kPenco, Id(2), kMayBorrow, kStart, soon));
  BOOST_TEST(!wait.TryWait(kPenco, Id(3), kMayBorrow, kStart, kFar));
  BOOST_TEST(wait.TakeExpired(kStart).empty());
  const auto early = wait.TakeExpired(soon);
  BOOST_REQUIRE(early.size() == 1u);
  BOOST_TEST(NumberOf(early[0]) == 2);
  const auto late = wait.TakeExpired(kStart + options.longest_wait);
  BOOST_REQUIRE(late.size() == 1u);
  BOOST_TEST(NumberOf(late[0]) == 1);
}

BOOST_AUTO_TEST_CASE(RemovedRequestWaitsNoMore) {
  admission_wait wait({});
  wait.TryWait(kPenco, Id(1), kMayBorrow, kStart, kFar);
  wait.Remove(kPenco, Id(1));
  BOOST_TEST(wait.TakeExpired(kFar).empty());
}

}  // namespace
}  // namespace citron
