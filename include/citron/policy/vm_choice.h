#ifndef CITRON_POLICY_VM_CHOICE_H_
#define CITRON_POLICY_VM_CHOICE_H_

#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"

namespace citron {

// A VM that callers may be sent to, as this VM knows it.
struct vm_candidate {
  vm_id id;
  zone_id zone;
  region_id region;
  endpoint callers;
  bool ready = true;  // It says that it takes requests.
  bool heard = true;  // It was heard from lately.
  double link_mbps = 0;
  bool strained = false;  // It has little of its processor left.
};

// The VMs that callers of a zone are told of: of those that take requests the
// nearest, and of these the ones with wide links, as long as there are two of
// them and none is strained. Empty only if there is no candidate at all.
std::vector<vm_candidate> ChooseVms(const std::vector<vm_candidate>& all,
                                    const zone_id& zone,
                                    const region_id& region);

}  // namespace citron

#endif  // CITRON_POLICY_VM_CHOICE_H_
