#include "citron/protocol/config_replica.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace citron {

namespace {

using config_replica_action::apply;
using config_replica_action::pull_from_peer;
using config_replica_action::read_store_snapshot;

// Size of the key, the value and the fields around them in a message.
std::size_t WireBytes(const config_item& item) {
  static constexpr std::size_t kFieldBytes = 16;
  return item.key.size() + item.value.size() + kFieldBytes;
}

bool HasOrderedRevisions(const config_delta& delta) {
  return delta.from <= delta.to && delta.to <= delta.head &&
         delta.floor <= delta.head && delta.age >= duration::zero();
}

// Checks that the revisions of a page and its items agree. A page from a
// faulty or hostile peer could otherwise mark revisions as applied that the
// page doesn't cover, and the replica would miss those changes for good.
// Omitted items can't be detected.
bool IsWellFormed(const config_delta& delta) {
  if (!HasOrderedRevisions(delta)) return false;
  if (delta.complete && delta.to != delta.head) return false;
  return std::all_of(delta.items.begin(), delta.items.end(),
                     [&](const config_item& item) {
                       return item.revision > delta.from &&
                              item.revision <= delta.to && !item.key.empty();
                     });
}

}  // namespace

config_replica::config_replica(config_replica_options options)
    : options_(options) {}

config_replica::actions config_replica::OnStoreSnapshot(
    const std::vector<config_item>& items, config_revision revision,
    monotonic_time requested_at, monotonic_time) {
  store_reachable_ = true;
  // The listing is older than a peer's delta, or the store was set back. An
  // accepted configuration doesn't revert, so the listing is dropped and
  // doesn't raise the freshness.
  if (revision < revision_) return {};
  RaiseFreshness(requested_at);
  return ApplySnapshot(items, revision);
}

config_replica::actions config_replica::OnStoreEvents(
    config_revision after, const std::vector<config_item>& events,
    config_revision revision, monotonic_time requested_at, monotonic_time) {
  store_reachable_ = true;
  // The store dropped changes that this replica never received. Applying only
  // the later ones would leave a withdrawn access key valid for ever.
  if (after > revision_) return {read_store_snapshot{}};
  if (revision < revision_) return {};
  RaiseFreshness(requested_at);
  return ApplyDelta(events, revision);
}

void config_replica::OnStoreUnreachable(monotonic_time) {
  store_reachable_ = false;
}

config_replica::actions config_replica::OnPeerRevision(const vm_id& peer,
                                                       config_revision revision,
                                                       duration age,
                                                       monotonic_time now) {
  if (revision > revision_) return Pull(peer, NextRequest(), now);
  const bool was_current = age >= duration::zero() && age != duration::max();
  if (revision < revision_ || !was_current) return {};
  // A heartbeat may have waited in a frozen process, so its age doesn't raise
  // the freshness. The age in the answer to a pull does, counted from the time
  // of the pull.
  const bool is_stale = fresh_as_of_ == monotonic_time::min() ||
                        now - fresh_as_of_ > options_.refresh_interval;
  const bool peer_is_fresher = age + options_.refresh_interval / 2 < Age(now);
  if (!is_stale || !peer_is_fresher) return {};
  return Pull(peer, NextRequest(), now);
}

config_replica::actions config_replica::OnPeerDelta(const vm_id& peer,
                                                    const config_delta& delta,
                                                    monotonic_time requested_at,
                                                    monotonic_time now) {
  if (pull_ && pull_->vm == peer) pull_.reset();
  if (!IsWellFormed(delta)) return {};
  if (delta.full) return OnSnapshotPage(peer, delta, requested_at, now);
  // An earlier page was lost. The revision isn't raised, so a later pull still
  // requests the changes of that page.
  if (delta.from > revision_) return {};
  actions out = ApplyDelta(delta.items, delta.to);
  if (delta.complete && delta.to >= revision_) {
    if (delta.age != duration::max()) RaiseFreshness(requested_at - delta.age);
    return out;
  }
  if (delta.head > revision_) {
    for (action& a : Pull(peer, NextRequest(), now)) {
      out.push_back(std::move(a));
    }
  }
  return out;
}

