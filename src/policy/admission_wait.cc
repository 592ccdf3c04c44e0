#include "citron/policy/admission_wait.h"

#include <algorithm>

namespace citron {

admission_wait::admission_wait(admission_wait_options options)
    : options_(options) {}

// Load pattern: callers of a VM that has just started. Without a wait until the
// VM's share begins, they would be rejected within their contract for seconds.
// A request whose deadline comes before that waits only for loans.
monotonic_time admission_wait::WaitEnd(const token_prospects& prospects,
                                       monotonic_time now,
                                       monotonic_time deadline) const {
  monotonic_time from = now;
  if (prospects.share_begins_at && *prospects.share_begins_at < deadline) {
    from = std::max(now, *prospects.share_begins_at);
  }
  return std::min(deadline, from + options_.longest_wait);
}

bool admission_wait::TryWait(const workspace_id& workspace, wait_ticket ticket,
                             const token_prospects& prospects,
                             monotonic_time now, monotonic_time deadline) {
  const monotonic_time wait_ends_at = WaitEnd(prospects, now, deadline);
  const std::optional<monotonic_time>& token_at = prospects.local_token_at;
  const bool gets_local_token = token_at && *token_at < wait_ends_at;
  if (wait_ends_at <= now) return false;
  if (!gets_local_token && !prospects.may_borrow) return false;
  if (CountWaiting(workspace) >= WaitingLimit(prospects.contract_rate_per_s)) {
    return false;
  }
  waiting_[workspace].push_back({ticket, wait_ends_at, token_at});
  return true;
}

std::size_t admission_wait::WaitingLimit(double contract_rate_per_s) const {
  const double admitted =
      contract_rate_per_s * ToSeconds(options_.longest_wait);
  return std::max(options_.min_waiting_limit,
                  static_cast<std::size_t>(admitted));
}

std::vector<wait_ticket> admission_wait::TakeAdmitted(
    const workspace_id& workspace, const std::function<bool()>& take_token) {
  std::vector<wait_ticket> taken;
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return taken;
  std::deque<waiting_request>& waiting = found->second;
  while (!waiting.empty() && take_token()) {
    taken.push_back(waiting.front().ticket);
    waiting.pop_front();
  }
  if (waiting.empty()) waiting_.erase(found);
  return taken;
}

std::vector<wait_ticket> admission_wait::TakeExpired(monotonic_time now) {
  std::vector<wait_ticket> taken;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    std::deque<waiting_request>& waiting = it->second;
    std::erase_if(waiting, [&](const waiting_request& request) {
      const bool has_ended = now >= request.wait_ends_at;
      if (has_ended) taken.push_back(request.ticket);
      return has_ended;
    });
    it = waiting.empty() ? waiting_.erase(it) : std::next(it);
  }
  return taken;
}

std::optional<wait_ticket> admission_wait::TakeOldest(
    const workspace_id& workspace) {
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return std::nullopt;
  const wait_ticket oldest = found->second.front().ticket;
  found->second.pop_front();
  if (found->second.empty()) waiting_.erase(found);
  return oldest;
}

void admission_wait::Remove(const workspace_id& workspace, wait_ticket ticket) {
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return;
  std::erase_if(found->second, [&](const waiting_request& request) {
    return request.ticket == ticket;
  });
  if (found->second.empty()) waiting_.erase(found);
}

std::size_t admission_wait::CountWaiting(const workspace_id& workspace) const {
  const auto found = waiting_.find(workspace);
  return found == waiting_.end() ? 0 : found->second.size();
}

std::vector<workspace_id> admission_wait::WaitingWorkspaces() const {
  std::vector<workspace_id> workspaces;
  for (const auto& [workspace, waiting] : waiting_) {
    workspaces.push_back(workspace);
  }
  return workspaces;
}

// Skips an expected time that has passed without a token; the periodic timer
// tries again to admit that request.
std::optional<monotonic_time> admission_wait::NextTokenAt(
    monotonic_time now) const {
  std::optional<monotonic_time> next;
  for (const auto& [workspace, waiting] : waiting_) {
    const std::optional<monotonic_time>& at = waiting.front().token_at;
    if (!at || *at <= now) continue;
    next = next ? std::min(*next, *at) : *at;
  }
  return next;
}

}  // namespace citron
