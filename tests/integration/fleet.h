#ifndef TESTS_INTEGRATION_FLEET_H_
#define TESTS_INTEGRATION_FLEET_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "integration/harness.h"

namespace citron {

struct fleet_vm {
  std::string name;
  std::string zone;
  std::string region;
};

struct fleet_upstream {
  std::string name;
  std::string service;
  std::string zone;
  int slots = 4;
};

// What a test's fleet consists of. Members of `*_settings` are added to the
// settings of each daemon of that kind.
struct fleet_plan {
  std::vector<fleet_vm> vms;
  std::vector<fleet_upstream> upstreams;
  nlohmann::json services;                  // As in config/topology.
  nlohmann::json contracts;                 // Workspace to contract.
  std::map<std::string, std::string> keys;  // Key to workspace.
  // Dispatches reach the upstreams through the proxy, by routes from the zone
  // to the upstream.
  bool upstreams_behind_proxy = false;
  nlohmann::json control_settings = nlohmann::json::object();
  nlohmann::json entry_settings = nlohmann::json::object();
  nlohmann::json dispatch_settings = nlohmann::json::object();
};

// One service and one workspace, in one region; the zones are z1, z2, ...
fleet_plan SmallPlan(int zones, int vms_in_zone, int upstreams_in_zone);

// A fleet of real daemons. What the VMs say to the platform and to each other
// goes through the fault proxy, so that any VM can be cut off from any other.
class fleet {
 public:
  fleet(harness& in, fleet_plan plan);

  // Starts the platform, the upstreams, the proxy and every VM, and waits
  // until the configuration is in force and every upstream is usable.
  void Start();
  void StartVm(const std::string& vm);
  void StartDaemon(const std::string& vm, const std::string& role);

  // role: "control", "dispatch" or "entry".
  child_process& Daemon(const std::string& vm, const std::string& role);
  void KillVm(const std::string& vm);

  endpoint Entry(const std::string& vm) const;
  endpoint ControlPage(const std::string& vm) const;
  const endpoint& Platform() const { return platform_; }
  endpoint Upstream(const std::string& name) const;

  nlohmann::json Status(const std::string& vm);
  // Of the whole fleet, as this VM's control sees it.
  std::size_t UsableUpstreams(const std::string& vm);
  // Those that the VM itself owns.
  std::size_t OwnedUpstreams(const std::string& vm);
  // Whether the VM's entry has begun to use a share of its own; before, what it
  // serves is lent by others, and a cut takes it away.
  bool HasOwnShare(const std::string& vm);
  // All entries of all upstreams' ledgers.
  std::vector<nlohmann::json> Ledger();

  // Faults of the way from one VM to another, or to "platform", one way of
  // connecting; see the proxy's README for the fields.
  void SetRouteFault(const std::string& from, const std::string& to,
                     const nlohmann::json& fault);
  // Cuts two VMs, or a VM and the platform, off from each other, or heals it.
  void Cut(const std::string& a, const std::string& b, bool cut);
  void SetPlatformFault(const nlohmann::json& fault);

 private:
  int IndexOf(const std::string& vm) const;
  endpoint PortOf(const std::string& vm, int port) const;
  // Where `from` finds a port of `to` through the proxy.
  endpoint ProxiedPort(const std::string& from, const std::string& to,
                       int port) const;
  endpoint ProxiedPlatform(const std::string& from) const;
  endpoint ProxiedUpstream(const std::string& name) const;
  nlohmann::json PlatformData() const;
  nlohmann::json Routes() const;
  nlohmann::json CommonSettings(const std::string& vm, int peer_port,
                                int metrics_port) const;
  nlohmann::json SettingsOf(const std::string& vm,
                            const std::string& role) const;
  std::size_t UpstreamsOf(const std::string& owner, const std::string& seen_by);
  void WaitUntilInForce();

  harness& harness_;
  fleet_plan plan_;
  endpoint platform_;
  endpoint proxy_;
  std::string secret_file_;
};

}  // namespace citron

#endif  // TESTS_INTEGRATION_FLEET_H_
