#ifndef CITRON_CONTROL_LOCAL_DAEMONS_H_
#define CITRON_CONTROL_LOCAL_DAEMONS_H_

#include <map>
#include <utility>
#include <vector>

#include "citron/base/time.h"
#include "citron/wire/messages.h"

namespace citron {

// The event loops of this VM's entry and dispatch, as their hellos tell.
class local_daemons {
 public:
  struct task {
    task_address address;
    int loops = 1;
    config_revision revision = 0;
    bool leaving = false;
    std::uint64_t applied_share = 0;
    std::vector<service_load> loads;
    monotonic_time silent_at;
  };

  // Whether the task is new or another process than before.
  bool OnHello(const hello& message, monotonic_time now);
  void OnShareApplied(const share_applied& message);
  void OnReport(const dispatch_report& message);

  // The newest share that every loop of the entry has applied.
  std::uint64_t AppliedShare() const;
  // Loops of the entry process; at least 1.
  int EntryLoops() const;
  // The lowest revision that a live task has in force.
  config_revision LowestRevision(monotonic_time now) const;
  // No task has been heard lately, or all that were are leaving.
  bool AllGone(monotonic_time now) const;

  // Fills in the tasks and queues of those heard lately.
  void Describe(vm_view& view, monotonic_time now) const;
  // Where messages for the VM's daemons go.
  std::vector<endpoint> Peers() const;
  std::vector<endpoint> EntryPeers() const;

 private:
  using task_key = std::pair<daemon_role, int>;
  std::map<task_key, task> tasks_;
};

}  // namespace citron

#endif  // CITRON_CONTROL_LOCAL_DAEMONS_H_
