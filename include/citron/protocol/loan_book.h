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

// A loan is a part of a contract, not an absolute rate: a borrower that learns
// of a lowered contract lowers what it borrowed at once. One pair of entries
// has one loan for each workspace at most. Numbers grow with each ask or
// return of a borrower; a message with an old number does nothing.

// Asks a lender for `ppb` in all, what it has lent already included.
struct loan_ask {
  workspace_id workspace;
  std::uint64_t number = 0;
  std::int64_t ppb = 0;
  double tokens = 0;             // Wanted besides; they aren't given back.
  std::int64_t duration_ms = 0;  // Counted from when the borrower asked.
};

// The answer; 0 when the lender has nothing to spare.
struct loan_grant {
  workspace_id workspace;
  std::uint64_t number = 0;  // Of the ask.
  std::int64_t ppb = 0;      // Lent in all.
  double tokens = 0;         // Handed over with this grant.
  std::int64_t duration_ms = 0;
};

// The borrower gives back all but `kept_ppb`.
struct loan_return {
  workspace_id workspace;
  std::uint64_t number = 0;
  std::int64_t kept_ppb = 0;
  double tokens = 0;
};

struct send_loan_ask {
  entry_ref to;
  loan_ask message;
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
    std::variant<send_loan_ask, send_loan_grant, send_loan_return>;
using loan_actions = std::vector<loan_action>;

struct loan_settings {
  duration loan = std::chrono::seconds(2);
  // What clocks of two VMs may drift apart during one loan.
  duration margin = std::chrono::milliseconds(100);
  // How often the driver calls OnTimer.
  duration tick = std::chrono::milliseconds(50);
  // Time constants of the smoothed demand; see loan_book::Measure.
  duration fast_smoothing = std::chrono::milliseconds(200);
  duration slow_smoothing = std::chrono::seconds(2);
  duration ask_timeout = std::chrono::milliseconds(300);
  // How long a lender that had nothing to spare isn't asked again.
  duration refused_pause = std::chrono::milliseconds(50);
  int max_lenders = 16;  // Asked at once for one workspace.
  // Part of its own share that a lender without demand keeps.
  std::int64_t keep_ppm = 20'000;

  // After this long nothing that was lent is in use any more.
  duration SettleTime() const { return loan + 2 * margin; }
};

// Borrows and lends parts of contracts between entries, to follow demand
// within a second and without the store. One for each event loop, over the
// loop's admission. Messages may be lost, repeated and reordered; the wire must
// tell the sender truly, and must drop what is meant for another incarnation.
class loan_book {
 public:
  loan_book(entry_ref self, admission& limits, const loan_settings& settings,
            std::uint64_t seed);

  // Entries that may lend, nearest first, without this one; some dozens at
  // most, as each timer goes over them.
  void SetPeers(std::vector<entry_ref> peers);

  // Where small workspaces have their home: it borrows all of them, the other
  // entries borrow nothing. Must outlive the book; null for none.
  void SetHomes(const token_home* homes) { homes_ = homes; }

  loan_actions OnTimer(monotonic_time now);
  // A request was refused: asks without waiting for the timer.
  loan_actions OnDemand(const workspace_id& workspace, monotonic_time now);
  loan_actions OnLoanAsk(const entry_ref& from, const loan_ask& ask,
                         monotonic_time now);
  void OnLoanGrant(const entry_ref& from, const loan_grant& grant,
                   monotonic_time now);
  void OnLoanReturn(const entry_ref& from, const loan_return& returned,
                    monotonic_time now);
  // A graceful leave: gives back all that was borrowed and lends no more.
  loan_actions OnRelease(monotonic_time now);

  // Whether tokens of other entries may be on their way, or may be asked for:
  // false when everybody has just said that there is nothing to spare.
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
    // The ask that is out.
    std::uint64_t asked_number = 0;
    monotonic_time asked_at{};
    duration asked_duration{};
    std::int64_t asked_ppb = 0;
    double asked_tokens = 0;
    monotonic_time ask_again_at{};
    int refusals = 0;  // In a row.
  };

  struct lent_loan {
    std::uint64_t part_id = 0;
    std::uint64_t number = 0;  // The highest seen.
    std::int64_t ppb = 0;
    monotonic_time until{};
  };

  struct demand {
    std::uint64_t counted_arrivals = 0;
    double fast_per_s = 0;
    double per_s = 0;
    monotonic_time counted_at{};
    // When the counts last grew, and the demand then.
    monotonic_time arrived_at{};
    double per_s_at_arrival = 0;
  };

  home_role RoleOf(const workspace_id& workspace) const;
  void Forget(monotonic_time now);
  void Measure(const workspace_id& workspace, workspace_limit& limit,
               monotonic_time now);
  std::int64_t WantedPpb(const workspace_id& workspace,
                         const token_bucket& bucket) const;
  bool Concedes(const workspace_id& workspace, const token_bucket& bucket,
                const entry_ref& other) const;
  std::int64_t SparePpb(const workspace_id& workspace,
                        const token_bucket& bucket, const entry_ref& borrower,
                        monotonic_time now, monotonic_time until) const;
  void Balance(const workspace_id& workspace, workspace_limit& limit,
               monotonic_time now, loan_actions& actions);
  double MissingTokens(const workspace_id& workspace,
                       const token_bucket& bucket) const;
  double SpareTokens(const workspace_id& workspace,
                     const token_bucket& bucket) const;
  bool MayAsk(const workspace_id& workspace, const entry_ref& lender,
              monotonic_time now) const;
  struct arriving {
    std::int64_t ppb = 0;
    double tokens = 0;
  };
  arriving Arriving(const workspace_id& workspace, monotonic_time now) const;
  void Borrow(const workspace_id& workspace, std::int64_t missing_ppb,
              double missing_tokens, monotonic_time now, loan_actions& actions);
  void BorrowTokens(const workspace_id& workspace, double missing_tokens,
                    monotonic_time now, loan_actions& actions);
  void Renew(const workspace_id& workspace, monotonic_time now,
             loan_actions& actions);
  void GiveBack(const workspace_id& workspace, workspace_limit& limit,
                std::int64_t excess_ppb, monotonic_time now,
                loan_actions& actions);
  // `more_ppb` beyond what the lender has lent already.
  void Ask(const workspace_id& workspace, const entry_ref& lender,
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
  monotonic_time forget_at_{};
  bool released_ = false;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_LOAN_BOOK_H_
