#ifndef CITRON_POLICY_UPSTREAM_RATE_LIMIT_H_
#define CITRON_POLICY_UPSTREAM_RATE_LIMIT_H_

#include <cstdint>
#include <map>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// Keeps the requests of all VMs to one upstream within the rate that the
// upstream names. Each VM has a part of the rate by its demand, as the VMs
// report it to each other. Demand is what would go to the upstream without the
// limit.
//
// Load pattern: an upstream in need that many VMs send to. A VM that took the
// whole rate for itself would exceed it as often as there are VMs; an even part
// for each would leave most of it idle where the callers use one VM. Each VM
// that has a part may save a request, and all of them may send it at the same
// moment, so no more VMs have parts than it takes to use the rate.
class upstream_rate_limit {
 public:
  // `upstream_hash` decides which VMs have parts; `rate_per_s` must not be
  // negative.
  upstream_rate_limit(std::uint64_t upstream_hash, double rate_per_s,
                      monotonic_time now);

  void SetRate(double rate_per_s, monotonic_time now);
  double RatePerS() const { return rate_per_s_; }
  // Sets the number of VMs that send requests, including this VM.
  void SetFleet(const vm_id& self, int vms, monotonic_time now);
  // Takes the demand that another VM reports. One that is silent keeps its
  // part, since it may be sending all the same.
  void OnPeerDemand(const vm_id& vm, double per_s, monotonic_time now);
  void OnVmGone(const vm_id& vm, monotonic_time now);

  // Counts one request of the demand and decides whether it may be sent.
  bool TryTake(monotonic_time now);
  // Returns this VM's demand for the other VMs. Its part depends on the demand
  // that was reported last.
  double ReportDemand(monotonic_time now);
  // Returns when a request of this VM's part will be saved; monotonic_time::max
  // if it has no part.
  monotonic_time NextTakeAt(monotonic_time now) const;

  // Returns this VM's part of the rate.
  double PartPerS() const { return part_per_s_; }
  // Returns the demand of all VMs, as far as it was reported.
  double FleetDemandPerS() const;

 private:
  void Accrue(monotonic_time now);
  void UpdateDemand(monotonic_time now);
  void UpdatePart();

  std::uint64_t upstream_hash_;
  double rate_per_s_;
  vm_id self_;
  int fleet_size_ = 1;
  double part_per_s_ = 0;
  double max_credit_ = 0;
  double credit_ = 0;  // Requests that may be sent now.
  monotonic_time accrued_at_;
  double arrivals_ = 0;
  double demand_per_s_ = 0;
  monotonic_time demand_at_;
  double reported_demand_per_s_ = 0;
  std::map<vm_id, double> peer_demand_per_s_;
};

}  // namespace citron

#endif  // CITRON_POLICY_UPSTREAM_RATE_LIMIT_H_
