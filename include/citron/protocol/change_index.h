#ifndef CITRON_PROTOCOL_CHANGE_INDEX_H_
#define CITRON_PROTOCOL_CHANGE_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citron/platform/platform_store.h"

namespace citron {

// Last change of a key after some position.
struct key_change {
  enum class kind {
    kWritten,
    kRemoved,
    kConfirmed,  // Written again unchanged; carries no value.
  };
  kind what = kind::kWritten;
  store_item item;
};

// Position in the order in which one change_index learned its changes.
// Positions in different logs aren't comparable.
struct log_position {
  std::uint64_t log = 0;  // 0: none.
  std::uint64_t offset = 0;

  friend bool operator==(const log_position&, const log_position&) = default;
};

// Last state of each key, in the order in which this VM learned it, from which
// readers get the changes that they lack.
//
// Load pattern: the store counts each call, and the calls of a fleet would
// grow with every VM, so one VM reads the store and other VMs read from that
// VM. A reader at an old position needs only the last state of each key, so
// the index is as large as the local copy and the remembered removals, however
// many changes there are. Positions aren't revisions of the store: a change
// that is learned after later ones would never reach readers that already have
// its revision.
class change_index {
 public:
  // `log` tells this index from others, also those of earlier processes of the
  // same VM; it isn't 0. Remembers up to `max_removed` removed keys.
  explicit change_index(std::uint64_t log, std::size_t max_removed = 4096);

  // Takes a full copy of the store and returns what it changes. Keys that are
  // missing in it were removed, unless they were written after `revision`.
  std::vector<key_change> OnFullCopy(const std::vector<store_item>& items,
                                     store_revision revision);
  // Returns whether a change of the key at this revision is newer than the
  // known state. OnWritten, OnConfirmed and OnRemoved ignore other changes.
  bool IsNewer(const std::string& key, store_revision revision) const;
  void OnWritten(const store_item& item);
  // Takes a write that says nothing new of a known key. Returns false if the
  // key is unknown or removed.
  bool OnConfirmed(const std::string& key, store_revision revision);
  void OnRemoved(const std::string& key, store_revision revision);
  // Marks all changes up to this revision as received.
  void OnRevision(store_revision revision);
  store_revision Revision() const { return revision_; }

  log_position Head() const { return {log_, offset_}; }
  // Returns the changes after a position in order, or std::nullopt if it
  // belongs to another log or some of the changes may be no longer known.
  std::optional<std::vector<key_change>> ChangesAfter(
      const log_position& position) const;
  // Returns whether the changes after a position, if known, include more than
  // confirmations; true if they are not known.
  bool HasChangesAfter(const log_position& position) const;
  // Returns the changes after a revision of the store, in no order, or
  // std::nullopt if some may be no longer known. A reader that missed an
  // earlier change doesn't get it; its digest differs then.
  std::optional<std::vector<key_change>> ChangesSince(
      store_revision revision) const;
  // Returns all present keys as changes.
  std::vector<key_change> WholeCopy() const;
  // Returns a digest of all present keys and the revisions of their last
  // writes.
  std::uint64_t Digest() const { return digest_; }

 private:
  struct key_state {
    store_item item;  // With the revision of the last write or removal.
    bool removed = false;
    std::uint64_t changed_at = 0;
    std::uint64_t written_at = 0;
  };

  bool Knows(const log_position& position) const;
  // Files the last write of a key under the next offset.
  void File(key_state& state, store_revision revision);
  void DropOldestRemoval();

  std::uint64_t log_;
  std::size_t max_removed_;
  bool has_copy_ = false;
  store_revision revision_ = 0;
  std::uint64_t offset_ = 0;      // Of the last change.
  std::uint64_t changed_at_ = 0;  // Of the last one that isn't a confirmation.
  // The last position and revision after which all removals are known.
  std::uint64_t known_from_ = 0;
  store_revision removals_known_from_ = 0;
  std::uint64_t digest_ = 0;
  std::map<std::string, key_state> keys_;
  std::map<std::uint64_t, std::string> by_written_at_;
  std::map<std::uint64_t, std::string> removed_keys_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_CHANGE_INDEX_H_
