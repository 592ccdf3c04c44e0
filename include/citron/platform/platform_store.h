#ifndef CITRON_PLATFORM_PLATFORM_STORE_H_
#define CITRON_PLATFORM_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// Handed out by the store for each change; only grows. 0 means "absent".
using store_revision = std::uint64_t;

using lease_id = strong_id<struct lease_tag>;

struct store_item {
  std::string key;
  std::string value;
  store_revision revision = 0;  // Of the last change of this key.
  std::string write_id;         // Given by who wrote it; may be empty.
};

// Get: the item, or none with the revision of the store that lacked it.
struct store_lookup {
  std::optional<store_item> item;
  store_revision revision = 0;
};

struct store_range {
  store_revision revision = 0;  // Of the store when it was read.
  std::vector<store_item> items;
};

struct store_event {
  store_item item;  // Without a value when removed.
  bool removed = false;
};

struct store_events {
  store_revision revision = 0;  // Watch on from here.
  std::vector<store_event> events;
  // Events after the asked revision were forgotten: read the range anew.
  bool compacted = false;
};

struct store_write {
  std::string key;
  std::string value;
  // The revision that the key must have, 0 if it must not exist; none writes
  // whatever stands there.
  std::optional<store_revision> expected;
  // Lets the writer tell its own write from another's after a lost answer.
  std::string write_id;
  // The key goes with the lease; empty for none.
  lease_id lease;
};

struct write_done {
  store_revision revision = 0;
};

// A compare-and-swap that changed nothing, and what stands in its place.
struct write_conflict {
  store_revision revision = 0;  // 0: the key does not exist.
  std::string value;
  std::string write_id;
};

// The error is kUnavailable if nothing took effect, kUnknown if the answer was
// lost and the write may have, kNotFound if the key or lease does not exist.
using write_result = std::variant<write_done, write_conflict, error>;

enum class vm_state { kLive, kLeaving };

// One line of the platform's lagging list.
struct vm_record {
  vm_id vm;
  zone_id zone;
  region_id region;
  endpoint control;
  vm_state state = vm_state::kLive;
};

// The platform's key-value service and its list of VMs. Each call ends in
// exactly one callback, no later than shortly after its deadline, and never
// inside the call itself. No call is repeated by the store: the caller knows
// whether a repeat is safe.
class platform_store {
 public:
  using on_lookup = std::function<void(result<store_lookup>)>;
  using on_range = std::function<void(result<store_range>)>;
  using on_events = std::function<void(result<store_events>)>;
  using on_write = std::function<void(write_result)>;
  using on_lease = std::function<void(result<lease_id>)>;
  using on_status = std::function<void(status)>;
  using on_vms = std::function<void(result<std::vector<vm_record>>)>;

  virtual ~platform_store() = default;

  virtual void Get(const std::string& key, monotonic_time deadline,
                   on_lookup done) = 0;
  virtual void Put(const store_write& write, monotonic_time deadline,
                   on_write done) = 0;
  virtual void Remove(const std::string& key, store_revision expected,
                      monotonic_time deadline, on_write done) = 0;
  virtual void Range(const std::string& prefix, monotonic_time deadline,
                     on_range done) = 0;
  // Answers with the changes after `after`, as soon as there are any or at
  // `wait_until` with none. `deadline` must lie behind `wait_until`.
  virtual void Watch(const std::string& prefix, store_revision after,
                     monotonic_time wait_until, monotonic_time deadline,
                     on_events done) = 0;

  // The lease ends by the store's clock `ttl` after it handled the call;
  // holders count from the moment when they asked.
  virtual void GrantLease(duration ttl, monotonic_time deadline,
                          on_lease done) = 0;
  // kNotFound: the lease has lapsed, and its keys are gone.
  virtual void RenewLease(const lease_id& lease, monotonic_time deadline,
                          on_status done) = 0;
  virtual void RevokeLease(const lease_id& lease, monotonic_time deadline,
                           on_status done) = 0;

  virtual void ListVms(monotonic_time deadline, on_vms done) = 0;
};

}  // namespace citron

#endif  // CITRON_PLATFORM_PLATFORM_STORE_H_
