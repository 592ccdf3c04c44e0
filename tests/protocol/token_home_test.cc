#include "citron/protocol/token_home.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace {

using citron::admission;
using citron::admitted;
using citron::entry_ref;
using citron::FromSeconds;
using citron::grant_ignored;
using citron::home_role;
using citron::monotonic_time;
using citron::no_remote_home;
using citron::over_rate;
using citron::send_token_request;
using citron::token_bucket;
using citron::token_grant;
using citron::token_grants;
using citron::token_home;
using citron::token_request;
using citron::token_search_result;
using citron::vm_id;
using citron::workspace_id;

const monotonic_time kStart{std::chrono::seconds(1000)};
const workspace_id kTiny("tiny");

monotonic_time After(double seconds) { return kStart + FromSeconds(seconds); }
entry_ref Entry(int i) { return {vm_id("vm" + std::to_string(i)), 0, 7}; }
const entry_ref kStranger{vm_id("stranger"), 0, 7};

// An entry with a tenth of each contract.
struct entry_under_test {
  explicit entry_under_test(int i, double burst = 4)
      : ref(Entry(i)), limits(kStart), homes(ref, limits, {}) {
    limits.SetShare({100'000, 0, kStart, After(10'000), 1}, 1, kStart);
    limits.SetContract(kTiny, burst, burst, kStart);
    homes.SetLive({Entry(0), Entry(1), Entry(2)});
  }
  // Adds a loan of the rest of the contract.
  void BorrowRestOfContract() {
    limits.Find(kTiny)->bucket.SetPart({99, 900'000'000, After(1000)}, kStart);
  }

  entry_ref ref;
  admission limits;
  token_home homes;
};

// The home with all tokens, and another entry.
struct pair_fixture {
  pair_fixture() {
    for (int i = 0; i < 3; ++i) {
      auto made = std::make_unique<entry_under_test>(i);
      const bool is_home = made->homes.RoleOf(kTiny) == home_role::kSelf;
      (is_home ? home : other) = std::move(made);
    }
    home->BorrowRestOfContract();
  }
  token_request RequestFromOther(monotonic_time now) const {
    const token_search_result search = other->homes.FindToken(kTiny, now);
    const auto* ask = std::get_if<send_token_request>(&search);
    BOOST_REQUIRE(ask != nullptr);
    BOOST_TEST((ask->to == home->ref));
    return ask->message;
  }
  token_grants ReplyOfHome(const token_request& ask, monotonic_time now,
                           bool may_borrow = false) const {
    return home->homes.OnTokenAsk(home->limits, other->ref, ask, may_borrow,
                                  now);
  }
  bool OtherAccepts(const token_grant& grant, monotonic_time now) const {
    return std::holds_alternative<admitted>(
        other->homes.OnTokenGrant(home->ref, grant, now));
  }

  std::unique_ptr<entry_under_test> home;
  std::unique_ptr<entry_under_test> other;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(token_home_suite, pair_fixture)

BOOST_AUTO_TEST_CASE(AllAgreeOnOneHome) {
  BOOST_TEST((*home->homes.HomeOf(kTiny) == home->ref));
  BOOST_TEST((*other->homes.HomeOf(kTiny) == home->ref));
}

BOOST_AUTO_TEST_CASE(LargeWorkspaceHasNoHome) {
  entry_under_test rich(0, 100);
  BOOST_TEST(rich.homes.HomeOf(kTiny) == nullptr);
  BOOST_TEST(std::holds_alternative<no_remote_home>(
      rich.homes.FindToken(kTiny, After(1))));
}

BOOST_AUTO_TEST_CASE(WorkspaceMovesOnlyWhenItsHomeLeaves) {
  std::vector<entry_ref> remaining = {Entry(0), Entry(1), Entry(2)};
  std::erase(remaining, other->ref);
  other->homes.SetLive(remaining);
  BOOST_TEST((*other->homes.HomeOf(kTiny) == home->ref));
  other->homes.SetLive({other->ref});
  BOOST_TEST((other->homes.RoleOf(kTiny) == home_role::kSelf));
}

BOOST_AUTO_TEST_CASE(GrantedTokenIsUsedOnce) {
  const token_grants grants =
      ReplyOfHome(RequestFromOther(After(1)), After(1.05));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].message.granted);
  BOOST_TEST(OtherAccepts(grants[0].message, After(1.1)));
  BOOST_TEST(!OtherAccepts(grants[0].message, After(1.1)));
  BOOST_TEST(other->homes.TakeReceivedToken(kTiny, After(1.1)));
  BOOST_TEST(!other->homes.TakeReceivedToken(kTiny, After(1.1)));
}

// A link that repeats messages delivers a token request twice. The second must
// not get a token of its own: the workspace would get fewer than it pays for.
BOOST_AUTO_TEST_CASE(RepeatedRequestGetsNoSecondToken) {
  const token_request ask = RequestFromOther(After(1));
  BOOST_TEST(ReplyOfHome(ask, After(1.05)).size() == 1u);
  BOOST_TEST(ReplyOfHome(ask, After(1.06)).empty());
}

// A reply arrives when its token has expired for the requester. The home's
// bucket gets the token's capacity back; used late, the token would be one more
// than the burst.
BOOST_AUTO_TEST_CASE(LateTokenIsLost) {
  const token_grants grants =
      ReplyOfHome(RequestFromOther(After(1)), After(1.05));
  BOOST_TEST(!OtherAccepts(grants[0].message, After(1.2)));
  BOOST_TEST(!other->homes.TakeReceivedToken(kTiny, After(1.2)));
}

