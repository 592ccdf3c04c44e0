#include "citron/net/peer_socket.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <chrono>
#include <utility>

#include "citron/base/log.h"

namespace citron {

namespace {

constexpr int kReceiveQueue = 512;
constexpr int kSendQueue = 64;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 1000;
// Other events of the loop get their turn after so many messages.
constexpr int kMessagesPerTurn = 256;

error NngError(const std::string& what, int code) {
  return MakeError(error_code::kUnavailable,
                   fmt::format("{}: {}", what, nng_strerror(code)));
}

}  // namespace

struct peer_socket::sockets {
  nng_socket pull = NNG_SOCKET_INITIALIZER;
  nng_listener listener = NNG_LISTENER_INITIALIZER;
  std::unordered_map<endpoint, nng_socket> push;
};

result<std::unique_ptr<peer_socket>> peer_socket::Make(
    event_loop& loop, peer_socket_options options, on_message handler) {
  std::unique_ptr<peer_socket> made(
      new peer_socket(loop, std::move(options), std::move(handler)));
  const status listening = made->Listen();
  if (!IsOk(listening)) return ErrorOf(listening);
  return made;
}

peer_socket::peer_socket(event_loop& loop, peer_socket_options options,
                         on_message handler)
    : loop_(loop),
      options_(std::move(options)),
      handler_(std::move(handler)),
      sockets_(std::make_unique<sockets>()) {
  if (options_.incarnation == 0) options_.incarnation = NewIncarnation();
}

peer_socket::~peer_socket() {
  if (readable_ != nullptr) event_free(readable_);
  for (const auto& [to, socket] : sockets_->push) nng_close(socket);
  nng_close(sockets_->pull);
}

status peer_socket::Listen() {
  int code = nng_pull0_open(&sockets_->pull);
  if (code != 0) return NngError("open", code);
  nng_socket_set_int(sockets_->pull, NNG_OPT_RECVBUF, kReceiveQueue);
  nng_socket_set_size(sockets_->pull, NNG_OPT_RECVMAXSZ, kMaxEnvelopeBytes);
  const std::string url = "tcp://" + options_.listen.Str();
  code = nng_listen(sockets_->pull, url.c_str(), &sockets_->listener, 0);
  if (code != 0) {
    return NngError(fmt::format("bind {}", options_.listen.Str()), code);
  }
  nng_sockaddr address;
  code = nng_listener_get_addr(sockets_->listener, NNG_OPT_LOCADDR, &address);
  if (code != 0) return NngError("local address", code);
  options_.listen.port = ntohs(address.s_in.sa_port);
  int fd = -1;
  code = nng_socket_get_int(sockets_->pull, NNG_OPT_RECVFD, &fd);
  if (code != 0) return NngError("receive descriptor", code);
  // The descriptor only says that messages wait, so that they are taken on
  // the loop's own thread and the library's threads never touch our state.
  readable_ = event_new(
      loop_.Base(), fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        static_cast<peer_socket*>(self)->ReceiveAll();
      },
      this);
  event_add(readable_, nullptr);
  return std::monostate{};
}

void peer_socket::ReceiveAll() {
  for (int i = 0; i < kMessagesPerTurn; ++i) {
    nng_msg* message = nullptr;
    if (nng_recvmsg(sockets_->pull, &message, NNG_FLAG_NONBLOCK) != 0) return;
    const result<envelope> opened =
        OpenEnvelope(options_.secret, options_.listen.Str(),
                     {static_cast<const char*>(nng_msg_body(message)),
                      nng_msg_len(message)});
    nng_msg_free(message);
    if (!IsOk(opened)) {
      Log("peer", "dropped a message: {}", ErrorOf(opened).message);
      continue;
    }
    if (!guard_.Accept(ValueOf(opened))) continue;
    handler_(ValueOf(opened));
  }
}

bool peer_socket::Send(const endpoint& to, std::uint32_t type,
                       std::string body) {
  auto found = sockets_->push.find(to);
  if (found == sockets_->push.end()) {
    nng_socket socket;
    if (nng_push0_open(&socket) != 0) return false;
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendQueue);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    const auto other_way = options_.dial_overrides.find(to.Str());
    const std::string address = other_way == options_.dial_overrides.end()
                                    ? to.Str()
                                    : other_way->second;
    const std::string url = "tcp://" + address;
    if (nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
      nng_close(socket);
      return false;
    }
    found = sockets_->push.emplace(to, socket).first;
  }
  const std::string sealed = SealEnvelope(
      options_.secret, envelope{options_.name, options_.incarnation,
                                ++sequence_, to.Str(), type, std::move(body)});
  const int code = nng_send(found->second, const_cast<char*>(sealed.data()),
                            sealed.size(), NNG_FLAG_NONBLOCK);
  if (code != 0) return false;
  ++sent_messages_;
  sent_bytes_ += sealed.size();
  return true;
}

void peer_socket::Forget(const endpoint& to) {
  const auto found = sockets_->push.find(to);
  if (found == sockets_->push.end()) return;
  nng_close(found->second);
  sockets_->push.erase(found);
}

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace citron
