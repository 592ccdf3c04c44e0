#ifndef CITRON_CONTROL_VIEW_EXCHANGE_H_
#define CITRON_CONTROL_VIEW_EXCHANGE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citron/control/control_context.h"
#include "citron/protocol/view_pacer.h"

namespace citron {

// "live" and so on, for logs and pages.
std::string_view StateName(member_state state);

// What the pacer has to know of a view.
paced_view PacedView(const vm_view& view);

// What the VMs tell each other of their tasks and queues, and what this VM's
// daemons are told of all that.
class view_exchange {
 public:
  void OnMember(const vm_id& vm, member_state state);
  void OnView(const vm_view& view, monotonic_time now);
  // The VM's own view, for its own daemons.
  void SetOwn(const vm_view& view, monotonic_time now);

  // Changes since the last call; everything from time to time, since messages
  // may be lost and daemons restart.
  fleet_view TakeUpdate();
  void SendFullNext() { full_next_ = true; }

  const std::map<vm_id, vm_seen>& Vms() const { return vms_; }

 private:
  std::map<vm_id, vm_seen> vms_;
  std::map<vm_id, bool> changed_;
  int updates_since_full_ = 0;
  bool full_next_ = true;
};

}  // namespace citron

#endif  // CITRON_CONTROL_VIEW_EXCHANGE_H_
