#ifndef CITRON_NODE_PROXIED_REQUEST_H_
#define CITRON_NODE_PROXIED_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "citron/base/time.h"
#include "citron/base/verdict.h"
#include "citron/node/caller_exchange.h"
#include "citron/node/node_context.h"
#include "citron/node/request_gate.h"
#include "citron/node/upstream_connection.h"
#include "citron/policy/affinity_selector.h"
#include "citron/policy/rank_reserve.h"

namespace citron {

// One admitted request on its way: body, upstream, further tries, answer. It
// sends a request that may run once to another upstream only if the last one
// is known not to have run it.
class proxied_request : public request_handler, private upstream_call_listener {
 public:
  proxied_request(node_context& context, http1_head head,
                  admitted_request admitted, caller_exchange& exchange);
  ~proxied_request() override;

  // To be called once, right after making it.
  void Start();

  void OnBody(std::string_view bytes) override;
  void OnBodyEnd() override;
  void OnCallerGone() override;
  void OnDrained() override;

 private:
  // upstream_call_listener
  bool WantsToSend() override;
  void OnConnected() override;
  void OnAnswerHead(http1_head head) override;
  bool UsesAnswerBody() const override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerEnd() override;
  void OnCallFailed(upstream_fault fault) override;
  void OnRequestDrained() override;

  enum class answer_kind {
    kWhole,    // To be passed on.
    kFailure,  // The upstream's own failure; may be tried elsewhere.
    kNotRun,
    kForged,  // Not an answer of this upstream to this request.
  };

  request_rank Rank() const;
  bool IsRepeatable() const;
  bool BodyIsReplayable() const { return !streaming_body_; }
  answer_kind Judge(const http1_head& head) const;
  void Place();
  // `left_out` must outlive the result.
  selection_request SelectionFor(
      const std::vector<upstream_id>& left_out) const;
  void TellPlacement(const selection& choice);
  // Takes a connection to the upstream; false if there is no way to it.
  bool Connect(const upstream_id& upstream, monotonic_time now);
  void OnNoUpstream(selection_error error);
  // Logs the limits of the upstreams and returns when to come back.
  duration OnRateLimited(monotonic_time now);
  // Logs the pauses of the upstreams and returns when to come back.
  duration OnPaused(monotonic_time now);
  void MakeFingerprint();
  // Whether it crashed upstreams before, so that no other one may run it.
  bool IsPoison(monotonic_time now);
  void RefusePoison(monotonic_time now);
  bool IsSuspect(monotonic_time now) const;
  void SendTo(const selection& choice);
  void SendBodyPiece(std::string_view bytes);
  void UpdateHeld();
  // Whether there is room for the body, of which `bytes` come now.
  bool HasRoom(std::size_t bytes);
  void RefuseForMemory();
  void ReportStreamedEarly(const char* what, std::size_t held);
  void ReportCut(const char* cause);
  // Gives up the rest of an answer that nobody gets.
  void CutUnused(const char* cause);
  void OnUnusedAnswerEnd();
  bool IsRefusal() const { return answer_ && kind_ == answer_kind::kNotRun; }
  void OnNotRun(upstream_outcome outcome, const char* reason);
  // The upstream wanted no more requests before this one was sent.
  void OnWithdrawn();
  // No connection could be opened, and the upstream isn't shown to be at fault.
  void OnPathFailed(const char* reason);
  void OnMaybeRun(upstream_outcome outcome, const char* reason);
  bool IsOnOwnConnection() const {
    return connection_ != nullptr && !connection_->IsRelayed();
  }
  bool MayTryAgain(bool reached_upstream);
  // Takes a retry from the service's budget.
  bool TakeRetry(monotonic_time now);
  void EndAttempt(upstream_outcome outcome);
  void KeepConnection();
  void DropConnection();
  void StartStreaming();
  void DeliverWhole();
  void Refuse(int status, const char* reason, duration retry_after);
  void ReturnToken();
  void FailMaybeRun(int status, const char* reason);
  void OnDeadline();
  void Finish(int status, const char* outcome);

  node_context& context_;
  http1_head head_;
  admitted_request admitted_;
  caller_exchange& exchange_;
  std::string id_;
  bool has_affinity_ = false;
  std::uint64_t object_ = 0;
  std::uint64_t fingerprint_ = 0;  // 0: not placed yet.
  service_id service_;
  monotonic_time arrived_at_;
  monotonic_time deadline_;         // When the answer is of no use.
  monotonic_time caller_deadline_;  // The caller's own part of it.
  loop_timer deadline_timer_;

  std::string body_;
  bool body_ended_ = false;
  bool streaming_body_ = false;
  bool has_room_ = false;  // Stays so, once it began.
  memory_budget::account held_;

  std::unique_ptr<upstream_connection> connection_;
  upstream_id upstream_;
  zone_id upstream_zone_;
  std::int64_t upstream_born_ms_ = 0;
  monotonic_time sent_at_;  // The present attempt.
  bool found_free_slot_ = false;
  duration round_trip_{};  // To the upstream of the last answer.
  bool attempt_open_ = false;
  bool sent_as_suspect_ = false;
  bool asked_for_pause_ = false;  // By the present attempt's answer.
  bool sent_ = false;  // A byte may have reached the present upstream.
  std::vector<upstream_id> tried_;
  std::vector<upstream_id> reached_;  // Those that a byte may have reached.
  int path_failures_ = 0;
  int connect_failures_ = 0;
  verdict verdict_ = verdict::kNotRun;
  const char* last_reason_ = "";

  std::optional<http1_head> answer_;
  answer_kind kind_ = answer_kind::kWhole;
  std::string answer_body_;
  bool streaming_answer_ = false;
  loop_timer unused_timer_;
  bool done_ = false;
};

}  // namespace citron

#endif  // CITRON_NODE_PROXIED_REQUEST_H_
