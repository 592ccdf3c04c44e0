#ifndef CITRON_NODE_RELAYED_SIGNALS_H_
#define CITRON_NODE_RELAYED_SIGNALS_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// What an upstream said to the VM whose connection carried the request.
struct upstream_signal {
  upstream_id upstream;
  std::int64_t born_ms = 0;
  vm_id asked;
  monotonic_time paused_until{};
  bool is_leaving = false;
};

// Signals of upstreams that concern VMs which did not read them, since a tunnel
// carried the answer. Each is to be told a few times, as datagrams get lost.
class relayed_signals {
 public:
  void Add(const upstream_signal& signal, monotonic_time now);
  // Returns what is to be told now; to be called as time passes.
  std::vector<upstream_signal> TakeDue(monotonic_time now);

 private:
  struct entry {
    upstream_signal signal;
    int times_left = 0;
    monotonic_time due_at{};
  };

  std::map<std::pair<upstream_id, vm_id>, entry> entries_;
};

}  // namespace citron

#endif  // CITRON_NODE_RELAYED_SIGNALS_H_