BOOST_AUTO_TEST_CASE(SpareTokenServesTheNextRequestForAMoment) {
  const token_grants first =
      ReplyOfHome(RequestFromOther(After(1)), After(1.05));
  BOOST_TEST(OtherAccepts(first[0].message, After(1.1)));
  BOOST_TEST(std::holds_alternative<admitted>(
      other->homes.FindToken(kTiny, After(1.15))));
  const token_grants second =
      ReplyOfHome(RequestFromOther(After(2)), After(2.05));
  BOOST_TEST(OtherAccepts(second[0].message, After(2.1)));
  BOOST_TEST(!other->homes.TakeReceivedToken(kTiny, After(2.2)));
}

// All four tokens leave a home whose bucket refills while they are in flight.
// The bucket must not hold a burst again before the last token has expired.
BOOST_AUTO_TEST_CASE(TokensInFlightReduceCapacityOfTheHome) {
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(ReplyOfHome(RequestFromOther(After(10)), After(10.05))[0]
                   .message.granted);
  }
  token_bucket& bucket = home->limits.Find(kTiny)->bucket;
  BOOST_TEST(bucket.TokensAt(After(10.24)) == 0.0);
  bucket.Advance(After(10.28));
  BOOST_TEST(bucket.Capacity() == 4.0);
}

// Without a pause, each request of a caller that sends several times its rate
// would cost a message to the home, from all VMs to one.
BOOST_AUTO_TEST_CASE(NoRequestUntilTheRetryTimeOfARefusal) {
  for (int i = 0; i < 4; ++i)
    ReplyOfHome(RequestFromOther(After(10)), After(10));
  const token_grants refused =
      ReplyOfHome(RequestFromOther(After(10)), After(10));
  BOOST_TEST(!refused[0].message.granted);
  const auto result =
      other->homes.OnTokenGrant(home->ref, refused[0].message, After(10.05));
  const auto* over = std::get_if<over_rate>(&result);
  BOOST_REQUIRE(over != nullptr);
  const auto search = other->homes.FindToken(kTiny, After(10.1));
  const auto* still = std::get_if<over_rate>(&search);
  BOOST_REQUIRE(still != nullptr);
  BOOST_TEST((still->retry_at == over->retry_at));
  RequestFromOther(over->retry_at);
}

BOOST_AUTO_TEST_CASE(PendingRequestsAreBounded) {
  for (int i = 0; i < 16; ++i) RequestFromOther(After(1));
  BOOST_TEST(std::holds_alternative<over_rate>(
      other->homes.FindToken(kTiny, After(1))));
  // Token requests without a reply don't count forever.
  RequestFromOther(After(1.3));
}

BOOST_AUTO_TEST_CASE(RequestWaitsForLoansAtTheHome) {
  token_bucket& bucket = home->limits.Find(kTiny)->bucket;
  bucket.SetPart({99, 100'000'000, After(1000)}, After(1));
  BOOST_TEST(
      ReplyOfHome(RequestFromOther(After(1)), After(1.05), true).empty());
  BOOST_TEST(home->homes.AnswerHeldRequests(home->limits, After(1.06)).empty());
  bucket.SetPart({99, 900'000'000, After(1000)}, After(1.08));
  bucket.AddTokens(2, After(1.08));
  const token_grants grants =
      home->homes.AnswerHeldRequests(home->limits, After(1.08));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].message.granted);
}

// No loan comes: the requester must get a refusal and not wait in vain.
BOOST_AUTO_TEST_CASE(HeldRequestIsRefusedInTime) {
  home->limits.Find(kTiny)->bucket.RemovePart(99, After(1));
  BOOST_TEST(
      ReplyOfHome(RequestFromOther(After(1)), After(1.02), true).empty());
  const token_grants grants =
      home->homes.AnswerHeldRequests(home->limits, After(1.09));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(!grants[0].message.granted);
  BOOST_TEST(grants[0].message.retry_ms > 0);
}

// A loan ends and its lender's bucket fills: tokens that were granted from that
// loan a moment before would be used in addition.
BOOST_AUTO_TEST_CASE(NoTokenOfALoanThatEndsBeforeItsUse) {
  home->limits.Find(kTiny)->bucket.SetPart({99, 900'000'000, After(10.1)},
                                           After(10));
  BOOST_TEST(
      !ReplyOfHome(RequestFromOther(After(10)), After(10))[0].message.granted);
}

// An operator lowers the contract while tokens of the larger one are in flight.
BOOST_AUTO_TEST_CASE(TokensOfALargerContractAreLost) {
  const token_request ask = RequestFromOther(After(1));
  other->limits.SetContract(kTiny, 2, 2, After(1.01));
  const token_grants grants = ReplyOfHome(ask, After(1.05));
  BOOST_TEST(!OtherAccepts(grants[0].message, After(1.1)));
}

BOOST_AUTO_TEST_CASE(ContractChangeDropsPendingRequests) {
  const token_grants grants =
      ReplyOfHome(RequestFromOther(After(1)), After(1.05));
  other->homes.OnContractChanged(kTiny);
  BOOST_TEST(!OtherAccepts(grants[0].message, After(1.1)));
}

BOOST_AUTO_TEST_CASE(OnlyTheRequestedHomeGrants) {
  const token_grants grants =
      ReplyOfHome(RequestFromOther(After(1)), After(1.05));
  BOOST_TEST(std::holds_alternative<grant_ignored>(
      other->homes.OnTokenGrant(kStranger, grants[0].message, After(1.1))));
}

BOOST_AUTO_TEST_CASE(UnknownWorkspaceIsRefused) {
  const token_grants grants =
      ReplyOfHome({workspace_id("unknown"), 1}, After(1));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(!grants[0].message.granted);
}

BOOST_AUTO_TEST_SUITE_END()
