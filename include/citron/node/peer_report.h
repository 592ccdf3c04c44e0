#ifndef CITRON_NODE_PEER_REPORT_H_
#define CITRON_NODE_PEER_REPORT_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/wire/fields.h"

namespace citron {

// Of a workspace that asked anything of the telling VM.
struct quota_line {
  workspace_id workspace;
  std::uint32_t demand_tenths_per_s = 0;
  std::uint32_t admitted_in_window = 0;
};

// What an upstream said with an answer: the requests there, waiting ones
// included.
struct load_line {
  upstream_id upstream;
  std::uint32_t requests = 0;
};

// What a VM tells other ones, again and again. Any may be lost.
struct peer_report {
  vm_id vm;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool ready = false;
  bool near_capacity = false;  // Of its processor or link.
  std::vector<quota_line> quotas;
  std::vector<load_line> loads;
  // By the teller's steady clock, in nanoseconds.
  std::int64_t told_at = 0;
  // When the newest report was told that the teller has of the VM that gets
  // this one, by that VM's clock; 0 if none.
  std::int64_t has_heard = 0;
  std::uint32_t tells_again_ms = 0;  // At the most.
  // VMs that the teller hears though their records lapsed.
  std::vector<vm_id> heard_unlisted;
};

inline auto WireFields(quota_line& line) {
  return std::tie(line.workspace, line.demand_tenths_per_s,
                  line.admitted_in_window);
}

inline auto WireFields(load_line& line) {
  return std::tie(line.upstream, line.requests);
}

inline auto WireFields(peer_report& report) {
  return std::tie(report.vm, report.incarnation, report.sequence, report.ready,
                  report.near_capacity, report.quotas, report.loads,
                  report.told_at, report.has_heard, report.tells_again_ms,
                  report.heard_unlisted);
}

}  // namespace citron

#endif  // CITRON_NODE_PEER_REPORT_H_
