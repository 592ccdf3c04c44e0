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

// One object of the operators' configuration, or the tombstone of one.
struct config_item {
  std::string key;
  std::string value;  // JSON; empty when removed.
  config_revision revision = 0;
  bool removed = false;

  friend bool operator==(const config_item&, const config_item&) = default;
};

// One page of changes: every change with a revision in (from, to].
struct config_delta {
  config_revision from = 0;
  config_revision to = 0;
  config_revision head = 0;   // The sender's revision.
  config_revision floor = 0;  // The sender forgot tombstones up to here.
  std::vector<config_item> items;
  bool full = false;      // The pages are a snapshot, not changes.
  bool complete = false;  // No page follows.
  duration age{};         // How long ago the sender was known to be current.
};

// What a replica asks a peer for. A snapshot is asked for page by page with
// `full` and the last page's `to`.
struct pull_request {
  config_revision after_revision = 0;
  bool full = false;
};

struct config_replica_options {
  std::size_t page_bytes = 65536;
  // About a day of the fleet's changes, so that a VM that was cut off for
  // hours still gets changes instead of a snapshot.
  std::size_t max_tombstones = 30000;
  duration pull_timeout = FromMilliseconds(2000);
  // How old the replica's freshness may get before it asks a peer that is as
  // far, but fresher.
  duration refresh_interval = FromMilliseconds(1000);
};

namespace config_replica_action {

struct pull_from_peer {
  vm_id vm;
  pull_request request;
};

// For the local daemons and the driver's own copy.
struct apply {
  std::vector<config_item> changed;
  config_revision revision = 0;
};

// The store's events don't join on to the replica; list everything anew.
struct read_store_snapshot {};

}  // namespace config_replica_action

// Brings a daemon's configuration to where the change says. Of an object that
// can't be read the old one stays: operators' tools check before they write,
// and whatever else writes there must not take a running daemon's last good
// object away. Says which were kept, one line each.
std::vector<std::string> ApplyChange(const config_replica_action::apply& change,
                                     fleet_config& config);

// The operators' configuration at one daemon, ordered by the store's revision:
// it never goes back, neither as a whole nor for one object.
class config_replica {
 public:
  using action = std::variant<config_replica_action::pull_from_peer,
                              config_replica_action::apply,
                              config_replica_action::read_store_snapshot>;
  using actions = std::vector<action>;

  explicit config_replica(config_replica_options options = {});

  // Every object of the store at `revision`. `asked` is when the question was
  // sent: what the answer says was true at that time or later.
  actions OnStoreSnapshot(const std::vector<config_item>& items,
                          config_revision revision, monotonic_time asked,
                          monotonic_time now);
  // A watch's answer: all changes in (after, revision]; may be none.
  actions OnStoreEvents(config_revision after,
                        const std::vector<config_item>& events,
                        config_revision revision, monotonic_time asked,
                        monotonic_time now);
  void OnStoreUnreachable(monotonic_time now);

  // A peer's heartbeat: its revision, and how long ago it was current.
  actions OnPeerRevision(const vm_id& peer, config_revision revision,
                         duration age, monotonic_time now);
  // `asked` is when the pull was sent.
  actions OnPeerDelta(const vm_id& peer, const config_delta& delta,
                      monotonic_time asked, monotonic_time now);
  // The page to answer with.
  config_delta OnPullRequest(const pull_request& request,
                             monotonic_time now) const;

  config_revision Revision() const { return revision_; }
  // The last moment at which this replica is known to have been current;
  // monotonic_time::min() when it never was.
  monotonic_time FreshAsOf() const { return fresh_as_of_; }
  // How long ago that was, for heartbeats.
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
  // Pages of a snapshot, kept apart until the last one is there.
  struct snapshot_in_progress {
    vm_id vm;
    config_revision cursor = 0;
    config_revision head_at_start = 0;
    std::vector<config_item> items;
  };

  bool TakeItem(const config_item& item);
  void RemoveAbsent(const std::set<std::string_view>& present,
                    config_revision revision, std::vector<config_item>& out);
  void ForgetOldTombstones();
  actions TakeSnapshot(const std::vector<config_item>& items,
                       config_revision revision);
  actions TakeChanges(const std::vector<config_item>& items,
                      config_revision revision);
  actions OnSnapshotPage(const vm_id& peer, const config_delta& delta,
                         monotonic_time asked, monotonic_time now);
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
