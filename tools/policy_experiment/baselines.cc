#include "baselines.h"

#include <algorithm>
#include <optional>

namespace citron {
namespace {

constexpr duration kRetry = std::chrono::milliseconds(200);

}  // namespace

plain_queue_policy::plain_queue_policy(
    const std::vector<upstream_capacity>& upstreams, std::size_t bound)
    : bound_(bound) {
  for (const upstream_capacity& u : upstreams) upstreams_.push_back({u});
}

plain_queue_policy::actions plain_queue_policy::OnRequest(
    const scheduler_request& request, monotonic_time now) {
  actions out;
  if (queue_.size() >= bound_) {
    out.emplace_back(
        refuse_action{request.id, refusal_reason::kQueueFull, now + kRetry});
    return out;
  }
  queue_.push_back(request.id);
  Dispatch(out);
  return out;
}

plain_queue_policy::actions plain_queue_policy::OnOutcome(
    const request_id& id, upstream_outcome outcome, monotonic_time now) {
  actions out;
  --upstreams_[sent_to_.at(id)].in_flight;
  sent_to_.erase(id);
  if (IsNotRun(outcome)) {
    out.emplace_back(
        refuse_action{id, refusal_reason::kNoUpstream, now + kRetry});
  }
  Dispatch(out);
  return out;
}

void plain_queue_policy::Dispatch(actions& out) {
  while (!queue_.empty()) {
    const auto least =
        std::min_element(upstreams_.begin(), upstreams_.end(),
                         [](const upstream_use& a, const upstream_use& b) {
                           return a.in_flight - a.capacity.slots <
                                  b.in_flight - b.capacity.slots;
                         });
    if (least->in_flight >= least->capacity.slots) return;
    ++least->in_flight;
    sent_to_[queue_.front()] = least - upstreams_.begin();
    out.emplace_back(send_action{queue_.front(), least->capacity.id});
    queue_.pop_front();
  }
}

split_queue_policy::split_queue_policy(
    const scheduler_options& options,
    const std::vector<upstream_capacity>& upstreams, std::uint64_t seed) {
  for (const upstream_capacity& u : upstreams) {
    schedulers_.emplace_back(options, seed++);
    schedulers_.back().SetUpstreams({u}, monotonic_time());
  }
}

split_queue_policy::actions split_queue_policy::OnRequest(
    const scheduler_request& request, monotonic_time now) {
  std::size_t least = 0;
  int least_work = -1;
  for (std::size_t i = 0; i < schedulers_.size(); ++i) {
    const scheduler_load load = schedulers_[i].Load(now);
    const int work = load.in_flight + load.queued;
    if (least_work >= 0 && work >= least_work) continue;
    least = i;
    least_work = work;
  }
  joined_[request.id] = least;
  return schedulers_[least].OnRequest(request, now);
}

split_queue_policy::actions split_queue_policy::OnOutcome(
    const request_id& id, upstream_outcome outcome, monotonic_time now) {
  return schedulers_[joined_.at(id)].OnOutcome(id, outcome, now);
}

split_queue_policy::actions split_queue_policy::OnTimer(monotonic_time now) {
  actions out;
  for (service_scheduler& s : schedulers_) {
    actions more = s.OnTimer(now);
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

std::optional<monotonic_time> split_queue_policy::NextTimer() const {
  std::optional<monotonic_time> next;
  for (const service_scheduler& s : schedulers_) {
    const auto at = s.NextTimer();
    if (at && (!next || *at < *next)) next = at;
  }
  return next;
}

lagging_report_policy::lagging_report_policy(
    const std::vector<upstream_capacity>& upstreams, std::uint64_t seed)
    : random_(seed) {
  for (const upstream_capacity& u : upstreams) reported_[u.id] = 0;
}

upstream_id lagging_report_policy::Least(const upstream_id& except) {
  const upstream_id* best = nullptr;
  std::uint32_t ties = 0;
  int best_load = 0;
  for (const auto& [id, load] : reported_) {
    if (id == except || (best != nullptr && load > best_load)) continue;
    ties = best != nullptr && load == best_load ? ties + 1 : 1;
    if (ties == 1 || random_(ties) == 0) best = &id;
    best_load = load;
  }
  return *best;
}

lagging_report_policy::actions lagging_report_policy::OnRequest(
    const scheduler_request& request, monotonic_time) {
  const upstream_id least = Least(upstream_id());
  first_try_[request.id] = least;
  return {send_action{request.id, least}};
}

lagging_report_policy::actions lagging_report_policy::OnOutcome(
    const request_id& id, upstream_outcome outcome, monotonic_time now) {
  const auto first = first_try_.find(id);
  if (!IsNotRun(outcome)) {
    if (first != first_try_.end()) first_try_.erase(first);
    return {};
  }
  if (first == first_try_.end()) {
    return {refuse_action{id, refusal_reason::kNoUpstream, now + kRetry}};
  }
  const upstream_id tried = first->second;
  first_try_.erase(first);
  return {send_action{id, Least(tried)}};
}

lagging_report_policy::actions lagging_report_policy::OnReport(
    const upstream_id& id, const upstream_report& report, monotonic_time) {
  reported_[id] = report.in_flight + report.queued;
  return {};
}

}  // namespace citron
