#ifndef CITRON_NODE_NODE_TASK_H_
#define CITRON_NODE_NODE_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citron/base/event_log.h"
#include "citron/base/result.h"
#include "citron/config/node_settings.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_server.h"
#include "citron/net/metrics.h"
#include "citron/node/caller_connection.h"
#include "citron/node/caller_exchange.h"
#include "citron/node/feed_relay.h"
#include "citron/node/fleet_state.h"
#include "citron/node/node_context.h"
#include "citron/node/node_pages.h"
#include "citron/node/peer_exchange.h"
#include "citron/node/store_sync.h"
#include "citron/node/tunnel_server.h"
#include "citron/node/upstream_paths.h"
#include "citron/node/upstream_pool.h"
#include "citron/platform/platform_store.h"
#include "citron/policy/capacity_gauge.h"
#include "citron/protocol/planned_stop.h"

struct evconnlistener;

namespace citron {

// What the adapter of a platform gives.
struct node_platform {
  header_names names;
  page_paths pages;
  const fleet_codec* codec = nullptr;
  platform_store* store = nullptr;
};

// A whole VM in one task: callers, placement, limits and the copy of the store.
class node_task : private request_handler_factory {
 public:
  static result<std::unique_ptr<node_task>> Make(event_loop& loop,
                                                 const node_settings& settings,
                                                 const node_platform& platform,
                                                 event_log& log);
  ~node_task() override;

  // Stops in the order that cuts off no request; `stopped` is called at its
  // end, within the grace period.
  void Stop(std::function<void()> stopped);
  // Takes bounds that have changed; addresses stay as they are.
  void Reload(const node_settings& settings);

  // Whether callers should be sent here.
  bool IsReady() const;

 private:
  node_task(event_loop& loop, const node_settings& settings,
            const node_platform& platform, event_log& log);

  status Listen();
  void OnAccept(int descriptor);
  std::unique_ptr<request_handler> Make(http1_head head,
                                        caller_exchange& exchange) override;
  void OnBytesWritten(std::size_t bytes) override { bytes_written_ += bytes; }
  void OnCut(connection_cut cause, std::size_t unsent) override;
  // A line for a request that comes while the VM stops.
  void LogTakenInStop(const http1_head& head, monotonic_time now);
  void UpdateGauges(monotonic_time now);
  // Shows how strongly each service's requests are kept in this region.
  void ShowRegionBalance(monotonic_time now);
  void LogRegionWeight(const service_id& service,
                       const affinity_selector& selector, monotonic_time now);
  vm_condition Condition() const;
  void OnTick();
  void OnStopStep(monotonic_time now);
  void CloseListener();

  event_loop& loop_;
  node_settings settings_;
  header_names names_;
  event_log& log_;
  metrics stats_;
  fleet_state fleet_;
  fleet_feed feed_;
  upstream_paths paths_;
  upstream_pool pool_;
  crash_watch crashes_;
  placement_news placements_;
  relayed_signals relayed_;
  memory_budget memory_;
  planned_stop stop_;
  node_context context_;
  std::string secret_;  // Of this start, for other VMs of the fleet.
  store_sync sync_;
  feed_relay relay_;
  capacity_gauge processor_;
  capacity_gauge link_;
  std::size_t bytes_written_ = 0;  // To callers.
  bool was_near_capacity_ = false;
  std::map<service_id, double> logged_weights_;  // Of the own region.
  std::unique_ptr<peer_exchange> peers_;
  std::unique_ptr<node_pages> pages_;
  std::unique_ptr<tunnel_server> tunnels_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::unique_ptr<caller_connection>> connections_;
  loop_timer tick_;
  loop_timer crash_news_;
  loop_timer placement_timer_;
  monotonic_time sweep_at_{};
  bool was_ready_ = false;

  std::function<void()> stopped_;
};

}  // namespace citron

#endif  // CITRON_NODE_NODE_TASK_H_
