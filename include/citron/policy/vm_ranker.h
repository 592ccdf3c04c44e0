#ifndef CITRON_POLICY_VM_RANKER_H_
#define CITRON_POLICY_VM_RANKER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/client_table.h"

namespace citron {

// An entry VM that callers may be told of.
struct entry_vm {
  vm_id id;
  zone_id zone;
  region_id region;
  endpoint address;
  double weight = 1;  // Its part of its zone's callers.
  bool leaving = false;
};

struct ranked_vm {
  vm_id id;
  endpoint address;
  double weight = 0;  // Part of the block's callers, all answers sum to 1.
};

struct vm_answer {
  std::vector<ranked_vm> vms;  // Best first.
  monotonic_time expires_at;
};

struct vm_ranker_options {
  std::size_t answer_size = 3;
  duration lifetime = std::chrono::seconds(30);
};

// Tells callers of a client block which entry VMs to use, in which order.
class vm_ranker {
 public:
  explicit vm_ranker(vm_ranker_options options);

  // Adds or replaces; a leaving VM is in no answer from now on.
  void Set(const entry_vm& vm);
  void Remove(const vm_id& id);

  // `site` is where the block's callers are, nullptr if unknown. `spread` tells
  // callers of one block apart, for example a hash of the caller's address.
  vm_answer Rank(const client_site* site, std::uint64_t spread,
                 monotonic_time now) const;

 private:
  struct stored_vm {
    entry_vm vm;
    std::uint64_t hash = 0;
  };

  void Reindex();

  vm_ranker_options options_;
  std::map<vm_id, stored_vm> vms_;
  std::map<region_id, std::vector<const stored_vm*>> by_region_;
  std::vector<const stored_vm*> usable_;
};

}  // namespace citron

#endif  // CITRON_POLICY_VM_RANKER_H_
