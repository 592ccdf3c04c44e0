#ifndef CITRON_NODE_RATE_LIMIT_REPORT_H_
#define CITRON_NODE_RATE_LIMIT_REPORT_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/wire/fields.h"

namespace citron {

// What a VM knows of the request rate limit of one upstream, and its own
// demand there.
struct rate_limit_line {
  upstream_id upstream;
  bool is_limited = false;  // False: the limit has ended.
  double per_s = 0;
  // How long ago an answer showed it, to whichever VM.
  std::uint32_t age_ms = 0;
  double demand_per_s = 0;
};

// Sent to all VMs while an upstream limits its requests, and for a while after.
// Any may be lost.
struct rate_limit_report {
  vm_id vm;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<rate_limit_line> lines;
};

inline auto WireFields(rate_limit_line& line) {
  return std::tie(line.upstream, line.is_limited, line.per_s, line.age_ms,
                  line.demand_per_s);
}

inline auto WireFields(rate_limit_report& report) {
  return std::tie(report.vm, report.incarnation, report.sequence, report.lines);
}

}  // namespace citron

#endif  // CITRON_NODE_RATE_LIMIT_REPORT_H_
