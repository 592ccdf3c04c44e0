#include "citron/protocol/rate_limiter.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace citron {
namespace {

const workspace_id kDepot("depot");
const entry_ref kSelf{vm_id("a"), 0, 1};
const entry_ref kOther{vm_id("b"), 0, 2};
const monotonic_time kStart{FromSeconds(100)};

template <class T>
std::vector<T> Only(const limit_actions& actions) {
  std::vector<T> found;
  for (const limit_action& action : actions) {
    if (const T* one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}

// An entry with the whole of a contract of 100 requests a second, just when its
// share begins and its bucket is empty.
class limiter_fixture {
 public:
  limiter_fixture() : limiter_(kSelf, Options(), 1, kStart) {
    limiter_.SetContract(kDepot, {100, 50}, kStart);
    const monotonic_time far = kStart + std::chrono::hours(1);
    limiter_.SetShare({kWholePpm, 0, far, far, 1}, 1, kStart);
    now_ = kStart + Options().loan.SettleTime();
    limiter_.OnTimer(now_);
  }

  static rate_limiter_options Options() {
    rate_limiter_options options;
    options.has_homes = false;
    return options;
  }
  rate_limiter& Limiter() { return limiter_; }
  monotonic_time Now() const { return now_; }
  void Pass(double ms) { now_ += FromMilliseconds(ms); }

  limit_decision Ask(limit_actions& actions) {
    return limiter_.OnRequest(kDepot, now_ + FromSeconds(1), now_, actions);
  }
  limit_decision Ask() {
    limit_actions ignored;
    return Ask(ignored);
  }

 private:
  rate_limiter limiter_;
  monotonic_time now_;
};

BOOST_FIXTURE_TEST_SUITE(rate_limiter_cases, limiter_fixture)

// A VM has just begun to use its share. A request finds the bucket empty for
// the moment and was refused with the advice to come back after 0 ms, though
// its workspace was far inside its rate.
BOOST_AUTO_TEST_CASE(EmptyBucketLetsInWithItsNextToken) {
  const limit_decision decision = Ask();
  const auto* awaited = std::get_if<token_awaited>(&decision);
  BOOST_REQUIRE(awaited != nullptr);
  const auto next = Limiter().NextTokenAt(Now());
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((*next <= Now() + FromMilliseconds(11)));
  BOOST_TEST(Limiter().OnTokenTime(*next - FromMilliseconds(1)).empty());
  const auto in = Only<let_in>(Limiter().OnTokenTime(*next));
  BOOST_REQUIRE(in.size() == 1u);
  BOOST_TEST((in[0].ticket == awaited->ticket));
}

// Requests come faster than the rate. If a new one took the token for which an
// older one waits, the older would be refused at the end of its wait, and under
// steady demand every one that waits would.
BOOST_AUTO_TEST_CASE(NewcomerTakesNoTokenOfThoseWhoWait) {
  const limit_decision first = Ask();
  BOOST_REQUIRE(std::holds_alternative<token_awaited>(first));
  Pass(11);
  limit_actions actions;
  const limit_decision second = Ask(actions);
  const auto in = Only<let_in>(actions);
  BOOST_REQUIRE(in.size() == 1u);
  BOOST_TEST((in[0].ticket == std::get<token_awaited>(first).ticket));
  BOOST_TEST(std::holds_alternative<token_awaited>(second));
}

// A workspace sends ten times its rate. Those for whom the rate makes a token
// in time wait for it, all others are told at once when to come back; nobody
// is held back for a refusal.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedAtOnce) {
  constexpr int kSeconds = 5;
  int refused_late = 0;
  int let_in_late = 0;
  int refused_at_once = 0;
  for (int ms = 0; ms < 1000 * kSeconds; ++ms) {
    Pass(1);
    limit_actions actions;
    const limit_decision decision = Ask(actions);
    const auto* over = std::get_if<over_rate>(&decision);
    if (over != nullptr) {
      ++refused_at_once;
      BOOST_TEST((over->retry_at > Now()));
    }
    const limit_actions more =
        ms % 50 == 0 ? Limiter().OnTimer(Now()) : Limiter().OnTokenTime(Now());
    actions.insert(actions.end(), more.begin(), more.end());
    let_in_late += static_cast<int>(Only<let_in>(actions).size());
    refused_late += static_cast<int>(Only<turn_away>(actions).size());
  }
  BOOST_TEST(refused_late == 0);
  BOOST_TEST(let_in_late >= 100 * kSeconds - 20);
  BOOST_TEST(let_in_late <= 100 * kSeconds);
  BOOST_TEST(refused_at_once >= 900 * kSeconds - 20);
}

// The caller hangs up while its request waits; the token is for the next.
BOOST_AUTO_TEST_CASE(CallerThatHangsUpWaitsNoMore) {
  const limit_decision first = Ask();
  const limit_decision second = Ask();
  Limiter().OnCancel(kDepot, std::get<token_awaited>(first).ticket);
  Pass(11);
  const auto in = Only<let_in>(Limiter().OnTimer(Now()));
  BOOST_REQUIRE(in.size() == 1u);
  BOOST_TEST((in[0].ticket == std::get<token_awaited>(second).ticket));
}

// An operator deletes a contract while its callers go on sending.
BOOST_AUTO_TEST_CASE(WithoutContractNothingIsLetIn) {
  const limit_decision waiting = Ask();
  BOOST_REQUIRE(std::holds_alternative<token_awaited>(waiting));
  Limiter().SetContracts({}, Now());
  BOOST_TEST(std::holds_alternative<over_rate>(Ask()));
  Pass(200);
  const limit_actions actions = Limiter().OnTimer(Now());
  BOOST_TEST(Only<let_in>(actions).empty());
  BOOST_TEST(Only<turn_away>(actions).size() == 1u);
}

// A restarted entry hears of the others a moment after its first callers come.
// It refused them all at once meanwhile, and one who asked again without a
// pause was refused a hundred times before the first loan.
BOOST_AUTO_TEST_CASE(StartedEntryWaitsToHearOfLenders) {
  rate_limiter started(kSelf, Options(), 1, kStart);
  started.SetContract(kDepot, {100, 50}, kStart);
  const auto ask = [&](monotonic_time now) {
    limit_actions ignored;
    return started.OnRequest(kDepot, now + FromSeconds(1), now, ignored);
  };
  monotonic_time now = kStart + FromMilliseconds(20);
  for (int i = 0; i < 3; ++i, now += FromMilliseconds(15)) {
    BOOST_TEST(std::holds_alternative<token_awaited>(ask(now)));
  }
  started.SetEntries({kOther}, {kSelf, kOther});
  const auto asks = Only<send_loan_ask>(started.OnTimer(now));
  BOOST_REQUIRE(!asks.empty());
  const loan_grant grant{kDepot, asks[0].message.number, asks[0].message.ppb, 2,
                         asks[0].message.duration_ms};
  BOOST_TEST(Only<let_in>(started.OnMessage(kOther, grant, now)).size() == 2u);
  // Without lenders, and once the own share should have come, it is final.
  rate_limiter alone(kSelf, Options(), 1, kStart);
  alone.SetContract(kDepot, {100, 50}, kStart);
  limit_actions ignored;
  const monotonic_time late = kStart + Options().loan.SettleTime();
  BOOST_TEST(std::holds_alternative<over_rate>(
      alone.OnRequest(kDepot, late + FromSeconds(1), late, ignored)));
}

// Guards against callers of a VM that has just started who are refused inside
// their contract: its share is known, and those who lent to it are cut off.
BOOST_AUTO_TEST_CASE(StartedEntryWaitsForItsShare) {
  for (const bool share_is_told_late : {false, true}) {
    rate_limiter started(kSelf, Options(), 1, kStart);
    started.SetContract(kDepot, {100, 50}, kStart);
    started.SetEntries({kOther}, {kSelf, kOther});
    const monotonic_time far = kStart + std::chrono::hours(1);
    const vm_share share{kWholePpm / 2, 0, far, far, 1};
    if (!share_is_told_late) started.SetShare(share, 1, kStart);
    const monotonic_time now = kStart + FromMilliseconds(400);
    limit_actions ignored;
    const limit_decision decision =
        started.OnRequest(kDepot, now + FromSeconds(10), now, ignored);
    const auto* awaited = std::get_if<token_awaited>(&decision);
    BOOST_REQUIRE(awaited != nullptr);
    const monotonic_time begins = kStart + Options().loan.SettleTime();
    BOOST_TEST(Only<turn_away>(started.OnTimer(begins)).empty());
    if (share_is_told_late) started.SetShare(share, 1, begins);
    const auto in =
        Only<let_in>(started.OnTimer(begins + FromMilliseconds(50)));
    BOOST_REQUIRE(in.size() == 1u);
    BOOST_TEST((in[0].ticket == awaited->ticket));
  }
}

// Another entry asks for a part of the contract; without demand here it gets
// nearly all of it.
BOOST_AUTO_TEST_CASE(LendsWhatIsNotNeededHere) {
  Pass(500);
  const limit_actions actions = Limiter().OnMessage(
      kOther, loan_ask{kDepot, 1, kWholePpb / 2, 0, 2000}, Now());
  const auto grants = Only<send_loan_grant>(actions);
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST((grants[0].to == kOther));
  BOOST_TEST(grants[0].message.ppb == kWholePpb / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
