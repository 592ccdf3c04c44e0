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

enum class view_distance : std::uint8_t { kZone, kRegion, kRemoteRegion };

// A VM that receives this VM's view.
struct view_peer {
  vm_id vm;
  view_distance distance = view_distance::kZone;
  incarnation_number incarnation = 0;
  bool silent = false;
};

// Summary of this VM's view for the pacer.
struct paced_view {
  // Digest of everything that the peers must receive at once.
  std::uint64_t urgent = 0;
  // Loads by service and loop.
  std::map<std::pair<service_id, int>, scheduler_load> loads;
  double bytes = 0;  // Size of one message.
};

struct view_pacer_options {
  // Budget of views to all peers together; urgent messages may exceed it.
  double bytes_per_s = 1500;
  // Least interval of messages with changed loads within this VM's zone,
  // before the budget stretches it; also the interval at which OnView is
  // called.
  duration interval = FromMilliseconds(200);
};

namespace view_pacer_action {

struct send_view {
  vm_id to;
  // Planned time until the next message if nothing changes; a lack of byte
  // allowance may delay that message.
  duration next_within{};
};

}  // namespace view_pacer_action

// Decides when a VM's view is sent to which peer: urgent changes at once to all
// peers, loads by distance and change under a budget of bytes, and repeats of
// an unchanged view at long intervals.
class view_pacer {
 public:
  using action = std::variant<view_pacer_action::send_view>;
  using actions = std::vector<action>;

  explicit view_pacer(view_pacer_options options) : options_(options) {}

  // Sets all current peers. A new, restarted or returned peer gets the view at
  // the next OnView.
  void SetPeers(const std::vector<view_peer>& peers);
  // Takes the current view; called at every interval and at each urgent change.
  actions OnView(const paced_view& view, monotonic_time now);

  // Returns the interval between messages to a peer at that distance while the
  // view doesn't change.
  duration RepeatInterval(view_distance distance) const;
  // Returns the interval between messages to a peer at that distance while
  // loads change.
  duration ChangeInterval(view_distance distance) const;

 private:
  // Counters of changes. A peer is behind where its counters differ from the
  // current ones.
  struct versions {
    std::uint64_t urgent = 0;
    std::uint64_t band = 0;   // An expected wait changed its band.
    std::uint64_t load = 0;   // Any change but of mean service times.
    std::uint64_t large = 0;  // A change beyond a threshold.
  };
  struct peer_state {
    view_peer peer;
    versions sent;
    monotonic_time sent_at;
    // Whether a view was sent since the peer's last start or return.
    bool has_view = false;
    // Whether the last message had changed loads or was urgent, and so must be
    // repeated in case it is lost.
    bool needs_repeat = false;
    bool needs_urgent_repeat = false;
    bool is_current = false;
  };
  struct due_peer {
    peer_state* state = nullptr;
    double lateness = 0;  // Time since the last message, in intervals.
  };
  struct send_intervals {
    duration change{};
    duration repeat{};
  };
  using base_intervals = std::map<view_distance, duration>;

  void CountChanges(const paced_view& view);
  bool IsUrgent(const peer_state& state) const;
  // Returns the time since the last message in intervals; a message is due at 1
  // or more.
  double Lateness(const peer_state& state, monotonic_time now) const;
  double BytesPerSecond(view_distance distance, duration interval) const;
  duration StretchedInterval(const base_intervals& base, view_distance distance,
                             double budget) const;
  void Refill(monotonic_time now);
  double& ByteAllowance(const peer_state& state);
  void Send(peer_state& state, monotonic_time now, actions& out);

  view_pacer_options options_;
  std::map<vm_id, peer_state> peers_;
  std::map<view_distance, int> peer_counts_;
  // Computed at each OnView.
  std::map<view_distance, send_intervals> intervals_;
  versions current_;
  paced_view last_view_;
  // Loads at the last large change. Small changes add up against these loads.
  std::map<std::pair<service_id, int>, scheduler_load> large_loads_;
  bool has_last_view_ = false;
  // Bytes left for peers of this VM's zone and for all other peers.
  double zone_allowance_ = 0;
  double others_allowance_ = 0;
  monotonic_time refilled_at_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_VIEW_PACER_H_
