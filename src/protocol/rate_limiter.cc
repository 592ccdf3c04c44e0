#include "citron/protocol/rate_limiter.h"

#include <utility>

namespace citron {

namespace {

// The retry time of requests that waited for a token and got none, and of
// workspaces without a contract.
constexpr duration kRetryAfterWait = std::chrono::milliseconds(500);

void Append(loan_actions added, limit_actions& actions) {
  for (loan_action& action : added) {
    std::visit([&](auto& a) { actions.emplace_back(std::move(a)); }, action);
  }
}

void Append(token_grants added, limit_actions& actions) {
  for (send_token_grant& grant : added) actions.emplace_back(std::move(grant));
}

}  // namespace

rate_limiter::rate_limiter(entry_ref self, const rate_limiter_options& options,
                           std::uint64_t seed, monotonic_time now)
    : options_(options),
      limits_(now + options.loan.SettleTime()),
      homes_(self, limits_, options.home),
      loans_(std::move(self), limits_, options.loan, seed),
      waiting_(options.wait),
      share_starts_at_(now + options.loan.SettleTime()) {
  if (options_.has_homes) loans_.SetHomes(&homes_);
}

void rate_limiter::SetContracts(
    const std::map<workspace_id, rate_contract>& contracts,
    monotonic_time now) {
  std::vector<workspace_id> without_contract;
  for (const auto& [workspace, limit] : limits_.Limits()) {
    if (!contracts.contains(workspace)) without_contract.push_back(workspace);
  }
  for (const workspace_id& workspace : without_contract) {
    limits_.RemoveContract(workspace, now);
    homes_.OnContractChanged(workspace);
  }
  for (const auto& [workspace, contract] : contracts) {
    SetContract(workspace, contract, now);
  }
}

void rate_limiter::SetContract(const workspace_id& workspace,
                               const rate_contract& contract,
                               monotonic_time now) {
  const workspace_limit* limit = limits_.Find(workspace);
  const bool is_same = limit != nullptr && !limit->is_withdrawn &&
                       limit->bucket.ContractRate() == contract.rate_per_s &&
                       limit->bucket.ContractBurst() == contract.burst;
  if (is_same) return;
  limits_.SetContract(workspace, contract.rate_per_s, contract.burst, now);
  homes_.OnContractChanged(workspace);
}

void rate_limiter::SetShare(const vm_share& share, int divisor,
                            monotonic_time now) {
  limits_.SetShare(share, divisor, now);
}

void rate_limiter::SetEntries(std::vector<entry_ref> lenders,
                              std::vector<entry_ref> live) {
  knows_lenders_ = knows_lenders_ || !lenders.empty();
  loans_.SetPeers(std::move(lenders));
  homes_.SetLive(std::move(live));
}

// Waiting requests come first. If a new request took the token that a waiting
// one is promised, the waiting one would be rejected after all, and under
// steady demand all waiting requests would.
limit_decision rate_limiter::OnRequest(const workspace_id& workspace,
                                       monotonic_time deadline,
                                       monotonic_time now,
                                       limit_actions& actions) {
  if (!waiting_.IsEmpty()) AdmitWaiting(workspace, now, actions);
  const admit_result result = limits_.Admit(workspace, now);
  if (std::holds_alternative<admitted>(result)) return admitted{};
  const auto* over = std::get_if<over_rate>(&result);
  if (over == nullptr) return over_rate{now + kRetryAfterWait};
  return FindTokenOrWait(workspace, over->retry_at, deadline, now, actions);
}

limit_decision rate_limiter::FindTokenOrWait(const workspace_id& workspace,
                                             monotonic_time retry_at,
                                             monotonic_time deadline,
                                             monotonic_time now,
                                             limit_actions& actions) {
  if (options_.has_loans) Append(loans_.OnDemand(workspace, now), actions);
  token_prospects prospects;
  prospects.may_borrow = MayBorrow(workspace, now);
  if (options_.has_homes) {
    token_search_result search = homes_.FindToken(workspace, now);
    if (std::holds_alternative<admitted>(search)) return admitted{};
    if (const auto* over = std::get_if<over_rate>(&search)) return *over;
    if (auto* ask = std::get_if<send_token_request>(&search)) {
      prospects.may_borrow = true;
      actions.emplace_back(std::move(*ask));
    }
  }
  token_bucket& bucket = limits_.Find(workspace)->bucket;
  prospects.local_token_at =
      bucket.NextTokenAt(now, waiting_.CountWaiting(workspace));
  prospects.contract_rate_per_s = bucket.ContractRate();
  if (now < share_starts_at_) {
    prospects.share_begins_at = share_starts_at_;
    // A share that hasn't been received yet may come at any moment.
    const bool is_share_due =
        limits_.GrantedPpb() == 0 && share_starts_at_ < deadline;
    prospects.may_borrow = prospects.may_borrow || is_share_due;
  }
  const wait_ticket ticket{last_ticket_ + 1};
  if (!waiting_.TryWait(workspace, ticket, prospects, now, deadline)) {
    return over_rate{retry_at};
  }
  ++last_ticket_;
  return wait_for_token{ticket};
}

void rate_limiter::OnCancel(const workspace_id& workspace, wait_ticket ticket) {
  waiting_.Remove(workspace, ticket);
}

limit_actions rate_limiter::OnMessage(const entry_ref& from,
                                      const loan_request& ask,
                                      monotonic_time now) {
  limit_actions actions;
  Append(loans_.OnLoanAsk(from, ask, now), actions);
  return actions;
}

limit_actions rate_limiter::OnMessage(const entry_ref& from,
                                      const loan_grant& grant,
                                      monotonic_time now) {
  limit_actions actions;
  loans_.OnLoanGrant(from, grant, now);
  AdmitAllWaiting(now, actions);
  return actions;
}

limit_actions rate_limiter::OnMessage(const entry_ref& from,
                                      const loan_return& returned,
                                      monotonic_time now) {
  loans_.OnLoanReturn(from, returned, now);
  return {};
}

limit_actions rate_limiter::OnMessage(const entry_ref& from,
                                      const token_request& ask,
                                      monotonic_time now) {
  limit_actions actions;
  Append(
      homes_.OnTokenAsk(limits_, from, ask, MayBorrow(ask.workspace, now), now),
      actions);
  if (options_.has_loans) Append(loans_.OnDemand(ask.workspace, now), actions);
  return actions;
}

// A refusal ends the oldest waiting request. Which of them sent the token
// request makes no difference, as a token would have served any of them.
limit_actions rate_limiter::OnMessage(const entry_ref& from,
                                      const token_grant& grant,
                                      monotonic_time now) {
  limit_actions actions;
  const grant_result result = homes_.OnTokenGrant(from, grant, now);
  AdmitAllWaiting(now, actions);
  const auto* over = std::get_if<over_rate>(&result);
  if (over == nullptr) return actions;
  const auto oldest = waiting_.TakeOldest(grant.workspace);
  if (oldest) actions.emplace_back(reject_waiting{*oldest, over->retry_at});
  return actions;
}

limit_actions rate_limiter::OnTimer(monotonic_time now) {
  limit_actions actions;
  if (options_.has_loans) Append(loans_.OnTimer(now), actions);
  AdmitAllWaiting(now, actions);
  for (const wait_ticket ticket : waiting_.TakeExpired(now)) {
    actions.emplace_back(reject_waiting{ticket, now + kRetryAfterWait});
  }
  return actions;
}

limit_actions rate_limiter::OnNextTokenTime(monotonic_time now) {
  limit_actions actions;
  AdmitAllWaiting(now, actions);
  return actions;
}

limit_actions rate_limiter::OnRelease(monotonic_time now) {
  limit_actions actions;
  Append(loans_.OnRelease(now), actions);
  return actions;
}

const entry_ref* rate_limiter::HomeOf(const workspace_id& workspace) const {
  return options_.has_homes ? homes_.HomeOf(workspace) : nullptr;
}

// Takes a token without counting an arrival: the request was counted when it
// came.
bool rate_limiter::TakeToken(const workspace_id& workspace,
                             monotonic_time now) {
  workspace_limit* limit = limits_.Find(workspace);
  const bool is_valid = limit != nullptr && !limit->is_withdrawn;
  if (is_valid && limit->bucket.TryTake(now)) return true;
  return options_.has_homes && homes_.TakeReceivedToken(workspace, now);
}

void rate_limiter::AdmitWaiting(const workspace_id& workspace,
                                monotonic_time now, limit_actions& actions) {
  const auto take_token = [&] { return TakeToken(workspace, now); };
  for (const wait_ticket ticket :
       waiting_.TakeAdmitted(workspace, take_token)) {
    actions.emplace_back(admit_waiting{ticket});
  }
}

void rate_limiter::AdmitAllWaiting(monotonic_time now, limit_actions& actions) {
  if (options_.has_homes)
    Append(homes_.AnswerHeldRequests(limits_, now), actions);
  for (const workspace_id& workspace : waiting_.WaitingWorkspaces()) {
    AdmitWaiting(workspace, now, actions);
  }
}

// Returns true also while an entry that has just started knows no lenders. If
// it rejected at once, a caller that stays with it would be rejected a thousand
// times in the second until the first loan, and would see 429 inside its rate
// after each restart.
bool rate_limiter::MayBorrow(const workspace_id& workspace,
                             monotonic_time now) const {
  if (!options_.has_loans) return false;
  const bool has_just_started = !knows_lenders_ && now < share_starts_at_;
  return has_just_started || loans_.MayBorrow(workspace, now);
}

}  // namespace citron
