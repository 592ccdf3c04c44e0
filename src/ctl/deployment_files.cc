#include "citron/ctl/deployment_files.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "citron/base/endpoint.h"

namespace citron {

namespace {

using nlohmann::json;

constexpr int kFirstUpstreamNet = 100;
constexpr int kPlatformNet = 200;
constexpr int kMaxUpstreamsInZone = 250;
constexpr char kSecretVariable[] = "CITRON_SECRET";
// A crashed upstream comes back by itself, as its platform would start it.
constexpr int kUpstreamRestartMs = 2000;
constexpr int kReportLagMs = 300;

struct deployed_vm {
  std::string name;
  const deployed_zone* zone = nullptr;
  std::string address;
};

struct deployed_upstream {
  std::string name;
  const deployed_service* service = nullptr;
  const deployed_zone* zone = nullptr;
  std::string address;
};

std::string At(const std::string& address, int port) {
  return fmt::format("{}:{}", address, port);
}

std::vector<deployed_vm> PlaceVms(const deployment& deployed,
                                  const std::string& base) {
  std::vector<deployed_vm> vms;
  int zone_number = 0;
  for (const deployed_zone& zone : deployed.zones) {
    ++zone_number;
    for (int i = 1; i <= zone.entry_vms; ++i) {
      vms.push_back({fmt::format("{}-{}", zone.name, i), &zone,
                     fmt::format("{}.{}.{}", base, zone_number, i)});
    }
  }
  return vms;
}

// In turn over the zones, so that no zone has more than one upstream of a
// service above another.
result<std::vector<deployed_upstream>> PlaceUpstreams(
    const deployment& deployed, const std::string& base) {
  std::vector<int> used(deployed.zones.size(), 0);
  std::vector<deployed_upstream> upstreams;
  for (const deployed_service& service : deployed.services) {
    for (int i = 0; i < service.upstreams; ++i) {
      const std::size_t zone =
          static_cast<std::size_t>(i) % deployed.zones.size();
      if (++used[zone] > kMaxUpstreamsInZone) {
        return MakeError(error_code::kInvalid, "too many upstreams in a zone");
      }
      upstreams.push_back(
          {fmt::format("{}-{}", service.name, i + 1), &service,
           &deployed.zones[zone],
           fmt::format("{}.{}.{}:8000", base, kFirstUpstreamNet + zone + 1,
                       used[zone])});
    }
  }
  return upstreams;
}

json ClassSpec(const deployed_class& one) {
  return {{"name", one.name},
          {"path_prefix", one.path_prefix},
          {"long", one.long_running},
          {"expected_ms", ToMilliseconds(one.expected_time)}};
}

json TopologySpec(const deployment& deployed) {
  json zones;
  for (const deployed_zone& zone : deployed.zones) {
    zones[zone.name] = {{"region", zone.region}};
  }
  json services;
  for (const deployed_service& service : deployed.services) {
    json& spec = services[service.name];
    spec["short_reserve"] = service.short_reserve;
    spec["cold_start_ramp_ms"] = ToMilliseconds(service.cold_start_ramp);
    for (const deployed_class& one : service.classes) {
      spec["classes"].push_back(ClassSpec(one));
    }
  }
  return {{"zones", zones},
          {"services", services},
          {"links",
           {{"region_megabits_per_s", deployed.region_megabits_per_s},
            {"region_latency_ms", ToMilliseconds(deployed.region_latency)},
            {"zone_latency_ms", ToMilliseconds(deployed.zone_latency)}}}};
}

json ContractSpec(const deployment& deployed,
                  const deployed_workspace& workspace) {
  json patience = json::array();
  for (const deployed_patience& rule : workspace.patience) {
    patience.push_back({{"service", rule.service},
                        {"from_minute", rule.from_minute},
                        {"to_minute", rule.to_minute},
                        {"deadline_ms", ToMilliseconds(rule.deadline)}});
  }
  return {{"rate_per_s", workspace.rate_per_s},
          {"burst", workspace.burst},
          {"weight", workspace.weight},
          {"default_deadline_ms", ToMilliseconds(workspace.default_deadline)},
          {"time_zone", deployed.time_zone},
          {"patience", patience}};
}

json Declarations(const deployment& deployed,
                  const std::vector<deployed_upstream>& upstreams) {
  json list = json::array();
  list.push_back({{"kind", "topology"}, {"spec", TopologySpec(deployed)}});
  for (const deployed_upstream& upstream : upstreams) {
    list.push_back(
        {{"kind", "upstream"},
         {"name", upstream.name},
         {"spec",
          {{"service", upstream.service->name},
           {"zone", upstream.zone->name},
           {"address", upstream.address},
           {"slots", upstream.service->slots},
           {"max_connections", upstream.service->max_connections}}}});
  }
  for (const deployed_workspace& workspace : deployed.workspaces) {
    list.push_back({{"kind", "contract"},
                    {"name", workspace.name},
                    {"spec", ContractSpec(deployed, workspace)}});
  }
  return list;
}

// The stand-in's own settings for the upstreams of one zone.
json StandinUpstreams(const deployed_zone& zone,
                      const std::vector<deployed_upstream>& upstreams) {
  json list = json::array();
  int seed = 0;
  for (const deployed_upstream& upstream : upstreams) {
    ++seed;
    if (upstream.zone != &zone) continue;
    json base_ms = json::object();
    for (const deployed_class& one : upstream.service->classes) {
      base_ms[one.path_prefix] = ToMilliseconds(one.expected_time);
    }
    list.push_back({{"id", upstream.name},
                    {"listen", upstream.address},
                    {"service", upstream.service->name},
                    {"slots", upstream.service->slots},
                    {"max_connections", upstream.service->max_connections},
                    {"base_ms", base_ms},
                    {"report_lag_ms", kReportLagMs},
                    {"restart_after_ms", kUpstreamRestartMs},
                    {"seed", seed}});
  }
  return list;
}

json CommonSettings(const deployed_vm& vm, int first_port) {
  return {{"vm", vm.name},
          {"zone", vm.zone->name},
          {"region", vm.zone->region},
          {"secret_env", kSecretVariable},
          {"peer_listen", At(vm.address, first_port + 1)},
          {"metrics_listen", At(vm.address, first_port + 2)}};
}

json ControlSettings(const deployed_vm& vm, const std::string& platform) {
  json settings = CommonSettings(vm, 7100);
  settings["platform"] = platform;
  return settings;
}

// An entry's or a dispatch's.
json DaemonSettings(const deployed_vm& vm, int first_port) {
  json settings = CommonSettings(vm, first_port);
  settings["control"] = At(vm.address, 7101);
  settings["listen"] = At(vm.address, first_port);
  return settings;
}

json PlatformData(const std::vector<deployed_vm>& vms) {
  json list = json::array();
  for (const deployed_vm& vm : vms) {
    list.push_back({{"vm", vm.name},
                    {"zone", vm.zone->name},
                    {"region", vm.zone->region},
                    {"control", At(vm.address, 7101)},
                    {"state", "live"}});
  }
  return {{"kv", json::object()}, {"vms", list}};
}

json FleetFile(const std::vector<deployed_vm>& vms) {
  json list = json::array();
  for (const deployed_vm& vm : vms) {
    list.push_back({{"vm", vm.name},
                    {"zone", vm.zone->name},
                    {"region", vm.zone->region},
                    {"status", At(vm.address, 7102)}});
  }
  return {{"vms", list}};
}

json LoadFile(const deployment& deployed, const std::vector<deployed_vm>& vms) {
  json entries = json::array();
  for (const deployed_vm& vm : vms) entries.push_back(At(vm.address, 7200));
  json workspaces = json::array();
  for (const deployed_workspace& workspace : deployed.workspaces) {
    workspaces.push_back({{"name", workspace.name},
                          {"rate_per_s", workspace.rate_per_s},
                          {"burst", workspace.burst}});
  }
  json requests = json::array();
  for (const deployed_service& service : deployed.services) {
    for (const deployed_class& one : service.classes) {
      requests.push_back({{"service", service.name},
                          {"class", one.name},
                          {"path_prefix", one.path_prefix},
                          {"method", one.method},
                          {"once", one.once},
                          {"answer_bytes", one.answer_bytes},
                          {"mix", one.mix}});
    }
  }
  return {
      {"entries", entries}, {"workspaces", workspaces}, {"requests", requests}};
}

std::string Text(const json& value) { return value.dump(2) + "\n"; }

}  // namespace

result<file_set> MakeDeploymentFiles(const deployment& deployed,
                                     const std::string& address_base) {
  // Stand-ins and their load never leave the machine.
  const bool is_loopback = address_base.starts_with("127.") &&
                           ParseEndpoint(address_base + ".0.1:1").has_value();
  if (!is_loopback) {
    return MakeError(
        error_code::kInvalid,
        fmt::format("address base \"{}\" is not 127.N", address_base));
  }
  const std::vector<deployed_vm> vms = PlaceVms(deployed, address_base);
  const auto placed = PlaceUpstreams(deployed, address_base);
  if (!IsOk(placed)) return ErrorOf(placed);
  const std::vector<deployed_upstream>& upstreams = ValueOf(placed);
  const std::string platform =
      fmt::format("{}.{}.1:7401", address_base, kPlatformNet);
  file_set files;
  files["declarations.json"] = Text(Declarations(deployed, upstreams));
  files["platform.json"] = Text(PlatformData(vms));
  files["fleet.json"] = Text(FleetFile(vms));
  files["load.json"] = Text(LoadFile(deployed, vms));
  for (const deployed_zone& zone : deployed.zones) {
    files[fmt::format("upstreams-{}.json", zone.name)] =
        Text(StandinUpstreams(zone, upstreams));
  }
  for (const deployed_vm& vm : vms) {
    files[vm.name + "/control.json"] = Text(ControlSettings(vm, platform));
    files[vm.name + "/entry.json"] = Text(DaemonSettings(vm, 7200));
    files[vm.name + "/dispatch.json"] = Text(DaemonSettings(vm, 7300));
  }
  return files;
}

}  // namespace citron
