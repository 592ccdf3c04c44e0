#ifndef CITRON_NODE_FLEET_STATE_H_
#define CITRON_NODE_FLEET_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citron/base/event_log.h"
#include "citron/config/node_settings.h"
#include "citron/config/routing_config.h"
#include "citron/node/fleet_codec.h"
#include "citron/node/rate_limit_report.h"
#include "citron/node/region_report.h"
#include "citron/node/vm_listing.h"
#include "citron/platform/platform_store.h"
#include "citron/policy/affinity_selector.h"
#include "citron/policy/retry_budget.h"
#include "citron/policy/service_split.h"
#include "citron/protocol/change_index.h"
#include "citron/protocol/report_contacts.h"
#include "citron/protocol/workspace_quota.h"

namespace citron {

// One start of an upstream; it may start again under the same id.
struct upstream_start {
  upstream_id id;
  std::int64_t born_ms = 0;
};

// What this VM knows of the fleet, as the store and the other VMs told it, and
// the decisions that keep state by service, route or workspace.
class fleet_state {
 public:
  fleet_state(const node_settings& settings, const fleet_codec& codec,
              event_log& log);

  // Null until the operator's declaration was read.
  std::shared_ptr<const routing_config> Routing() const { return routing_; }

  // What a full copy of the store changes. What it lacks is removed, at
  // `keep_missing_until` at the soonest.
  void ApplyCopy(const std::vector<key_change>& changes,
                 monotonic_time keep_missing_until, monotonic_time now);
  // True if it says something new. RemoveMissing follows once after the events
  // that came together: a change of the list of VMs concerns each upstream.
  bool ApplyEvent(const store_event& event, monotonic_time keep_missing_until,
                  monotonic_time now);
  // The key was written again with nothing new in it.
  void Confirm(const std::string& key, monotonic_time now);
  // Removes what is still missing, and takes the changes of the list of VMs
  // into account.
  void RemoveMissing(monotonic_time now);

  void ForEachSelector(const std::function<void(affinity_selector&)>& visit);
  void ForEachService(
      const std::function<void(const service_id&, affinity_selector&)>& visit);
  // Null if nothing is known of it.
  affinity_selector* SelectorOf(const service_id& service);
  upstream_tracker* FindUpstream(const upstream_id& id);
  // What an upstream said of its load to this VM.
  void OnUpstreamLoad(upstream_tracker& upstream, const load_report& report,
                      monotonic_time now);
  // The last of them of each upstream since this was asked, for other VMs and
  // for those of this region.
  std::map<upstream_id, int> TakeHeardLoads();
  std::map<upstream_id, int> TakeRegionLoads();
  // Takes where another VM of the region placed an object.
  void OnPlacedByPeer(const placement_line& line, monotonic_time now);
  // The objects that this VM has placed, where the upstream is still known.
  std::vector<placement_line> OwnPlacements();
  // Takes what an answer showed of an upstream's rate limit, to this VM or
  // another one. Returns whether the limit in force changed.
  bool OnRateLimit(const upstream_id& upstream,
                   const rate_limit_observation& seen, monotonic_time now);
  // Takes until when an upstream wants no requests from this VM. Nothing is
  // made of the word of another start than the one that is announced.
  void OnPauseRequested(const service_id& service, const upstream_start& start,
                        monotonic_time until, monotonic_time now);
  // Takes that an upstream said in an answer that it leaves. Returns whether it
  // is news.
  bool OnSaidLeaving(const service_id& service, const upstream_start& start);
  // Takes what another VM heard of an upstream over a tunnel.
  void OnToldSignal(const upstream_start& start, const vm_id& told_by,
                    monotonic_time paused_until, bool is_leaving,
                    monotonic_time now);
  int PausedUpstreams(const service_id& service, monotonic_time now);
  // Logs the pauses that have ended, and returns how many last.
  int LogEndedPauses(monotonic_time now);
  // Logs a header of an upstream's answer that can't be read, once until its
  // text changes. It changes nothing else.
  void OnUnreadableSignal(const upstream_id& upstream,
                          const std::string& header, std::string_view text,
                          monotonic_time now);
  // Returns whether an answer to this VM changed a limit since the last call.
  bool TakeRateLimitNews() { return std::exchange(rate_limit_news_, false); }
  // Takes the demand of another VM for an upstream with a rate limit.
  void OnPeerDemand(const upstream_id& upstream, const vm_id& vm, double per_s,
                    monotonic_time now);
  // What is known of rate limits, for other VMs.
  std::vector<rate_limit_line> RateLimitLines(monotonic_time now);
  service_split& SplitOf(const route_config& route);
  retry_budget& RetriesOf(const service_id& service);
  // Null where the workspace isn't declared.
  workspace_quota* QuotaOf(const workspace_id& workspace);
  std::map<workspace_id, workspace_quota>& Quotas() { return quotas_; }
  // The VMs whose reports the quotas take.
  report_contacts& Contacts() { return contacts_; }

  const std::map<vm_id, vm_listing>& Vms() const { return vms_; }
  // Grows with each change of the list.
  std::uint64_t VmsVersion() const { return vms_version_; }
  // VMs that take requests, this one included.
  int FleetSize() const;
  int UpstreamCount() const;

 private:
  // Each is true if the item says something new.
  bool ApplyItem(const store_item& item, monotonic_time now);
  bool ApplyRouting(const store_item& item, monotonic_time now);
  bool ApplyUpstream(const store_item& item, const upstream_id& id,
                     monotonic_time now);
  bool ApplyVm(const store_item& item, const vm_id& id, monotonic_time now);
  void Remove(const std::string& key, monotonic_time now);
  void EraseMissing(monotonic_time now);
  void RemoveUpstream(const upstream_id& id, monotonic_time now);
  // Returns null if nothing is known of this start of the upstream.
  upstream_tracker* FindStart(const service_id& service,
                              const upstream_start& start);
  void SetClosedZones();
  void SetFleetSize(monotonic_time now);
  void SetColdAllowances();
  void SetRateLimitFleet(monotonic_time now);
  // Visits the limits in force.
  void ForEachRateLimit(const std::function<void(upstream_rate_limit&)>& visit);
  cold_allowance AllowanceFor(const upstream_tracker& upstream) const;
  affinity_selector& MakeSelector(const service_id& service);

  const node_settings& settings_;
  const fleet_codec& codec_;
  event_log& log_;
  std::shared_ptr<const routing_config> routing_;
  store_revision routing_revision_ = 0;
  std::map<service_id, affinity_selector> selectors_;
  std::map<upstream_id, service_id> service_of_;
  std::map<route_id, service_split> splits_;
  std::map<service_id, retry_budget> retries_;
  report_contacts contacts_;
  std::map<workspace_id, workspace_quota> quotas_;
  std::set<zone_id> closed_zones_;
  std::map<vm_id, vm_listing> vms_;
  std::uint64_t vms_version_ = 1;
  std::map<upstream_id, int> heard_loads_;
  std::map<upstream_id, int> region_loads_;
  std::set<upstream_id> rate_limited_;  // Now, or a short time ago.
  bool rate_limit_news_ = false;
  // Last logged, by header.
  std::map<upstream_id, std::map<std::string, std::string>> unreadable_signals_;
  std::map<upstream_id, monotonic_time> pauses_;  // Their ends.
  bool fleet_changed_ = false;  // Since the size was last told on.
  std::map<std::string, monotonic_time> missing_;     // Key, removed then.
  std::map<std::string, store_revision> unreadable_;  // Logged once each.
};

}  // namespace citron

#endif  // CITRON_NODE_FLEET_STATE_H_
