#include "citron/protocol/token_home.h"

#include <algorithm>

#include "citron/base/digest.h"

namespace citron {

namespace {

// The retry time with too many pending token requests, and the longest retry
// time while the home lacks a share that loans may bring: about a round trip
// between regions.
constexpr duration kShortRetry = std::chrono::milliseconds(150);

// The retry time when the home has no contract or can't predict its next token.
constexpr duration kLongRetry = std::chrono::seconds(1);

// A longer retry time, from a hostile message, would keep the workspace out.
constexpr std::int64_t kMaxRetryMs = 60'000;

// Below this share of the contract, loans may bring more.
constexpr std::int64_t kNearlyFullPpb = kWholePpb / 10 * 9;

// Records are kept far longer than any message takes.
constexpr duration kRecordRetention = std::chrono::seconds(30);
constexpr duration kCleanupInterval = std::chrono::seconds(5);

std::uint64_t MixBits(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9u;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

// The hash leaves out the incarnation: a restarted entry is the home again.
std::uint64_t HashOf(const entry_ref& entry) {
  return HashBytes(entry.vm.Str(), static_cast<std::uint64_t>(entry.loop));
}

std::int64_t ToMsRoundedUp(duration d) {
  return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

}  // namespace

token_home::token_home(entry_ref self, const admission& limits,
                       const token_home_settings& settings)
    : self_(std::move(self)), limits_(limits), settings_(settings) {}

void token_home::SetLive(std::vector<entry_ref> live) {
  std::sort(live.begin(), live.end());
  const bool is_same = std::equal(
      live.begin(), live.end(), live_.begin(), live_.end(),
      [](const entry_ref& a, const live_entry& b) { return a == b.ref; });
  if (is_same) return;
  live_.clear();
  for (entry_ref& entry : live) {
    const std::uint64_t hash = HashOf(entry);
    live_.push_back({std::move(entry), hash});
  }
  home_of_.clear();
}

// Handles a contract that is small against the number of VMs: each VM's share
// of the burst is a few tokens or less than one, so that requests inside the
// rate find none wherever they arrive. Loans alone don't help, since each VM
// would need whole tokens of a burst that has fewer tokens than there are VMs.
// One entry that holds all tokens admits as a single bucket would.
//
// A home costs a round trip, so workspaces whose share here carries a burst of
// its own have no home. At a load of 0.8 and two tokens per VM, 13% of the
// requests inside the rate are refused without a home and 0.7% with one; with
// three tokens 1.9% (4% beside an overload) and 0.5%; with four less than 1.5%
// without a home, and lost token requests cost nearly as much.
bool token_home::IsSmall(const workspace_id& workspace) const {
  const std::int64_t own = limits_.GrantedPpb();
  // Without a share, the size of the future share is unknown.
  if (own <= 0) return false;
  const workspace_limit* limit = limits_.Find(workspace);
  if (limit == nullptr || limit->is_withdrawn) return false;
  const double capacity = limit->bucket.ContractBurst() *
                          static_cast<double>(own) /
                          static_cast<double>(kWholePpb);
  return capacity < settings_.small_capacity;
}

// Rendezvous hashing over the live entries: when a home goes, only its
// workspaces move. Two entries may disagree about a home for a while, as their
// views do. That is harmless: each entry grants from its own bucket, so that a
// wrong home has fewer tokens to grant, but never a token that another entry
// may grant too.
const entry_ref* token_home::HomeOf(const workspace_id& workspace) const {
  if (live_.empty() || !IsSmall(workspace)) return nullptr;
  const auto [found, added] = home_of_.try_emplace(workspace, 0);
  if (added) {
    const std::uint64_t hash = HashBytes(workspace.Str());
    const auto best = std::max_element(
        live_.begin(), live_.end(),
        [hash](const live_entry& a, const live_entry& b) {
          return MixBits(a.hash ^ hash) < MixBits(b.hash ^ hash);
        });
    found->second = static_cast<std::size_t>(best - live_.begin());
  }
  return &live_[found->second].ref;
}

home_role token_home::RoleOf(const workspace_id& workspace) const {
  const entry_ref* home = HomeOf(workspace);
  if (home == nullptr) return home_role::kNone;
  return *home == self_ ? home_role::kSelf : home_role::kElsewhere;
}

// After a refusal, the home gets no request before the retry time that it gave.
// Otherwise each request of a caller that sends several times its rate would
// cost two messages, from all VMs to one home.
token_search_result token_home::FindToken(const workspace_id& workspace,
                                          monotonic_time now) {
  DropOldRecords(now);
  if (TakeReceivedToken(workspace, now)) return admitted{};
  const entry_ref* home = HomeOf(workspace);
  if (home == nullptr || *home == self_) return no_remote_home{};
  workspace_requests& asked = asked_[workspace];
  const auto& refused = asked.refused;
  if (refused && refused->home == *home && now < refused->until) {
    return over_rate{refused->until};
  }
  std::erase_if(asked.sent, [now](const auto& item) {
    return item.second.usable_until <= now;
  });
  if (asked.sent.size() >= settings_.max_pending_requests) {
    return over_rate{now + kShortRetry};
  }
  const std::uint64_t number = next_number_++;
  asked.sent[number] = {*home, now + settings_.token_lifetime};
  return send_token_request{*home, {workspace, number}};
}

// A token counts once, and only until the home may assume that it is no longer
// used. A token granted by a contract with a larger burst than the one known
// here would come on top of the smaller burst.
grant_result token_home::OnTokenGrant(const entry_ref& from,
                                      const token_grant& grant,
                                      monotonic_time now) {
  const auto asked = asked_.find(grant.workspace);
  if (asked == asked_.end()) return grant_ignored{};
  const auto sent = asked->second.sent.find(grant.number);
  if (sent == asked->second.sent.end()) return grant_ignored{};
  if (sent->second.to != from) return grant_ignored{};
  const monotonic_time usable_until = sent->second.usable_until;
  asked->second.sent.erase(sent);
  if (!grant.granted) {
    const std::int64_t ms =
        std::clamp<std::int64_t>(grant.retry_ms, 1, kMaxRetryMs);
    const monotonic_time until = now + std::chrono::milliseconds(ms);
    asked->second.refused = pause{from, until};
    return over_rate{until};
  }
  const workspace_limit* limit = limits_.Find(grant.workspace);
  if (limit == nullptr || limit->is_withdrawn) return grant_ignored{};
  if (grant.burst > limit->bucket.ContractBurst()) return grant_ignored{};
  if (now >= usable_until) return grant_ignored{};
  asked->second.received_until.push_back(usable_until);
  return admitted{};
}

bool token_home::TakeReceivedToken(const workspace_id& workspace,
                                   monotonic_time now) {
  const auto asked = asked_.find(workspace);
  if (asked == asked_.end()) return false;
  std::deque<monotonic_time>& spare = asked->second.received_until;
  std::erase_if(spare, [now](monotonic_time until) { return until <= now; });
  if (spare.empty()) return false;
  spare.pop_front();
  return true;
}

// Tokens in flight or kept here were granted by the previous contract; a
// smaller contract has no room for them.
void token_home::OnContractChanged(const workspace_id& workspace) {
  asked_.erase(workspace);
}

// Only shares that last until the token has been used may cover it: if a loan
// ended earlier, its lender's bucket would fill while the token is in flight.
bool token_home::CanGrantToken(token_bucket& bucket, monotonic_time now) const {
  bucket.Advance(now);
  const monotonic_time used_by =
      now + settings_.token_lifetime + 2 * settings_.margin;
  return bucket.Tokens() >= 1 && bucket.CapacityUntil(used_by) >= 1;
}

send_token_grant token_home::Grant(token_bucket& bucket, const entry_ref& to,
                                   const workspace_id& workspace,
                                   std::uint64_t number,
                                   monotonic_time now) const {
  bucket.ReserveCapacity(1, now + settings_.token_lifetime + settings_.margin,
                         now);
  return {to, {workspace, number, true, 0, bucket.ContractBurst()}};
}

send_token_grant token_home::Refuse(token_bucket& bucket, const entry_ref& to,
                                    const workspace_id& workspace,
                                    std::uint64_t number,
                                    monotonic_time now) const {
  const monotonic_time next =
      bucket.NextTokenAt(now).value_or(now + kLongRetry);
  // The time by the present shares; more shares may arrive by loans.
  const bool is_lacking = bucket.Ppb() < kNearlyFullPpb;
  const duration wait = std::max(next - now, duration::zero());
  const duration retry_after = is_lacking ? std::min(wait, kShortRetry) : wait;
  return {to, {workspace, number, false, ToMsRoundedUp(retry_after), 0}};
}

// The token request counts as demand of this entry, which borrows for it. A
// repeated request gets no second reply, which would spend a token that the
// requester drops.
token_grants token_home::OnTokenAsk(admission& limits, const entry_ref& from,
                                    const token_request& ask, bool may_borrow,
                                    monotonic_time now) {
  token_grants grants;
  DropOldRecords(now);
  requester& seen = requesters_[{ask.workspace, from}];
  if (ask.number <= seen.number) return grants;
  seen = {ask.number, now};
  workspace_limit* limit = limits.Find(ask.workspace);
  if (limit == nullptr || limit->is_withdrawn) {
    grants.push_back(
        {from,
         {ask.workspace, ask.number, false, ToMsRoundedUp(kLongRetry), 0}});
    return grants;
  }
  token_bucket& bucket = limit->bucket;
  if (CanGrantToken(bucket, now) &&
      std::holds_alternative<admitted>(limits.Admit(ask.workspace, now))) {
    grants.push_back(Grant(bucket, from, ask.workspace, ask.number, now));
    return grants;
  }
  ++limit->arrivals;
  std::deque<held_request>& held = held_[ask.workspace];
  const bool may_hold = may_borrow && bucket.Ppb() < kNearlyFullPpb &&
                        held.size() < settings_.max_pending_requests;
  if (may_hold) {
    held.push_back({from, ask.number, now + settings_.max_hold});
    return grants;
  }
  ++limit->refusals;
  grants.push_back(Refuse(bucket, from, ask.workspace, ask.number, now));
  return grants;
}

token_grants token_home::AnswerHeldRequests(admission& limits,
                                            monotonic_time now) {
  token_grants grants;
  for (auto& [workspace, held] : held_) {
    workspace_limit* limit = limits.Find(workspace);
    if (limit == nullptr) {
      held.clear();
      continue;
    }
    token_bucket& bucket = limit->bucket;
    while (!held.empty() && CanGrantToken(bucket, now)) {
      bucket.TryTake(now);
      const held_request& first = held.front();
      grants.push_back(Grant(bucket, first.from, workspace, first.number, now));
      held.pop_front();
    }
    while (!held.empty() && held.front().give_up_at <= now) {
      const held_request& first = held.front();
      grants.push_back(
          Refuse(bucket, first.from, workspace, first.number, now));
      held.pop_front();
    }
  }
  std::erase_if(held_, [](const auto& item) { return item.second.empty(); });
  return grants;
}

// Drops expired token requests and tokens, and requesters unseen for
// kRecordRetention. A repeated request that arrives even later costs the home a
// token that nobody uses.
void token_home::DropOldRecords(monotonic_time now) {
  if (now < next_cleanup_at_) return;
  next_cleanup_at_ = now + kCleanupInterval;
  std::erase_if(requesters_, [&](const auto& item) {
    return item.second.seen_at < now - kRecordRetention;
  });
  for (auto& [workspace, asked] : asked_) {
    std::erase_if(asked.sent, [now](const auto& item) {
      return item.second.usable_until <= now;
    });
    std::erase_if(asked.received_until,
                  [now](monotonic_time until) { return until <= now; });
  }
  std::erase_if(asked_, [now](const auto& item) {
    const workspace_requests& asked = item.second;
    const bool is_paused = asked.refused && now < asked.refused->until;
    return asked.sent.empty() && asked.received_until.empty() && !is_paused;
  });
}

}  // namespace citron
