#ifndef CITRON_PROTOCOL_LOAN_BOOK_H_
#define CITRON_PROTOCOL_LOAN_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/protocol/admission.h"
#include "citron/protocol/entry_ref.h"
#include "citron/protocol/token_home.h"

namespace citron {

// A loan is a share of a contract, not an absolute rate: a borrower that learns
// of a lowered contract lowers its loans at once. Two entries have at most one
// loan in each direction for each workspace. Numbers grow with each request or
// return of a borrower; a message with an old number has no effect.

// Requests a total of `ppb` from a lender, including what it has lent already.
struct loan_request {
  workspace_id workspace;
  std::uint64_t number = 0;
  std::int64_t ppb = 0;
  double tokens = 0;             // Requested as well; without deadline.
  std::int64_t duration_ms = 0;  // Counted from the request.
};

// The reply to a loan_request; `ppb` is 0 when the lender has nothing to spare.
struct loan_grant {
  workspace_id workspace;
  std::uint64_t number = 0;  // Of the request.
  std::int64_t ppb = 0;      // Total lent.
  double tokens = 0;         // Moved to the borrower by this grant.
  std::int64_t duration_ms = 0;
};

// Returns all of a loan but `kept_ppb`.
struct loan_return {
  workspace_id workspace;
  std::uint64_t number = 0;
  std::int64_t kept_ppb = 0;
  double tokens = 0;
};

struct send_loan_request {
  entry_ref to;
  loan_request message;
};
struct send_loan_grant {
  entry_ref to;
  loan_grant message;
};
struct send_loan_return {
  entry_ref to;
  loan_return message;
};
using loan_action =
    std::variant<send_loan_request, send_loan_grant, send_loan_return>;
using loan_actions = std::vector<loan_action>;

struct loan_settings {
  duration loan = std::chrono::seconds(2);
  // The most by which the clocks of two VMs drift apart during one loan.
  duration margin = std::chrono::milliseconds(100);
  // The interval at which the driver calls OnTimer.
  duration tick = std::chrono::milliseconds(50);
  // Time constants of the smoothed demand; see loan_book::UpdateDemand.
  duration fast_smoothing = std::chrono::milliseconds(200);
  duration slow_smoothing = std::chrono::seconds(2);
  duration request_timeout = std::chrono::milliseconds(300);
  // The first pause before a lender that granted less than requested gets
  // another request.
  duration refused_pause = std::chrono::milliseconds(50);
  // The most lenders that one call requests shares from; token requests go only
  // to this many nearest peers.
  int max_lenders = 16;
  // The fraction of its own share that a lender without demand keeps.
  std::int64_t kept_share_ppm = 20'000;

  // The time after which no loan of an earlier moment is in use any more.
  duration SettleTime() const { return loan + 2 * margin; }
};

// Borrows and lends shares of contracts between entries, so that they follow
// demand within a second and without the store. Each event loop has one, over
// its admission. Messages may be lost, repeated and reordered; the transport
// must report the true sender and drop messages for another incarnation.
class loan_book {
 public:
  loan_book(entry_ref self, admission& limits, const loan_settings& settings,
            std::uint64_t seed);

  // Sets the entries that may lend, nearest first, without this one. Each timer
  // goes over all of them, so there should be some dozens at most.
  void SetPeers(std::vector<entry_ref> peers);

  // Sets the homes of small workspaces: a home borrows all tokens of its
  // workspaces, and the other entries borrow none of them. `homes` must outlive
  // the book; null for none.
  void SetHomes(const token_home* homes) { homes_ = homes; }

  loan_actions OnTimer(monotonic_time now);
  // Called when a request finds no local token, or another entry requests a
  // token: borrows without waiting for the timer.
  loan_actions OnDemand(const workspace_id& workspace, monotonic_time now);
  loan_actions OnLoanAsk(const entry_ref& from, const loan_request& ask,
                         monotonic_time now);
  void OnLoanGrant(const entry_ref& from, const loan_grant& grant,
                   monotonic_time now);
  void OnLoanReturn(const entry_ref& from, const loan_return& returned,
                    monotonic_time now);
  // Called on a graceful leave: returns all loans, except those of workspaces
  // with reserved tokens, which end at their deadlines. Ends lending.
  loan_actions OnRelease(monotonic_time now);

