#ifndef STANDINS_FAULT_PROXY_PROXIED_CONNECTION_H_
#define STANDINS_FAULT_PROXY_PROXIED_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "citron/base/endpoint.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "standins/fault_proxy/route_settings.h"

struct bufferevent;

namespace citron {

// A connection from a source, passed on to a target byte by byte under the
// faults of its route.
class proxied_connection {
 public:
  // `faults` is the route's and outlives the connection. `on_closed` is called
  // once; the connection may then be deleted after the present callback.
  proxied_connection(event_loop& loop, int source_fd, const endpoint& target,
                     const route_faults& faults,
                     std::function<void()> on_closed);
  ~proxied_connection();
  proxied_connection(const proxied_connection&) = delete;
  proxied_connection& operator=(const proxied_connection&) = delete;

  // Takes up what has changed in the route's faults.
  void OnFaultsChanged();
  // Both sides see a reset.
  void Reset();

 private:
  // Bytes on their way, or the end of the stream.
  struct piece {
    monotonic_time due{};
    std::string bytes;
    bool is_end = false;
  };

  // One direction.
  struct flow {
    flow(event_loop& loop, proxied_connection& owner);

    proxied_connection& owner;
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    std::deque<piece> pieces;
    std::size_t held_bytes = 0;
    std::uint64_t passed_bytes = 0;
    bool ended = false;
    loop_timer timer;
  };

  enum class ending { kNone, kClose, kReset };

  bool IsCut(const flow& f) const;
  void Attach(flow& f);
  void OnReadable(flow& f);
  void OnWritten(flow& f);
  void OnEvent(flow& f, int what);
  void Hold(flow& f, piece held);
  void Deliver(flow& f);
  void Pass(flow& f, const std::string& bytes);
  void PassToSource(flow& f, const std::string& bytes);
  void EndFlow(flow& f);
  void SetReading(flow& f);
  void EndAfterWrite(ending how);
  void CheckEnding();
  void Close();

  const route_faults& faults_;
  std::function<void()> on_closed_;
  bufferevent* source_ = nullptr;
  bufferevent* target_ = nullptr;
  flow to_target_;
  flow to_source_;
  ending ending_ = ending::kNone;
};

}  // namespace citron

#endif  // STANDINS_FAULT_PROXY_PROXIED_CONNECTION_H_
