#ifndef CITRON_NODE_STORE_SYNC_H_
#define CITRON_NODE_STORE_SYNC_H_

#include "citron/base/time.h"
#include "citron/node/node_context.h"
#include "citron/platform/platform_store.h"
#include "citron/protocol/vm_registration.h"

namespace citron {

// Makes the store calls that keep this VM's copy current and this VM listed.
class store_sync {
 public:
  store_sync(node_context& context, platform_store& store,
             const fleet_codec& codec);

  // Makes the calls that are due; to be called again at NextAt.
  void Run(monotonic_time now);
  // This VM is leaving: the list loses it at once.
  void Leave(monotonic_time now);

 private:
  void RunFeed(monotonic_time now);
  void RunRegistration(monotonic_time now);
  void OnRange(const result<store_range>& range);
  void OnEvents(const result<store_events>& events);
  void OnWritten(const write_result& written);
  void OnLost(std::string_view call, const error& problem, monotonic_time now);
  void NoteTouch(bool in_touch, std::string_view problem, monotonic_time now);

  node_context& context_;
  platform_store& store_;
  const fleet_codec& codec_;
  vm_registration registration_;
  bool in_touch_ = false;
  bool leaving_ = false;
};

}  // namespace citron

#endif  // CITRON_NODE_STORE_SYNC_H_
