#ifndef CITRON_DISPATCH_DISPATCH_CALL_H_
#define CITRON_DISPATCH_DISPATCH_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "citron/base/verdict.h"
#include "citron/dispatch/dispatch_task.h"
#include "citron/link/answer_relay.h"

namespace citron {

// One request at a dispatch, from its arrival to its final answer. It is the
// go-between of the entry's exchange and the upstream's connection.
class dispatch_task::call final : public http_call_handler {
 public:
  call(dispatch_task& task, http_exchange& exchange, const forward_head& head,
       monotonic_time deadline);

  const forward_head& Head() const { return head_; }
  monotonic_time Deadline() const { return deadline_; }
  monotonic_time ArrivedAt() const { return arrived_at_; }
  const upstream_id& Upstream() const { return upstream_; }
  int Status() const { return status_; }

  // Sends the request to the upstream.
  void Send(const upstream_id& upstream, const endpoint& address);
  // Final answers of the dispatch itself.
  void ReplyRefused(std::string_view code, int status, monotonic_time retry_at);
  void ReplyFailed(std::string_view code, int status);
  // Gives the connection back, or closes it.
  void ReleaseConnection();
  // Whether part of an answer has gone to the entry.
  bool IsStreaming() const { return relay_.IsStarted(); }
  // What stops a request in flight whose entry is gone.
  void CancelUpstream();

  void OnHead(const http_response_head& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnFailed(const call_failure& failure) override;

 private:
  http_headers UpstreamHeaders() const;
  void ReplyError(std::string_view code, int status, verdict ran,
                  std::optional<monotonic_time> retry_at);

  dispatch_task& task_;
  answer_relay relay_;
  std::shared_ptr<const http_request> request_;
  forward_head head_;
  monotonic_time arrived_at_;
  monotonic_time deadline_;
  upstream_id upstream_;
  std::unique_ptr<http_connection> connection_;
  std::optional<upstream_outcome> not_run_;
  int status_ = 0;
  // An upstream got it and its answer was lost; a later refusal must not say
  // that nothing ran.
  bool may_have_run_ = false;
};

}  // namespace citron

#endif  // CITRON_DISPATCH_DISPATCH_CALL_H_
