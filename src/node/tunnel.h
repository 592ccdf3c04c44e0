#ifndef NODE_TUNNEL_H_
#define NODE_TUNNEL_H_

#include <optional>
#include <variant>

#include "citron/net/event_loop.h"
#include "citron/net/http1_reader.h"
#include "citron/node/tunnel_messages.h"
#include "citron/node/upstream_connection.h"

struct bufferevent;

namespace citron {

class tunnel;

// Decides about tunnels and is told how they fare.
class tunnel_host {
 public:
  virtual ~tunnel_host() = default;
  // The upstream to connect to, or why not.
  virtual std::variant<tunnel_request, tunnel_refusal> Admit(
      const http1_head& head) = 0;
  virtual void OnConnectEnd(const upstream_id& upstream, monotonic_time began,
                            connect_result result) = 0;
  // The last call; it may not destroy the tunnel at once.
  virtual void OnEnd(tunnel& ended) = 0;
};

// Carries the bytes of one connection between another VM and an upstream. A
// reset on one side becomes a reset on the other, so that an answer that was
// broken off doesn't look whole.
class tunnel : private http1_listener {
 public:
  tunnel(event_loop& loop, int descriptor, tunnel_host& host);
  ~tunnel() override;
  tunnel(const tunnel&) = delete;
  tunnel& operator=(const tunnel&) = delete;

  // Empty until a tunnel was asked for.
  const upstream_id& Upstream() const { return request_.upstream; }
  // Leaves to the kernel what has come of answers; the end of the process must
  // follow. Returns whether the other VM has all that has come.
  bool EndWithProcess();

 private:
  // kClosing: the other VM has all and is to close its side.
  enum class state {
    kReadingHead,
    kConnecting,
    kOpen,
    kEnding,
    kClosing,
    kEnded
  };
  struct callbacks;

  void OnHead(http1_head head) override;
  void OnBody(std::string_view) override {}

  void OnReadable(bufferevent* from);
  void OnWritten(bufferevent* to);
  void OnEvent(bufferevent* from, int what);
  void OnConnected();
  void OnConnectFailed(connect_result result);
  bufferevent* Other(bufferevent* side) const;
  void Pass(bufferevent* from);
  // Answers the other VM and closes once the answer is out.
  void Refuse(const tunnel_refusal& refusal);
  void Reset();
  void BeginClose();
  void DropInput();
  void End();

  event_loop& loop_;
  tunnel_host& host_;
  http1_reader reader_;
  loop_timer timer_;
  bufferevent* vm_side_ = nullptr;
  bufferevent* upstream_side_ = nullptr;
  state state_ = state::kReadingHead;
  std::optional<http1_head> head_;
  tunnel_request request_;
  monotonic_time connect_began_{};
};

}  // namespace citron

#endif  // NODE_TUNNEL_H_
