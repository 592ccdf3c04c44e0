#include "citron/config/fleet_config.h"

#include <fmt/format.h>

#include <string_view>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr double kMaxRate = 10e6;
constexpr double kMaxMilliseconds = 24.0 * 3600 * 1000;

service_config ReadService(const std::string& name, json_reader& reader) {
  service_config service;
  service.id = service_id(name);
  reader.Number("short_reserve", service.short_reserve, 0, 1);
  reader.Milliseconds("cold_start_ramp_ms", service.cold_start_ramp, 0,
                      kMaxMilliseconds);
  reader.Each("classes", [&](json_reader& item) {
    request_class added;
    item.String("name", added.name, true);
    item.String("path_prefix", added.path_prefix, true);
    item.Bool("long", added.long_running);
    added.expected_time = FromMilliseconds(10);
    item.Milliseconds("expected_ms", added.expected_time, 0.01,
                      kMaxMilliseconds);
    service.classes.push_back(added);
  });
  return service;
}

status ReadTopology(fleet_config& config, const nlohmann::json& json) {
  std::map<zone_id, zone_config> zones;
  std::map<service_id, service_config> services;
  link_config links;
  json_reader reader(json, "");
  reader.EachMember("zones", [&](const std::string& name, json_reader& item) {
    std::string region;
    item.String("region", region, true);
    zones[zone_id(name)] = {zone_id(name), region_id(region)};
  });
  reader.EachMember("services",
                    [&](const std::string& name, json_reader& item) {
                      services[service_id(name)] = ReadService(name, item);
                    });
  reader.Object("links", [&](json_reader& item) {
    item.Number("region_megabits_per_s", links.region_megabits_per_s, 0.001,
                1e9);
    item.Milliseconds("region_latency_ms", links.region_latency, 0, 60000);
    item.Milliseconds("zone_latency_ms", links.zone_latency, 0, 60000);
  });
  const status finished = reader.Finish();
  if (!IsOk(finished)) return finished;
  config.zones = std::move(zones);
  config.services = std::move(services);
  config.links = links;
  return finished;
}

status ReadUpstream(fleet_config& config, const std::string& name,
                    const nlohmann::json& json) {
  upstream_config upstream;
  upstream.id = upstream_id(name);
  std::string service;
  std::string zone;
  json_reader reader(json, "");
  reader.String("service", service, true);
  reader.String("zone", zone, true);
  reader.Endpoint("address", upstream.address, true);
  reader.Int("slots", upstream.slots, 1, 100000, true);
  reader.Int("max_connections", upstream.max_connections, 1, 100000);
  const status finished = reader.Finish();
  if (!IsOk(finished)) return finished;
  upstream.service = service_id(service);
  upstream.zone = zone_id(zone);
  config.upstreams[upstream.id] = upstream;
  return finished;
}

status ReadContract(fleet_config& config, const std::string& name,
                    const nlohmann::json& json) {
  contract read;
  read.workspace = workspace_id(name);
  read.default_deadline = FromMilliseconds(2000);
  read.stale_key_limit = FromMilliseconds(600000);
  json_reader reader(json, "");
  reader.Number("rate_per_s", read.rate_per_s, 0, kMaxRate, true);
  reader.Number("burst", read.burst, 0, kMaxRate, true);
  reader.Number("weight", read.weight, 0.001, 1000);
  reader.Milliseconds("default_deadline_ms", read.default_deadline, 1,
                      kMaxMilliseconds);
  reader.Milliseconds("stale_key_limit_ms", read.stale_key_limit, 0,
                      7 * kMaxMilliseconds);
  reader.String("time_zone", read.time_zone);
  reader.Each("patience", [&](json_reader& item) {
    patience_rule rule;
    std::string service;
    item.String("service", service, true);
    item.Int("from_minute", rule.from_minute, 0, 24 * 60);
    item.Int("to_minute", rule.to_minute, 0, 24 * 60);
    item.Milliseconds("deadline_ms", rule.deadline, 1, kMaxMilliseconds, true);
    rule.service = service_id(service);
    read.patience.push_back(rule);
  });
  const status finished = reader.Finish();
  if (!IsOk(finished)) return finished;
  config.contracts[read.workspace] = read;
  return finished;
}

