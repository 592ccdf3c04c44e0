#ifndef CITRON_POLICY_VM_CHOICE_H_
#define CITRON_POLICY_VM_CHOICE_H_

#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"

namespace citron {

// A VM that callers may be sent to, as known to this VM.
struct vm_candidate {
  vm_id id;
  zone_id zone;
  region_id region;
  endpoint caller_endpoint;
  bool ready = true;              // The VM reports that it accepts requests.
  bool has_recent_report = true;  // A recent report was received.
  double link_mbps = 0;
  bool near_capacity = false;  // Of its processor or link.
  // The VM reports no partition from all upstreams.
  bool reaches_upstreams = true;
};

// Returns the VMs to which callers of a zone are sent: the nearest VMs of the
// healthiest group (ready with a recent report and reaching upstreams, ready
// with a recent report, ready, any). A zone where these have little link
// capacity or are all near capacity uses those of its region. Of these, only
// the VMs with at least half of the widest link are returned if there are at
// least two such VMs and none of them is near capacity. The result is empty
// only if `all` is empty.
std::vector<vm_candidate> ChooseVms(const std::vector<vm_candidate>& all,
                                    const zone_id& zone,
                                    const region_id& region);

}  // namespace citron

#endif  // CITRON_POLICY_VM_CHOICE_H_
