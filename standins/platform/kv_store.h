#ifndef STANDINS_PLATFORM_KV_STORE_H_
#define STANDINS_PLATFORM_KV_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citron/base/time.h"

namespace citron {

struct kv_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  std::string write_id;
  std::uint64_t lease = 0;  // 0: none.
};

struct kv_event {
  kv_item item;
  bool removed = false;
};

enum class write_outcome { kDone, kConflict, kNotFound, kNoLease };

struct write_result {
  write_outcome outcome = write_outcome::kDone;
  // After kDone the write's own; after kConflict the present one, 0 for a key
  // that does not exist.
  std::uint64_t revision = 0;
};

struct kv_write {
  std::string key;
  std::string value;
  std::optional<std::uint64_t> expect;  // Present revision; 0: must not exist.
  std::string write_id;
  std::uint64_t lease = 0;
};

struct kv_history {
  std::vector<kv_event> events;
  // Some events after the asked revision are no longer kept.
  bool compacted = false;
};

// Keys with revisions, compare-and-swap, leases and a bounded history.
class kv_store {
 public:
  explicit kv_store(std::size_t history_bound);

  // Drops the whole history: EventsAfter an older revision is compacted.
  void ForgetHistory();
  std::uint64_t Revision() const { return revision_; }
  const kv_item* Find(const std::string& key) const;
  std::vector<kv_item> Range(const std::string& prefix) const;
  kv_history EventsAfter(std::uint64_t revision,
                         const std::string& prefix) const;

  write_result Put(const kv_write& write);
  write_result Remove(const std::string& key,
                      std::optional<std::uint64_t> expect);

  std::uint64_t Grant(duration ttl, monotonic_time now);
  bool Renew(std::uint64_t lease, monotonic_time now);
  bool Revoke(std::uint64_t lease);
  // Removes lapsed leases with their keys.
  void Expire(monotonic_time now);
  std::optional<monotonic_time> NextExpiry() const;

 private:
  struct lease_state {
    duration ttl{};
    monotonic_time deadline{};
  };

  bool Matches(const std::string& key,
               std::optional<std::uint64_t> expect) const;
  void Record(kv_event event);
  void RemoveKeysOf(std::uint64_t lease);

  std::size_t history_bound_;
  std::uint64_t revision_ = 0;
  std::uint64_t compacted_revision_ = 0;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, kv_item> items_;
  std::deque<kv_event> history_;
  std::map<std::uint64_t, lease_state> leases_;
};

}  // namespace citron

#endif  // STANDINS_PLATFORM_KV_STORE_H_
