#ifndef TESTS_SOAK_SOAK_WORLD_H_
#define TESTS_SOAK_SOAK_WORLD_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "citron/net/http_client.h"
#include "integration/harness.h"
#include "soak/soak_ledger.h"
#include "soak/soak_plan.h"
#include "soak/soak_store.h"
#include "soak/soak_upstream.h"

namespace citron {

// A fleet of real entry VMs with everything around them: the store's stand-in
// and a proxy before it as processes, upstreams, callers and the operator in
// this one. Plays a plan and tells what was broken.
class soak_world : public harness {
 public:
  explicit soak_world(const soak_plan& plan);
  ~soak_world();

  void Play();
  const soak_ledger& Ledger() const { return ledger_; }
  // What was done when, beside what was broken.
  std::string Report() const;

 private:
  struct vm {
    std::string name;
    int zone = 0;
    std::string address;
    endpoint store;  // As the VM reaches it, by the proxy.
    child_process* process = nullptr;
    bool is_paused = false;
    int down = 0;  // Disturbances that keep it from running.
  };
  struct registration {
    std::uint64_t lease = 0;
    bool under_way = false;
    std::uint64_t sequence = 0;
    bool draining = false;
  };

  void StartNetwork();
  void StartVm(vm& which);
  std::string SettingsOf(const vm& which) const;
  std::string ZoneName(int zone) const { return "z" + std::to_string(zone); }
  void SetRoute(const std::string& route, nlohmann::json fault);

  void WriteRouting();
  nlohmann::json Routing() const;
  void OnTick();
  void Register(soak_upstream& upstream);
  nlohmann::json EntryOf(const soak_upstream& upstream) const;

  void SendDue(monotonic_time now);
  void Send(bool may_repeat, int workspace);
  void OnCallEnd(soak_attempt attempt, const http_response* response,
                 const call_failure& failure, bool may_repeat);
  void LookUp();
  int ChooseVm();

  void SetStoreFault(const nlohmann::json& fault);
  void Begin(const disturbance& what);
  void End(const disturbance& what);
  void BeginVm(const disturbance& what, vm& target);
  void EndVm(const disturbance& what, vm& target);
  void BeginUpstream(const disturbance& what, soak_upstream& target);
  void EndUpstream(const disturbance& what, soak_upstream& target);
  bool* FaultOf(disturbance_kind kind, soak_upstream& target);
  bool IsDue(double at_s) const;

  soak_plan plan_;
  pcg32 random_;
  soak_ledger ledger_;
  endpoint platform_;
  endpoint proxy_;
  std::map<std::string, endpoint> routes_;
  std::vector<vm> vms_;
  std::vector<std::unique_ptr<soak_upstream>> upstreams_;
  std::map<std::string, registration> registrations_;
  std::unique_ptr<soak_store> store_;
  http_client callers_;
  loop_timer tick_;

  int version_ = 1;
  bool routing_is_written_ = true;  // What was sent last is acknowledged.
  bool route_is_added_ = false;
  std::set<std::string> withdrawn_;
  int flood_ = 0;
  std::vector<int> named_;  // VMs of the last look-up.
  monotonic_time started_{};
  monotonic_time look_up_at_{};
  monotonic_time register_at_{};
  double owed_ = 0;  // Requests that are due.
  monotonic_time owed_at_{};
  std::uint64_t last_id_ = 0;
  int open_ = 0;
  bool sending_ = false;
};

}  // namespace citron

#endif  // TESTS_SOAK_SOAK_WORLD_H_
