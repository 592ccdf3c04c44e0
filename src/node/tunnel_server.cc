#include "citron/node/tunnel_server.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "citron/node/upstream_paths.h"
#include "node/socket_address.h"
#include "node/tunnel.h"

namespace citron {

namespace {

constexpr int kBacklog = 256;
// Each holds two descriptors.
constexpr std::size_t kMaxTunnels = 300;
// By then the asking VM knows it, too.
constexpr duration kRetryWhenLeaving = std::chrono::seconds(3);

}  // namespace

class tunnel_server::host : public tunnel_host {
 public:
  explicit host(tunnel_server& server) : server_(server) {}

  std::variant<tunnel_request, tunnel_refusal> Admit(
      const http1_head& head) override {
    node_context& context = server_.context_;
    result<tunnel_request> read = ReadTunnelRequest(head, server_.secret_);
    if (!IsOk(read)) {
      context.log.Write("tunnel", "refused",
                        {{"problem", ErrorOf(read).message}}, MonotonicNow());
      return tunnel_refusal{kTunnelUnsealed};
    }
    tunnel_request& request = ValueOf(read);
    const upstream_tracker* upstream =
        context.fleet.FindUpstream(request.upstream);
    const bool opens = !server_.stopping_ && context.paths.IsReachable();
    if (upstream == nullptr || !opens) return tunnel_refusal{};
    const monotonic_time now = MonotonicNow();
    if (upstream->IsPaused(now)) {
      return tunnel_refusal{kTunnelUpstreamPaused,
                            upstream->PausedUntil() - now};
    }
    if (upstream->IsLeaving()) {
      return tunnel_refusal{kTunnelUpstreamPaused, kRetryWhenLeaving};
    }
    // Only to upstreams, and where this VM knows them to be.
    request.address = upstream->Record().address;
    context.paths.OnTunnelBegin(request.upstream);
    return request;
  }

  void OnConnectEnd(const upstream_id& upstream, monotonic_time began,
                    connect_result result) override {
    server_.context_.stats.Count("citron_tunnels_total",
                                 {{"result", std::string(ToString(result))}});
    server_.context_.paths.OnOwnConnectEnd(upstream, began, result);
  }

  void OnEnd(tunnel& ended) override {
    auto& tunnels = server_.tunnels_;
    const auto found =
        std::find_if(tunnels.begin(), tunnels.end(),
                     [&](const auto& held) { return held.get() == &ended; });
    if (found == tunnels.end()) return;
    const std::shared_ptr<tunnel> retired = std::move(*found);
    tunnels.erase(found);
    server_.context_.paths.OnTunnelEnd(retired->Upstream());
    server_.context_.loop.Defer([retired] {});
  }

 private:
  tunnel_server& server_;
};

result<std::unique_ptr<tunnel_server>> tunnel_server::Make(
    node_context& context, std::string secret) {
  std::unique_ptr<tunnel_server> server(
      new tunnel_server(context, std::move(secret)));
  const status listening = server->Listen();
  if (!IsOk(listening)) return ErrorOf(listening);
  return server;
}

tunnel_server::tunnel_server(node_context& context, std::string secret)
    : context_(context),
      secret_(std::move(secret)),
      host_(std::make_unique<host>(*this)) {}

tunnel_server::~tunnel_server() {
  tunnels_.clear();
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

status tunnel_server::Listen() {
  sockaddr_in address = SocketAddress(context_.settings.tunnels);
  listener_ = evconnlistener_new_bind(
      context_.loop.Base(),
      [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
         void* self) {
        static_cast<tunnel_server*>(self)->OnAccept(descriptor);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener_ != nullptr) return std::monostate{};
  return MakeError(
      error_code::kUnavailable,
      fmt::format("can't listen on {}: {}", context_.settings.tunnels.Str(),
                  std::strerror(errno)));
}

void tunnel_server::OnAccept(int descriptor) {
  if (tunnels_.size() >= kMaxTunnels) {
    context_.log.Write("tunnel", "too_many", {{"open", tunnels_.size()}},
                       MonotonicNow());
    evutil_closesocket(descriptor);
    return;
  }
  tunnels_.push_back(
      std::make_unique<tunnel>(context_.loop, descriptor, *host_));
}

std::size_t tunnel_server::EndWithProcess() {
  return static_cast<std::size_t>(
      std::count_if(tunnels_.begin(), tunnels_.end(),
                    [](const auto& open) { return !open->EndWithProcess(); }));
}

}  // namespace citron