bool IsDigest(std::string_view text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

status ReadKey(fleet_config& config, const std::string& digest,
               const nlohmann::json& json) {
  if (!IsDigest(digest)) {
    return MakeError(error_code::kInvalid,
                     fmt::format("key name {} is not a SHA-256", digest));
  }
  key_grant grant;
  grant.digest = digest;
  std::string workspace;
  json_reader reader(json, "");
  reader.String("workspace", workspace, true);
  reader.String("label", grant.label);
  const status finished = reader.Finish();
  if (!IsOk(finished)) return finished;
  grant.workspace = workspace_id(workspace);
  config.keys[digest] = grant;
  return finished;
}

status ReadShift(fleet_config& config, const std::string& name,
                 const nlohmann::json& json) {
  shift_config shift;
  shift.service = service_id(name);
  std::string from;
  std::string to;
  json_reader reader(json, "");
  reader.String("from", from, true);
  reader.String("to", to, true);
  reader.Number("fraction", shift.fraction, 0, 1);
  reader.Number("cap_per_s", shift.cap_per_s, 0, kMaxRate, true);
  if (from == to) reader.Fail("to", "is the same region as from");
  const status finished = reader.Finish();
  if (!IsOk(finished)) return finished;
  shift.from = region_id(from);
  shift.to = region_id(to);
  config.shifts[shift.service] = shift;
  return finished;
}

void RemoveClients(fleet_config& config, const std::string& group) {
  const auto found = config.client_groups.find(group);
  if (found == config.client_groups.end()) return;
  for (const std::string& block : found->second) {
    config.client_blocks.erase(block);
  }
  config.client_groups.erase(found);
  ++config.client_version;
}

status ReadClients(fleet_config& config, const std::string& group,
                   const nlohmann::json& json) {
  std::map<std::string, client_site_config> blocks;
  json_reader reader(json, "");
  reader.EachMember("blocks", [&](const std::string& block, json_reader& item) {
    std::string region;
    std::string zone;
    item.String("region", region, true);
    item.String("zone", zone);
    blocks[block] = {region_id(region), zone_id(zone)};
  });
  const status finished = reader.Finish();
  if (!IsOk(finished)) return finished;
  RemoveClients(config, group);
  for (const auto& [block, site] : blocks) {
    config.client_blocks[block] = site;
    config.client_groups[group].push_back(block);
  }
  ++config.client_version;
  return finished;
}

// The part after `prefix`, if the key begins with it and has more.
std::optional<std::string> After(const std::string& key,
                                 std::string_view prefix) {
  if (key.size() <= prefix.size() || key.compare(0, prefix.size(), prefix)) {
    return std::nullopt;
  }
  return key.substr(prefix.size());
}

status Remove(fleet_config& config, const std::string& key) {
  if (key == "config/topology") {
    config.zones.clear();
    config.services.clear();
  } else if (auto upstream = After(key, "config/upstream/")) {
    config.upstreams.erase(upstream_id(*upstream));
  } else if (auto workspace = After(key, "config/contract/")) {
    config.contracts.erase(workspace_id(*workspace));
  } else if (auto digest = After(key, "config/key/")) {
    config.keys.erase(*digest);
  } else if (auto drained = After(key, "config/drain/upstream/")) {
    config.drained_upstreams.erase(upstream_id(*drained));
  } else if (auto vm = After(key, "config/drain/vm/")) {
    config.drained_vms.erase(vm_id(*vm));
  } else if (auto region = After(key, "config/drain/region/")) {
    config.drained_regions.erase(region_id(*region));
  } else if (auto gone = After(key, "config/gone/")) {
    config.gone_vms.erase(vm_id(*gone));
  } else if (auto service = After(key, "config/shift/")) {
    config.shifts.erase(service_id(*service));
  } else if (auto group = After(key, "config/clients/")) {
    RemoveClients(config, *group);
  }
  return std::monostate{};
}

}  // namespace

const request_class* service_config::ClassOf(std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const request_class* best = nullptr;
  for (const request_class& candidate : classes) {
    const std::string& prefix = candidate.path_prefix;
    if (path.substr(0, prefix.size()) != prefix) continue;
    if (best == nullptr || prefix.size() > best->path_prefix.size()) {
      best = &candidate;
    }
  }
  return best;
}

std::string service_config::ClassNameOf(std::string_view target) const {
  const request_class* found = ClassOf(target);
  return found == nullptr ? "" : found->name;
}

const contract* fleet_config::FindContract(const workspace_id& id) const {
  const auto found = contracts.find(id);
  return found == contracts.end() ? nullptr : &found->second;
}

const key_grant* fleet_config::FindKey(const std::string& digest) const {
  const auto found = keys.find(digest);
  return found == keys.end() ? nullptr : &found->second;
}

const service_config* fleet_config::FindService(const service_id& id) const {
  const auto found = services.find(id);
  return found == services.end() ? nullptr : &found->second;
}

std::optional<region_id> fleet_config::RegionOf(const zone_id& zone) const {
  const auto found = zones.find(zone);
  if (found == zones.end()) return std::nullopt;
  return found->second.region;
}

status CheckConfigObject(const std::string& key, const std::string& json) {
  fleet_config scratch;
  return ApplyConfigObject(scratch, key, json);
}

fleet_config BuildFleetConfig(const std::map<std::string, std::string>& objects,
                              config_revision revision,
                              std::vector<std::string>* problems) {
  fleet_config config;
  config.revision = revision;
  for (const auto& [key, json] : objects) {
    const status applied = ApplyConfigObject(config, key, json);
    if (!IsOk(applied) && problems != nullptr) {
      problems->push_back(fmt::format("{}: {}", key, ErrorOf(applied).message));
    }
  }
  return config;
}

status ApplyConfigObject(fleet_config& config, const std::string& key,
                         const std::string& json) {
  if (json.empty()) return Remove(config, key);
  const result<nlohmann::json> parsed = ParseJson(json);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const nlohmann::json& value = ValueOf(parsed);
  if (key == "config/topology") return ReadTopology(config, value);
  if (auto upstream = After(key, "config/upstream/")) {
    return ReadUpstream(config, *upstream, value);
  }
  if (auto workspace = After(key, "config/contract/")) {
    return ReadContract(config, *workspace, value);
  }
  if (auto digest = After(key, "config/key/")) {
    return ReadKey(config, *digest, value);
  }
  if (auto service = After(key, "config/shift/")) {
    return ReadShift(config, *service, value);
  }
  if (auto group = After(key, "config/clients/")) {
    return ReadClients(config, *group, value);
  }
  if (auto drained = After(key, "config/drain/upstream/")) {
    config.drained_upstreams.insert(upstream_id(*drained));
    return std::monostate{};
  }
  if (auto vm = After(key, "config/drain/vm/")) {
    config.drained_vms.insert(vm_id(*vm));
    return std::monostate{};
  }
  if (auto region = After(key, "config/drain/region/")) {
    config.drained_regions.insert(region_id(*region));
    return std::monostate{};
  }
  if (auto gone = After(key, "config/gone/")) {
    config.gone_vms.insert(vm_id(*gone));
    return std::monostate{};
  }
  return MakeError(error_code::kInvalid,
                   fmt::format("{} is no key of the configuration", key));
}

}  // namespace citron
