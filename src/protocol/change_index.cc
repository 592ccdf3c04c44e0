#include "citron/protocol/change_index.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace citron {

namespace {

// Removes one element from a map of revisions to keys.
void Erase(std::multimap<store_revision, std::string>& order,
           store_revision revision, const std::string& key) {
  const auto [begin, end] = order.equal_range(revision);
  const auto found = std::find_if(
      begin, end, [&key](const auto& entry) { return entry.second == key; });
  if (found != end) order.erase(found);
}

}  // namespace

change_index::change_index(std::size_t max_removed)
    : max_removed_(max_removed) {}

void change_index::OnFullCopy(const std::vector<store_item>& items,
                              store_revision revision) {
  if (!has_copy_) known_from_ = revision;
  has_copy_ = true;
  std::set<std::string_view> present;
  for (const store_item& item : items) {
    present.insert(item.key);
    OnWritten(item);
  }
  std::vector<std::string> missing;
  for (const auto& [key, state] : keys_) {
    if (!state.removed && !present.contains(key)) missing.push_back(key);
  }
  for (const std::string& key : missing) OnRemoved(key, revision);
  OnRevision(revision);
}

void change_index::SetWrittenAt(key_state& state, store_revision to) {
  Erase(by_written_at_, state.written_at, state.item.key);
  if (state.removed) Erase(removed_keys_, state.written_at, state.item.key);
  state.written_at = to;
  by_written_at_.emplace(to, state.item.key);
}

void change_index::OnWritten(const store_item& item) {
  key_state& state = keys_[item.key];
  if (item.revision <= state.written_at) return;
  state.item.key = item.key;
  SetWrittenAt(state, item.revision);
  state.changed_at = item.revision;
  changed_at_ = std::max(changed_at_, item.revision);
  state.removed = false;
  state.item = item;
}

void change_index::OnConfirmed(const std::string& key,
                               store_revision revision) {
  const auto found = keys_.find(key);
  if (found == keys_.end() || found->second.removed) return;
  if (revision > found->second.written_at)
    SetWrittenAt(found->second, revision);
}

void change_index::OnRemoved(const std::string& key, store_revision revision) {
  key_state& state = keys_[key];
  if (state.removed || revision <= state.written_at) return;
  state.item.key = key;
  SetWrittenAt(state, revision);
  state.changed_at = revision;
  changed_at_ = std::max(changed_at_, revision);
  state.removed = true;
  state.item = {key, "", revision, ""};
  removed_keys_.emplace(revision, key);
  if (removed_keys_.size() > max_removed_) DropOldestRemoval();
}

// Raises known_from_, since a reader at an older revision would never receive
// the removal of the dropped key.
void change_index::DropOldestRemoval() {
  const auto oldest = removed_keys_.begin();
  known_from_ = std::max(known_from_, oldest->first);
  Erase(by_written_at_, oldest->first, oldest->second);
  keys_.erase(oldest->second);
  removed_keys_.erase(oldest);
}

void change_index::OnRevision(store_revision revision) {
  revision_ = std::max(revision_, revision);
}

bool change_index::HasChangesAfter(store_revision revision) const {
  return revision < known_from_ || revision < changed_at_;
}

std::optional<std::vector<key_change>> change_index::ChangesAfter(
    store_revision revision) const {
  if (revision < known_from_) return std::nullopt;
  std::vector<key_change> changes;
  for (auto it = by_written_at_.upper_bound(revision);
       it != by_written_at_.end(); ++it) {
    const key_state& state = keys_.at(it->second);
    using kind = key_change::kind;
    if (state.changed_at <= revision) {
      changes.push_back({kind::kConfirmed, {it->second, "", it->first, ""}});
    } else {
      changes.push_back(
          {state.removed ? kind::kRemoved : kind::kWritten, state.item});
    }
  }
  return changes;
}

}  // namespace citron
