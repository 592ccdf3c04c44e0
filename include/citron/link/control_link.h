#ifndef CITRON_LINK_CONTROL_LINK_H_
#define CITRON_LINK_CONTROL_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "citron/config/settings.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_server.h"
#include "citron/net/peer_socket.h"
#include "citron/protocol/config_replica.h"
#include "citron/wire/codec.h"
#include "citron/wire/messages.h"

namespace citron {

struct control_link_options {
  common_settings common;
  endpoint control;
  std::string secret;
  daemon_role role = daemon_role::kEntry;
  int loop = 0;
  int loops = 1;
};

// Of one loop of an entry or a dispatch.
template <class Settings>
control_link_options LinkOptions(const Settings& settings,
                                 const std::string& secret, daemon_role role,
                                 int loop) {
  return {settings.common, settings.control, secret, role, loop,
          settings.loops};
}

// Serves a loop's metrics. The settings name the first loop's port; the others
// take any.
result<std::unique_ptr<http_server>> ServePages(event_loop& loop,
                                                const common_settings& common,
                                                int loop_index,
                                                http_handler handler);

// What an entry's or a dispatch's loop knows through its VM's control: the
// configuration and the other VMs. Also its mailbox for all other messages.
class control_link {
 public:
  struct handlers {
    std::function<void()> on_config;
    std::function<void()> on_view;
    // Messages that the link itself doesn't take.
    std::function<void(const envelope&)> on_message;
  };

  static result<std::unique_ptr<control_link>> Make(
      event_loop& loop, control_link_options options, handlers callbacks);

  // Begins to say hello; `http` is where the task takes requests, `forward`
  // where an entry takes those of other entries.
  void Start(const endpoint& http, const endpoint& forward = {});
  // From now on hellos say that the task is leaving.
  void SetLeaving();

  const fleet_config& Config() const { return config_; }
  // The last moment at which the configuration is known to have been current.
  monotonic_time FreshAsOf() const { return replica_.FreshAsOf(); }
  const std::map<vm_id, vm_seen>& Vms() const { return vms_; }
  const control_link_options& Options() const { return options_; }
  const endpoint& PeerAddress() const { return peers_->Address(); }
  std::uint64_t Incarnation() const { return peers_->Incarnation(); }

  template <class T>
  void Send(const endpoint& to, message_type type, const T& message) {
    peers_->Send(to, static_cast<std::uint32_t>(type), EncodeWire(message));
  }
  template <class T>
  void SendToControl(message_type type, const T& message) {
    Send(options_.control, type, message);
  }

  // Calls `handle` with the decoded body; a body that is none is logged.
  template <class T, class F>
  static void Decode(const envelope& message, F handle) {
    const result<T> decoded = DecodeWire<T>(message.body);
    if (!IsOk(decoded)) return LogDropped(message, ErrorOf(decoded));
    handle(ValueOf(decoded));
  }

 private:
  control_link(event_loop& loop, control_link_options options,
               handlers callbacks);
  static void LogDropped(const envelope& message, const error& problem);

  void SayHello();
  void OnMessage(const envelope& message);
  void OnView(const fleet_view& view);
  void OnDelta(const config_delta_message& message);
  void Perform(const config_replica::actions& actions);

  control_link_options options_;
  handlers callbacks_;
  std::unique_ptr<peer_socket> peers_;
  config_replica replica_;
  fleet_config config_;
  std::map<vm_id, vm_seen> vms_;
  endpoint http_;
  endpoint forward_;
  bool leaving_ = false;
  loop_timer hello_timer_;
};

}  // namespace citron

#endif  // CITRON_LINK_CONTROL_LINK_H_
