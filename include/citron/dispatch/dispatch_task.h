#ifndef CITRON_DISPATCH_DISPATCH_TASK_H_
#define CITRON_DISPATCH_DISPATCH_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "citron/config/settings.h"
#include "citron/dispatch/owner_driver.h"
#include "citron/dispatch/upstream_probe.h"
#include "citron/link/control_link.h"
#include "citron/link/forward_head.h"
#include "citron/net/http_client.h"
#include "citron/net/http_server.h"
#include "citron/net/metrics.h"
#include "citron/policy/drain_tracker.h"
#include "citron/policy/service_scheduler.h"
#include "citron/policy/shift_ramp.h"
#include "citron/protocol/suspect_check.h"

namespace citron {

// One loop of a dispatch: takes requests from entries, queues them, and sends
// them to the upstreams that it owns.
class dispatch_task {
 public:
  static result<std::unique_ptr<dispatch_task>> Make(
      event_loop& loop, const dispatch_settings& settings,
      const std::string& secret, int loop_index);
  ~dispatch_task();

  const endpoint& Address() const { return server_->Address(); }
  const endpoint& PeerAddress() const { return link_->PeerAddress(); }
  const endpoint& MetricsAddress() const { return pages_->Address(); }

  // A planned stop: takes nothing new, answers what it has, gives its
  // upstreams up, then calls `left`.
  void Leave(std::function<void()> left);

 private:
  class call;
  struct service_state;

  dispatch_task(event_loop& loop, const dispatch_settings& settings,
                const std::string& secret, int loop_index);
  status Open();

  void OnConfig();
  void OnMessage(const envelope& message);
  void OnRequest(http_exchange& exchange);
  void Accept(http_exchange& exchange, const forward_head& head);
  scheduler_request Describe(const forward_head& head,
                             const http_request& request,
                             service_state& service) const;
  void Perform(service_state& service,
               const service_scheduler::actions& actions);
  void Send(service_state& service, const send_action& action);
  void Refuse(const refuse_action& action);
  void Fail(const fail_action& action);
  // Answers that the request may have run, and counts its end.
  void EndAsFailed(const request_id& id, std::string_view code, int status);
  void Tell(const poison_action& poison);
  void Tell(const suspect_action& suspect);
  void Check(const check_suspect_action& suspect);
  void EndCheck(const request_id& id);
  void OnCheckTimer();
  // Returns the other dispatches; with `only_reachable`, without those of VMs
  // that are silent or gone.
  std::set<endpoint> OtherDispatches(bool only_reachable = false) const;
  template <class T>
  void SendToDispatches(message_type type, const T& message);
  bool KeyIsGood(const forward_head& head, monotonic_time now) const;
  void Finish(const request_id& id, upstream_outcome outcome);
  void OnEntryGone(const request_id& id);
  void Retire(const request_id& id);
  void OnPoison(const poison_message& message);
  void OnSuspect(const suspect_message& message);
  void OnSuspectQuery(const suspect_query& message);
  void OnSuspectReply(const suspect_reply& message);
  void OnPermitAsk(const permit_ask& message);
  void OnUpstreamReport(const upstream_id& id, const upstream_report& report);

  service_state* ServiceOf(const service_id& id);
  // What it may send to at this moment, by its lease.
  std::set<upstream_id> OwnedNow() const;
  void RefreshUpstreams();
  void RefreshShiftCap(service_state& service);
  void NoteDrain(const service_state& service, const upstream_id& upstream);
  void ReportLoad();
  void EndNotice();
  void ContinueLeaving();
  void OnPage(http_exchange& exchange);

  event_loop& loop_;
  dispatch_settings settings_;
  std::string secret_;
  int loop_index_;
  metrics stats_;
  counters_by_label<2> outcomes_{
      stats_, "citron_dispatch_outcomes_total", {"service", "status"}};
  histograms_by_label<1> outcome_seconds_{
      stats_, "citron_dispatch_seconds", {"service"}};
  counters_by_label<2> refusals_{
      stats_, "citron_dispatch_refusals_total", {"reason", "service"}};
  std::unique_ptr<control_link> link_;
  std::unique_ptr<http_server> server_;
  std::unique_ptr<http_server> pages_;
  std::unique_ptr<owner_driver> owner_;
  std::unique_ptr<upstream_probe> probe_;
  drain_tracker drains_;
  http_client client_;
  forward_replay_window replays_;
  std::map<service_id, std::unique_ptr<service_state>> services_;
  std::unordered_map<request_id, std::unique_ptr<call>> calls_;
  suspect_check checks_;
  loop_timer report_timer_;
  loop_timer check_timer_;
  loop_timer notice_timer_;
  bool leaving_ = false;
  monotonic_time leave_deadline_;
  monotonic_time give_back_deadline_{};
  std::optional<monotonic_time> linger_deadline_;
  std::function<void()> left_;
};

}  // namespace citron

#endif  // CITRON_DISPATCH_DISPATCH_TASK_H_