  // Returns whether a request is pending or may be sent to any peer. False
  // after OnRelease, without peers, and while every peer is paused after it
  // granted less than requested.
  bool MayBorrow(const workspace_id& workspace, monotonic_time now) const;

  // For status pages and tests.
  std::int64_t BorrowedPpb(const workspace_id& workspace,
                           monotonic_time now) const;
  std::int64_t LentPpb(const workspace_id& workspace, monotonic_time now) const;

 private:
  using peer_key = std::pair<workspace_id, entry_ref>;

  struct borrowed_loan {
    std::uint64_t part_id = 0;
    std::uint64_t number = 0;  // Of the last grant applied or return sent.
    std::int64_t ppb = 0;
    monotonic_time until{};
    // The pending request to the lender.
    std::uint64_t request_number = 0;
    monotonic_time requested_at{};
    duration requested_duration{};
    std::int64_t requested_ppb = 0;
    double requested_tokens = 0;
    monotonic_time next_request_at{};
    int refusals = 0;  // Consecutive.
  };

  struct lent_loan {
    std::uint64_t part_id = 0;
    std::uint64_t number = 0;  // The highest received.
    std::int64_t ppb = 0;
    monotonic_time until{};
  };

  struct demand {
    std::uint64_t counted_arrivals = 0;
    double fast_per_s = 0;
    double slow_per_s = 0;
    monotonic_time counted_at{};
    // The time at which the count last grew, and the demand then.
    monotonic_time arrived_at{};
    double per_s_at_arrival = 0;
  };

  home_role RoleOf(const workspace_id& workspace) const;
  void DropOldRecords(monotonic_time now);
  void UpdateDemand(const workspace_id& workspace, workspace_limit& limit,
                    monotonic_time now);
  std::int64_t WantedPpb(const workspace_id& workspace,
                         const token_bucket& bucket) const;
  bool YieldsShareTo(const workspace_id& workspace, const token_bucket& bucket,
                     const entry_ref& other) const;
  std::int64_t SparePpb(const workspace_id& workspace,
                        const token_bucket& bucket, const entry_ref& borrower,
                        monotonic_time now, monotonic_time until) const;
  void AdjustLoans(const workspace_id& workspace, workspace_limit& limit,
                   monotonic_time now, loan_actions& actions);
  double MissingTokens(const workspace_id& workspace,
                       const token_bucket& bucket) const;
  double SpareTokens(const workspace_id& workspace,
                     const token_bucket& bucket) const;
  bool MayRequestFrom(const workspace_id& workspace, const entry_ref& lender,
                      monotonic_time now) const;
  struct pending_loans {
    std::int64_t ppb = 0;
    double tokens = 0;
  };
  pending_loans PendingLoans(const workspace_id& workspace,
                             monotonic_time now) const;
  void Borrow(const workspace_id& workspace, std::int64_t missing_ppb,
              double missing_tokens, monotonic_time now, loan_actions& actions);
  void BorrowTokens(const workspace_id& workspace, double missing_tokens,
                    monotonic_time now, loan_actions& actions);
  void Renew(const workspace_id& workspace, monotonic_time now,
             loan_actions& actions);
  void GiveBack(const workspace_id& workspace, workspace_limit& limit,
                std::int64_t excess_ppb, monotonic_time now,
                loan_actions& actions);
  // Requests `more_ppb` beyond what the lender has lent already.
  void RequestLoan(const workspace_id& workspace, const entry_ref& lender,
                   std::int64_t more_ppb, double tokens, monotonic_time now,
                   loan_actions& actions);

  const entry_ref self_;
  admission& limits_;
  const loan_settings settings_;
  pcg32 random_;
  const token_home* homes_ = nullptr;
  std::vector<entry_ref> peers_;
  std::map<workspace_id, demand> demands_;
  std::map<peer_key, borrowed_loan> borrowed_;
  std::map<peer_key, lent_loan> lent_;
  std::uint64_t next_number_ = 1;
  std::uint64_t next_part_id_;
  monotonic_time next_cleanup_at_{};
  bool released_ = false;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_LOAN_BOOK_H_