// Applies the pages of a snapshot together or not at all: with half of the
// contracts in force a VM would reject callers whose keys are valid.
config_replica::actions config_replica::OnSnapshotPage(
    const vm_id& peer, const config_delta& delta, monotonic_time requested_at,
    monotonic_time now) {
  if (delta.head < revision_) return {};
  if (delta.from == 0) {
    snapshot_ = snapshot_in_progress{peer, 0, delta.head, {}};
  }
  if (!snapshot_ || snapshot_->vm != peer || snapshot_->cursor != delta.from) {
    return {};
  }
  // An object of an earlier page may have been removed meanwhile and its
  // tombstone dropped; the object would stay for ever. The replica drops the
  // pages and pulls again.
  if (delta.floor > snapshot_->head_at_start) {
    snapshot_.reset();
    return Pull(peer, NextRequest(), now);
  }
  snapshot_->items.insert(snapshot_->items.end(), delta.items.begin(),
                          delta.items.end());
  snapshot_->cursor = delta.to;
  if (!delta.complete) {
    return Pull(peer, pull_request{delta.to, true}, now);
  }
  std::map<std::string_view, const config_item*> newest;
  for (const config_item& item : snapshot_->items) {
    const config_item*& known = newest[item.key];
    if (known == nullptr || known->revision < item.revision) known = &item;
  }
  std::vector<config_item> live;
  for (const auto& [key, item] : newest) {
    if (!item->removed) live.push_back(*item);
  }
  snapshot_.reset();
  if (delta.age != duration::max()) RaiseFreshness(requested_at - delta.age);
  return ApplySnapshot(live, delta.to);
}

config_delta config_replica::OnPullRequest(const pull_request& request,
                                           monotonic_time now) const {
  config_delta page;
  page.head = revision_;
  page.floor = tombstone_floor_;
  page.age = Age(now);
  page.full = request.full || request.after_revision < tombstone_floor_;
  const bool begins_snapshot = page.full && !request.full;
  page.from = begins_snapshot ? 0 : request.after_revision;
  page.to = page.from;
  if (page.from >= revision_) {
    page.from = page.to = std::min(page.from, revision_);
    page.complete = true;
    return page;
  }
  std::size_t bytes = 0;
  for (auto it = by_revision_.lower_bound({page.from + 1, {}});
       it != by_revision_.end(); ++it) {
    const auto found = items_.find(it->second);
    // A page ends between two revisions, never inside one: the next pull
    // continues after the revision of the last item.
    const bool same_revision = it->first == page.to;
    if (bytes > options_.page_bytes && !same_revision) return page;
    const stored_item& item = found->second;
    page.items.push_back({found->first, item.value, it->first, item.removed});
    page.to = it->first;
    bytes += WireBytes(page.items.back());
  }
  page.to = revision_;
  page.complete = true;
  return page;
}

duration config_replica::Age(monotonic_time now) const {
  if (fresh_as_of_ == monotonic_time::min()) return duration::max();
  return std::max(duration::zero(), now - fresh_as_of_);
}

std::map<std::string, std::string> config_replica::Objects() const {
  std::map<std::string, std::string> objects;
  for (const auto& [key, item] : items_) {
    if (!item.removed) objects.emplace(key, item.value);
  }
  return objects;
}

