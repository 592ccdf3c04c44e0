#include "citron/protocol/change_index.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "citron/base/digest.h"

namespace citron {

namespace {

// The digest of a copy is the sum over its keys.
std::uint64_t DigestOf(const store_item& item) {
  return HashBytes(item.key + '\n' + std::to_string(item.revision));
}

}  // namespace

change_index::change_index(std::uint64_t log, std::size_t max_removed)
    : log_(log), max_removed_(max_removed) {}

std::vector<key_change> change_index::OnFullCopy(
    const std::vector<store_item>& items, store_revision revision) {
  if (!has_copy_) removals_known_from_ = revision;
  has_copy_ = true;
  std::vector<key_change> changes;
  std::set<std::string_view> present;
  for (const store_item& item : items) {
    present.insert(item.key);
    if (!IsNewer(item.key, item.revision)) continue;
    OnWritten(item);
    changes.push_back({key_change::kind::kWritten, item});
  }
  for (const auto& [key, state] : keys_) {
    if (state.removed || present.contains(key)) continue;
    if (IsNewer(key, revision)) {
      changes.push_back({key_change::kind::kRemoved, {key, "", revision, ""}});
    }
  }
  for (const key_change& change : changes) {
    if (change.what == key_change::kind::kRemoved) {
      OnRemoved(change.item.key, revision);
    }
  }
  OnRevision(revision);
  return changes;
}

bool change_index::IsNewer(const std::string& key,
                           store_revision revision) const {
  const auto found = keys_.find(key);
  return found == keys_.end() || revision > found->second.item.revision;
}

void change_index::File(key_state& state, store_revision revision) {
  by_written_at_.erase(state.written_at);
  removed_keys_.erase(state.written_at);
  state.written_at = ++offset_;
  state.item.revision = revision;
  by_written_at_.emplace(offset_, state.item.key);
}

void change_index::OnWritten(const store_item& item) {
  if (!IsNewer(item.key, item.revision)) return;
  key_state& state = keys_[item.key];
  const bool was_present = state.written_at != 0 && !state.removed;
  if (was_present) digest_ -= DigestOf(state.item);
  state.item = item;
  state.removed = false;
  File(state, item.revision);
  state.changed_at = changed_at_ = offset_;
  digest_ += DigestOf(state.item);
}

bool change_index::OnConfirmed(const std::string& key,
                               store_revision revision) {
  const auto found = keys_.find(key);
  if (found == keys_.end() || found->second.removed) return false;
  if (!IsNewer(key, revision)) return true;
  digest_ -= DigestOf(found->second.item);
  File(found->second, revision);
  digest_ += DigestOf(found->second.item);
  return true;
}

void change_index::OnRemoved(const std::string& key, store_revision revision) {
  if (!IsNewer(key, revision)) return;
  key_state& state = keys_[key];
  if (state.removed) return;
  if (state.written_at != 0) digest_ -= DigestOf(state.item);
  state.item = {key, "", revision, ""};
  state.removed = true;
  File(state, revision);
  state.changed_at = changed_at_ = offset_;
  removed_keys_.emplace(offset_, key);
  if (removed_keys_.size() > max_removed_) DropOldestRemoval();
}

// A reader at an older position would never receive the removal of the dropped
// key.
void change_index::DropOldestRemoval() {
  const auto [offset, key] = *removed_keys_.begin();
  known_from_ = offset;
  removals_known_from_ =
      std::max(removals_known_from_, keys_.at(key).item.revision);
  by_written_at_.erase(offset);
  removed_keys_.erase(offset);
  keys_.erase(key);
}

void change_index::OnRevision(store_revision revision) {
  revision_ = std::max(revision_, revision);
}

bool change_index::Knows(const log_position& position) const {
  return position.log == log_ && position.offset >= known_from_ &&
         position.offset <= offset_;
}

bool change_index::HasChangesAfter(const log_position& position) const {
  return !Knows(position) || position.offset < changed_at_;
}

std::optional<std::vector<key_change>> change_index::ChangesAfter(
    const log_position& position) const {
  if (!Knows(position)) return std::nullopt;
  using kind = key_change::kind;
  std::vector<key_change> changes;
  for (auto it = by_written_at_.upper_bound(position.offset);
       it != by_written_at_.end(); ++it) {
    const key_state& state = keys_.at(it->second);
    if (state.changed_at <= position.offset) {
      changes.push_back(
          {kind::kConfirmed, {it->second, "", state.item.revision, ""}});
    } else {
      changes.push_back(
          {state.removed ? kind::kRemoved : kind::kWritten, state.item});
    }
  }
  return changes;
}

// Sends no confirmations: a reader that lacks the confirmed write would take
// its older value for the newest one.
std::optional<std::vector<key_change>> change_index::ChangesSince(
    store_revision revision) const {
  if (!has_copy_ || revision < removals_known_from_) return std::nullopt;
  using kind = key_change::kind;
  std::vector<key_change> changes;
  for (const auto& [key, state] : keys_) {
    if (state.item.revision <= revision) continue;
    changes.push_back(
        {state.removed ? kind::kRemoved : kind::kWritten, state.item});
  }
  return changes;
}

std::vector<key_change> change_index::WholeCopy() const {
  std::vector<key_change> changes;
  for (const auto& [key, state] : keys_) {
    if (!state.removed) {
      changes.push_back({key_change::kind::kWritten, state.item});
    }
  }
  return changes;
}

}  // namespace citron
