#include "citron/link/control_link.h"

#include <fmt/format.h>

#include <utility>

#include "citron/base/log.h"

namespace citron {

namespace {

constexpr duration kHelloInterval = std::chrono::milliseconds(250);
constexpr char kLogPart[] = "link";

std::string RoleName(daemon_role role) {
  return role == daemon_role::kEntry ? "entry" : "dispatch";
}

}  // namespace

result<std::unique_ptr<http_server>> ServePages(event_loop& loop,
                                                const common_settings& common,
                                                int loop_index,
                                                http_handler handler) {
  endpoint at = common.metrics_listen;
  if (loop_index > 0) at.port = 0;
  return http_server::Make(loop, at, {}, std::move(handler));
}

result<std::unique_ptr<control_link>> control_link::Make(
    event_loop& loop, control_link_options options, handlers callbacks) {
  peer_socket_options socket;
  socket.name = fmt::format("{}/{}/{}", options.common.vm.Str(),
                            RoleName(options.role), options.loop);
  socket.secret = options.secret;
  socket.listen = options.common.peer_listen;
  // The settings name the first loop's port; the others take any.
  if (options.loop > 0) socket.listen.port = 0;
  socket.dial_overrides = options.common.dial_overrides;
  std::unique_ptr<control_link> made(
      new control_link(loop, std::move(options), std::move(callbacks)));
  auto peers = peer_socket::Make(
      loop, std::move(socket),
      [link = made.get()](const envelope& m) { link->OnMessage(m); });
  if (!IsOk(peers)) return ErrorOf(peers);
  made->peers_ = std::move(ValueOf(peers));
  return made;
}

control_link::control_link(event_loop& loop, control_link_options options,
                           handlers callbacks)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      hello_timer_(loop, [this] { SayHello(); }) {}

void control_link::Start(const endpoint& http, const endpoint& forward) {
  http_ = http;
  forward_ = forward;
  SayHello();
}

void control_link::SetLeaving() {
  leaving_ = true;
  SayHello();
}

void control_link::SayHello() {
  hello_timer_.Arm(MonotonicNow() + kHelloInterval);
  hello message;
  message.role = options_.role;
  message.address = {options_.loop, Incarnation(), http_, PeerAddress(),
                     forward_};
  message.loops = options_.loops;
  message.revision = config_.revision;
  message.leaving = leaving_;
  SendToControl(message_type::kHello, message);
}

void control_link::OnMessage(const envelope& message) {
  switch (static_cast<message_type>(message.type)) {
    case message_type::kFleetView:
      return Decode<fleet_view>(message, [&](const auto& m) { OnView(m); });
    case message_type::kConfigDelta:
      return Decode<config_delta_message>(message,
                                          [&](const auto& m) { OnDelta(m); });
    default:
      callbacks_.on_message(message);
  }
}

void control_link::OnView(const fleet_view& view) {
  for (const vm_seen& seen : view.vms) vms_[seen.view.vm] = seen;
  for (const vm_id& vm : view.removed) vms_.erase(vm);
  Perform(replica_.OnPeerRevision(options_.common.vm, view.revision,
                                  view.config_age, MonotonicNow()));
  callbacks_.on_view();
}

void control_link::OnDelta(const config_delta_message& message) {
  Perform(replica_.OnPeerDelta(options_.common.vm, message.delta, message.asked,
                               MonotonicNow()));
}

void control_link::Perform(const config_replica::actions& actions) {
  for (const config_replica::action& action : actions) {
    if (const auto* pull =
            std::get_if<config_replica_action::pull_from_peer>(&action)) {
      SendToControl(message_type::kConfigPull,
                    config_pull_message{options_.common.vm, PeerAddress(),
                                        pull->request, MonotonicNow()});
    } else if (const auto* change =
                   std::get_if<config_replica_action::apply>(&action)) {
      for (const std::string& kept : ApplyChange(*change, config_)) {
        Log(kLogPart, "{}", kept);
      }
      callbacks_.on_config();
      SayHello();
    }
  }
}

void control_link::LogDropped(const envelope& message, const error& problem) {
  Log(kLogPart, "message of type {} from {} dropped: {}", message.type,
      message.sender, problem.message);
}

}  // namespace citron
