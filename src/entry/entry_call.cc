#include "entry/entry_call.h"

#include <cstdlib>
#include <utility>

namespace citron {

entry_task::call::call(entry_task& task, http_exchange& exchange)
    : arrived_at(MonotonicNow()),
      task_(task),
      request_(exchange.ShareRequest()),
      relay_(exchange, [this] {
        CancelForward();
        // An id whose caller has gone may have run; whoever asks again with
        // it is told so.
        task_.End(*this, sends == 0 ? verdict::kNotRun : verdict::kMayHaveRun,
                  0);
      }) {}

void entry_task::call::Send(const endpoint& to, const request_id& forward_id) {
  forward_head head;
  head.id = forward_id;
  head.workspace = workspace;
  head.service = service;
  head.key_digest = key_digest;
  head.time_left = deadline - MonotonicNow();
  head.weight = weight;
  head.idempotent = idempotent;
  head.caller_request_id = caller_id.Str();
  http_headers added;
  added.reserve(2);
  AddForwardHeaders(head, {request_->method, target, request_->body},
                    task_.secret_, added);
  ++sends;
  not_run_ = false;
  status_ = 0;
  refusal_.clear();
  connection_ = task_.client_.Take(to);
  relay_.SetSource(connection_.get());
  connection_->StartPassed({*request_, target, MayForwardHeader, added},
                           deadline, *this);
}

void entry_task::call::OnHead(const http_response_head& head) {
  status_ = head.status;
  const auto said = FindHeader(head.headers, "Citron-Verdict");
  verdict_ = ParseVerdict(said.value_or("")).value_or(verdict::kMayHaveRun);
  const auto refusal = FindHeader(head.headers, "Citron-Refusal");
  if (refusal) {
    // An error of the dispatch's own: answered in the entry's words.
    refusal_ = std::string(*refusal);
    not_run_ = verdict_ == verdict::kNotRun;
    const auto wait = FindHeader(head.headers, "Citron-Retry-Ms");
    if (wait) {
      retry_after_ = FromMilliseconds(std::atof(std::string(*wait).c_str()));
    }
    return;
  }
  http_headers added;
  added.reserve(2);
  added.push_back({"Citron-Verdict", std::string(VerdictName(verdict_))});
  added.push_back({"Citron-Request-Id", id.Str()});
  relay_.StartPassed({head, MayReturnHeader, added});
}

void entry_task::call::OnBody(std::string_view bytes) { relay_.Body(bytes); }

void entry_task::call::OnDone() {
  ReleaseConnection();
  if (not_run_) {
    return task_.TryElsewhere(*this, refusal_, verdict::kNotRun, retry_after_);
  }
  if (!refusal_.empty()) {
    ReplyError({status_, refusal_, "the upstream gave no whole answer",
                verdict_, std::nullopt});
    return task_.End(*this, verdict_, status_);
  }
  relay_.Finish();
  task_.End(*this, verdict_, status_);
}

void entry_task::call::OnFailed(const call_failure& failure) {
  ReleaseConnection();
  if (relay_.IsStarted()) {
    relay_.Break();
    return task_.End(*this, verdict::kMayHaveRun, status_);
  }
  // An id that another process issued may have been run by that process on an
  // earlier asking, and only that process could tell.
  may_have_run = may_have_run || failure.bytes_sent || !issuer.IsEmpty();
  if (!failure.bytes_sent) {
    return task_.TryElsewhere(*this, "dispatch_unreachable", verdict::kNotRun,
                              duration::zero());
  }
  const bool timed_out = failure.problem == call_problem::kTimedOut;
  if (idempotent && !timed_out) {
    return task_.TryElsewhere(*this, "dispatch_lost", verdict::kMayHaveRun,
                              duration::zero());
  }
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  status_ = timed_out ? kGatewayTimeout : kBadGateway;
  ReplyError({status_, timed_out ? "deadline" : "dispatch_lost",
              timed_out ? "no answer came before the deadline"
                        : "the connection was lost before an answer came",
              verdict::kMayHaveRun, std::nullopt});
  task_.End(*this, verdict::kMayHaveRun, status_);
}

void entry_task::call::ReplyError(const caller_error& problem) {
  if (relay_.IsStarted()) return relay_.Break();
  caller_error said = problem;
  said.ran = HonestVerdict(problem.ran);
  relay_.Reply(ErrorResponse(said, id.Str(), MonotonicNow()));
}

// One try may have been lost after its bytes were out; whatever became of the
// next one, the request as a whole can't be called "not run" any more. And an
// attempt with an id may follow one that ran, through another entry or through
// this one before its answer was lost: who refuses it without having asked the
// id's issuer doesn't know. In both cases "not run" would make the caller give
// up a booking that stands. An id that the fleet never issued was never run.
verdict entry_task::call::HonestVerdict(verdict last) const {
  if (last != verdict::kNotRun) return last;
  const bool knows = caller_id.IsEmpty() || issuer_is_here || id_is_forged;
  return knows && !may_have_run ? verdict::kNotRun : verdict::kMayHaveRun;
}

void entry_task::call::CancelForward() {
  if (connection_) connection_->Cancel();
  ReleaseConnection();
}

void entry_task::call::ReleaseConnection() {
  relay_.SetSource(nullptr);
  if (connection_) task_.client_.Give(std::move(connection_));
}

}  // namespace citron
