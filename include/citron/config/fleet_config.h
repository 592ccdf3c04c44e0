#ifndef CITRON_CONFIG_FLEET_CONFIG_H_
#define CITRON_CONFIG_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// Revisions are handed out by the platform's store and only grow.
using config_revision = std::uint64_t;

// Requests of one service whose path begins with `path_prefix`. Long classes
// may not take the slots that are kept for short ones.
struct request_class {
  std::string name;
  std::string path_prefix;
  bool long_running = false;
  // First guess of the service time, until answers have been measured.
  duration expected_time{};
};

struct service_config {
  service_id id;
  std::vector<request_class> classes;
  // Part of the slots that long classes may not take, 0 to 1.
  double short_reserve = 0.25;
  // How long a started or returning upstream takes to get its full part.
  duration cold_start_ramp{};

  // The class with the longest prefix of the target's path; null if none.
  const request_class* ClassOf(std::string_view target) const;
  // Its name, or "".
  std::string ClassNameOf(std::string_view target) const;
};

struct upstream_config {
  upstream_id id;
  service_id service;
  zone_id zone;
  endpoint address;
  int slots = 1;
  int max_connections = 300;
};

struct zone_config {
  zone_id id;
  region_id region;
};

// One way, between any two regions or any two zones of one region.
struct link_config {
  double region_megabits_per_s = 300;
  duration region_latency{};
  duration zone_latency{};
};

// A deadline that holds for a service at some hours of the workspace's day.
struct patience_rule {
  service_id service;
  int from_minute = 0;      // Minutes after local midnight, inclusive.
  int to_minute = 24 * 60;  // Exclusive; may be below from_minute.
  duration deadline{};      // Time that a caller waits, from arrival.
};

// What a cut-off VM does with a key that it can't check against new
// withdrawals: it goes on accepting known keys until this long after it last
// heard of the configuration; 0 refuses at once.
struct contract {
  workspace_id workspace;
  double rate_per_s = 0;
  double burst = 0;
  double weight = 1;
  duration default_deadline{};
  std::vector<patience_rule> patience;
  std::string time_zone = "UTC";  // IANA name.
  duration stale_key_limit{};
};

struct key_grant {
  std::string digest;  // SHA-256 of the key, hexadecimal.
  workspace_id workspace;
  std::string label;  // What operators call it.
};

// Where the callers of a block of addresses are.
struct client_site_config {
  region_id region;
  zone_id zone;  // May be empty: any zone of the region.
};

// A planned move of a service's traffic from one region to another.
struct shift_config {
  service_id service;
  region_id from;
  region_id to;
  double fraction = 1;   // Part of the traffic to move, 0 to 1.
  double cap_per_s = 0;  // Requests a second that the move may add at `to`.
};

// The operators' declarations as one checked whole.
struct fleet_config {
  config_revision revision = 0;
  std::map<zone_id, zone_config> zones;
  link_config links;
  std::map<service_id, service_config> services;
  std::map<upstream_id, upstream_config> upstreams;
  std::map<workspace_id, contract> contracts;
  std::map<std::string, key_grant> keys;  // By digest.
  std::set<upstream_id> drained_upstreams;
  std::set<vm_id> drained_vms;
  std::set<region_id> drained_regions;
  std::set<vm_id> gone_vms;  // An operator's word that the VM is dead.
  std::map<service_id, shift_config> shifts;
  // By block, "a.b.c.d/n".
  std::map<std::string, client_site_config> client_blocks;
  // Blocks of each group, so that a group is replaced as a whole.
  std::map<std::string, std::vector<std::string>> client_groups;
  // Grows with each change of a group, so that tables made from the blocks are
  // made anew only then.
  std::uint64_t client_version = 0;

  const contract* FindContract(const workspace_id& id) const;
  const key_grant* FindKey(const std::string& digest) const;
  const service_config* FindService(const service_id& id) const;
  std::optional<region_id> RegionOf(const zone_id& zone) const;
};

// Keys in the store. Each object is one key, so that a change is one small
// write, and two operators who change different contracts don't conflict.
//   config/topology              zones, links, services
//   config/upstream/<id>         upstream_config
//   config/contract/<workspace>  contract
//   config/key/<digest>          key_grant
//   config/drain/<kind>/<id>     kind: upstream, vm, region
//   config/gone/<vm>             the VM is dead
//   config/shift/<service>       shift_config
//   config/clients/<group>       blocks of callers, {"blocks": {block: site}}
inline constexpr char kConfigPrefix[] = "config/";

// Checks one object; the error names the path of the bad value inside it.
status CheckConfigObject(const std::string& key, const std::string& json);

// Builds the whole from the store's objects. An object that fails its check
// is left out and reported in `problems`, if given.
fleet_config BuildFleetConfig(const std::map<std::string, std::string>& objects,
                              config_revision revision,
                              std::vector<std::string>* problems = nullptr);

// Adds one object to a configuration, or replaces it; "" removes it.
status ApplyConfigObject(fleet_config& config, const std::string& key,
                         const std::string& json);

}  // namespace citron

#endif  // CITRON_CONFIG_FLEET_CONFIG_H_
