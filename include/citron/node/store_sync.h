#ifndef CITRON_NODE_STORE_SYNC_H_
#define CITRON_NODE_STORE_SYNC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citron/base/time.h"
#include "citron/node/feed_client.h"
#include "citron/node/node_context.h"
#include "citron/platform/platform_store.h"
#include "citron/protocol/change_index.h"
#include "citron/protocol/feed_sources.h"
#include "citron/protocol/vm_registration.h"

namespace citron {

// Keeps this VM's copy of the store current, by calls to the store or questions
// to other VMs, and this VM listed in the store.
class store_sync {
 public:
  // `secret`: what this VM lists of it.
  store_sync(node_context& context, platform_store& store,
             const fleet_codec& codec, std::string secret);

  // Makes the calls that are due; to be called again at NextAt.
  void Run(monotonic_time now);
  // A caller's request arrived.
  void OnRequest(monotonic_time now) { registration_.OnRequest(now); }
  // This VM is leaving: the list loses it at once.
  void Leave(monotonic_time now);
  // What has been learnt, for other VMs.
  const change_index& Index() const { return index_; }

 private:
  void RunFeed(monotonic_time now);
  void PlanSources();
  vm_listing OwnListing() const;
  void AskRelay(const vm_listing& relay, const fleet_feed::feed_call& order,
                monotonic_time now);
  void OnRelayed(const vm_id& relay, const result<feed_answer>& answer);
  void CompareCopies(const vm_id& relay, const feed_answer& answer,
                     monotonic_time now);
  void Apply(const key_change& change, monotonic_time now);
  void ApplyCopy(const std::vector<store_item>& items, store_revision revision,
                 monotonic_time now);
  void RunRegistration(monotonic_time now);
  void Refresh(fleet_feed::refresh_reason reason, monotonic_time now);
  void OnRange(const result<store_range>& range);
  void OnRefreshed(const result<store_range>& range, monotonic_time sent_at);
  void OnEvents(const result<store_events>& events);
  void OnWritten(const write_result& written);
  void OnLost(std::string_view call, const error& problem, monotonic_time now);
  void NoteTouch(bool in_touch, std::string_view problem, monotonic_time now);

  node_context& context_;
  platform_store& store_;
  const fleet_codec& codec_;
  std::string secret_;
  feed_client relays_;
  feed_sources sources_;
  std::uint64_t planned_version_ = 0;  // Of the list of VMs.
  change_index index_;
  log_position relay_head_;  // Of the last answer from another VM.
  bool wants_whole_copy_ = false;
  monotonic_time next_whole_copy_at_{};
  vm_registration registration_;
  bool in_touch_ = false;
  bool is_refreshing_ = false;
  bool leaving_ = false;
};

}  // namespace citron

#endif  // CITRON_NODE_STORE_SYNC_H_
