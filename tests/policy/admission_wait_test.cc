#include "citron/policy/admission_wait.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const workspace_id kPenco("penco");
const monotonic_time kStart{FromSeconds(100)};
const monotonic_time kFar = kStart + FromSeconds(5);

request_id Id(int n) { return request_id(std::to_string(n)); }

// A small workspace's part of its burst is less than one token at each of many
// VMs. A planner in the morning sends one request and is refused although the
// workspace has hardly been used.
BOOST_AUTO_TEST_CASE(WaitingRequestIsLetInWhenATokenArrives) {
  admission_wait wait({});
  BOOST_TEST(wait.TryWait(kPenco, Id(1), true, kStart, kFar));
  BOOST_TEST(wait.TryWait(kPenco, Id(2), true, kStart, kFar));
  int tokens = 1;
  const auto admit = [&](const workspace_id&) { return tokens-- > 0; };
  const auto admitted = wait.TakeAdmitted(kPenco, admit);
  BOOST_REQUIRE(admitted.size() == 1u);
  BOOST_TEST(admitted[0].Str() == "1");
  BOOST_TEST(wait.Workspaces().size() == 1u);
}

// A workspace over its rate keeps asking. Nobody has anything to lend, and a
// caller that was held back would only learn later that it has to come back.
BOOST_AUTO_TEST_CASE(NothingWaitsInVain) {
  admission_wait wait({});
  BOOST_TEST(!wait.TryWait(kPenco, Id(1), false, kStart, kFar));
  BOOST_TEST(wait.Workspaces().empty());
}

BOOST_AUTO_TEST_CASE(OldestIsTakenFirst) {
  admission_wait wait({});
  wait.TryWait(kPenco, Id(1), true, kStart, kFar);
  wait.TryWait(kPenco, Id(2), true, kStart, kFar);
  BOOST_TEST(wait.TakeOldest(kPenco)->Str() == "1");
  BOOST_TEST(wait.TakeOldest(kPenco)->Str() == "2");
  BOOST_TEST(!wait.TakeOldest(kPenco).has_value());
}

BOOST_AUTO_TEST_CASE(NumberAndTimeAreBounded) {
  admission_wait_options options;
  options.max_waiting = 2;
  admission_wait wait(options);
  BOOST_TEST(wait.TryWait(kPenco, Id(1), true, kStart, kFar));
  const monotonic_time soon = kStart + FromMilliseconds(10);
  BOOST_TEST(wait.TryWait(kPenco, Id(2), true, kStart, soon));
  BOOST_TEST(!wait.TryWait(kPenco, Id(3), true, kStart, kFar));
  BOOST_TEST(wait.TakeExpired(kStart).empty());
  const auto early = wait.TakeExpired(soon);
  BOOST_REQUIRE(early.size() == 1u);
  BOOST_TEST(early[0].Str() == "2");
  const auto late = wait.TakeExpired(kStart + options.longest_wait);
  BOOST_REQUIRE(late.size() == 1u);
  BOOST_TEST(late[0].Str() == "1");
}

BOOST_AUTO_TEST_CASE(CallerThatHangsUpWaitsNoMore) {
  admission_wait wait({});
  wait.TryWait(kPenco, Id(1), true, kStart, kFar);
  wait.Remove(kPenco, Id(1));
  BOOST_TEST(wait.TakeExpired(kFar).empty());
}

}  // namespace
}  // namespace citron
