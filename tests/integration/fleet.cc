#include "integration/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>

#include "citron/base/digest.h"

namespace citron {

namespace {

constexpr int kControlPeer = 7001;
constexpr int kControlPage = 7002;
constexpr int kDispatchHttp = 7011;
constexpr int kDispatchPeer = 7012;
constexpr int kDispatchPage = 7013;
constexpr int kEntryHttp = 7021;
constexpr int kEntryPeer = 7022;
constexpr int kEntryPage = 7023;
constexpr int kPlatformRoute = 6000;
constexpr int kFirstUpstream = 8000;
// Ports that other VMs connect to.
constexpr int kSharedPorts[] = {kControlPeer, kDispatchHttp, kDispatchPeer,
                                kEntryHttp, kEntryPeer};
// Hosts of the test's block of addresses.
constexpr int kUpstreamHost = 2;
constexpr int kUpstreamProxyHost = 3;
constexpr int kFirstVmHost = 10;
constexpr int kFirstProxyHost = 100;
// Between the proxied ports of two VMs.
constexpr int kPortStride = 100;

// Requests that Start sends; they are in no ledger that a test sees.
constexpr char kWarmUpPath[] = "/warm-up";

bool IsNoWarmUp(const nlohmann::json& entry) {
  return !entry.at("target").get<std::string>().starts_with(kWarmUpPath);
}

endpoint At(int host, int port) {
  return {harness::Address(host), static_cast<std::uint16_t>(port)};
}

}  // namespace

fleet_plan SmallPlan(int zones, int vms_in_zone, int upstreams_in_zone) {
  fleet_plan plan;
  for (int z = 1; z <= zones; ++z) {
    const std::string zone = fmt::format("z{}", z);
    for (int i = 1; i <= vms_in_zone; ++i) {
      plan.vms.push_back({fmt::format("{}vm{}", zone, i), zone, "r1"});
    }
    for (int i = 1; i <= upstreams_in_zone; ++i) {
      plan.upstreams.push_back({fmt::format("{}u{}", zone, i), "desk", zone});
    }
  }
  plan.services["desk"]["classes"] = {
      {{"name", "short"}, {"path_prefix", "/"}, {"expected_ms", 10}}};
  plan.contracts["depot"] = {
      {"rate_per_s", 1000}, {"burst", 1000}, {"default_deadline_ms", 10000}};
  plan.keys["key-of-depot"] = "depot";
  return plan;
}

fleet::fleet(harness& in, fleet_plan plan)
    : harness_(in), plan_(std::move(plan)) {}

void fleet::Start() {
  secret_file_ = harness_.WriteFile(
      "secret", std::string("a secret that only this test's fleet knows"));
  nlohmann::json upstreams = nlohmann::json::array();
  for (const fleet_upstream& upstream : plan_.upstreams) {
    upstreams.push_back({{"id", upstream.name},
                         {"listen", Upstream(upstream.name).Str()},
                         {"service", upstream.service},
                         {"slots", upstream.slots},
                         {"restart_after_ms", 200}});
  }
  harness_.StartUpstreams(upstreams);
  platform_ = harness_.StartPlatform(PlatformData());
  proxy_ = harness_.StartProxy(Routes());
  for (const fleet_vm& vm : plan_.vms) StartVm(vm.name);
  WaitUntilInForce();
}

void fleet::StartVm(const std::string& vm) {
  for (const char* role : {"control", "dispatch", "entry"}) {
    StartDaemon(vm, role);
  }
}

void fleet::StartDaemon(const std::string& vm, const std::string& role) {
  const std::string name = fmt::format("{}.{}", vm, role);
  const std::string file =
      harness_.WriteFile(name + ".json", SettingsOf(vm, role));
  child_process& daemon =
      harness_.Start(name, "citron_" + role, {"--config", file});
  BOOST_REQUIRE(harness_.Caller().WaitFor([&] {
    return daemon.HasWritten("listening ") || daemon.Exit().has_value();
  }));
  BOOST_REQUIRE_MESSAGE(!daemon.Exit(), name + " ended at its start");
}

child_process& fleet::Daemon(const std::string& vm, const std::string& role) {
  return harness_.Process(fmt::format("{}.{}", vm, role));
}

void fleet::KillVm(const std::string& vm) {
  for (const char* role : {"control", "dispatch", "entry"}) {
    Daemon(vm, role).Kill();
  }
}

endpoint fleet::Entry(const std::string& vm) const {
  return PortOf(vm, kEntryHttp);
}

endpoint fleet::ControlPage(const std::string& vm) const {
  return PortOf(vm, kControlPage);
}

endpoint fleet::Upstream(const std::string& name) const {
  for (std::size_t i = 0; i < plan_.upstreams.size(); ++i) {
    if (plan_.upstreams[i].name != name) continue;
    return At(kUpstreamHost, kFirstUpstream + static_cast<int>(i));
  }
  BOOST_FAIL("no upstream " + name);
  return {};
}

nlohmann::json fleet::Status(const std::string& vm) {
  return harness_.Caller().GetJson(ControlPage(vm), "/status");
}

bool fleet::HasOwnShare(const std::string& vm) {
  const caller_call call = harness_.Caller().Call(PortOf(vm, kEntryPage),
                                                  {"GET", "/metrics", {}, ""});
  constexpr std::string_view kGauge = "\ncitron_entry_share_ppm ";
  const std::string& page = call.response.body;
  const std::size_t at = page.find(kGauge);
  return at != std::string::npos &&
         std::stod(page.substr(at + kGauge.size())) > 0;
}

std::vector<nlohmann::json> fleet::Ledger() {
  std::vector<nlohmann::json> all;
  for (const fleet_upstream& upstream : plan_.upstreams) {
    const nlohmann::json ledger = harness_.Caller().GetJson(
        Upstream(upstream.name), "/admin/ledger?after=0");
    for (const char* part : {"entries", "running"}) {
      std::copy_if(ledger.at(part).begin(), ledger.at(part).end(),
                   std::back_inserter(all), IsNoWarmUp);
    }
  }
  return all;
}

void fleet::SetRouteFault(const std::string& from, const std::string& to,
                          const nlohmann::json& fault) {
  nlohmann::json command = fault;
  command["route"] = fmt::format("{}>{}", from, to);
  BOOST_REQUIRE(harness_.Caller().PostJson(proxy_, "/admin/fault", command));
}

void fleet::Cut(const std::string& a, const std::string& b, bool cut) {
  const nlohmann::json fault = {{"cut", cut}};
  SetRouteFault(a, b, fault);
  if (b != "platform") SetRouteFault(b, a, fault);
}

void fleet::SetPlatformFault(const nlohmann::json& fault) {
  BOOST_REQUIRE(harness_.Caller().PostJson(platform_, "/admin/fault", fault));
}

int fleet::IndexOf(const std::string& vm) const {
  for (std::size_t i = 0; i < plan_.vms.size(); ++i) {
    if (plan_.vms[i].name == vm) return static_cast<int>(i);
  }
  BOOST_FAIL("no VM " + vm);
  return 0;
}

endpoint fleet::PortOf(const std::string& vm, int port) const {
  return At(kFirstVmHost + IndexOf(vm), port);
}

endpoint fleet::ProxiedPort(const std::string& from, const std::string& to,
                            int port) const {
  const int host = kFirstProxyHost + IndexOf(from);
  return At(host, port + kPortStride * (IndexOf(to) + 1));
}

endpoint fleet::ProxiedPlatform(const std::string& from) const {
  return At(kFirstProxyHost + IndexOf(from), kPlatformRoute);
}

endpoint fleet::ProxiedUpstream(const std::string& name) const {
  return At(kUpstreamProxyHost, Upstream(name).port);
}

nlohmann::json fleet::PlatformData() const {
  nlohmann::json kv;
  nlohmann::json vms = nlohmann::json::array();
  nlohmann::json zones;
  for (const fleet_vm& vm : plan_.vms) {
    zones[vm.zone] = {{"region", vm.region}};
    vms.push_back({{"vm", vm.name},
                   {"zone", vm.zone},
                   {"region", vm.region},
                   {"control", PortOf(vm.name, kControlPeer).Str()},
                   {"state", "live"}});
  }
  kv["config/topology"] = {{"zones", zones}, {"services", plan_.services}};
  for (const fleet_upstream& upstream : plan_.upstreams) {
    const endpoint address = plan_.upstreams_behind_proxy
                                 ? ProxiedUpstream(upstream.name)
                                 : Upstream(upstream.name);
    kv["config/upstream/" + upstream.name] = {{"service", upstream.service},
                                              {"zone", upstream.zone},
                                              {"address", address.Str()},
                                              {"slots", upstream.slots}};
  }
  for (const auto& [workspace, contract] : plan_.contracts.items()) {
    kv["config/contract/" + workspace] = contract;
  }
  for (const auto& [key, workspace] : plan_.keys) {
    kv["config/key/" + Sha256Hex(key)] = {{"workspace", workspace}};
  }
  return {{"kv", kv}, {"vms", vms}};
}

nlohmann::json fleet::Routes() const {
  nlohmann::json routes = nlohmann::json::array();
  for (const fleet_upstream& upstream : plan_.upstreams) {
    routes.push_back({{"name", upstream.zone + ">" + upstream.name},
                      {"listen", ProxiedUpstream(upstream.name).Str()},
                      {"target", Upstream(upstream.name).Str()}});
  }
  for (const fleet_vm& from : plan_.vms) {
    routes.push_back({{"name", from.name + ">platform"},
                      {"listen", ProxiedPlatform(from.name).Str()},
                      {"target", platform_.Str()}});
    for (const fleet_vm& to : plan_.vms) {
      if (from.name == to.name) continue;
      for (const int port : kSharedPorts) {
        routes.push_back(
            {{"name", fmt::format("{}>{}", from.name, to.name)},
             {"listen", ProxiedPort(from.name, to.name, port).Str()},
             {"target", PortOf(to.name, port).Str()}});
      }
    }
  }
  return routes;
}

nlohmann::json fleet::CommonSettings(const std::string& vm, int peer_port,
                                     int metrics_port) const {
  const fleet_vm& own = plan_.vms[static_cast<std::size_t>(IndexOf(vm))];
  nlohmann::json overrides = nlohmann::json::object();
  for (const fleet_vm& other : plan_.vms) {
    if (other.name == vm) continue;
    for (const int port : kSharedPorts) {
      overrides[PortOf(other.name, port).Str()] =
          ProxiedPort(vm, other.name, port).Str();
    }
  }
  return {{"vm", vm},
          {"zone", own.zone},
          {"region", own.region},
          {"secret_file", secret_file_},
          {"peer_listen", PortOf(vm, peer_port).Str()},
          {"metrics_listen", PortOf(vm, metrics_port).Str()},
          {"dial_overrides", overrides}};
}

nlohmann::json fleet::SettingsOf(const std::string& vm,
                                 const std::string& role) const {
  nlohmann::json settings;
  if (role == "control") {
    settings = CommonSettings(vm, kControlPeer, kControlPage);
    settings["platform"] = ProxiedPlatform(vm).Str();
    settings.update(plan_.control_settings);
    return settings;
  }
  const bool is_entry = role == "entry";
  settings = is_entry ? CommonSettings(vm, kEntryPeer, kEntryPage)
                      : CommonSettings(vm, kDispatchPeer, kDispatchPage);
  settings["control"] = PortOf(vm, kControlPeer).Str();
  settings["listen"] = PortOf(vm, is_entry ? kEntryHttp : kDispatchHttp).Str();
  settings.update(is_entry ? plan_.entry_settings : plan_.dispatch_settings);
  return settings;
}

// Each VM sees every upstream as usable and lets requests in, so that a test
// starts from a fleet at work.
void fleet::WaitUntilInForce() {
  for (const fleet_vm& vm : plan_.vms) {
    BOOST_REQUIRE_MESSAGE(harness_.Caller().WaitFor([&] {
      return UsableUpstreams(vm.name) == plan_.upstreams.size();
    }),
                          vm.name + " does not see every upstream as usable");
  }
  const std::string& key = plan_.keys.begin()->first;
  const std::string target =
      fmt::format("/{}{}?work_ms=1", plan_.upstreams[0].service, kWarmUpPath);
  const http_request request = {
      "GET", target, {{"Authorization", "Bearer " + key}}, ""};
  for (const fleet_vm& vm : plan_.vms) {
    BOOST_REQUIRE_MESSAGE(harness_.Caller().WaitFor([&] {
      const caller_call call = harness_.Caller().Call(Entry(vm.name), request);
      return call.response.head.status == 200;
    }),
                          vm.name + " serves nothing");
  }
}

std::size_t fleet::UsableUpstreams(const std::string& vm) {
  std::size_t usable = 0;
  for (const fleet_vm& member : plan_.vms) {
    usable += UpstreamsOf(member.name, vm);
  }
  return usable;
}

std::size_t fleet::OwnedUpstreams(const std::string& vm) {
  return UpstreamsOf(vm, vm);
}

std::size_t fleet::UpstreamsOf(const std::string& owner,
                               const std::string& seen_by) {
  const nlohmann::json status = Status(seen_by);
  if (!status.is_object() || status["revision_in_force"] == 0) return 0;
  std::size_t usable = 0;
  for (const auto& member : status.value("members", nlohmann::json())) {
    if (member.at("vm") != owner) continue;
    const nlohmann::json services =
        member.value("services", nlohmann::json::object());
    for (const auto& [name, load] : services.items()) {
      usable += load.at("usable_upstreams").get<std::size_t>();
    }
  }
  return usable;
}

}  // namespace citron
