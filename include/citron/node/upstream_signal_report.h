#ifndef CITRON_NODE_UPSTREAM_SIGNAL_REPORT_H_
#define CITRON_NODE_UPSTREAM_SIGNAL_REPORT_H_

#include <cstdint>
#include <tuple>

#include "citron/base/strong_id.h"
#include "citron/wire/fields.h"

namespace citron {

// What an upstream said of itself over a connection of one VM, with the answer
// to a request of another one. Any may be lost.
struct upstream_signal_report {
  vm_id vm;     // Tells it.
  vm_id asked;  // Whose connection it was.
  upstream_id upstream;
  std::int64_t born_ms = 0;    // Of the start of the upstream.
  std::uint32_t pause_ms = 0;  // What is left of a pause; 0: none.
  bool is_leaving = false;
};

inline auto WireFields(upstream_signal_report& report) {
  return std::tie(report.vm, report.asked, report.upstream, report.born_ms,
                  report.pause_ms, report.is_leaving);
}

}  // namespace citron

#endif  // CITRON_NODE_UPSTREAM_SIGNAL_REPORT_H_
