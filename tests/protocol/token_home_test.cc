#include "citron/protocol/token_home.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace {

using namespace citron;

const monotonic_time kStart{std::chrono::seconds(1000)};
const workspace_id kTiny("tiny");

monotonic_time After(double seconds) { return kStart + FromSeconds(seconds); }
entry_ref Entry(int i) { return {vm_id("vm" + std::to_string(i)), 0, 7}; }
const entry_ref kStranger{vm_id("stranger"), 0, 7};

// An entry with a tenth of the limits.
struct entry_under_test {
  explicit entry_under_test(int i, double burst = 4)
      : ref(Entry(i)), limits(kStart), homes(ref, limits, {}) {
    limits.SetShare({100'000, 0, kStart, After(10'000), 1}, 1, kStart);
    limits.SetContract(kTiny, burst, burst, kStart);
    homes.SetLive({Entry(0), Entry(1), Entry(2)});
  }
  // Lends it the whole contract.
  void BecomesRich() {
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
    home->BecomesRich();
  }
  token_ask Asked(monotonic_time now) const {
    const seek_result sought = other->homes.Seek(kTiny, now);
    const auto* ask = std::get_if<send_token_ask>(&sought);
    BOOST_REQUIRE(ask != nullptr);
    BOOST_TEST((ask->to == home->ref));
    return ask->message;
  }
  token_grants Answers(const token_ask& ask, monotonic_time now,
                       bool may_borrow = false) const {
    return home->homes.OnTokenAsk(home->limits, other->ref, ask, may_borrow,
                                  now);
  }
  bool Takes(const token_grant& grant, monotonic_time now) const {
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
  BOOST_TEST(std::holds_alternative<no_home>(rich.homes.Seek(kTiny, After(1))));
}

BOOST_AUTO_TEST_CASE(WorkspaceMovesOnlyWhenItsHomeGoes) {
  std::vector<entry_ref> left = {Entry(0), Entry(1), Entry(2)};
  std::erase(left, other->ref);
  other->homes.SetLive(left);
  BOOST_TEST((*other->homes.HomeOf(kTiny) == home->ref));
  other->homes.SetLive({other->ref});
  BOOST_TEST((other->homes.RoleOf(kTiny) == home_role::kSelf));
}

BOOST_AUTO_TEST_CASE(GrantedTokenIsUsedOnce) {
  const token_grants grants = Answers(Asked(After(1)), After(1.05));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].message.granted);
  BOOST_TEST(Takes(grants[0].message, After(1.1)));
  BOOST_TEST(!Takes(grants[0].message, After(1.1)));
  BOOST_TEST(other->homes.TakeSpare(kTiny, After(1.1)));
  BOOST_TEST(!other->homes.TakeSpare(kTiny, After(1.1)));
}

// A link that repeats messages brings an ask twice. The second must not get a
// token of its own: the workspace would find fewer than it pays for.
BOOST_AUTO_TEST_CASE(RepeatedAskGetsNoSecondToken) {
  const token_ask ask = Asked(After(1));
  BOOST_TEST(Answers(ask, After(1.05)).size() == 1u);
  BOOST_TEST(Answers(ask, After(1.06)).empty());
}

// The token of an answer that was stuck on the way is in the home's bucket
// again; used late it would be one more than the burst.
BOOST_AUTO_TEST_CASE(LateTokenIsLost) {
  const token_grants grants = Answers(Asked(After(1)), After(1.05));
  BOOST_TEST(!Takes(grants[0].message, After(1.2)));
  BOOST_TEST(!other->homes.TakeSpare(kTiny, After(1.2)));
}

BOOST_AUTO_TEST_CASE(SpareTokenServesTheNextRequestForAMoment) {
  const token_grants first = Answers(Asked(After(1)), After(1.05));
  BOOST_TEST(Takes(first[0].message, After(1.1)));
  BOOST_TEST(
      std::holds_alternative<admitted>(other->homes.Seek(kTiny, After(1.15))));
  const token_grants second = Answers(Asked(After(2)), After(2.05));
  BOOST_TEST(Takes(second[0].message, After(2.1)));
  BOOST_TEST(!other->homes.TakeSpare(kTiny, After(2.2)));
}

