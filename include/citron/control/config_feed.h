#ifndef CITRON_CONTROL_CONFIG_FEED_H_
#define CITRON_CONTROL_CONFIG_FEED_H_

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "citron/control/control_context.h"
#include "citron/platform/retry_backoff.h"

namespace citron {

// Keeps the VM's replica of the configuration: by a watch of the store where
// this VM is its zone's relay, else by pulls from peers. When peers don't keep
// it fresh, the VM watches the store itself.
class config_feed {
 public:
  using on_change = std::function<void(const fleet_config& config)>;

  config_feed(const control_context& context, on_change changed);
  ~config_feed();

  void Start();
  // Whether this VM is the one of its zone that watches the store.
  void SetRelay(bool is_relay);
  // Where a peer's control is reached, so that it can be pulled from.
  void SetPeer(const vm_id& vm, const endpoint& control);

  void OnPeerRevision(const vm_id& peer, config_revision revision,
                      duration age);
  void OnPull(const config_pull_message& message);
  void OnDelta(const config_delta_message& message);
  void OnTimer();

  config_revision Revision() const { return replica_.Revision(); }
  duration Age() const { return replica_.Age(MonotonicNow()); }
  bool StoreReachable() const { return replica_.StoreReachable(); }
  const fleet_config& Config() const { return config_; }

 private:
  bool ShouldWatch(monotonic_time now) const;
  void ReadSnapshot();
  void Watch();
  void OnStoreFailed(const error& problem);
  void Perform(const config_replica::actions& actions);
  void Apply(const config_replica_action::apply& change);

  const control_context& context_;
  on_change changed_;
  config_replica replica_;
  fleet_config config_;
  retry_backoff backoff_;
  std::unordered_map<vm_id, endpoint> peers_;
  bool is_relay_ = true;
  bool call_out_ = false;
  bool has_snapshot_ = false;
  monotonic_time next_try_at_;
};

}  // namespace citron

#endif  // CITRON_CONTROL_CONFIG_FEED_H_
