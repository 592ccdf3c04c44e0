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
#include "citron/node/crash_report.h"
#include "citron/node/node_context.h"
#include "citron/node/peer_report.h"
#include "citron/node/rate_limit_report.h"
#include "citron/node/reach_report.h"
#include "citron/node/region_report.h"
#include "citron/node/upstream_signal_report.h"
#include "citron/policy/report_budget.h"

struct event;
struct sockaddr_in;

namespace citron {

// Tells the other VMs by datagrams how this one stands, and hears them. VMs
// that serve callers tell each other often, and what they heard of upstreams'
// loads; the others are told seldom.
class peer_exchange {
 public:
  static result<std::unique_ptr<peer_exchange>> Make(node_context& context);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;

  // Tells whom it is time to tell; to be called as time passes.
  void Run(const vm_condition& own, monotonic_time now);
  // Tells what there is to tell of crashes, as the budget allows; to be called
  // at once for news, and as time passes.
  void TellCrashes(monotonic_time now);

  // Tells the VMs of this region that serve callers where objects were placed
  // and, in intervals, the loads of upstreams; to be called at once for
  // placements, and as time passes.
  void TellRegion(monotonic_time now);
  // A request of a caller came in.
  void OnRequest() { ++requests_since_report_; }

  bool IsHeard(const vm_id& vm, monotonic_time now) const;
  // What it said last; true if it was never heard.
  bool IsReady(const vm_id& vm) const;
  bool IsNearCapacity(const vm_id& vm) const;
  // True as long as it has not said otherwise.
  bool ReachesUpstreams(const vm_id& vm) const;

 private:
  struct peer_state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool ready = true;
    bool near_capacity = false;
    bool serves = false;
    std::int64_t told_at = 0;  // By its own clock.
    monotonic_time heard_at{};
    bool silent = false;        // As it was logged last.
    bool tells_region = false;  // Reports of the region came from it.
  };

  peer_exchange(node_context& context, int descriptor);
  void OnReadable();
  void OnReport(const peer_report& report, const sockaddr_in& source,
                monotonic_time now);
  bool AcceptsReport(const vm_id& vm, const sockaddr_in& source);
  void OnReport(const reach_report& report, const sockaddr_in& source,
                monotonic_time now);
  void OnReport(const rate_limit_report& report, const sockaddr_in& source,
                monotonic_time now);
  void OnReport(const crash_report& report, const sockaddr_in& source,
                monotonic_time now);
  void OnReport(const region_report& report, const sockaddr_in& source,
                monotonic_time now);
  void OnReport(const upstream_signal_report& report, const sockaddr_in& source,
                monotonic_time now);
  void OnLoads(const std::vector<load_line>& loads, monotonic_time now);
  // Tells a VM that begins to serve callers what this one has placed.
  void TellOwnPlacements(const vm_id& vm);
  bool IsInRegion(const vm_id& vm) const;
  std::vector<endpoint> ServingInRegion() const;
  // Tells what is known of upstreams' rate limits, at once if this VM has
  // learned something.
  void TellRateLimits(monotonic_time now);
  // Tells what upstreams said to requests in tunnels.
  void TellRelayedSignals(monotonic_time now);
  // Tells all while this VM reaches no upstream, and for a while after.
  void TellReach(bool reaches_upstreams, monotonic_time now);
  // Whether the datagram is from where the VM is listed.
  bool IsFrom(const vm_id& vm, const sockaddr_in& source);
  // The same; logs a datagram that isn't.
  bool IsListedSender(const vm_id& vm, const sockaddr_in& source,
                      const char* refused_event, monotonic_time now);
  void OnDatagram(std::string_view bytes, const sockaddr_in& source,
                  monotonic_time now);
  peer_report MakeReport(const vm_condition& own, monotonic_time now);
  // Logs which VMs were lost or are heard again.
  void LogSilence(monotonic_time now);
  void ForgetGonePeers(monotonic_time now);
  void UpdateReaders();
  // The next one follows after the interval.
  void Send(const peer_report& report, bool to_serving, duration interval);
  // Whether they serve callers or not, at once.
  template <typename report>
  void SendToAll(const report& told);
  void SendTo(const endpoint& address, const std::string& bytes);
  bool Serves(const vm_id& vm) const;
  int ServingPeers() const;
  // After which a VM counts as not heard.
  duration SilenceLimit() const;

  node_context& context_;
  int descriptor_;
  event* readable_ = nullptr;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  monotonic_time tell_serving_at_{};
  monotonic_time tell_all_at_{};
  bool told_ready_ = false;
  bool told_near_capacity_ = false;
  bool told_serving_ = false;
  int requests_since_report_ = 0;
  monotonic_time tell_region_loads_at_{};
  bool told_reaching_ = true;
  int reach_reports_left_ = 0;
  monotonic_time tell_reach_at_{};
  monotonic_time tell_rate_limits_at_{};
  std::map<vm_id, peer_state> peers_;
  std::map<vm_id, reach_report> reach_reports_;            // The last of each.
  std::map<vm_id, rate_limit_report> rate_limit_reports_;  // The same.
  std::map<vm_id, endpoint> readers_;  // Who is told, and where.
  std::uint64_t readers_version_ = 0;  // Of the list of VMs.
  report_budget crash_budget_{report_budget_options{}};
  report_budget placement_budget_{report_budget_options{}};
};

}  // namespace citron

#endif  // CITRON_NODE_PEER_EXCHANGE_H_
