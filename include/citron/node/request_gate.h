#ifndef CITRON_NODE_REQUEST_GATE_H_
#define CITRON_NODE_REQUEST_GATE_H_

#include <memory>
#include <string>
#include <variant>

#include "citron/base/time.h"
#include "citron/config/routing_config.h"
#include "citron/net/http1_reader.h"
#include "citron/node/node_context.h"
#include "citron/protocol/workspace_quota.h"

namespace citron {

// A request that may be served, and under which terms.
struct admitted_request {
  // Keeps alive what the pointers below name.
  std::shared_ptr<const routing_config> routing;
  const route_config* route = nullptr;
  const workspace_terms* workspace = nullptr;  // Null without a key.
};

// A request that is turned away before it is placed; it has not run.
struct rejection {
  int status = 0;
  const char* reason = "";
  duration retry_after{};  // Zero: coming back doesn't help.
  // Where a quota decided: whose, and how it stood.
  workspace_id workspace;
  quota_state quota;
};

// Whether the declaration is proved to be younger than that part of the time
// in which a withdrawn key must stop working.
bool IsCurrentWithin(double revocation_part, const node_context& context,
                     monotonic_time now);

// Host, path, key and rate, in this order.
std::variant<admitted_request, rejection> AdmitRequest(node_context& context,
                                                       const http1_head& head,
                                                       monotonic_time now);

}  // namespace citron

#endif  // CITRON_NODE_REQUEST_GATE_H_
