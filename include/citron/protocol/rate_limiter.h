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
  // For measuring what each of them is worth.
  bool has_loans = true;
  bool has_homes = true;
};

// What a workspace's contract allows, over all VMs together.
struct rate_contract {
  double rate_per_s = 0;
  double burst = 0;
};

// The request waits for a token: a let_in or turn_away with this ticket
// follows.
struct token_awaited {
  wait_ticket ticket{};
};
using limit_decision = std::variant<admitted, over_rate, token_awaited>;

struct let_in {
  wait_ticket ticket{};
};
struct turn_away {
  wait_ticket ticket{};
  monotonic_time retry_at{};
};
using limit_action =
    std::variant<let_in, turn_away, send_loan_ask, send_loan_grant,
                 send_loan_return, send_token_ask, send_token_grant>;
using limit_actions = std::vector<limit_action>;

// The limits of all workspaces at one event loop of an entry: its part of each
// contract, the loans that move parts to where the demand is, the homes of
// small workspaces, and the requests that wait for a token. Messages may be
// lost, repeated and reordered; the wire must tell the sender truly, and must
// drop what is meant for another incarnation.
class rate_limiter {
 public:
  rate_limiter(entry_ref self, const rate_limiter_options& options,
               std::uint64_t seed, monotonic_time now);

  // All contracts; a workspace without one is no longer let in.
  void SetContracts(const std::map<workspace_id, rate_contract>& contracts,
                    monotonic_time now);
  void SetContract(const workspace_id& workspace, const rate_contract& contract,
                   monotonic_time now);
  // See admission::SetShare.
  void SetShare(const vm_share& share, int divisor, monotonic_time now);
  // `lenders` nearest first, some dozens at most; `live` as in
  // token_home::SetLive.
  void SetEntries(std::vector<entry_ref> lenders, std::vector<entry_ref> live);

  // Actions concern other requests than this one, and other entries.
  limit_decision OnRequest(const workspace_id& workspace,
                           monotonic_time deadline, monotonic_time now,
                           limit_actions& actions);
  // The request that waits has gone.
  void OnCancel(const workspace_id& workspace, wait_ticket ticket);

  limit_actions OnMessage(const entry_ref& from, const loan_ask& ask,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const loan_grant& grant,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const loan_return& returned,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const token_ask& ask,
                          monotonic_time now);
  limit_actions OnMessage(const entry_ref& from, const token_grant& grant,
                          monotonic_time now);

  // Every loan_settings::tick.
  limit_actions OnTimer(monotonic_time now);
  // At NextTokenAt.
  limit_actions OnTokenTime(monotonic_time now);
  // When somebody who waits may be let in before the next timer.
  std::optional<monotonic_time> NextTokenAt(monotonic_time now) const {
    return waiting_.NextTokenAt(now);
  }
  // A graceful leave: gives back all that was borrowed and lends no more.
  limit_actions OnRelease(monotonic_time now);

  // The entry that holds a small workspace's tokens; null for any other.
  const entry_ref* HomeOf(const workspace_id& workspace) const;

  // For status pages and tests.
  admission& Limits() { return limits_; }
  const admission& Limits() const { return limits_; }

 private:
  limit_decision Seek(const workspace_id& workspace, monotonic_time retry_at,
                      monotonic_time deadline, monotonic_time now,
                      limit_actions& actions);
  bool TakeToken(const workspace_id& workspace, monotonic_time now);
  void Serve(const workspace_id& workspace, monotonic_time now,
             limit_actions& actions);
  void ServeAll(monotonic_time now, limit_actions& actions);
  bool MayBorrow(const workspace_id& workspace, monotonic_time now) const;

  const rate_limiter_options options_;
  admission limits_;
  token_home homes_;
  loan_book loans_;
  admission_wait waiting_;
  std::uint64_t last_ticket_ = 0;
  monotonic_time own_share_at_;
  bool knows_lenders_ = false;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_RATE_LIMITER_H_
