#include "citron/policy/upstream_reach.h"

#include <algorithm>

namespace citron {

// Load pattern: a network partition between this VM and all upstreams, while
// callers still reach the VM. Judged one by one, the upstreams would cost each
// request a timeout, and all would be backed off from when the partition ends.

upstream_reach::upstream_reach(const upstream_reach_options& options)
    : options_(options) {}

void upstream_reach::OnConnected(monotonic_time now) {
  connected_at_ = now;
  is_reachable_ = true;
  failed_.clear();
  suspected_.clear();
  probed_.clear();
}

bool upstream_reach::OnConnectFailed(const upstream_id& upstream,
                                     monotonic_time began, std::size_t known,
                                     monotonic_time now) {
  if (began < connected_at_) return false;
  OnUnanswered(upstream, now);
  failed_.insert(upstream);
  const bool was_reachable = is_reachable_;
  if (failed_.size() >= std::min(options_.failures_to_lose, known)) {
    is_reachable_ = false;
  }
  return was_reachable && !is_reachable_;
}

void upstream_reach::OnUnanswered(const upstream_id& upstream,
                                  monotonic_time now) {
  if (suspected_.empty()) failing_since_ = now;
  suspected_.insert(upstream);
}

void upstream_reach::OnAnswered() {
  if (is_reachable_) suspected_ = failed_;
}

bool upstream_reach::WantsProbes(std::size_t known, monotonic_time now) const {
  const bool suspects =
      suspected_.size() >= std::min(options_.suspicions_to_probe, known) &&
      !suspected_.empty();
  return (!is_reachable_ || suspects) && now >= probe_at_;
}

std::vector<upstream_id> upstream_reach::TakeProbes(
    const std::vector<upstream_id>& candidates, monotonic_time now) {
  probe_at_ = now + options_.probe_interval;
  std::vector<upstream_id> taken;
  const auto take = [&] {
    for (const upstream_id& upstream : candidates) {
      if (taken.size() == options_.probes_per_round) return;
      if (probed_.insert(upstream).second) taken.push_back(upstream);
    }
  };
  take();
  if (taken.empty()) {
    probed_.clear();
    take();
  }
  return taken;
}

}  // namespace citron
