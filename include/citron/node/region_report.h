#ifndef CITRON_NODE_REGION_REPORT_H_
#define CITRON_NODE_REGION_REPORT_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/node/peer_report.h"
#include "citron/wire/fields.h"

namespace citron {

// An object, by the hash under which the VMs of a region know it, and the
// upstream that runs its requests.
struct placement_line {
  std::uint64_t object = 0;
  upstream_id upstream;
};

// What a VM tells those of its region that serve callers: objects shortly after
// it placed them, and loads more often than to other regions. A datagram of its
// own, so that VMs of another version still read the other reports. Any may be
// lost: the object is run cold once more.
struct region_report {
  vm_id vm;
  std::vector<placement_line> placements;
  std::vector<load_line> loads;
};

inline auto WireFields(placement_line& line) {
  return std::tie(line.object, line.upstream);
}

inline auto WireFields(region_report& report) {
  return std::tie(report.vm, report.placements, report.loads);
}

}  // namespace citron

#endif  // CITRON_NODE_REGION_REPORT_H_