// Stores the item and returns true, unless the change is repeated or late: a
// late change would restore a withdrawn access key. The check against the
// replica's revision, up to which the replica has every change, also covers
// objects whose tombstone was dropped.
bool config_replica::StoreItem(const config_item& item) {
  if (item.revision <= revision_) return false;
  const auto found = items_.find(item.key);
  if (found != items_.end()) {
    const stored_item& known = found->second;
    if (known.revision >= item.revision) return false;
    by_revision_.erase({known.revision, found->first});
    if (known.removed) {
      tombstone_order_.erase({known.revision, found->first});
      --tombstones_;
    }
  }
  stored_item stored{item.removed ? "" : item.value, item.revision,
                     item.removed};
  const auto at = items_.insert_or_assign(item.key, std::move(stored)).first;
  by_revision_.insert({item.revision, at->first});
  if (item.removed) {
    tombstone_order_.insert({item.revision, at->first});
    ++tombstones_;
  }
  return true;
}

void config_replica::RemoveAbsent(const std::set<std::string_view>& present,
                                  config_revision revision,
                                  std::vector<config_item>& out) {
  std::vector<config_item> removed;
  for (const auto& [key, item] : items_) {
    if (item.removed || item.revision > revision || present.contains(key)) {
      continue;
    }
    // The revision of the removal isn't known. The object was removed at the
    // snapshot's revision at the latest, and not restored up to then.
    removed.push_back(config_item{key, "", revision, true});
  }
  for (const config_item& item : removed) {
    if (StoreItem(item)) out.push_back(item);
  }
}

config_replica::actions config_replica::ApplySnapshot(
    const std::vector<config_item>& items, config_revision revision) {
  if (revision <= revision_) return {};
  std::vector<config_item> changed;
  std::set<std::string_view> present;
  for (const config_item& item : items) {
    if (item.revision > revision || item.removed) continue;
    present.insert(item.key);
    if (StoreItem(item)) changed.push_back(item);
  }
  RemoveAbsent(present, revision, changed);
  // A snapshot doesn't list earlier removals, so this replica can't report them
  // to an older peer and must send it a snapshot as well.
  tombstone_floor_ = std::max(tombstone_floor_, revision);
  revision_ = revision;
  DropOldTombstones();
  return {apply{std::move(changed), revision_}};
}

config_replica::actions config_replica::ApplyDelta(
    const std::vector<config_item>& items, config_revision revision) {
  if (revision <= revision_) return {};
  std::vector<config_item> changed;
  for (const config_item& item : items) {
    if (item.revision > revision) continue;
    if (StoreItem(item)) changed.push_back(item);
  }
  revision_ = revision;
  DropOldTombstones();
  return {apply{std::move(changed), revision_}};
}

void config_replica::DropOldTombstones() {
  while (tombstones_ > options_.max_tombstones) {
    const auto oldest = *tombstone_order_.begin();
    tombstone_floor_ = std::max(tombstone_floor_, oldest.first);
    tombstone_order_.erase(tombstone_order_.begin());
    by_revision_.erase(oldest);
    items_.erase(items_.find(oldest.second));
    --tombstones_;
  }
}

// Requests a snapshot when the replica is empty, since the pages of a snapshot
// are applied together.
pull_request config_replica::NextRequest() const {
  return pull_request{revision_, revision_ == 0};
}

// Allows one pull in flight: a VM that returns after an outage receives
// heartbeats from all peers at once and would pull the same changes from each.
config_replica::actions config_replica::Pull(const vm_id& peer,
                                             pull_request request,
                                             monotonic_time now) {
  if (pull_ && now < pull_->expires_at) return {};
  pull_ = outstanding_pull{peer, now + options_.pull_timeout};
  return {pull_from_peer{peer, request}};
}

void config_replica::RaiseFreshness(monotonic_time at) {
  fresh_as_of_ = std::max(fresh_as_of_, at);
}

std::vector<std::string> ApplyChange(const config_replica_action::apply& change,
                                     fleet_config& config) {
  std::vector<std::string> kept;
  for (const config_item& item : change.changed) {
    const status applied =
        ApplyConfigObject(config, item.key, item.removed ? "" : item.value);
    if (IsOk(applied)) continue;
    kept.push_back(
        fmt::format("kept the old {}: {}", item.key, ErrorOf(applied).message));
  }
  config.revision = change.revision;
  return kept;
}

}  // namespace citron
