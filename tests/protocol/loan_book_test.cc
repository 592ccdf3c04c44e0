#include "citron/protocol/loan_book.h"

#include <boost/test/unit_test.hpp>

namespace {

using citron::admission;
using citron::entry_ref;
using citron::FromSeconds;
using citron::kWholePpb;
using citron::loan_actions;
using citron::loan_book;
using citron::loan_grant;
using citron::loan_request;
using citron::loan_return;
using citron::loan_settings;
using citron::monotonic_time;
using citron::vm_id;
using citron::workspace_id;

const monotonic_time kStart{std::chrono::seconds(1000)};
const workspace_id kShop("shop");
const entry_ref kOne{vm_id("one"), 0, 1};
const entry_ref kTwo{vm_id("two"), 0, 1};
constexpr double kRate = 1000;

monotonic_time After(double seconds) { return kStart + FromSeconds(seconds); }

// One of two entries that have half of a contract each.
struct half_share_entry {
  explicit half_share_entry(const entry_ref& self, double leased_seconds = 1000)
      : limits(kStart), book(self, limits, loan_settings{}, 1) {
    limits.SetShare({250'000, 250'000, After(leased_seconds), After(1e5), 1}, 1,
                    kStart);
    limits.SetContract(kShop, kRate, kRate, kStart);
  }

  // Sends requests for `seconds`, with the timer; returns the last actions.
  loan_actions SendRequests(double from, double seconds, double per_s) {
    loan_actions last;
    for (double t = from; t < from + seconds; t += 0.05) {
      for (int i = 0; i < per_s * 0.05; ++i) limits.Admit(kShop, After(t));
      const loan_actions actions = book.OnTimer(After(t));
      if (!actions.empty()) last = actions;
    }
    return last;
  }
  std::int64_t Ppb(double at) {
    citron::token_bucket& bucket = limits.Find(kShop)->bucket;
    bucket.Advance(After(at));
    return bucket.Ppb();
  }

  admission limits;
  loan_book book;
};

loan_request MakeLoanAsk(std::uint64_t number, std::int64_t ppb) {
  return {kShop, number, ppb, 0, 2000};
}

loan_grant OnlyGrant(const loan_actions& actions) {
  BOOST_REQUIRE(actions.size() == 1);
  return std::get<citron::send_loan_grant>(actions.front()).message;
}

// Returns the first action, which must be a loan request.
loan_request FirstLoanAsk(const loan_actions& actions) {
  BOOST_REQUIRE(!actions.empty());
  return std::get<citron::send_loan_request>(actions.front()).message;
}

}  // namespace

// All callers of a workspace are in one zone. Their entry must borrow before it
// refuses them.
BOOST_AUTO_TEST_CASE(BusyEntryBorrowsBeforeItsTokensRunOut) {
  half_share_entry one(kOne);
  one.book.SetPeers({kTwo});
  const loan_request ask = FirstLoanAsk(one.SendRequests(2, 1.3, 800));
  BOOST_TEST(ask.ppb > kWholePpb / 5);
  BOOST_TEST(one.limits.Find(kShop)->refusals == 0u);
}

