#ifndef CITRON_DISPATCH_OWNER_DRIVER_H_
#define CITRON_DISPATCH_OWNER_DRIVER_H_

#include <functional>
#include <set>
#include <string>

#include "citron/config/settings.h"
#include "citron/link/control_link.h"
#include "citron/protocol/ownership.h"

namespace citron {

// Carries the ownership protocol's calls to the store by way of a control, and
// its promises to the zone's other dispatches.
class owner_driver {
 public:
  owner_driver(event_loop& loop, control_link& link,
               const dispatch_settings& settings, const endpoint& address,
               std::function<void()> changed);

  // Name of a dispatch loop in the zone's table: the VM's, and for a loop
  // after the first its number too.
  static vm_id MemberName(const vm_id& vm, int loop);

  // The upstreams of the zone, and the VMs that operators say are dead.
  void OnConfig();
  void OnInFlight(const upstream_id& upstream, int count);
  void Leave(std::function<void()> left);

  bool OnStoreAnswer(const store_answer_message& message);
  void OnPromiseRequest(const promise_request& message);
  void OnPromise(const promise& message);
  void OnTableChanged();

  bool MaySend(const upstream_id& upstream, monotonic_time now) const {
    return ownership_.MaySend(upstream, now);
  }
  int ReservedSlots(const upstream_id& upstream) const {
    return ownership_.ReservedSlots(upstream);
  }
  std::set<upstream_id> AssignedUpstreams() const {
    return ownership_.AssignedUpstreams();
  }
  std::set<upstream_id> SendableUpstreams(monotonic_time now) const {
    return ownership_.SendableUpstreams(now);
  }
  monotonic_time SendDeadline() const { return ownership_.SendDeadline(); }
  vm_id OwnerOf(const upstream_id& upstream) const {
    return ownership_.OwnerOf(upstream);
  }

 private:
  void Perform(const ownership::actions& actions);
  void Do(const ownership_action::read_table& action);
  void Do(const ownership_action::write_table& action);
  void Do(const ownership_action::send_promise_request& action);
  void Do(const ownership_action::send_promise& action);
  void Do(const ownership_action::notify_owner& action);
  void Do(const ownership_action::ownership_changed& action);
  void Do(const ownership_action::left& action);
  void Do(const ownership_action::arm_timer& action);
  endpoint ControlOf(const vm_id& member) const;
  endpoint PeerOf(const vm_id& member) const;
  void SendCall(const vm_id& via, store_call_message message);

  event_loop& loop_;
  control_link& link_;
  std::string table_key_;
  ownership ownership_;
  std::function<void()> changed_;
  std::function<void()> left_;
  loop_timer timer_;
};

}  // namespace citron

#endif  // CITRON_DISPATCH_OWNER_DRIVER_H_
