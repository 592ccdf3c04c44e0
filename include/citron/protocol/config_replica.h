#ifndef CITRON_PROTOCOL_CONFIG_REPLICA_H_
#define CITRON_PROTOCOL_CONFIG_REPLICA_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/config/fleet_config.h"

namespace citron {

// An object of the operators' configuration, or its tombstone.
struct config_item {
  std::string key;
  std::string value;  // JSON; empty when removed.
  config_revision revision = 0;
  bool removed = false;

  friend bool operator==(const config_item&, const config_item&) = default;
};

// One page of changes: the last state of each object that changed in the
// revisions (from, to].
struct config_delta {
  config_revision from = 0;
  config_revision to = 0;
  config_revision head = 0;   // The sender's revision.
  config_revision floor = 0;  // The sender dropped tombstones up to here.
  std::vector<config_item> items;
  bool full = false;      // The page is part of a snapshot.
  bool complete = false;  // No page follows.
  // Time since the sender was known to be current; duration::max() if never.
  duration age{};
};

// Request of a replica to a peer. A snapshot is requested page by page with
// `full` and the `to` of the last page.
struct pull_request {
  config_revision after_revision = 0;
  bool full = false;
};

struct config_replica_options {
  std::size_t page_bytes = 65536;
  // Limit of remembered removals, about a day of the fleet's changes: a VM
  // that was partitioned for hours still gets changes instead of a snapshot
  // from a peer that has the removals.
  std::size_t max_tombstones = 30000;
  duration pull_timeout = FromMilliseconds(2000);
  // Age of the replica's freshness above which the replica pulls from a peer
  // at the same revision that is fresher by more than half of this interval.
  duration refresh_interval = FromMilliseconds(1000);
};

namespace config_replica_action {

struct pull_from_peer {
  vm_id vm;
  pull_request request;
};

// Change for the local daemons and the driver's local copy.
struct apply {
  std::vector<config_item> changed;
  config_revision revision = 0;
};

// Requests a full listing: the store's events leave a gap after the replica's
// revision.
struct read_store_snapshot {};

}  // namespace config_replica_action

// Applies `change` to `config`. An object that can't be parsed keeps its old
// value: operators' tools check before they write, and any other writer must
// not remove the last good object of a running daemon. Returns one line for
// each object that was kept.
std::vector<std::string> ApplyChange(const config_replica_action::apply& change,
                                     fleet_config& config);

// Replica of the operators' configuration at one daemon, ordered by the store's
// revision. Neither the replica nor any single object reverts to an older
// revision.
class config_replica {
 public:
  using action = std::variant<config_replica_action::pull_from_peer,
                              config_replica_action::apply,
                              config_replica_action::read_store_snapshot>;
  using actions = std::vector<action>;

  explicit config_replica(config_replica_options options = {});

  // Takes every object of the store at `revision`. `requested_at` is when the
  // request was sent: the answer was true at that time or later.
  actions OnStoreSnapshot(const std::vector<config_item>& items,
                          config_revision revision, monotonic_time requested_at,
                          monotonic_time now);
  // Takes the answer of a watch: all changes in (after, revision], possibly
  // none.
  actions OnStoreEvents(config_revision after,
                        const std::vector<config_item>& events,
                        config_revision revision, monotonic_time requested_at,
                        monotonic_time now);
  void OnStoreUnreachable(monotonic_time now);

  // Takes a peer's heartbeat: its revision and the time since it was known to
  // be current.
  actions OnPeerRevision(const vm_id& peer, config_revision revision,
                         duration age, monotonic_time now);
  // `requested_at` is when the pull was sent.
  actions OnPeerDelta(const vm_id& peer, const config_delta& delta,
                      monotonic_time requested_at, monotonic_time now);
  // Returns the page that answers `request`.
  config_delta OnPullRequest(const pull_request& request,
                             monotonic_time now) const;

  config_revision Revision() const { return revision_; }
  // The last moment at which this replica is known to have been current;
  // monotonic_time::min() when it never was.
  monotonic_time FreshAsOf() const { return fresh_as_of_; }
  // Time since FreshAsOf(), for heartbeats.
  duration Age(monotonic_time now) const;
  bool StoreReachable() const { return store_reachable_; }
  // Live objects, key to value.
  std::map<std::string, std::string> Objects() const;
  std::size_t ObjectCount() const { return items_.size() - tombstones_; }
  std::size_t TombstoneCount() const { return tombstones_; }

 private:
  struct stored_item {
    std::string value;
    config_revision revision = 0;
    bool removed = false;
  };
  struct outstanding_pull {
    vm_id vm;
    monotonic_time expires_at;
  };
  // Pages of a snapshot, held back from the replica until the last page
  // arrives.
  struct snapshot_in_progress {
    vm_id vm;
    config_revision cursor = 0;
    config_revision head_at_start = 0;
    std::vector<config_item> items;
  };

  bool StoreItem(const config_item& item);
  void RemoveAbsent(const std::set<std::string_view>& present,
                    config_revision revision, std::vector<config_item>& out);
  void DropOldTombstones();
  actions ApplySnapshot(const std::vector<config_item>& items,
                        config_revision revision);
  actions ApplyDelta(const std::vector<config_item>& items,
                     config_revision revision);
  actions OnSnapshotPage(const vm_id& peer, const config_delta& delta,
                         monotonic_time requested_at, monotonic_time now);
  actions Pull(const vm_id& peer, pull_request request, monotonic_time now);
  pull_request NextRequest() const;
  void RaiseFreshness(monotonic_time at);

  config_replica_options options_;
  // Tombstones included.
  std::map<std::string, stored_item, std::less<>> items_;
  // The same items in order of revision; the views point into items_.
  std::set<std::pair<config_revision, std::string_view>> by_revision_;
  std::set<std::pair<config_revision, std::string_view>> tombstone_order_;
  std::size_t tombstones_ = 0;
  config_revision revision_ = 0;
  config_revision tombstone_floor_ = 0;
  monotonic_time fresh_as_of_ = monotonic_time::min();
  bool store_reachable_ = false;
  std::optional<outstanding_pull> pull_;
  std::optional<snapshot_in_progress> snapshot_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_CONFIG_REPLICA_H_
