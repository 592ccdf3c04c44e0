#ifndef CITRON_NODE_NODE_CONTEXT_H_
#define CITRON_NODE_NODE_CONTEXT_H_

#include "citron/base/event_log.h"
#include "citron/config/node_settings.h"
#include "citron/net/event_loop.h"
#include "citron/net/metrics.h"
#include "citron/node/crash_watch.h"
#include "citron/node/fleet_state.h"
#include "citron/node/header_names.h"
#include "citron/node/placement_news.h"
#include "citron/node/relayed_signals.h"
#include "citron/node/upstream_paths.h"
#include "citron/node/upstream_pool.h"
#include "citron/policy/memory_budget.h"
#include "citron/protocol/fleet_feed.h"
#include "citron/protocol/planned_stop.h"

namespace citron {

// What the parts of one daemon share; all of it outlives every request.
struct node_context {
  event_loop& loop;
  const node_settings& settings;
  const header_names& names;
  event_log& log;
  metrics& stats;
  fleet_state& fleet;
  fleet_feed& feed;
  upstream_pool& pool;
  crash_watch& crashes;
  upstream_paths& paths;
  memory_budget& memory;
  placement_news& placements;
  relayed_signals& relayed;
  const planned_stop& stop;
};

// Whether callers should be sent to a VM, as it says of itself.
struct vm_condition {
  bool ready = false;
  bool near_capacity = false;  // Of its processor or link.
  bool reaches_upstreams = true;
};

// How old the copy of the store is proved to be, for the log; -1 without one.
inline double StoreAgeMs(const node_context& context, monotonic_time now) {
  const auto proven = context.feed.ProvenAt();
  return proven ? ToMilliseconds(now - *proven) : -1.0;
}

}  // namespace citron

#endif  // CITRON_NODE_NODE_CONTEXT_H_
