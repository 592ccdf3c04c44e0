#include "dispatch/dispatch_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace citron {

namespace {

// What a 503 of an upstream says of the request.
std::optional<upstream_outcome> NotRunOutcome(const http_response_head& head) {
  constexpr int kServiceUnavailable = 503;
  if (head.status != kServiceUnavailable) return std::nullopt;
  const auto said = FindHeader(head.headers, "Upstream-Status");
  if (said == "shed" || said == "expired") return upstream_outcome::kShedNotRun;
  if (said == "leaving") return upstream_outcome::kLeavingNotRun;
  return std::nullopt;
}

upstream_outcome OutcomeOf(const call_failure& failure) {
  if (failure.problem == call_problem::kTimedOut) {
    return upstream_outcome::kTimedOut;
  }
  if (failure.problem == call_problem::kNotAllowed) {
    return upstream_outcome::kNotOwnedNotRun;
  }
  return failure.bytes_sent ? upstream_outcome::kConnectionLost
                            : upstream_outcome::kConnectFailedNotRun;
}

}  // namespace

dispatch_task::call::call(dispatch_task& task, http_exchange& exchange,
                          const forward_head& head, monotonic_time deadline)
    : task_(task),
      relay_(exchange, [this] { task_.OnEntryGone(head_.id); }),
      request_(exchange.ShareRequest()),
      head_(head),
      arrived_at_(MonotonicNow()),
      deadline_(deadline) {}

void dispatch_task::call::Send(const upstream_id& upstream,
                               const endpoint& address) {
  upstream_ = upstream;
  not_run_.reset();
  connection_ = task_.client_.Take(address);
  relay_.SetSource(connection_.get());
  // Asked again when the connection stands: while it was being opened this
  // process may have been frozen, and its lease may have ended.
  connection_->StartPassed(
      {*request_, request_->target, MayForwardHeader, UpstreamHeaders()},
      deadline_, *this, [this, upstream] {
        return task_.owner_->MaySend(upstream, MonotonicNow());
      });
}

// What the dispatch itself tells the upstream.
http_headers dispatch_task::call::UpstreamHeaders() const {
  const duration left = deadline_ - MonotonicNow();
  const std::string& id = head_.caller_request_id.empty()
                              ? head_.id.Str()
                              : head_.caller_request_id;
  http_headers headers;
  headers.reserve(3);
  headers.push_back({"Citron-Workspace", head_.workspace.Str()});
  headers.push_back({"Citron-Request-Id", id});
  headers.push_back(
      {"Citron-Deadline-Ms",
       fmt::format("{:.0f}", std::max(0.0, ToMilliseconds(left)))});
  return headers;
}

void dispatch_task::call::OnHead(const http_response_head& head) {
  status_ = head.status;
  not_run_ = NotRunOutcome(head);
  if (not_run_) return;
  http_headers added;
  added.reserve(2);
  added.push_back({"Citron-Verdict", std::string(VerdictName(verdict::kRan))});
  added.push_back({"Citron-Upstream", upstream_.Str()});
  relay_.StartPassed({head, MayReturnHeader, added});
}

void dispatch_task::call::OnBody(std::string_view bytes) { relay_.Body(bytes); }

void dispatch_task::call::OnDone() {
  constexpr int kFirstServerError = 500;
  ReleaseConnection();
  if (not_run_) return task_.Finish(head_.id, *not_run_);
  relay_.Finish();
  task_.Finish(head_.id, status_ >= kFirstServerError
                             ? upstream_outcome::kServerError
                             : upstream_outcome::kAnswered);
}

void dispatch_task::call::OnFailed(const call_failure& failure) {
  ReleaseConnection();
  const upstream_outcome outcome = OutcomeOf(failure);
  if (!IsNotRun(outcome)) may_have_run_ = true;
  task_.Finish(head_.id, outcome);
}

void dispatch_task::call::CancelUpstream() {
  if (connection_) connection_->Cancel();
  ReleaseConnection();
}

void dispatch_task::call::ReleaseConnection() {
  relay_.SetSource(nullptr);
  if (connection_) task_.client_.Give(std::move(connection_));
}

void dispatch_task::call::ReplyRefused(std::string_view code, int status,
                                       monotonic_time retry_at) {
  if (may_have_run_) return ReplyFailed(code, status);
  ReplyError(code, status, verdict::kNotRun, retry_at);
}

void dispatch_task::call::ReplyFailed(std::string_view code, int status) {
  ReplyError(code, status, verdict::kMayHaveRun, std::nullopt);
}

void dispatch_task::call::ReplyError(std::string_view code, int status,
                                     verdict ran,
                                     std::optional<monotonic_time> retry_at) {
  if (!relay_.IsOpen()) return;
  if (relay_.IsStarted()) return relay_.Break();
  http_response response;
  response.head.status = status;
  response.head.headers = {{"Content-Type", "application/json"},
                           {"Citron-Verdict", std::string(VerdictName(ran))},
                           {"Citron-Refusal", std::string(code)}};
  if (retry_at) {
    const double ms = ToMilliseconds(*retry_at - MonotonicNow());
    response.head.headers.push_back(
        {"Citron-Retry-Ms", fmt::format("{:.0f}", std::max(0.0, ms))});
  }
  response.body = nlohmann::json({{"code", code}}).dump();
  relay_.Reply(response);
}

}  // namespace citron
