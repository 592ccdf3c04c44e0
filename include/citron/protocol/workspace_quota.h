#ifndef CITRON_PROTOCOL_WORKSPACE_QUOTA_H_
#define CITRON_PROTOCOL_WORKSPACE_QUOTA_H_

#include <cstdint>
#include <map>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/protocol/admission_window.h"
#include "citron/protocol/demand_history.h"
#include "citron/protocol/report_contacts.h"

namespace citron {

struct quota_options {
  duration window = std::chrono::seconds(5);
  // Requests above rate and burst that the whole fleet may admit because small
  // bucket capacities are rounded up.
  double fleet_slack = 12;
  // Requests subtracted from the estimate of a fleet-wide rise, so that a few
  // consecutive requests of a small workspace are not taken for such a rise.
  double uncounted_rise = 18;
  // Maximum network delay of a report to another VM.
  duration max_report_delay = FromMilliseconds(300);
  // Fleet size that is assumed for `assume_for` after the start, before the VMs
  // are known.
  int assumed_vms = 2;
  duration assume_for = std::chrono::seconds(2);
};

// Report of a VM to the others about one workspace.
struct quota_report {
  double demand_per_s = 0;  // Requests that arrived at the VM.
  double admitted_in_window = 0;
};

// Inputs of the last admission decision, for the log.
struct quota_state {
  double rate_per_s = 0;
  double burst = 0;
  double share = 0;   // Share of this VM in the contract.
  double tokens = 0;  // In this VM's bucket; negative: debt.
  double fleet_admitted = 0;
  double window_limit = 0;
  int vms_told = 0;   // Listed VMs that have reported.
  int vms_heard = 0;  // Those of them that are not silent.
};

// Limits one workspace to its rate and burst over all VMs, without a remote
// call per request. Callers may move between VMs and send bursts, so each VM
// has a token bucket with its share of the contract, by demand. While the
// reports show room in the contract's window, a VM also admits requests without
// a token, and repays the debt later.
class workspace_quota {
 public:
  // `contacts` must outlive the quota.
  workspace_quota(const quota_options& options, const report_contacts& contacts,
                  monotonic_time now);

  // Sets the contract. Rate 0 means no limit.
  void SetContract(double rate_per_s, double burst, monotonic_time now);
  // Sets the number of VMs that serve requests, including this VM.
  void SetFleetSize(int vms) { fleet_size_ = vms; }
  // Sets the maximum age of the other VMs' reports. The quota keeps room free
  // for the requests that may arrive within that time.
  void SetMaxReportAge(duration lag) { view_lag_ = lag; }
  // Takes the report of a VM that `contacts` has taken as well.
  void OnReport(const contact_id& vm, const quota_report& report,
                monotonic_time now);

  // Decides whether to admit a request; counts its arrival in either case.
  bool TryAdmit(monotonic_time now);
  // Reverts the admission of a request that has not run and never will.
  void OnNotRun(monotonic_time admitted_at, monotonic_time now);
  // Returns when this VM expects room for a request that it has just rejected:
  // at the latest one window later.
  monotonic_time NextTokenAt(monotonic_time now) const;

  quota_state State(monotonic_time now) const;

  // Returns the report for the other VMs. The local share depends on the demand
  // that was reported last.
  quota_report Report(monotonic_time now);

 private:
  // A VM with demand, or with requests in the window.
  struct other_vm {
    std::uint32_t epoch = 0;
    quota_report report;
    monotonic_time reported_at{};
    demand_history demand;
    // Requests that the VM had admitted before it restarted or counted as gone.
    // The contract's window still covers these requests.
    double admitted_before_reset = 0;
    monotonic_time before_reset_until{};
  };
  // Share of a VM in the contract, at its last report.
  struct vm_share {
    std::uint32_t epoch = 0;
    float share = 0;
  };
  // Inputs to the shares of the VMs that are not silent.
  struct share_basis {
    double shared = 0;  // Fraction that silent VMs leave.
    double idle_demand_per_s = 0;
    double fleet_demand_per_s = 0;

    double ShareOf(double demand_per_s) const {
      return shared * (demand_per_s + idle_demand_per_s) / fleet_demand_per_s;
    }
  };
  static bool IsIdle(const quota_report& report);
  // Returns the requests of one window, by the contract.
  double ContractLimit() const {
    return rate_per_s_ * ToSeconds(options_.window) + burst_;
  }
  const report_contacts::contact& ContactOf(std::uint32_t index) const {
    return contacts_->At(index);
  }
  bool IsSilent(std::uint32_t index, monotonic_time now) const {
    return contacts_->IsSilent(ContactOf(index), now);
  }
  double RecordedShare(std::uint32_t index) const;
  bool AreManyReportsLate(monotonic_time now) const;
  double KnownDemand(monotonic_time now) const;
  monotonic_time DemandInForceSince(monotonic_time now) const;
  share_basis ComputeShareBasis(monotonic_time now) const;
  void RecordShares(monotonic_time now);
  double LocalShare(monotonic_time now) const;
  // Calls `visit` for the silent VMs that count.
  template <typename visitor>
  void ForEachSilent(monotonic_time now, const visitor& visit) const;
  double Admitted(std::uint32_t index, const other_vm& other,
                  monotonic_time now) const;
  double AdmittedByOthers(monotonic_time now) const;
  double FleetAdmitted(monotonic_time now) const {
    return admitted_.Count() + AdmittedByOthers(now);
  }
  bool HasWholeView(monotonic_time now) const;
  bool HasFleetRoom(double by_others, monotonic_time now) const;
  double LocalLimit(double share, double by_others, double fleet_limit) const;
  double WindowLimit(monotonic_time now) const;
  double SharedLimit(monotonic_time now) const;
  double AdmittedBeforeReset(const other_vm& other, monotonic_time now) const;
  double UnreportedAdmissions() const;
  double TokenLimit(monotonic_time now) const;
  bool HasToken(monotonic_time now) const;
  bool HasRoom(monotonic_time now) const;
  double MaxRoundedUp() const;
  void RemoveIdleVms(monotonic_time now);
  void Refill(monotonic_time now);
  void UpdateDemand(monotonic_time now);

  quota_options options_;
  const report_contacts* contacts_;
  monotonic_time started_at_;
  double rate_per_s_ = 0;
  double burst_ = 0;
  int fleet_size_ = 1;
  duration view_lag_ = FromMilliseconds(700);
  double connected_share_ = 0;  // Last share while this VM was connected.
  double share_ = 0;            // In force at the last refill.
  double tokens_ = 0;
  monotonic_time refilled_at_;
  admission_window admitted_;
  double reported_admitted_ = 0;  // In this VM's last report.
  double demand_per_s_ = 0;
  double recent_demand_per_s_ = 0;
  demand_history reported_demand_;
  monotonic_time reported_at_;
  double arrivals_ = 0;
  monotonic_time demand_at_;
  // By contact_id::index.
  std::map<std::uint32_t, other_vm> others_;
  std::vector<vm_share> shares_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_WORKSPACE_QUOTA_H_
