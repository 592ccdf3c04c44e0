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

// An entry VM that may be named to callers.
struct entry_vm {
  vm_id id;
  zone_id zone;
  region_id region;
  endpoint address;
  // Relative share of callers. A VM without a positive weight is never named.
  double weight = 1;
  bool leaving = false;
};

struct ranked_vm {
  vm_id id;
  endpoint address;
  // Share of the callers: the VM's weight divided by the sum over the answer.
  double weight = 0;
};

struct vm_answer {
  std::vector<ranked_vm> vms;  // Best first.
  monotonic_time expires_at;
};

struct vm_ranker_options {
  std::size_t answer_size = 3;  // Number of VMs in an answer.
  // Time until an answer expires.
  duration lifetime = std::chrono::seconds(30);
};

// Selects and orders the entry VMs for callers of a client block.
class vm_ranker {
 public:
  explicit vm_ranker(vm_ranker_options options);

  // Adds or replaces the VM. A leaving VM is in no later answer.
  void Set(const entry_vm& vm);
  void Remove(const vm_id& id);

  // `site`: where the block's callers are; nullptr if unknown. `spread`
  // distinguishes callers of one block, for example a hash of the caller's
  // address. All VMs are candidates if the site's region is unknown or has no
  // usable VM.
  vm_answer Rank(const client_site* site, std::uint64_t spread,
                 monotonic_time now) const;

 private:
  struct stored_vm {
    entry_vm vm;
    std::uint64_t id_hash = 0;
  };

  void RebuildIndex();

  vm_ranker_options options_;
  std::map<vm_id, stored_vm> vms_;
  std::map<region_id, std::vector<const stored_vm*>> usable_by_region_;
  std::vector<const stored_vm*> usable_vms_;
};

}  // namespace citron

#endif  // CITRON_POLICY_VM_RANKER_H_