BOOST_AUTO_TEST_CASE(LoanMovesShareAndItsTokens) {
  half_share_entry lender(kTwo);
  const loan_grant grant = OnlyGrant(
      lender.book.OnLoanAsk(kOne, MakeLoanAsk(1, kWholePpb / 4), After(2)));
  BOOST_TEST(grant.ppb == kWholePpb / 4);
  BOOST_TEST(grant.tokens == 250.0, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(lender.Ppb(2) == kWholePpb / 4);
  // Lent until the end that the borrower counts, plus the margin.
  BOOST_TEST(lender.Ppb(4.05) == kWholePpb / 4);
  BOOST_TEST(lender.Ppb(4.2) == kWholePpb / 2);
}

// The network repeats a message or delivers an old one late. A second loan for
// one request would be lost to the lender; a second grant would be used twice.
BOOST_AUTO_TEST_CASE(RepeatedMessagesHaveNoEffect) {
  half_share_entry lender(kTwo);
  half_share_entry borrower(kOne);
  borrower.book.SetPeers({kTwo});
  const loan_request ask = FirstLoanAsk(borrower.SendRequests(2, 1.3, 800));
  const loan_grant grant =
      OnlyGrant(lender.book.OnLoanAsk(kOne, ask, After(3.3)));
  BOOST_TEST(lender.book.OnLoanAsk(kOne, ask, After(3.31)).empty());
  borrower.book.OnLoanGrant(kTwo, grant, After(3.32));
  const double tokens = borrower.limits.Find(kShop)->bucket.Tokens();
  borrower.book.OnLoanGrant(kTwo, grant, After(3.32));
  BOOST_TEST(borrower.limits.Find(kShop)->bucket.Tokens() == tokens);
  BOOST_TEST(borrower.Ppb(3.32) + lender.Ppb(3.32) == kWholePpb);
}

// A grant is in flight for longer than the loan lasts. The borrower would use a
// share that the lender uses again.
BOOST_AUTO_TEST_CASE(LoanTimeCountsFromTheRequest) {
  half_share_entry borrower(kOne);
  borrower.book.SetPeers({kTwo});
  const loan_request ask = FirstLoanAsk(borrower.SendRequests(2, 1.3, 800));
  const loan_grant grant{kShop, ask.number, ask.ppb, 0, 2000};
  borrower.book.OnLoanGrant(kTwo, grant, After(5.4));
  BOOST_TEST(borrower.Ppb(5.4) == kWholePpb / 2);
}

// The lender's lease is about to end and may go to another VM.
BOOST_AUTO_TEST_CASE(LeasedShareIsNotLentBeyondItsLease) {
  half_share_entry lender(kTwo, 3);
  const loan_grant grant = OnlyGrant(
      lender.book.OnLoanAsk(kOne, MakeLoanAsk(1, kWholePpb), After(2)));
  BOOST_TEST(grant.ppb <= kWholePpb / 4);
  BOOST_TEST(grant.ppb > kWholePpb / 5);
  const loan_grant again = OnlyGrant(lender.book.OnLoanAsk(
      {vm_id("three"), 0, 1}, MakeLoanAsk(1, kWholePpb), After(2)));
  BOOST_TEST(again.ppb == 0);
}

BOOST_AUTO_TEST_CASE(BusyLenderKeepsWhatItNeeds) {
  half_share_entry lender(kTwo);
  lender.SendRequests(2, 3, 520);
  const loan_grant grant = OnlyGrant(
      lender.book.OnLoanAsk(kOne, MakeLoanAsk(1, kWholePpb), After(5)));
  BOOST_TEST(grant.ppb == 0);
}

// The callers return to the zone that lent its share. They would be refused
// there for as long as the other zone went on borrowing.
BOOST_AUTO_TEST_CASE(LenderThatNeedsItsShareDoesNotExtend) {
  half_share_entry lender(kTwo);
  OnlyGrant(
      lender.book.OnLoanAsk(kOne, MakeLoanAsk(1, kWholePpb / 4), After(2)));
  lender.SendRequests(2, 1, 520);
  const loan_grant again = OnlyGrant(
      lender.book.OnLoanAsk(kOne, MakeLoanAsk(2, kWholePpb / 4), After(3)));
  BOOST_TEST(again.ppb == 0);
  BOOST_TEST(lender.Ppb(4.2) == kWholePpb / 2);
}

// Demand has moved on. The lender's zone has the callers again and needs the
// share now, not when the loan ends.
BOOST_AUTO_TEST_CASE(UnusedLoanIsReturnedAtOnce) {
  half_share_entry lender(kTwo);
  half_share_entry borrower(kOne);
  borrower.book.SetPeers({kTwo});
  const loan_request ask = FirstLoanAsk(borrower.SendRequests(2, 1.3, 800));
  const loan_grant grant =
      OnlyGrant(lender.book.OnLoanAsk(kOne, ask, After(3.3)));
  borrower.book.OnLoanGrant(kTwo, grant, After(3.32));
  loan_return last;
  for (double t = 3.35; t < 4.3; t += 0.05) {
    for (const auto& action : borrower.book.OnTimer(After(t))) {
      const auto* back = std::get_if<citron::send_loan_return>(&action);
      if (back == nullptr) continue;
      last = back->message;
      lender.book.OnLoanReturn(kOne, last, After(t + 0.01));
      BOOST_TEST(borrower.Ppb(t) + lender.Ppb(t + 0.01) <= kWholePpb);
    }
  }
  BOOST_TEST(lender.Ppb(4.3) == kWholePpb / 2);
  BOOST_TEST(borrower.book.BorrowedPpb(kShop, After(4.3)) == 0);
  // A repeated return, after a new loan, ends nothing.
  OnlyGrant(lender.book.OnLoanAsk(
      kOne, MakeLoanAsk(last.number + 1, kWholePpb / 4), After(4.4)));
  lender.book.OnLoanReturn(kOne, last, After(4.5));
  BOOST_TEST(lender.Ppb(4.5) == kWholePpb / 4);
}

// Shares below one token admit nothing, so some entry must get several of them.
// Two entries have 0.75 tokens of capacity each: exactly one must lend its
// whole share to the other.
BOOST_AUTO_TEST_CASE(SharesBelowOneTokenAreYieldedInOneDirection) {
  half_share_entry one(kOne);
  half_share_entry two(kTwo);
  one.limits.SetContract(kShop, 1, 1.5, kStart);
  two.limits.SetContract(kShop, 1, 1.5, kStart);
  one.SendRequests(2, 0.2, 20);
  two.SendRequests(2, 0.2, 20);
  const loan_grant by_two = OnlyGrant(
      two.book.OnLoanAsk(kOne, MakeLoanAsk(100, kWholePpb), After(2.3)));
  const loan_grant by_one = OnlyGrant(
      one.book.OnLoanAsk(kTwo, MakeLoanAsk(100, kWholePpb), After(2.3)));
  BOOST_TEST(std::min(by_one.ppb, by_two.ppb) == 0);
  BOOST_TEST(std::max(by_one.ppb, by_two.ppb) == kWholePpb / 2);
}

BOOST_AUTO_TEST_CASE(HostileMessagesHaveNoEffect) {
  half_share_entry lender(kTwo);
  const loan_request bad[] = {
      {workspace_id("none"), 1, kWholePpb, 0, 2000},
      {kShop, 1, kWholePpb, 0, -1},
      {kShop, 1, kWholePpb, 0, 1'000'000'000},
  };
  for (const loan_request& ask : bad) {
    BOOST_TEST(lender.book.OnLoanAsk(kOne, ask, After(2)).empty());
  }
  lender.book.OnLoanGrant(kOne, {kShop, 1, kWholePpb, 1e9, 2000}, After(2));
  lender.book.OnLoanReturn(kOne, {kShop, 1, -kWholePpb, 1e9}, After(2));
  BOOST_TEST(lender.Ppb(2) == kWholePpb / 2);
  OnlyGrant(lender.book.OnLoanAsk(kOne, MakeLoanAsk(1, -kWholePpb), After(2)));
  BOOST_TEST(lender.Ppb(2) == kWholePpb / 2);
}

// A VM leaves for good and returns what it borrowed.
BOOST_AUTO_TEST_CASE(LeavingEntryReturnsLoansAndLendsNoMore) {
  half_share_entry leaving(kOne);
  leaving.book.SetPeers({kTwo});
  const loan_request ask = FirstLoanAsk(leaving.SendRequests(2, 1.3, 800));
  leaving.book.OnLoanGrant(kTwo, {kShop, ask.number, kWholePpb / 4, 0, 2000},
                           After(3.3));
  const loan_actions actions = leaving.book.OnRelease(After(3.4));
  BOOST_REQUIRE(actions.size() == 1);
  BOOST_TEST(std::get<citron::send_loan_return>(actions[0]).message.kept_ppb ==
             0);
  BOOST_TEST(leaving.book.OnLoanAsk(kTwo, MakeLoanAsk(1, kWholePpb), After(3))
                 .empty());
}
