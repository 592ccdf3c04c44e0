#ifndef CITRON_PROTOCOL_VIEW_PACER_H_
#define CITRON_PROTOCOL_VIEW_PACER_H_

#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/service_scheduler.h"
#include "citron/protocol/incarnation.h"

namespace citron {

enum class view_distance : std::uint8_t { kZone, kRegion, kFar };

// Another VM that is to hear this one's view.
struct view_peer {
  vm_id vm;
  view_distance distance = view_distance::kZone;
  incarnation_number incarnation = 0;
  bool silent = false;
};

// What the pacer needs to know of the own view.
struct paced_view {
  // Digest of all that the others must hear at once.
  std::uint64_t urgent = 0;
  // For each service and loop.
  std::map<std::pair<service_id, int>, scheduler_load> loads;
  double bytes = 0;  // Of one message.
};

struct view_pacer_options {
  double bytes_per_s = 1500;
  // Changed loads, to the own zone; also how often OnView is called.
  duration interval = FromMilliseconds(200);
};

namespace view_pacer_action {

struct send_view {
  vm_id to;
  // When the next one is due if nothing changes.
  duration next_within{};
};

}  // namespace view_pacer_action

// When and to whom a VM's view is sent: urgent changes at once to all, loads
// by distance and change under a budget of bytes, the rest seldom.
class view_pacer {
 public:
  using action = std::variant<view_pacer_action::send_view>;
  using actions = std::vector<action>;

  explicit view_pacer(view_pacer_options options) : options_(options) {}

  // All that are there now; a new, restarted or returned one is told at once.
  void SetPeers(const std::vector<view_peer>& peers);
  // The view as it is now; called again and again, and at each urgent change.
  actions OnView(const paced_view& view, monotonic_time now);

  // Between two messages to an unchanged VM's peer at that distance.
  duration RepeatInterval(view_distance distance) const;
  // The same while loads change.
  duration ChangeInterval(view_distance distance) const;

 private:
  // Counts of changes; a peer is behind where its own differ.
  struct versions {
    std::uint64_t urgent = 0;
    std::uint64_t band = 0;   // Expected waits crossed a step.
    std::uint64_t load = 0;   // Any change of loads.
    std::uint64_t large = 0;  // Beyond a threshold.
  };
  struct peer_state {
    view_peer peer;
    versions sent;
    monotonic_time sent_at;
    bool told = false;  // Since it is here in this incarnation.
    // The last message had news and may be lost.
    bool unconfirmed = false;
    bool unconfirmed_urgent = false;
    bool listed = false;
  };
  struct due_peer {
    peer_state* state = nullptr;
    double lateness = 0;  // In intervals.
  };
  struct pace {
    duration change{};
    duration repeat{};
  };
  using base_intervals = std::map<view_distance, duration>;

  void NoteChanges(const paced_view& view);
  bool IsUrgent(const peer_state& state) const;
  // When it is late by 1 or more it is due.
  double Lateness(const peer_state& state, monotonic_time now) const;
  double Demand(view_distance distance, duration interval) const;
  duration Stretched(const base_intervals& base, view_distance distance,
                     double budget) const;
  void Refill(monotonic_time now);
  double& AllowanceFor(const peer_state& state);
  void Send(peer_state& state, monotonic_time now, actions& out);

  view_pacer_options options_;
  std::map<vm_id, peer_state> peers_;
  std::map<view_distance, int> counts_;
  std::map<view_distance, pace> pace_;  // As of the last OnView.
  versions now_;
  paced_view view_;
  // The loads at the last large change; small steps add up against it.
  std::map<std::pair<service_id, int>, scheduler_load> large_;
  bool has_view_ = false;
  // Bytes, for the own zone and for the others.
  double zone_allowance_ = 0;
  double others_allowance_ = 0;
  monotonic_time refilled_at_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_VIEW_PACER_H_
