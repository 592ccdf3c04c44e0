#ifndef CITRON_PROTOCOL_CHANGE_INDEX_H_
#define CITRON_PROTOCOL_CHANGE_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citron/platform/platform_store.h"

namespace citron {

// What became of one key since some revision.
struct key_change {
  enum class kind {
    kWritten,
    kRemoved,
    kConfirmed,  // Written again with nothing new in it; without a value.
  };
  kind what = kind::kWritten;
  store_item item;
};

// The last state of each key with the revisions at which it came about, so that
// others who stand at any of the later revisions can be told what they lack.
class change_index {
 public:
  // `most_removed`: removed keys that are remembered.
  explicit change_index(std::size_t most_removed = 4096);

  // All that the store holds. What is missing was removed; of a first copy
  // nothing older is known.
  void OnCopy(const std::vector<store_item>& items, store_revision revision);
  // Each of them is left out if it is older than what is known of the key.
  void OnWritten(const store_item& item);
  void OnConfirmed(const std::string& key, store_revision revision);
  void OnRemoved(const std::string& key, store_revision revision);
  // All up to this revision has been told.
  void OnRevision(store_revision revision);
  store_revision Revision() const { return revision_; }

  // What changed after a revision, in order; none if that isn't known any more.
  std::optional<std::vector<key_change>> After(store_revision revision) const;
  // Whether that holds more than confirmations.
  bool HasNewsAfter(store_revision revision) const;

 private:
  struct key_state {
    store_item item;
    bool removed = false;
    store_revision changed_at = 0;
    store_revision written_at = 0;
  };

  void Move(key_state& state, store_revision to);
  void ForgetOldest();

  std::size_t most_removed_;
  bool has_copy_ = false;
  store_revision revision_ = 0;
  store_revision known_from_ = 0;
  store_revision changed_at_ = 0;  // Of the last change of any key.
  std::map<std::string, key_state> keys_;
  std::multimap<store_revision, std::string> order_;  // By written_at.
  std::multimap<store_revision, std::string> removed_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_CHANGE_INDEX_H_
