#ifndef CITRON_POLICY_FAIR_QUEUE_H_
#define CITRON_POLICY_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

struct queued_request {
  request_id id;
  workspace_id workspace;
  double weight = 1;
  bool long_running = false;
  duration cost{};              // Slot time that it is expected to take.
  monotonic_time latest_start;  // Deadline less the expected service time.
};

// Shares slot time between workspaces by weight; inside a workspace the request
// that must start first goes first.
class fair_queue {
 public:
  void Push(const queued_request& request);
  // The next one; with `long_allowed` false the next short one.
  std::optional<queued_request> Pop(bool long_allowed);
  // `request` as it was pushed.
  void Remove(const queued_request& request);
  // The request to turn away for room: the one that can wait longest, of the
  // workspace with most queued for its weight.
  std::optional<queued_request> Surplus() const;

  bool IsEmpty() const { return size_ == 0; }
  std::size_t Size() const { return size_; }
  // Slot time of what is queued.
  duration ShortCost() const { return short_cost_; }
  duration TotalCost() const { return total_cost_; }
  // Slot time that will be handed out before a request of the workspace that
  // must start by `latest_start`; of short work only, or of all.
  duration CostAhead(const workspace_id& workspace, double weight,
                     monotonic_time latest_start, duration cost,
                     bool short_only) const;

 private:
  using order = std::pair<monotonic_time, request_id>;
  using lane = std::map<order, queued_request>;
  struct workspace_queue {
    std::uint64_t number = 0;  // Breaks ties, so that runs repeat.
    lane short_lane;
    lane long_lane;
    duration short_cost{};
    duration long_cost{};
    double weight = 1;
    // Slot seconds handed out, over the weight, on the queue's virtual clock.
    double virtual_time = 0;
    bool IsEmpty() const { return short_lane.empty() && long_lane.empty(); }
  };
  struct turn {
    double virtual_time = 0;
    std::uint64_t number = 0;
    workspace_queue* queue = nullptr;

    friend bool operator<(const turn& a, const turn& b) {
      if (a.virtual_time != b.virtual_time) {
        return a.virtual_time < b.virtual_time;
      }
      return a.number < b.number;
    }
  };

  static duration AheadIn(const lane& l, duration total, monotonic_time start);
  static turn TurnOf(workspace_queue& q);
  static lane* NextLane(workspace_queue& q, bool long_allowed);
  void Reset();
  queued_request Take(workspace_queue& q, lane& l, lane::iterator at);

  std::unordered_map<workspace_id, workspace_queue> workspaces_;
  std::set<turn> turns_;  // Of workspaces with something queued.
  std::uint64_t next_number_ = 0;
  double virtual_now_ = 0;
  std::size_t size_ = 0;
  duration short_cost_{};
  duration total_cost_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_FAIR_QUEUE_H_
