#ifndef CITRON_NET_PEER_SOCKET_H_
#define CITRON_NET_PEER_SOCKET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/net/event_loop.h"
#include "citron/wire/envelope.h"

struct event;

namespace citron {

struct peer_socket_options {
  std::string name;  // "vm/role/loop"
  std::string secret;
  endpoint listen;
  std::uint64_t incarnation = 0;
  // Where an address is reached by another way than its own, as through an
  // address translation.
  std::map<std::string, std::string> dial_overrides;
};

// One-way messages between daemons over nng. A message may be lost (far side
// gone, its queue full); it is never delivered twice, and only from a daemon
// that knows the secret. Protocols above repeat what matters.
class peer_socket {
 public:
  using on_message = std::function<void(const envelope& message)>;

  static result<std::unique_ptr<peer_socket>> Make(event_loop& loop,
                                                   peer_socket_options options,
                                                   on_message handler);
  ~peer_socket();
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;

  // With the port that the kernel chose, if it was asked to.
  const endpoint& Address() const { return options_.listen; }
  std::uint64_t Incarnation() const { return options_.incarnation; }

  // Never waits. Returns whether the message was handed to the network.
  bool Send(const endpoint& to, std::uint32_t type, std::string body);

  // Drops the connection to an endpoint that is gone.
  void Forget(const endpoint& to);

  std::uint64_t SentMessages() const { return sent_messages_; }
  std::uint64_t SentBytes() const { return sent_bytes_; }

 private:
  struct sockets;

  peer_socket(event_loop& loop, peer_socket_options options,
              on_message handler);
  status Listen();
  void ReceiveAll();

  event_loop& loop_;
  peer_socket_options options_;
  on_message handler_;
  replay_guard guard_;
  std::unique_ptr<sockets> sockets_;
  event* readable_ = nullptr;
  std::uint64_t sequence_ = 0;
  std::uint64_t sent_messages_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

// Larger in each later process on the same machine's clock.
std::uint64_t NewIncarnation();

}  // namespace citron

#endif  // CITRON_NET_PEER_SOCKET_H_
