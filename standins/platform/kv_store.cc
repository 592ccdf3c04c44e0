#include "standins/platform/kv_store.h"

#include <utility>

namespace citron {

kv_store::kv_store(std::size_t history_bound) : history_bound_(history_bound) {}

const kv_item* kv_store::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

std::vector<kv_item> kv_store::Range(const std::string& prefix) const {
  std::vector<kv_item> items;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    items.push_back(it->second);
  }
  return items;
}

kv_history kv_store::EventsAfter(std::uint64_t revision,
                                 const std::string& prefix) const {
  kv_history found;
  found.compacted = revision < compacted_revision_;
  if (found.compacted) return found;
  for (const kv_event& event : history_) {
    if (event.item.revision > revision && event.item.key.starts_with(prefix)) {
      found.events.push_back(event);
    }
  }
  return found;
}

write_result kv_store::Put(const kv_write& write) {
  if (!Matches(write.key, write.expect)) {
    const kv_item* present = Find(write.key);
    return {write_outcome::kConflict, present ? present->revision : 0};
  }
  if (write.lease != 0 && !leases_.contains(write.lease)) {
    return {write_outcome::kNoLease, 0};
  }
  kv_item& item = items_[write.key];
  item = {write.key, write.value, ++revision_, write.write_id, write.lease};
  Record({item, false});
  return {write_outcome::kDone, revision_};
}

write_result kv_store::Remove(const std::string& key,
                              std::optional<std::uint64_t> expect) {
  const auto found = items_.find(key);
  if (found == items_.end()) return {write_outcome::kNotFound, 0};
  if (!Matches(key, expect)) {
    return {write_outcome::kConflict, found->second.revision};
  }
  items_.erase(found);
  Record({{key, "", ++revision_, "", 0}, true});
  return {write_outcome::kDone, revision_};
}

void kv_store::ForgetHistory() {
  compacted_revision_ = revision_;
  history_.clear();
}

std::uint64_t kv_store::Grant(duration ttl, monotonic_time now) {
  leases_[++last_lease_] = {ttl, now + ttl};
  return last_lease_;
}

bool kv_store::Renew(std::uint64_t lease, monotonic_time now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.deadline = now + found->second.ttl;
  return true;
}

bool kv_store::Revoke(std::uint64_t lease) {
  if (leases_.erase(lease) == 0) return false;
  RemoveKeysOf(lease);
  return true;
}

void kv_store::Expire(monotonic_time now) {
  std::vector<std::uint64_t> lapsed;
  for (const auto& [id, lease] : leases_) {
    if (lease.deadline <= now) lapsed.push_back(id);
  }
  for (const std::uint64_t id : lapsed) Revoke(id);
}

std::optional<monotonic_time> kv_store::NextExpiry() const {
  std::optional<monotonic_time> next;
  for (const auto& [id, lease] : leases_) {
    if (!next || lease.deadline < *next) next = lease.deadline;
  }
  return next;
}

bool kv_store::Matches(const std::string& key,
                       std::optional<std::uint64_t> expect) const {
  if (!expect) return true;
  const kv_item* present = Find(key);
  return (present ? present->revision : 0) == *expect;
}

void kv_store::Record(kv_event event) {
  history_.push_back(std::move(event));
  if (history_.size() <= history_bound_) return;
  compacted_revision_ = history_.front().item.revision;
  history_.pop_front();
}

void kv_store::RemoveKeysOf(std::uint64_t lease) {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key, std::nullopt);
}

}  // namespace citron
