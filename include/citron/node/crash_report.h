#ifndef CITRON_NODE_CRASH_REPORT_H_
#define CITRON_NODE_CRASH_REPORT_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/wire/fields.h"

namespace citron {

// A request that was in flight at the crash of an upstream.
struct crash_line {
  std::uint64_t fingerprint = 0;
  upstream_id upstream;
  std::uint32_t age_ms = 0;  // Of the crash, when it was told.
};

// What a VM tells the others at once, and again shortly after. A message of its
// own, so that VMs that don't know it still read the reports.
struct crash_report {
  vm_id vm;
  std::vector<crash_line> crashes;
};

inline auto WireFields(crash_line& line) {
  return std::tie(line.fingerprint, line.upstream, line.age_ms);
}

inline auto WireFields(crash_report& report) {
  return std::tie(report.vm, report.crashes);
}

}  // namespace citron

#endif  // CITRON_NODE_CRASH_REPORT_H_
