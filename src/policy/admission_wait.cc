#include "citron/policy/admission_wait.h"

#include <algorithm>

namespace citron {

admission_wait::admission_wait(admission_wait_options options)
    : options_(options) {}

bool admission_wait::TryWait(const workspace_id& workspace,
                             const request_id& id, bool may_borrow,
                             monotonic_time now, monotonic_time deadline) {
  if (!may_borrow) return false;
  std::deque<waiting_request>& waiting = waiting_[workspace];
  // More than a few that wait are a burst over the rate, not the rounding of
  // small parts; they would only come to wait in vain.
  if (waiting.size() >= options_.max_waiting) return false;
  waiting.push_back({id, std::min(deadline, now + options_.longest_wait)});
  return true;
}

std::vector<request_id> admission_wait::TakeAdmitted(
    const workspace_id& workspace,
    const std::function<bool(const workspace_id&)>& admit) {
  std::vector<request_id> taken;
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return taken;
  std::deque<waiting_request>& waiting = found->second;
  while (!waiting.empty() && admit(workspace)) {
    taken.push_back(waiting.front().id);
    waiting.pop_front();
  }
  if (waiting.empty()) waiting_.erase(found);
  return taken;
}

std::vector<request_id> admission_wait::TakeExpired(monotonic_time now) {
  std::vector<request_id> taken;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    std::deque<waiting_request>& waiting = it->second;
    std::erase_if(waiting, [&](const waiting_request& request) {
      const bool is_over = now >= request.give_up_at;
      if (is_over) taken.push_back(request.id);
      return is_over;
    });
    it = waiting.empty() ? waiting_.erase(it) : std::next(it);
  }
  return taken;
}

std::optional<request_id> admission_wait::TakeOldest(
    const workspace_id& workspace) {
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return std::nullopt;
  const request_id oldest = found->second.front().id;
  found->second.pop_front();
  if (found->second.empty()) waiting_.erase(found);
  return oldest;
}

void admission_wait::Remove(const workspace_id& workspace,
                            const request_id& id) {
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return;
  std::erase_if(found->second, [&](const waiting_request& request) {
    return request.id == id;
  });
  if (found->second.empty()) waiting_.erase(found);
}

std::vector<workspace_id> admission_wait::Workspaces() const {
  std::vector<workspace_id> workspaces;
  for (const auto& [workspace, waiting] : waiting_) {
    workspaces.push_back(workspace);
  }
  return workspaces;
}

}  // namespace citron
