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
  duration cost{};              // Expected slot time.
  monotonic_time latest_start;  // Deadline minus expected service time.
};

// Shares slot time between workspaces by weight. Within a workspace, the
// request with the smallest `latest_start` goes first.
class fair_queue {
 public:
  void Push(const queued_request& request);
  // Removes and returns the next request, or the next short request if
  // `long_allowed` is false.
  std::optional<queued_request> Pop(bool long_allowed);
  // Removes `request`, which must be equal to the pushed request.
  void Remove(const queued_request& request);
  // Returns the request to reject when the queue is full: the request with the
  // greatest `latest_start`, of the workspace with most queued cost for its
  // weight.
  std::optional<queued_request> RejectionCandidate() const;

  bool IsEmpty() const { return size_ == 0; }
  std::size_t Size() const { return size_; }
  // Expected slot time of the queued short requests, and of all queued
  // requests.
  duration ShortCost() const { return short_cost_; }
  duration TotalCost() const { return total_cost_; }
  // Returns the slot time that will be assigned before a request of `workspace`
  // that must start by `latest_start`, counting short requests only or all
  // requests.
  duration CostAhead(const workspace_id& workspace, double weight,
                     monotonic_time latest_start, duration cost,
                     bool short_only) const;

 private:
  using start_order = std::pair<monotonic_time, request_id>;
  using lane = std::map<start_order, queued_request>;
  struct workspace_queue {
    std::uint64_t tie_breaker = 0;  // Makes the order deterministic.
    lane short_lane;
    lane long_lane;
    duration short_cost{};
    duration long_cost{};
    double weight = 1;
    // Slot seconds assigned, divided by the weight, and raised with
    // virtual_now_ while the workspace is idle or held back.
    double virtual_time = 0;
    bool IsEmpty() const { return short_lane.empty() && long_lane.empty(); }
  };
  struct schedule_position {
    double virtual_time = 0;
    std::uint64_t tie_breaker = 0;
    workspace_queue* queue = nullptr;

    friend bool operator<(const schedule_position& a,
                          const schedule_position& b) {
      if (a.virtual_time != b.virtual_time) {
        return a.virtual_time < b.virtual_time;
      }
      return a.tie_breaker < b.tie_breaker;
    }
  };

  static duration CostStartingBy(const lane& l, duration total,
                                 monotonic_time start);
  static schedule_position PositionOf(workspace_queue& q);
  static lane* NextLane(workspace_queue& q, bool long_allowed);
  void Reset();
  queued_request Extract(workspace_queue& q, lane& l, lane::iterator at);

  std::unordered_map<workspace_id, workspace_queue> workspaces_;
  std::set<schedule_position> schedule_;  // Workspaces with queued requests.
  std::uint64_t next_tie_breaker_ = 0;
  double virtual_now_ = 0;
  std::size_t size_ = 0;
  duration short_cost_{};
  duration total_cost_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_FAIR_QUEUE_H_
