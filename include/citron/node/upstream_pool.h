#ifndef CITRON_NODE_UPSTREAM_POOL_H_
#define CITRON_NODE_UPSTREAM_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/node/upstream_connection.h"

namespace citron {

// Idle connections to upstreams. An address that went to another upstream
// begins with connections of its own.
class upstream_pool {
 public:
  upstream_pool(event_loop& loop, std::string id_header);

  // An idle connection that the upstream keeps for `margin` at the least, or a
  // new one.
  std::unique_ptr<upstream_connection> Take(const upstream_id& upstream,
                                            const endpoint& address,
                                            duration connect_limit,
                                            duration margin,
                                            monotonic_time now);
  // Keeps it if it can carry another request.
  void Give(const upstream_id& upstream,
            std::unique_ptr<upstream_connection> connection,
            monotonic_time now);
  // Closes what is too old to be used again, and what belongs to upstreams
  // that `is_known` doesn't know.
  void Sweep(const std::function<bool(const upstream_id&)>& is_known,
             monotonic_time now);
  int IdleConnections() const;

 private:
  using idle_list = std::vector<std::unique_ptr<upstream_connection>>;

  void OnIdleEnd(const upstream_id& upstream, upstream_connection& connection);
  void CloseLater(std::unique_ptr<upstream_connection> connection);

  event_loop& loop_;
  std::string id_header_;
  std::map<upstream_id, idle_list> idle_;
};

}  // namespace citron

#endif  // CITRON_NODE_UPSTREAM_POOL_H_
