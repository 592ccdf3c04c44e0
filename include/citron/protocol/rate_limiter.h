#ifndef CITRON_PROTOCOL_RATE_LIMITER_H_
#define CITRON_PROTOCOL_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/admission_wait.h"
#include "citron/protocol/admission.h"
#include "citron/protocol/entry_ref.h"
#include "citron/protocol/loan_book.h"
#include "citron/protocol/token_home.h"

namespace citron {

struct rate_limiter_options {
  loan_settings loan;
  token_home_settings home;
  admission_wait_options wait;
  // Loans and homes can be switched off, to compare the limits without them.
  bool has_loans = true;
  bool has_homes = true;
};

// The rate and burst that a workspace may use over all VMs together.
struct rate_contract {
  double rate_per_s = 0;
  double burst = 0;
};

// The request waits for a token: a admit_waiting or reject_waiting with this
// ticket follows.
struct wait_for_token {
  wait_ticket ticket{};
};
using limit_decision = std::variant<admitted, over_rate, wait_for_token>;

struct admit_waiting {
  wait_ticket ticket{};
};
struct reject_waiting {
  wait_ticket ticket{};
  monotonic_time retry_at{};
};
using limit_action =
    std::variant<admit_waiting, reject_waiting, send_loan_request,
                 send_loan_grant, send_loan_return, send_token_request,
                 send_token_grant>;
using limit_actions = std::vector<limit_action>;

// The limits of all workspaces at one event loop of an entry: its share of each
// contract, the loans that move shares to where the demand is, the homes of
// small workspaces, and the requests that wait for a token. Messages may be
// lost, repeated and reordered; the transport must report the true sender and
// drop messages for another incarnation.
class rate_limiter {
 public:
  rate_limiter(entry_ref self, const rate_limiter_options& options,
               std::uint64_t seed, monotonic_time now);

  // Sets all contracts; a workspace without one is no longer admitted.
  void SetContracts(const std::map<workspace_id, rate_contract>& contracts,
                    monotonic_time now);
  void SetContract(const workspace_id& workspace, const rate_contract& contract,
                   monotonic_time now);
  // See admission::SetShare.
  void SetShare(const vm_share& share, int divisor, monotonic_time now);
  // Sets the entries that may lend, nearest first and some dozens at most, and
  // the live entries as in token_home::SetLive.
  void SetEntries(std::vector<entry_ref> lenders, std::vector<entry_ref> live);

  // Decides on a request. The actions concern other requests and other entries.
  limit_decision OnRequest(const workspace_id& workspace,
                           monotonic_time deadline, monotonic_time now,
                           limit_actions& actions);
  // Called when the caller of a waiting request has gone.
  void OnCancel(const workspace_id& workspace, wait_ticket ticket);

  limit_actions OnMessage(const entry_ref& from, const loan_request& ask,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const loan_grant& grant,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const loan_return& returned,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const token_request& ask,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const token_grant& grant,
                          monotonic_time now);

  // Called every loan_settings::tick.
  limit_actions OnTimer(monotonic_time now);
  // Called at NextTokenAt.
  limit_actions OnNextTokenTime(monotonic_time now);
  // Returns when a waiting request may be admitted before the next timer.
  std::optional<monotonic_time> NextTokenAt(monotonic_time now) const {
    return waiting_.NextTokenAt(now);
  }
  // Called on a graceful leave; see loan_book::OnRelease.
  limit_actions OnRelease(monotonic_time now);

  // Returns the entry that holds a small workspace's tokens; null for any other
  // workspace.
  const entry_ref* HomeOf(const workspace_id& workspace) const;

  // For status pages and tests.
  admission& Limits() { return limits_; }
  const admission& Limits() const { return limits_; }

 private:
  limit_decision FindTokenOrWait(const workspace_id& workspace,
                                 monotonic_time retry_at,
                                 monotonic_time deadline, monotonic_time now,
                                 limit_actions& actions);
  bool TakeToken(const workspace_id& workspace, monotonic_time now);
  void AdmitWaiting(const workspace_id& workspace, monotonic_time now,
                    limit_actions& actions);
  void AdmitAllWaiting(monotonic_time now, limit_actions& actions);
  bool MayBorrow(const workspace_id& workspace, monotonic_time now) const;

  const rate_limiter_options options_;
  admission limits_;
  token_home homes_;
  loan_book loans_;
  admission_wait waiting_;
  std::uint64_t last_ticket_ = 0;
  monotonic_time share_starts_at_;
  bool knows_lenders_ = false;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_RATE_LIMITER_H_
