#ifndef CITRON_CONTROL_SHARE_FEED_H_
#define CITRON_CONTROL_SHARE_FEED_H_

#include <functional>
#include <set>

#include "citron/control/control_context.h"
#include "citron/protocol/share_holder.h"

namespace citron {

// Carries the share holder's reads and writes to the store and its grants to
// the VM's entry.
class share_feed {
 public:
  share_feed(const control_context& context, std::uint64_t incarnation,
             std::function<void(const vm_share&)> granted);

  void Start();
  void OnMembership(const std::set<vm_id>& live);
  void OnVmsDeclaredDead(const std::set<vm_id>& gone);
  void OnGrantApplied(std::uint64_t sequence);
  // Gives the share back; `released` is called when the table says so.
  void Release(std::function<void()> released);

  const vm_share& Share() const { return holder_.Share(); }
  const share_table& Table() const { return holder_.Table(); }

 private:
  void Perform(const share_actions& actions);
  void Do(const read_table& action);
  void Do(const write_table& action);
  void Do(const grant_changed& action);
  void Do(const arm_timer& action);
  void Do(const release_done& action);

  const control_context& context_;
  share_holder holder_;
  std::function<void(const vm_share&)> granted_;
  std::function<void()> released_;
  loop_timer timer_;
  vm_share shown_;  // In the log.
};

}  // namespace citron

#endif  // CITRON_CONTROL_SHARE_FEED_H_
