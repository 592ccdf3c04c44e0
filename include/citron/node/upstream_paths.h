#ifndef CITRON_NODE_UPSTREAM_PATHS_H_
#define CITRON_NODE_UPSTREAM_PATHS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "citron/base/event_log.h"
#include "citron/config/node_settings.h"
#include "citron/net/metrics.h"
#include "citron/node/connection_path.h"
#include "citron/node/fleet_state.h"
#include "citron/node/upstream_pool.h"
#include "citron/policy/relay_choice.h"
#include "citron/policy/upstream_reach.h"

namespace citron {

class peer_exchange;

// How this VM reaches upstreams: by itself, or through other VMs while it is
// cut off from all upstreams and others are not.
class upstream_paths : public connect_listener {
 public:
  upstream_paths(const node_settings& settings, fleet_state& fleet,
                 event_log& log, metrics& stats);

  // Whether connections of this VM's own can be opened, as far as it knows.
  bool IsReachable() const { return reach_.IsReachable(); }
  // This VM carries requests of another one to the upstream, or did.
  void OnTunnelBegin(const upstream_id& upstream) { ++tunnels_[upstream]; }
  void OnTunnelEnd(const upstream_id& upstream);
  bool HasTunnelsTo(const upstream_id& upstream) const {
    return tunnels_.contains(upstream);
  }
  // Empty if no way to the upstream is known. `is_region_bound`: the request
  // may be handled in some regions only.
  std::optional<connection_path> PathTo(const upstream_tracker& upstream,
                                        bool is_region_bound) const;

  // Whether the VM can be a relay, as far as this VM knows.
  bool IsRelay(const vm_id& vm) const;

  // Of connections of the pool, with or without a relay.
  void OnConnectEnd(const upstream_connection& connection,
                    connect_result result) override;
  // Of a connection that this VM began to open itself at `began`.
  void OnOwnConnectEnd(const upstream_id& upstream, monotonic_time began,
                       connect_result result);
  // Of a request on a connection of this VM's own: it was answered, lost its
  // connection, or had no answer by its deadline.
  void OnAnswered() { reach_.OnAnswered(); }
  void OnConnectionLost(const upstream_id& upstream);
  void OnUnanswered(const upstream_id& upstream);

  // Probes upstreams when that is due, and sees which VMs can be relays; to be
  // called as time passes.
  void Run(upstream_pool& pool, const peer_exchange& peers, monotonic_time now);

 private:
  // What is known of this VM's own open connections while it can't open new
  // ones.
  enum class kept_state {
    kSound,
    kSomeLost,  // Those that are left may work.
    kHanging,
  };

  void OnLost(connect_result result, monotonic_time now);
  void UpdateRelays(upstream_pool& pool, const peer_exchange& peers,
                    monotonic_time now);
  // Closes what goes through relays that are not among those found now.
  void LeaveLostRelays(const std::vector<relay_candidate>& found,
                       upstream_pool& pool, const peer_exchange& peers);
  // Takes back what was concluded from failures that show the path's fault.
  void ForgetConnectFailures(monotonic_time since);
  void Probe(upstream_pool& pool, monotonic_time now);

  const node_settings& settings_;
  fleet_state& fleet_;
  event_log& log_;
  metrics& stats_;
  upstream_reach reach_;
  // Since the last connect that succeeded.
  kept_state kept_ = kept_state::kSound;
  std::map<upstream_id, int> tunnels_;  // Open ones for other VMs.
  std::vector<relay_candidate> relays_;
  monotonic_time look_for_relays_at_{};
  std::map<vm_id, monotonic_time> relay_failed_until_;
};

}  // namespace citron

#endif  // CITRON_NODE_UPSTREAM_PATHS_H_
