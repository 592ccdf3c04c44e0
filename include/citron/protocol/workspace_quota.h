#ifndef CITRON_PROTOCOL_WORKSPACE_QUOTA_H_
#define CITRON_PROTOCOL_WORKSPACE_QUOTA_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/protocol/demand_history.h"

namespace citron {

struct quota_options {
  duration window = std::chrono::seconds(5);
  // Requests above rate and burst that the whole fleet may be wrong by.
  double fleet_slack = 12;
  // Of a rise that may be everywhere, the requests that need not be counted: a
  // few in a row at a small workspace look like one.
  double unseen_rise = 18;
  // A VM whose record lapsed may let in requests for so long: until it can't
  // prove its keys any more, or until it has stopped as planned.
  duration orphan_time = FromMilliseconds(2000);
  // What a report takes to another VM, at the most.
  duration way = FromMilliseconds(300);
  // VMs that are assumed before they are known.
  int assumed_vms = 2;
  duration assume_for = std::chrono::seconds(2);
};

// What a VM tells the others of one workspace.
struct quota_report {
  double demand_per_s = 0;  // Requests that were asked of it.
  double admitted_in_window = 0;
};

// How another VM and this one hear each other.
struct quota_contact {
  // When this VM told the newest report that the other one has heard.
  monotonic_time has_heard{};
  // By when the other one is to tell again.
  monotonic_time tells_by{};
};

// What decided about the last request; for the log.
struct quota_state {
  double rate_per_s = 0;
  double burst = 0;
  double share = 0;   // Of this VM.
  double tokens = 0;  // In this VM's bucket; below zero what was lent.
  double fleet_admitted = 0;
  double window_limit = 0;
  int vms_told = 0;   // Listed VMs that have told of the workspace.
  int vms_heard = 0;  // Of them, those that aren't silent.
};

// Holds one workspace to its rate and burst over all VMs, without asking
// anybody for a request.
class workspace_quota {
 public:
  workspace_quota(const quota_options& options, monotonic_time now);

  // Rate 0: no limit.
  void SetTerms(double rate_per_s, double burst, monotonic_time now);
  // The VMs that take requests, this one included.
  void SetFleetSize(int vms) { fleet_size_ = vms; }
  // How old what other VMs told may be; requests of so long are held free.
  void SetViewLag(duration lag) { view_lag_ = lag; }
  // A VM that was not heard for so long may be cut off from this one.
  void SetSilenceLimit(duration limit) { silence_limit_ = limit; }
  void OnReport(const vm_id& vm, const quota_report& report,
                monotonic_time now);
  void OnContact(const vm_id& vm, const quota_contact& contact);
  // The VM is listed, or not any more. What it has let in counts on for the
  // rest of the window.
  void KeepVm(const vm_id& vm);
  // A VM that isn't listed any more is heard by another one.
  void OnHeardElsewhere(const vm_id& vm, monotonic_time now);
  void RemoveVm(const vm_id& vm, monotonic_time now);

  // A request asks to be let in; counts it either way.
  bool TryAdmit(monotonic_time now);
  // A request that was let in then has not run and never will.
  void OnNotRun(monotonic_time admitted_at, monotonic_time now);
  // When a refused request may come again.
  monotonic_time NextTokenAt(monotonic_time now) const;

  quota_state State(monotonic_time now) const;

  // What to tell the others; the own share counts by what was told last.
  quota_report Report(monotonic_time now);

 private:
  struct other_vm {
    quota_report report;
    demand_history demand;
    monotonic_time heard_at{};
    quota_contact contact;
    double part = 0;  // Of the contract, when it was heard last.
    // What it had let in when it was last known to be up; a VM that restarts
    // forgets it, and the contract doesn't.
    double admitted_before = 0;
    monotonic_time restarted_at{};
    // Of one that isn't listed any more: when it counts for gone, unless it
    // tells of requests until then.
    std::optional<monotonic_time> gone_at;
  };
  // From which the parts of VMs that are heard follow.
  struct part_basis {
    double shared = 0;  // What silent VMs don't keep.
    double idle_per_s = 0;
    double all_per_s = 0;

    double PartOf(double demand_per_s) const {
      return shared * (demand_per_s + idle_per_s) / all_per_s;
    }
  };
  // Counts of the last window by tenths of it.
  struct counter {
    std::array<double, 10> counts{};
    std::int64_t slot = 0;
  };

  // Of the contract, for this VM: what all others grant it, and what its newest
  // demand asks for.
  struct own_parts {
    double in_force = 0;
    double asked = 0;
  };
  // Listed VMs that have told anything, those of them that are heard, and those
  // that hear this one as well.
  struct vm_count {
    int told = 0;
    int heard = 0;
    int in_touch = 0;
  };

  static bool IsIdle(const other_vm& other);
  bool IsSilent(const other_vm& other, monotonic_time now) const;
  vm_count CountVms(monotonic_time now) const;
  bool IsIsolated(monotonic_time now) const;
  bool AreSeveralLate(monotonic_time now) const;
  double KnownDemand(monotonic_time now) const;
  monotonic_time InForceSince(monotonic_time now) const;
  part_basis Basis(monotonic_time now) const;
  void KeepParts(monotonic_time now);
  own_parts Parts(monotonic_time now) const;
  double Admitted(const other_vm& other, monotonic_time now) const;
  double FleetAdmitted(monotonic_time now) const;
  double WindowLimit(monotonic_time now) const;
  double AdmittedBefore(const other_vm& other, monotonic_time now) const;
  double OnTheWay() const;
  void DropGone(monotonic_time now);
  void Refill(monotonic_time now);
  std::int64_t SlotOf(monotonic_time at) const;
  void Advance(counter& c, monotonic_time now) const;
  void UpdateDemand(monotonic_time now);

  quota_options options_;
  monotonic_time started_at_;
  double rate_per_s_ = 0;
  double burst_ = 0;
  int fleet_size_ = 1;
  duration view_lag_ = FromMilliseconds(700);
  duration silence_limit_ = FromMilliseconds(1600);
  double share_in_touch_ = 0;  // The last one while others were heard.
  double tokens_ = 0;
  monotonic_time refilled_at_;
  counter admitted_;
  double own_admitted_ = 0;
  double demand_per_s_ = 0;
  double recent_demand_per_s_ = 0;
  demand_history told_;
  monotonic_time told_at_;
  double arrivals_ = 0;
  monotonic_time demand_at_;
  std::map<vm_id, other_vm> others_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_WORKSPACE_QUOTA_H_
