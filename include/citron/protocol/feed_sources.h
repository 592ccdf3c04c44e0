#ifndef CITRON_PROTOCOL_FEED_SOURCES_H_
#define CITRON_PROTOCOL_FEED_SOURCES_H_

#include <map>
#include <optional>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// A listed VM, as far as it matters for who asks whom.
struct feed_member {
  vm_id vm;
  zone_id zone;
  region_id region;
  double link_mbps = 0;
};

// The VMs that one VM asks for changes of the store, the best first; none: it
// asks the store. Each VM asks only VMs that come before it in one order that
// all compute alike, so that nobody's news can come from himself.
std::vector<vm_id> PlanFeed(const feed_member& own,
                            const std::vector<feed_member>& all);

struct feed_source_options {
  // How long a VM that gave no answer is left alone, twice as long with each
  // further failure.
  duration first_avoidance = FromMilliseconds(1500);
  duration longest_avoidance = FromMilliseconds(12000);
};

// Which of the planned VMs to ask now, by how they answered.
class feed_sources {
 public:
  explicit feed_sources(const feed_source_options& options = {});

  void SetPlan(std::vector<vm_id> plan);
  // By the plan, whatever failed: this VM reads the store for others.
  bool ReadsStore() const { return plan_.empty(); }
  // None: the store itself.
  std::optional<vm_id> Next(monotonic_time now) const;
  void OnAnswered(const vm_id& vm);
  void OnFailed(const vm_id& vm, monotonic_time now);

 private:
  struct failure {
    int in_row = 0;
    monotonic_time avoided_until{};
  };

  feed_source_options options_;
  std::vector<vm_id> plan_;
  std::map<vm_id, failure> failures_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_FEED_SOURCES_H_
