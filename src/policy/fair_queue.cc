#include "citron/policy/fair_queue.h"

#include <algorithm>
#include <utility>

namespace citron {
namespace {

// Prevents division by zero.
constexpr double kMinWeight = 1e-6;

}  // namespace

// Handles a workspace that sends several times its share. In a queue ordered by
// arrival that workspace takes slots in proportion to its requests, and
// requests of small workspaces wait behind its requests; the worst-served
// workspace suffers most. Here each workspace has a virtual time, the slot time
// that it received divided by its weight, and the workspace with the lowest
// virtual time goes next. The queue's own virtual time, virtual_now_, bounds
// how far an idle or held-back workspace may fall behind.
//
// Deficit round robin gives the same result for similar costs. Costs here
// differ a thousandfold (reports and look-ups): with a quantum the size of a
// look-up a report waits for hundreds of rounds, and with a quantum the size of
// a report a workspace sends hundreds of look-ups in a row. Virtual time needs
// no quantum.
//
// Within a workspace requests are ordered by latest start, which is the order
// of deadlines for requests of one class. A report with a later deadline may
// have to start sooner than a look-up.

fair_queue::schedule_position fair_queue::PositionOf(workspace_queue& q) {
  return schedule_position{q.virtual_time, q.tie_breaker, &q};
}

void fair_queue::Push(const queued_request& request) {
  const auto [found, added] = workspaces_.try_emplace(request.workspace);
  workspace_queue& q = found->second;
  if (added) q.tie_breaker = next_tie_breaker_++;
  q.weight = std::max(request.weight, kMinWeight);
  if (q.IsEmpty()) {
    // An idle workspace must not accumulate a claim to slots.
    q.virtual_time = std::max(q.virtual_time, virtual_now_);
    schedule_.insert(PositionOf(q));
  }
  lane& l = request.long_running ? q.long_lane : q.short_lane;
  l.emplace(start_order{request.latest_start, request.id}, request);
  (request.long_running ? q.long_cost : q.short_cost) += request.cost;
  if (!request.long_running) short_cost_ += request.cost;
  total_cost_ += request.cost;
  ++size_;
}

fair_queue::lane* fair_queue::NextLane(workspace_queue& q, bool long_allowed) {
  if (!long_allowed || q.long_lane.empty()) {
    return q.short_lane.empty() ? nullptr : &q.short_lane;
  }
  if (q.short_lane.empty()) return &q.long_lane;
  const start_order& next_long = q.long_lane.begin()->first;
  const start_order& next_short = q.short_lane.begin()->first;
  return next_long < next_short ? &q.long_lane : &q.short_lane;
}

queued_request fair_queue::Extract(workspace_queue& q, lane& l,
                                   lane::iterator at) {
  queued_request taken = std::move(at->second);
  l.erase(at);
  (taken.long_running ? q.long_cost : q.short_cost) -= taken.cost;
  if (!taken.long_running) short_cost_ -= taken.cost;
  total_cost_ -= taken.cost;
  --size_;
  return taken;
}

std::optional<queued_request> fair_queue::Pop(bool long_allowed) {
  for (auto next = schedule_.begin(); next != schedule_.end(); ++next) {
    workspace_queue& q = *next->queue;
    lane* l = NextLane(q, long_allowed);
    if (l == nullptr) continue;
    schedule_.erase(next);
    const queued_request taken = Extract(q, *l, l->begin());
    const double charge = ToSeconds(taken.cost) / q.weight;
    // Only a workspace whose long requests were held back falls behind
    // virtual_now_. Without this bound it would take every slot until it had
    // caught up.
    q.virtual_time = std::max(q.virtual_time, virtual_now_ - charge);
    virtual_now_ = std::max(virtual_now_, q.virtual_time);
    q.virtual_time += charge;
    if (!q.IsEmpty()) schedule_.insert(PositionOf(q));
    if (schedule_.empty()) Reset();
    return taken;
  }
  return std::nullopt;
}

// With no request queued, no workspace has a claim to slots. Clearing also
// removes workspaces that never return.
void fair_queue::Reset() {
  workspaces_.clear();
  virtual_now_ = 0;
}

void fair_queue::Remove(const queued_request& request) {
  const auto found = workspaces_.find(request.workspace);
  if (found == workspaces_.end()) return;
  workspace_queue& q = found->second;
  lane& l = request.long_running ? q.long_lane : q.short_lane;
  const auto at = l.find(start_order{request.latest_start, request.id});
  if (at == l.end()) return;
  Extract(q, l, at);
  if (q.IsEmpty()) schedule_.erase(PositionOf(q));
  if (schedule_.empty()) Reset();
}

std::optional<queued_request> fair_queue::RejectionCandidate() const {
  const workspace_queue* largest = nullptr;
  double largest_cost = -1;
  for (const schedule_position& position : schedule_) {
    const workspace_queue& q = *position.queue;
    const double cost = ToSeconds(q.short_cost + q.long_cost) / q.weight;
    if (cost <= largest_cost) continue;
    largest = &q;
    largest_cost = cost;
  }
  if (largest == nullptr) return std::nullopt;
  if (largest->short_lane.empty()) return largest->long_lane.rbegin()->second;
  if (largest->long_lane.empty()) return largest->short_lane.rbegin()->second;
  const auto& last_short = *largest->short_lane.rbegin();
  const auto& last_long = *largest->long_lane.rbegin();
  return last_short.first < last_long.first ? last_long.second
                                            : last_short.second;
}

// Most new requests belong near the end of the lane. The scan therefore runs
// backward from the end and subtracts the cost of requests that start later
// from the total.
duration fair_queue::CostStartingBy(const lane& l, duration total,
                                    monotonic_time start) {
  for (auto at = l.rbegin(); at != l.rend(); ++at) {
    if (at->first.first <= start) break;
    total -= at->second.cost;
  }
  return total;
}

duration fair_queue::CostAhead(const workspace_id& workspace, double weight,
                               monotonic_time latest_start, duration cost,
                               bool short_only) const {
  const workspace_queue* target = nullptr;
  duration target_cost{};
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    target = &found->second;
    target_cost +=
        CostStartingBy(target->short_lane, target->short_cost, latest_start);
    if (!short_only) {
      target_cost +=
          CostStartingBy(target->long_lane, target->long_cost, latest_start);
    }
  }
  // Estimates the slot time of other workspaces, assuming equal virtual times:
  // while `workspace` receives target_cost + cost, every other workspace
  // receives as much for its weight, up to its queued cost.
  const double normalized_cost =
      ToSeconds(target_cost + cost) / std::max(weight, kMinWeight);
  double ahead = ToSeconds(target_cost);
  for (const schedule_position& position : schedule_) {
    const workspace_queue& q = *position.queue;
    if (&q == target) continue;
    const duration queued =
        short_only ? q.short_cost : q.short_cost + q.long_cost;
    ahead += std::min(ToSeconds(queued), normalized_cost * q.weight);
  }
  return FromSeconds(ahead);
}

}  // namespace citron
