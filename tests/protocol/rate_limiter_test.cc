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
std::vector<T> ActionsOf(const limit_actions& actions) {
  std::vector<T> found;
  for (const limit_action& action : actions) {
    if (const T* one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}

// An entry with the whole of a contract of 100 requests per second, at the
// moment when its share begins and its bucket is empty.
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
  void AdvanceTime(double ms) { now_ += FromMilliseconds(ms); }

  limit_decision SendRequest(limit_actions& actions) {
    return limiter_.OnRequest(kDepot, now_ + FromSeconds(1), now_, actions);
  }
  limit_decision SendRequest() {
    limit_actions ignored;
    return SendRequest(ignored);
  }

 private:
  rate_limiter limiter_;
  monotonic_time now_;
};

BOOST_FIXTURE_TEST_SUITE(rate_limiter_cases, limiter_fixture)

// A VM has just begun to use its share, and a request finds the bucket empty
// for the moment. It must not be rejected with a retry time of 0 ms while its
// workspace is far inside its rate.
BOOST_AUTO_TEST_CASE(EmptyBucketAdmitsWithItsNextToken) {
  const limit_decision decision = SendRequest();
  const auto* awaited = std::get_if<wait_for_token>(&decision);
  BOOST_REQUIRE(awaited != nullptr);
  const auto next = Limiter().NextTokenAt(Now());
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((*next <= Now() + FromMilliseconds(11)));
  BOOST_TEST(Limiter().OnNextTokenTime(*next - FromMilliseconds(1)).empty());
  const auto in = ActionsOf<admit_waiting>(Limiter().OnNextTokenTime(*next));
  BOOST_REQUIRE(in.size() == 1u);
  BOOST_TEST((in[0].ticket == awaited->ticket));
}

// Requests come faster than the rate. If a new request took the token for which
// an older one waits, the older one would be rejected at the end of its wait,
// and under steady demand every waiting request would.
BOOST_AUTO_TEST_CASE(NewRequestTakesNoTokenOfWaitingRequests) {
  const limit_decision first = SendRequest();
  BOOST_REQUIRE(std::holds_alternative<wait_for_token>(first));
  AdvanceTime(11);
  limit_actions actions;
  const limit_decision second = SendRequest(actions);
  const auto in = ActionsOf<admit_waiting>(actions);
  BOOST_REQUIRE(in.size() == 1u);
  BOOST_TEST((in[0].ticket == std::get<wait_for_token>(first).ticket));
  BOOST_TEST(std::holds_alternative<wait_for_token>(second));
}

// A workspace sends ten times its rate. Requests for which the rate makes a
// token in time wait for it; all others get a retry time at once, and none is
// held back only to be rejected.
BOOST_AUTO_TEST_CASE(OverloadIsRejectedAtOnce) {
  constexpr int kSeconds = 5;
  int refused_late = 0;
  int let_in_late = 0;
  int refused_at_once = 0;
  for (int ms = 0; ms < 1000 * kSeconds; ++ms) {
    AdvanceTime(1);
    limit_actions actions;
    const limit_decision decision = SendRequest(actions);
    const auto* over = std::get_if<over_rate>(&decision);
    if (over != nullptr) {
      ++refused_at_once;
      BOOST_TEST((over->retry_at > Now()));
    }
    const limit_actions more = ms % 50 == 0 ? Limiter().OnTimer(Now())
                                            : Limiter().OnNextTokenTime(Now());
    actions.insert(actions.end(), more.begin(), more.end());
    let_in_late += static_cast<int>(ActionsOf<admit_waiting>(actions).size());
    refused_late += static_cast<int>(ActionsOf<reject_waiting>(actions).size());
  }
  BOOST_TEST(refused_late == 0);
  BOOST_TEST(let_in_late >= 100 * kSeconds - 20);
  BOOST_TEST(let_in_late <= 100 * kSeconds);
  BOOST_TEST(refused_at_once >= 900 * kSeconds - 20);
}

// The caller closes its connection while its request waits; the token goes to
// the next request.
BOOST_AUTO_TEST_CASE(CancelledRequestNoLongerWaits) {
  const limit_decision first = SendRequest();
  const limit_decision second = SendRequest();
  Limiter().OnCancel(kDepot, std::get<wait_for_token>(first).ticket);
  AdvanceTime(11);
  const auto in = ActionsOf<admit_waiting>(Limiter().OnTimer(Now()));
  BOOST_REQUIRE(in.size() == 1u);
  BOOST_TEST((in[0].ticket == std::get<wait_for_token>(second).ticket));
}

// An operator deletes a contract while its callers go on sending.
BOOST_AUTO_TEST_CASE(WithoutContractNothingIsAdmitted) {
  const limit_decision waiting = SendRequest();
  BOOST_REQUIRE(std::holds_alternative<wait_for_token>(waiting));
  Limiter().SetContracts({}, Now());
  BOOST_TEST(std::holds_alternative<over_rate>(SendRequest()));
  AdvanceTime(200);
  const limit_actions actions = Limiter().OnTimer(Now());
  BOOST_TEST(ActionsOf<admit_waiting>(actions).empty());
  BOOST_TEST(ActionsOf<reject_waiting>(actions).size() == 1u);
}

// A restarted entry receives the list of lenders a moment after its first
// callers come. If it rejected them at once, a caller that retries without a
// pause would be rejected a hundred times before the first loan.
BOOST_AUTO_TEST_CASE(StartedEntryWaitsForItsLenders) {
  rate_limiter started(kSelf, Options(), 1, kStart);
  started.SetContract(kDepot, {100, 50}, kStart);
  const auto ask = [&](monotonic_time now) {
    limit_actions ignored;
    return started.OnRequest(kDepot, now + FromSeconds(1), now, ignored);
  };
  monotonic_time now = kStart + FromMilliseconds(20);
  for (int i = 0; i < 3; ++i, now += FromMilliseconds(15)) {
    BOOST_TEST(std::holds_alternative<wait_for_token>(ask(now)));
  }
  started.SetEntries({kOther}, {kSelf, kOther});
  const auto asks = ActionsOf<send_loan_request>(started.OnTimer(now));
  BOOST_REQUIRE(!asks.empty());
  const loan_grant grant{kDepot, asks[0].message.number, asks[0].message.ppb, 2,
                         asks[0].message.duration_ms};
  BOOST_TEST(
      ActionsOf<admit_waiting>(started.OnMessage(kOther, grant, now)).size() ==
      2u);
  // Without lenders, and once the entry's share should have come, the entry
  // rejects.
  rate_limiter alone(kSelf, Options(), 1, kStart);
  alone.SetContract(kDepot, {100, 50}, kStart);
  limit_actions ignored;
  const monotonic_time late = kStart + Options().loan.SettleTime();
  BOOST_TEST(std::holds_alternative<over_rate>(
      alone.OnRequest(kDepot, late + FromSeconds(1), late, ignored)));
}

// A VM has just started and no lender replies. A request inside the contract
// waits until the share begins, whether the share is received before or only
// then.
BOOST_AUTO_TEST_CASE(StartedEntryWaitsForItsShare) {
  for (const bool is_share_received_late : {false, true}) {
    rate_limiter started(kSelf, Options(), 1, kStart);
    started.SetContract(kDepot, {100, 50}, kStart);
    started.SetEntries({kOther}, {kSelf, kOther});
    const monotonic_time far = kStart + std::chrono::hours(1);
    const vm_share share{kWholePpm / 2, 0, far, far, 1};
    if (!is_share_received_late) started.SetShare(share, 1, kStart);
    const monotonic_time now = kStart + FromMilliseconds(400);
    limit_actions ignored;
    const limit_decision decision =
        started.OnRequest(kDepot, now + FromSeconds(10), now, ignored);
    const auto* awaited = std::get_if<wait_for_token>(&decision);
    BOOST_REQUIRE(awaited != nullptr);
    const monotonic_time begins = kStart + Options().loan.SettleTime();
    BOOST_TEST(ActionsOf<reject_waiting>(started.OnTimer(begins)).empty());
    if (is_share_received_late) started.SetShare(share, 1, begins);
    const auto in = ActionsOf<admit_waiting>(
        started.OnTimer(begins + FromMilliseconds(50)));
    BOOST_REQUIRE(in.size() == 1u);
    BOOST_TEST((in[0].ticket == awaited->ticket));
  }
}

// Another entry requests half of the contract; without local demand it gets all
// that it requested.
BOOST_AUTO_TEST_CASE(LendsShareWithoutLocalDemand) {
  AdvanceTime(500);
  const limit_actions actions = Limiter().OnMessage(
      kOther, loan_request{kDepot, 1, kWholePpb / 2, 0, 2000}, Now());
  const auto grants = ActionsOf<send_loan_grant>(actions);
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST((grants[0].to == kOther));
  BOOST_TEST(grants[0].message.ppb == kWholePpb / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
