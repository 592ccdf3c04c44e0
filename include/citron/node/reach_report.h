#ifndef CITRON_NODE_REACH_REPORT_H_
#define CITRON_NODE_REACH_REPORT_H_

#include <cstdint>
#include <tuple>

#include "citron/base/strong_id.h"
#include "citron/wire/fields.h"

namespace citron {

// Whether a VM reaches upstreams by itself. Told in a datagram of its own, so
// that VMs of another version still read the other reports, and only while it
// reaches none and for a while after. Any may be lost.
struct reach_report {
  vm_id vm;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool reaches_upstreams = true;
};

inline auto WireFields(reach_report& report) {
  return std::tie(report.vm, report.incarnation, report.sequence,
                  report.reaches_upstreams);
}

}  // namespace citron

#endif  // CITRON_NODE_REACH_REPORT_H_