// All four tokens leave a home whose bucket refills while they are on their
// way. It must not hold a burst again before the last of them can be used.
BOOST_AUTO_TEST_CASE(TokensUnderWayTakeRoomAtTheHome) {
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(Answers(Asked(After(10)), After(10.05))[0].message.granted);
  }
  token_bucket& bucket = home->limits.Find(kTiny)->bucket;
  BOOST_TEST(bucket.TokensAt(After(10.24)) == 0.0);
  bucket.Advance(After(10.28));
  BOOST_TEST(bucket.Capacity() == 4.0);
}

// A caller that sends several times its rate would have each request carried
// to the home, from all VMs to one.
BOOST_AUTO_TEST_CASE(NoAskUntilTheRetryTimeOfARefusal) {
  for (int i = 0; i < 4; ++i) Answers(Asked(After(10)), After(10));
  const token_grants refused = Answers(Asked(After(10)), After(10));
  BOOST_TEST(!refused[0].message.granted);
  const auto result =
      other->homes.OnTokenGrant(home->ref, refused[0].message, After(10.05));
  const auto* over = std::get_if<over_rate>(&result);
  BOOST_REQUIRE(over != nullptr);
  const auto sought = other->homes.Seek(kTiny, After(10.1));
  const auto* still = std::get_if<over_rate>(&sought);
  BOOST_REQUIRE(still != nullptr);
  BOOST_TEST((still->retry_at == over->retry_at));
  Asked(over->retry_at);
}

BOOST_AUTO_TEST_CASE(AsksUnderWayAreBounded) {
  for (int i = 0; i < 16; ++i) Asked(After(1));
  BOOST_TEST(
      std::holds_alternative<over_rate>(other->homes.Seek(kTiny, After(1))));
  // Answers that never came don't count for ever.
  Asked(After(1.3));
}

BOOST_AUTO_TEST_CASE(AskWaitsForLoansAtTheHome) {
  token_bucket& bucket = home->limits.Find(kTiny)->bucket;
  bucket.SetPart({99, 100'000'000, After(1000)}, After(1));
  BOOST_TEST(Answers(Asked(After(1)), After(1.05), true).empty());
  BOOST_TEST(home->homes.ServeHeld(home->limits, After(1.06)).empty());
  bucket.SetPart({99, 900'000'000, After(1000)}, After(1.08));
  bucket.AddTokens(2, After(1.08));
  const token_grants grants = home->homes.ServeHeld(home->limits, After(1.08));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].message.granted);
}

// No loan comes: the one that asked must hear of it, not wait in vain.
BOOST_AUTO_TEST_CASE(HeldAskIsRefusedInTime) {
  home->limits.Find(kTiny)->bucket.RemovePart(99, After(1));
  BOOST_TEST(Answers(Asked(After(1)), After(1.02), true).empty());
  const token_grants grants = home->homes.ServeHeld(home->limits, After(1.09));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(!grants[0].message.granted);
  BOOST_TEST(grants[0].message.retry_ms > 0);
}

// A loan ends and its lender's bucket fills: tokens that left by that loan a
// moment before would be used beside it.
BOOST_AUTO_TEST_CASE(NoTokenOfALoanThatEndsBeforeItsUse) {
  home->limits.Find(kTiny)->bucket.SetPart({99, 900'000'000, After(10.1)},
                                           After(10));
  BOOST_TEST(!Answers(Asked(After(10)), After(10))[0].message.granted);
}

// An operator lowers the contract while tokens of the larger one are under
// way.
BOOST_AUTO_TEST_CASE(TokensOfALargerContractAreLost) {
  const token_ask ask = Asked(After(1));
  other->limits.SetContract(kTiny, 2, 2, After(1.01));
  const token_grants grants = Answers(ask, After(1.05));
  BOOST_TEST(!Takes(grants[0].message, After(1.1)));
}

BOOST_AUTO_TEST_CASE(ContractChangeForgetsWhatWasAsked) {
  const token_grants grants = Answers(Asked(After(1)), After(1.05));
  other->homes.OnContract(kTiny);
  BOOST_TEST(!Takes(grants[0].message, After(1.1)));
}

BOOST_AUTO_TEST_CASE(OnlyTheAskedOneGrants) {
  const token_grants grants = Answers(Asked(After(1)), After(1.05));
  BOOST_TEST(std::holds_alternative<grant_ignored>(
      other->homes.OnTokenGrant(kStranger, grants[0].message, After(1.1))));
}

BOOST_AUTO_TEST_CASE(UnknownWorkspaceIsRefused) {
  const token_grants grants = Answers({workspace_id("unknown"), 1}, After(1));
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(!grants[0].message.granted);
}

BOOST_AUTO_TEST_SUITE_END()
