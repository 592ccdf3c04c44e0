#ifndef CITRON_PROTOCOL_CHANGE_INDEX_H_
#define CITRON_PROTOCOL_CHANGE_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citron/platform/platform_store.h"

namespace citron {

// Last change of a key after some revision.
struct key_change {
  enum class kind {
    kWritten,
    kRemoved,
    kConfirmed,  // Written again unchanged; carries no value.
  };
  kind what = kind::kWritten;
  store_item item;
};

// Last state of each key with the revisions of its last change and write, from
// which readers at an older revision get the changes that they lack.
//
// Load pattern: the store counts each call, and the calls of a fleet would
// grow with every VM, so one VM reads the store and other VMs read from that
// VM. A reader at an old revision needs only the last state of each key, so
// the index is as large as the local copy and the remembered removals, however
// many changes there are.
class change_index {
 public:
  // Remembers up to `max_removed` removed keys.
  explicit change_index(std::size_t max_removed = 4096);

  // Takes a full copy of the store. Keys that are missing in it were removed.
  // Nothing is known of the time before the first full copy.
  void OnFullCopy(const std::vector<store_item>& items,
                  store_revision revision);
  // OnWritten, OnConfirmed and OnRemoved ignore a change that isn't newer than
  // the known state of the key. OnConfirmed also ignores unknown and removed
  // keys, OnRemoved removed keys.
  void OnWritten(const store_item& item);
  void OnConfirmed(const std::string& key, store_revision revision);
  void OnRemoved(const std::string& key, store_revision revision);
  // Marks all changes up to this revision as received.
  void OnRevision(store_revision revision);
  store_revision Revision() const { return revision_; }

  // Returns the changes after `revision` in order, or std::nullopt if some of
  // them may be no longer known.
  std::optional<std::vector<key_change>> ChangesAfter(
      store_revision revision) const;
  // Returns whether the changes after `revision`, if known, include more than
  // confirmations; true if they are no longer known.
  bool HasChangesAfter(store_revision revision) const;

 private:
  struct key_state {
    store_item item;
    bool removed = false;
    store_revision changed_at = 0;
    store_revision written_at = 0;
  };

  void SetWrittenAt(key_state& state, store_revision to);
  void DropOldestRemoval();

  std::size_t max_removed_;
  bool has_copy_ = false;
  store_revision revision_ = 0;
  store_revision known_from_ = 0;
  store_revision changed_at_ = 0;  // Revision of the last change of any key.
  std::map<std::string, key_state> keys_;
  std::multimap<store_revision, std::string> by_written_at_;
  std::multimap<store_revision, std::string> removed_keys_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_CHANGE_INDEX_H_
