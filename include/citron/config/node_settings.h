#ifndef CITRON_CONFIG_NODE_SETTINGS_H_
#define CITRON_CONFIG_NODE_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// What the whole fleet has promised, as far as a decision depends on it; the
// defaults are those of deployments that say nothing.
struct fleet_bounds {
  duration grace_period = FromSeconds(6);
  // Requests that come later than this after a stop are never cut by it.
  duration late_arrival = FromSeconds(3);
  // A declaration is in force this long after the store acknowledged it.
  duration config_apply = FromSeconds(2.5);
  // Keys that were withdrawn stop working within this, also on a VM that has
  // lost the store, if revocation is strict.
  bool strict_revocation = true;
  duration revocation = FromSeconds(5);
  // Sends beyond the first of each request, against the requests.
  double retry_ratio = 0.2;
  double retry_slack = 60;
  duration quota_window = FromSeconds(5);
  double quota_overshoot = 0.1;
  double quota_slack = 20;
  double cold_overshoot = 1.5;
  double cold_slack = 5;
  duration lookup_lifetime = FromSeconds(5);  // The longest.
};

// One VM's own settings.
struct node_settings {
  vm_id vm;
  zone_id zone;
  region_id region;
  std::map<zone_id, region_id> zones;
  endpoint callers;    // Where requests come in.
  endpoint readiness;  // Where the platform asks whether it takes them.
  endpoint lookup;     // Where callers ask which VM to use.
  endpoint peer;       // Datagrams of other VMs.
  endpoint metrics;
  endpoint tunnels;  // Where other VMs ask for tunnels to upstreams.
  endpoint store;
  int max_descriptors = 4096;
  double link_mbps = 0;                // 0: not known.
  std::size_t memory_limit_bytes = 0;  // Of this process; 0: not known.
  double processor_share = 0;          // Of one core; 0: not known.
  fleet_bounds bounds;
};

}  // namespace citron

#endif  // CITRON_CONFIG_NODE_SETTINGS_H_
