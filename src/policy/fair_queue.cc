#include "citron/policy/fair_queue.h"

#include <algorithm>
#include <utility>

namespace citron {
namespace {

constexpr double kSmallestWeight = 1e-6;

}  // namespace

// Answers: one workspace that sends several times its part. In a queue by
// arrival it takes the slots in proportion to what it sends, and the small
// workspaces wait behind it; one notices by the worst-served workspace. Here
// each workspace has a clock of the slot time that it was given over its
// weight, and the one that is furthest behind goes next.
//
// Deficit round robin does the same for costs that are alike. Ours differ a
// thousandfold (reports beside look-ups): a quantum as small as a look-up makes
// a report wait for hundreds of rounds, one as large as a report lets a
// workspace send hundreds of look-ups in a row. A virtual clock has no quantum.
//
// Inside a workspace the order is by the latest start, which is by deadline for
// requests of one class; a report with a later deadline may still have to start
// sooner than a look-up.

fair_queue::turn fair_queue::TurnOf(workspace_queue& q) {
  return turn{q.virtual_time, q.number, &q};
}

void fair_queue::Push(const queued_request& request) {
  const auto [found, added] = workspaces_.try_emplace(request.workspace);
  workspace_queue& q = found->second;
  if (added) q.number = next_number_++;
  q.weight = std::max(request.weight, kSmallestWeight);
  if (q.IsEmpty()) {
    // A workspace that was away can't save up a claim to the slots.
    q.virtual_time = std::max(q.virtual_time, virtual_now_);
    turns_.insert(TurnOf(q));
  }
  lane& l = request.long_running ? q.long_lane : q.short_lane;
  l.emplace(order{request.latest_start, request.id}, request);
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
  const order& next_long = q.long_lane.begin()->first;
  const order& next_short = q.short_lane.begin()->first;
  return next_long < next_short ? &q.long_lane : &q.short_lane;
}

queued_request fair_queue::Take(workspace_queue& q, lane& l,
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
  for (auto next = turns_.begin(); next != turns_.end(); ++next) {
    workspace_queue& q = *next->queue;
    lane* l = NextLane(q, long_allowed);
    if (l == nullptr) continue;
    turns_.erase(next);
    const queued_request taken = Take(q, *l, l->begin());
    const double charge = ToSeconds(taken.cost) / q.weight;
    // Only a workspace whose long work was held back falls behind the clock.
    // Without this bound it would take every slot until it had caught up.
    q.virtual_time = std::max(q.virtual_time, virtual_now_ - charge);
    virtual_now_ = std::max(virtual_now_, q.virtual_time);
    q.virtual_time += charge;
    if (!q.IsEmpty()) turns_.insert(TurnOf(q));
    if (turns_.empty()) Reset();
    return taken;
  }
  return std::nullopt;
}

// Nobody waits, so nobody is owed anything; workspaces that went for good don't
// pile up.
void fair_queue::Reset() {
  workspaces_.clear();
  virtual_now_ = 0;
}

void fair_queue::Remove(const queued_request& request) {
  const auto found = workspaces_.find(request.workspace);
  if (found == workspaces_.end()) return;
  workspace_queue& q = found->second;
  lane& l = request.long_running ? q.long_lane : q.short_lane;
  const auto at = l.find(order{request.latest_start, request.id});
  if (at == l.end()) return;
  Take(q, l, at);
  if (q.IsEmpty()) turns_.erase(TurnOf(q));
  if (turns_.empty()) Reset();
}

std::optional<queued_request> fair_queue::Surplus() const {
  const workspace_queue* most = nullptr;
  double most_cost = -1;
  for (const turn& t : turns_) {
    const workspace_queue& q = *t.queue;
    const double cost = ToSeconds(q.short_cost + q.long_cost) / q.weight;
    if (cost <= most_cost) continue;
    most = &q;
    most_cost = cost;
  }
  if (most == nullptr) return std::nullopt;
  if (most->short_lane.empty()) return most->long_lane.rbegin()->second;
  if (most->long_lane.empty()) return most->short_lane.rbegin()->second;
  const auto& last_short = *most->short_lane.rbegin();
  const auto& last_long = *most->long_lane.rbegin();
  return last_short.first < last_long.first ? last_long.second
                                            : last_short.second;
}

// New requests mostly come in near the end, so this counts back from there.
duration fair_queue::AheadIn(const lane& l, duration total,
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
  const workspace_queue* mine = nullptr;
  duration own{};
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    mine = &found->second;
    own += AheadIn(mine->short_lane, mine->short_cost, latest_start);
    if (!short_only) {
      own += AheadIn(mine->long_lane, mine->long_cost, latest_start);
    }
  }
  // By the time that this workspace has been given this much, each other one
  // has been given as much for its weight, if it had it queued.
  const double rounds =
      ToSeconds(own + cost) / std::max(weight, kSmallestWeight);
  double ahead = ToSeconds(own);
  for (const turn& t : turns_) {
    const workspace_queue& q = *t.queue;
    if (&q == mine) continue;
    const duration queued =
        short_only ? q.short_cost : q.short_cost + q.long_cost;
    ahead += std::min(ToSeconds(queued), rounds * q.weight);
  }
  return FromSeconds(ahead);
}

}  // namespace citron
