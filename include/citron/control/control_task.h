#ifndef CITRON_CONTROL_CONTROL_TASK_H_
#define CITRON_CONTROL_CONTROL_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citron/control/config_feed.h"
#include "citron/control/control_context.h"
#include "citron/control/local_daemons.h"
#include "citron/control/share_feed.h"
#include "citron/control/view_exchange.h"
#include "citron/net/http_server.h"
#include "citron/protocol/membership.h"
#include "citron/protocol/view_pacer.h"

namespace citron {

// The VM's only client of the platform: keeps the configuration, the list of
// VMs and the shares, and tells the VM's daemons and the other VMs' controls.
class control_task {
 public:
  static result<std::unique_ptr<control_task>> Make(
      event_loop& loop, const control_settings& settings,
      const std::string& secret, std::unique_ptr<platform_store> store);
  ~control_task();

  const endpoint& PeerAddress() const { return peers_->Address(); }
  const endpoint& MetricsAddress() const { return pages_->Address(); }

  // A planned stop: waits for the VM's daemons, gives the share back, then
  // calls `left`.
  void Leave(std::function<void()> left);

 private:
  control_task(event_loop& loop, const control_settings& settings,
               std::unique_ptr<platform_store> store);
  status Open(const std::string& secret);
  void Start();

  void OnMessage(const envelope& message);
  void OnHello(const hello& message);
  void OnShareApplied(const share_applied& message);
  void OnVmView(const vm_view& view);
  void OnStoreCall(const store_call_message& message);
  void OnConfigChanged(const fleet_config& config);
  void OnViewTimer();
  void OnMembershipTimer();
  void ShowMembershipToShares();

  void PollList();
  void Perform(const membership::actions& actions);
  void SendShare();
  share_update ShareUpdate() const;
  void PushView();
  void SendViewToPeers(vm_view view, monotonic_time now);
  std::vector<view_peer> ViewPeers() const;
  vm_view OwnView(monotonic_time now);
  void ReleaseWhenAlone();

  void OnPage(http_exchange& exchange);
  std::string StatusPage() const;
  void UpdateMetrics();

  event_loop& loop_;
  control_settings settings_;
  std::unique_ptr<platform_store> store_;
  metrics stats_;
  std::unique_ptr<peer_socket> peers_;
  std::unique_ptr<control_context> context_;
  std::unique_ptr<http_server> pages_;
  std::unique_ptr<membership> membership_;
  std::unique_ptr<config_feed> config_;
  std::unique_ptr<share_feed> shares_;
  std::unique_ptr<view_exchange> views_;
  view_pacer pacer_;
  local_daemons locals_;
  loop_timer view_timer_;
  loop_timer list_timer_;
  loop_timer membership_timer_;
  std::uint64_t view_sequence_ = 0;
  bool leaving_ = false;
  std::function<void()> left_;
  std::optional<monotonic_time> release_deadline_;
};

}  // namespace citron

#endif  // CITRON_CONTROL_CONTROL_TASK_H_
