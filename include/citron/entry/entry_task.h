#ifndef CITRON_ENTRY_ENTRY_TASK_H_
#define CITRON_ENTRY_ENTRY_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "citron/base/verdict.h"
#include "citron/config/settings.h"
#include "citron/entry/caller_error.h"
#include "citron/entry/client_directory.h"
#include "citron/entry/dispatch_directory.h"
#include "citron/entry/service_quality.h"
#include "citron/link/control_link.h"
#include "citron/link/forward_head.h"
#include "citron/net/http_client.h"
#include "citron/net/http_server.h"
#include "citron/net/metrics.h"
#include "citron/policy/placement.h"
#include "citron/policy/retry_budget.h"
#include "citron/protocol/rate_limiter.h"
#include "citron/protocol/request_registry.h"

namespace citron {

// One loop of an entry: the callers' door.
class entry_task {
 public:
  static result<std::unique_ptr<entry_task>> Make(
      event_loop& loop, const entry_settings& settings,
      const std::string& secret, int loop_index);
  ~entry_task();

  const endpoint& Address() const { return server_->Address(); }
  const endpoint& PeerAddress() const { return link_->PeerAddress(); }
  const endpoint& MetricsAddress() const { return pages_->Address(); }

  // A planned stop: says so, answers what is in flight, then calls `left`.
  void Leave(std::function<void()> left);

 private:
  class call;
  class id_mac;

  // A key that is good, with the contract of its workspace.
  struct identity {
    std::string key_digest;
    const contract* terms = nullptr;
  };

  entry_task(event_loop& loop, const entry_settings& settings,
             const std::string& secret, int loop_index);
  status Open();
  result<std::unique_ptr<http_server>> Listen(const endpoint& at,
                                              http_handler handler,
                                              bool reuse_port);

  void OnConfig();
  void OnView();
  void OnMessage(const envelope& message);
  void OnShare(const share_update& update);
  void OnPermits(const permit_grant& grant);
  template <class T>
  void OnLimitMessage(const envelope& message);
  void PerformLimits(const limit_actions& actions);
  void Do(const admit_waiting& action);
  void Do(const reject_waiting& action);
  void Do(const send_loan_request& ask);
  void Do(const send_loan_grant& grant);
  void Do(const send_loan_return& returned);
  void Do(const send_token_request& ask);
  void Do(const send_token_grant& grant);
  template <class T>
  void SendToEntry(const entry_ref& to, message_type type, const T& message);
  void SetPeers();
  entry_ref Self() const;
  void OnTick();

  void OnCaller(http_exchange& exchange);
  void OnForwarded(http_exchange& exchange);
  void OnLookup(http_exchange& exchange);
  void OnRequestIds(http_exchange& exchange);
  void OnServiceRequest(http_exchange& exchange);
  void Start(std::unique_ptr<call> started);
  void Run(call& c);
  void Admit(call& c);
  call* TakeWaiting(wait_ticket ticket);
  // The home of the caller's workspace, for a look-up by a caller at `site`.
  const vm_seen* HomeFor(const http_request& request,
                         const client_site& site) const;
  void RefuseOverRate(call& c, monotonic_time retry_at);
  std::variant<identity, caller_error> Identify(
      const http_request& request) const;
  std::optional<caller_error> CheckFreshness(const contract& terms) const;
  std::variant<monotonic_time, caller_error> DeadlineOf(
      const http_request& request, const contract& terms,
      const service_id& service) const;
  std::optional<caller_error> BeginOnce(call& c);
  bool BeginOrReply(call& c);
  std::optional<endpoint> IssuerOf(const begin_answer::other_issuer& issuer);

  // The way of one request; see entry_call.h.
  void Place(call& c);
  void SendTo(call& c, const dispatch_directory::choice& target);
  // The send came to nothing; `ran` says what is known of it.
  void TryElsewhere(call& c, const std::string& reason, verdict ran,
                    duration retry_after);
  void End(call& c, verdict ran, int status);
  void ReplyError(http_exchange& exchange, const caller_error& problem);
  void CountRefusal(const workspace_id& workspace, const std::string& reason);

  request_id NextForwardId();
  std::string RegistryName(const vm_id& vm, int loop) const;
  std::uint64_t ExpectedBytes(const call& c) const;
  void OnPage(http_exchange& exchange);
  void ContinueLeaving();
  http_response Farewell() const;

  event_loop& loop_;
  entry_settings settings_;
  std::string secret_;
  int loop_index_;
  metrics stats_;
  counters_by_label<2> requests_{
      stats_, "citron_requests_total", {"service", "verdict"}};
  histograms_by_label<1> request_seconds_{
      stats_, "citron_request_seconds", {"service"}};
  counters_by_label<2> workspace_requests_{
      stats_, "citron_workspace_requests_total", {"workspace", "answered"}};
  counters_by_label<2> refusals_{
      stats_, "citron_refusals_total", {"workspace", "reason"}};
  counters_by_label<1> refused_inside_rate_{
      stats_, "citron_refused_inside_rate_total", {"workspace"}};
  std::unique_ptr<control_link> link_;
  std::unique_ptr<http_server> server_;   // Callers.
  std::unique_ptr<http_server> forward_;  // Other entries of the fleet.
  std::unique_ptr<http_server> pages_;
  http_client client_;

  std::unique_ptr<id_mac> mac_;
  std::unique_ptr<request_registry> registry_;
  std::unique_ptr<rate_limiter> limiter_;
  std::unique_ptr<placement> placement_;
  dispatch_directory directory_;
  retry_budget retries_;
  std::unique_ptr<client_directory> clients_;
  std::map<std::pair<service_id, std::string>, double> answer_bytes_;
  std::map<entry_ref, endpoint> entry_peers_;

  std::unordered_map<call*, std::unique_ptr<call>> calls_;
  std::unordered_map<wait_ticket, call*> waiting_calls_;  // For a token.
  std::uint64_t last_forward_ = 0;
  service_quality quality_;
  loop_timer tick_;
  loop_timer token_timer_;
  bool leaving_ = false;
  monotonic_time leave_deadline_;
  monotonic_time quiet_at_;
  std::function<void()> left_;
};

}  // namespace citron

#endif  // CITRON_ENTRY_ENTRY_TASK_H_
