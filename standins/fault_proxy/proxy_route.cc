#include "standins/fault_proxy/proxy_route.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <vector>

namespace citron {

namespace {

constexpr int kBacklog = 1024;

}  // namespace

result<std::unique_ptr<proxy_route>> proxy_route::Make(
    event_loop& loop, const route_settings& settings) {
  std::unique_ptr<proxy_route> made(new proxy_route(loop, settings));
  const status listening = made->Listen();
  if (!IsOk(listening)) return ErrorOf(listening);
  return made;
}

proxy_route::proxy_route(event_loop& loop, const route_settings& settings)
    : loop_(loop), settings_(settings) {}

proxy_route::~proxy_route() {
  TakeConnects();
  StopListening();
}

status proxy_route::Listen() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings_.listen.port);
  inet_pton(AF_INET, settings_.listen.address.c_str(), &address.sin_addr);
  listener_ = evconnlistener_new_bind(
      loop_.Base(),
      [](evconnlistener*, int fd, sockaddr*, int, void* self) {
        static_cast<proxy_route*>(self)->OnAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    return MakeError(error_code::kUnavailable,
                     fmt::format("bind {}: {}", settings_.listen.Str(),
                                 std::strerror(errno)));
  }
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &size);
  settings_.listen.port = ntohs(address.sin_port);
  return std::monostate{};
}

void proxy_route::StopListening() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

void proxy_route::OnAccept(int fd) {
  const std::uint64_t id = ++last_connection_;
  connections_[id] = std::make_unique<proxied_connection>(
      loop_, fd, settings_.target, faults_,
      [this, id] { loop_.Defer([this, id] { connections_.erase(id); }); });
}

status proxy_route::SetFaults(const route_faults& faults) {
  faults_ = faults;
  TakeConnects();
  if (faults_.refuse) StopListening();
  if (!faults_.refuse && listener_ == nullptr) {
    status listening = Listen();
    if (!IsOk(listening)) return listening;
  }
  // Not accepted, a connection opens in the kernel and hangs.
  if (listener_ != nullptr) {
    faults_.IsCut() ? evconnlistener_disable(listener_)
                    : evconnlistener_enable(listener_);
  }
  if (faults_.IsCut() && faults_.drop_connects && listener_ != nullptr) {
    const status dropping = DropConnects();
    if (!IsOk(dropping)) return dropping;
  }
  for (const auto& [id, connection] : connections_) {
    connection->OnFaultsChanged();
  }
  return std::monostate{};
}

status proxy_route::DropConnects() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings_.listen.port);
  inet_pton(AF_INET, settings_.listen.address.c_str(), &address.sin_addr);
  queue_filler_ =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  // A queue of length 0 holds one connection. Another one may be there already,
  // so that the kernel drops this one.
  const bool filled =
      queue_filler_ >= 0 && listen(evconnlistener_get_fd(listener_), 0) == 0 &&
      (connect(queue_filler_, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) == 0 ||
       errno == EINPROGRESS);
  if (filled) return std::monostate{};
  return MakeError(error_code::kUnavailable,
                   fmt::format("drop connects at {}: {}",
                               settings_.listen.Str(), std::strerror(errno)));
}

void proxy_route::TakeConnects() {
  if (queue_filler_ < 0) return;
  close(queue_filler_);
  queue_filler_ = -1;
  if (listener_ != nullptr) listen(evconnlistener_get_fd(listener_), kBacklog);
}

void proxy_route::ResetConnections() {
  for (const auto& [id, connection] : connections_) connection->Reset();
}

}  // namespace citron
