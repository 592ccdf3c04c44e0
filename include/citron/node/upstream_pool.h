#ifndef CITRON_NODE_UPSTREAM_POOL_H_
#define CITRON_NODE_UPSTREAM_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/node/connection_path.h"
#include "citron/node/upstream_connection.h"

namespace citron {

struct upstream_pool_options {
  // A handshake that takes less isn't worth a spare connection.
  duration slow_handshake = FromMilliseconds(10);
  // Requests that are further apart than this seldom overlap, and a spare
  // connection would reach its idle limit before it is used.
  duration steady_use = std::chrono::seconds(2);
};

// Told how attempts to connect end, those of spare connections included.
class connect_listener {
 public:
  virtual ~connect_listener() = default;
  virtual void OnConnectEnd(const upstream_connection& connection,
                            connect_result result) = 0;
};

// Idle connections to upstreams. An address that went to another upstream
// begins with connections of its own. Upstreams that are far away and in steady
// use have a spare connection, so that concurrent requests don't wait for a
// handshake.
class upstream_pool : private upstream_connection_owner {
 public:
  // The listener must outlive the pool.
  upstream_pool(event_loop& loop, std::string id_header,
                connect_listener& listener,
                const upstream_pool_options& options = {});

  // An idle connection of the path that the upstream keeps for `margin` at the
  // least, or one that is being opened; null if there is no idle one and the
  // path can't open any.
  std::unique_ptr<upstream_connection> Take(const upstream_id& upstream,
                                            const connection_path& path,
                                            duration connect_limit,
                                            duration margin,
                                            monotonic_time now);
  // Keeps it if it can carry another request.
  void Give(const upstream_id& upstream,
            std::unique_ptr<upstream_connection> connection,
            monotonic_time now);
  // Opens a connection to learn whether the upstream can be reached, unless
  // that is under way. No request waits for it; it is kept once it is open.
  void Probe(const upstream_id& upstream, const connection_path& path,
             duration connect_limit);
  // Closes the connections through a relay that no request uses.
  void CloseIdle(const vm_id& relay);
  // Closes what is too old to be used again, and what belongs to upstreams
  // that `is_of_use` denies.
  void Sweep(const std::function<bool(const upstream_id&)>& is_of_use,
             monotonic_time now);
  int IdleConnections() const;

 private:
  struct upstream_state {
    // Those that were given back last stand at the end.
    std::vector<std::unique_ptr<upstream_connection>> unused;
    std::unique_ptr<upstream_connection> probe;  // Not open yet.
    duration connect_time{};  // Of the connection that was given back last.
    monotonic_time taken_at{};
  };

  std::unique_ptr<upstream_connection> TakeUnused(upstream_state& state,
                                                  const connection_path& path,
                                                  duration margin,
                                                  monotonic_time now);
  std::unique_ptr<upstream_connection> Open(const upstream_id& upstream,
                                            const connection_path& path,
                                            duration connect_limit);
  void OnConnectEnd(const upstream_connection& connection,
                    connect_result result) override;
  void OnIdleEnd(upstream_connection& connection) override;
  void CloseLater(std::unique_ptr<upstream_connection> connection);

  event_loop& loop_;
  std::string id_header_;
  connect_listener& listener_;
  upstream_pool_options options_;
  std::map<upstream_id, upstream_state> upstreams_;
};

}  // namespace citron

#endif  // CITRON_NODE_UPSTREAM_POOL_H_
