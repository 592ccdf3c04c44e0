#ifndef CITRON_NODE_PEER_EXCHANGE_H_
#define CITRON_NODE_PEER_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/node/node_context.h"

struct event;

namespace citron {

struct quota_line {
  workspace_id workspace;
  double demand_per_s = 0;
  double admitted_in_window = 0;
};

// What a VM tells every other one, again and again. Any may be lost.
struct peer_report {
  vm_id vm;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool ready = false;
  std::vector<quota_line> quotas;
};

// Tells the other VMs by datagrams how this one stands, and hears them.
class peer_exchange {
 public:
  static result<std::unique_ptr<peer_exchange>> Make(node_context& context);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;

  // Sends to all VMs that are listed.
  void Tell(bool ready, monotonic_time now);

  bool IsHeard(const vm_id& vm, monotonic_time now) const;
  // What it said last; true if it was never heard.
  bool IsReady(const vm_id& vm) const;
  // When to tell next: with more VMs less often, so that the bytes of each VM
  // stay in bounds.
  duration Interval() const;

 private:
  struct peer_state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool ready = true;
    monotonic_time heard_at{};
  };

  peer_exchange(node_context& context, int descriptor);
  void OnReadable();
  void OnReport(const peer_report& report, monotonic_time now);

  node_context& context_;
  int descriptor_;
  event* readable_ = nullptr;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  std::map<vm_id, peer_state> peers_;
};

}  // namespace citron

#endif  // CITRON_NODE_PEER_EXCHANGE_H_
