#ifndef CITRON_PROTOCOL_FEED_SOURCES_H_
#define CITRON_PROTOCOL_FEED_SOURCES_H_

#include <map>
#include <optional>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// Properties of a listed VM that decide from which VM others read.
struct feed_member {
  vm_id vm;
  zone_id zone;
  region_id region;
  double link_mbps = 0;
};

// Returns the VMs from which a VM reads changes of the store, the preferred one
// first, or none if the VM reads from the store itself. Each VM reads only from
// VMs before it in an order that all VMs compute alike, so that no VM's changes
// come back to itself.
//
// Load pattern: in a fleet in which each VM watches the store, each change
// costs one call per VM. Here one VM of a region reads the store, the first VM
// of each other zone reads from that VM, and the other VMs of a zone read from
// the first of their zone. Calls to the store grow with the number of regions,
// the traffic that a VM sends grows with the size of a zone, and a change
// passes two VMs at most. A VM that doesn't answer is skipped, in the end in
// favor of the store, so that no VM depends on a single other VM.
std::vector<vm_id> PlanFeedSources(const feed_member& self,
                                   const std::vector<feed_member>& all);

struct feed_source_options {
  // Time for which a VM that gave no answer is skipped, doubled with each
  // further failure.
  duration min_backoff = FromMilliseconds(1500);
  duration max_backoff = FromMilliseconds(12000);
  // The same for one that answers that it has lost the store.
  duration refusal_backoff = FromMilliseconds(2000);
};

// Selects the planned VM to read from by the VMs' recent answers and failures.
class feed_sources {
 public:
  explicit feed_sources(const feed_source_options& options = {});

  void SetPlan(std::vector<vm_id> plan);
  // Returns whether by the plan, whatever failed, this VM reads the store for
  // other VMs.
  bool ReadsStore() const { return plan_.empty(); }
  // Returns the VM to read from, or none for the store itself.
  std::optional<vm_id> Next(monotonic_time now) const;
  void OnAnswered(const vm_id& vm);
  void OnFailed(const vm_id& vm, monotonic_time now);
  // It answered that its copy isn't current.
  void OnRefused(const vm_id& vm, monotonic_time now);

 private:
  struct failure {
    int failure_count = 0;
    monotonic_time backoff_until{};
  };

  feed_source_options options_;
  std::vector<vm_id> plan_;
  std::map<vm_id, failure> failures_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_FEED_SOURCES_H_
