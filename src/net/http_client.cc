#include "citron/net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "net/copy_headers.h"

namespace citron {

namespace {

// Idle connections kept for all servers together.
constexpr std::size_t kMaxIdleConnections = 512;
// An idle connection older than this is closed rather than used: the far side
// may be about to close it, and a request that crosses the close is lost.
constexpr duration kMaxIdleAge = std::chrono::seconds(8);
// libevent's own timeout must never come before a call's deadline.
constexpr int kLibraryTimeoutSeconds = 24 * 3600;
constexpr std::size_t kMaxAnswerHeaderBytes = std::size_t{64} << 10;
// The only interim answer that the library passes over.
constexpr int kContinue = 100;
constexpr int kFirstFinalStatus = 200;

evhttp_cmd_type Command(const std::string& method) {
  if (method == "POST") return EVHTTP_REQ_POST;
  if (method == "PUT") return EVHTTP_REQ_PUT;
  if (method == "DELETE") return EVHTTP_REQ_DELETE;
  if (method == "HEAD") return EVHTTP_REQ_HEAD;
  if (method == "PATCH") return EVHTTP_REQ_PATCH;
  if (method == "OPTIONS") return EVHTTP_REQ_OPTIONS;
  return EVHTTP_REQ_GET;
}

http_response_head CopyHead(evhttp_request* request) {
  http_response_head head;
  head.status = evhttp_request_get_response_code(request);
  head.headers = CopyHeaders(evhttp_request_get_input_headers(request));
  return head;
}

// Whether the end of the body can be told from a lost connection.
bool IsDelimited(const http_response_head& head) {
  if (head.status < kFirstFinalStatus) return false;
  return head.status == 204 || head.status == 304 ||
         FindHeader(head.headers, "Content-Length").has_value() ||
         FindHeader(head.headers, "Transfer-Encoding").has_value();
}

}  // namespace

std::string_view CallProblemName(call_problem problem) {
  switch (problem) {
    case call_problem::kConnectFailed:
      return "connect failed";
    case call_problem::kConnectionLost:
      return "connection lost";
    case call_problem::kIncomplete:
      return "incomplete answer";
    case call_problem::kTimedOut:
      return "timed out";
    case call_problem::kCancelled:
      return "cancelled";
    case call_problem::kNotAllowed:
      return "not allowed any more";
    case call_problem::kTooLarge:
      return "answer too large";
  }
  return "unknown";
}

struct http_connection::callbacks {
  static int Head(evhttp_request* request, void* self) {
    auto* that = static_cast<http_connection*>(self);
    that->in_head_callback_ = true;
    that->OnHeadReceived(request);
    that->in_head_callback_ = false;
    const bool cancelled = that->handler_ == nullptr;
    return cancelled ? -1 : 0;
  }
  static void Body(evhttp_request* request, void* self) {
    static_cast<http_connection*>(self)->OnBodyReceived(request);
  }
  static void Complete(evhttp_request* request, void* self) {
    static_cast<http_connection*>(self)->OnComplete(request);
  }
  static void Input(evbuffer* input, const evbuffer_cb_info* info, void* self) {
    auto* that = static_cast<http_connection*>(self);
    if (info->n_added == 0 || that->handler_ == nullptr) return;
    if (!that->check_.Take(input, info->orig_size)) that->OnBadAnswer(input);
  }
  static void Output(evbuffer* output, const evbuffer_cb_info* info,
                     void* self) {
    auto* that = static_cast<http_connection*>(self);
    if (info->n_added > 0 && !that->MaySendNow()) {
      evbuffer_drain(output, evbuffer_get_length(output));
      return;
    }
    if (!that->stopped_ && !that->IsGivenUp()) {
      that->bytes_out_ += info->n_deleted;
    }
  }
};

http_connection::http_connection(event_loop& loop, const endpoint& server,
                                 const endpoint& dial)
    : loop_(loop),
      server_(server),
      host_(server.Str()),
      check_(kMaxAnswerHeaderBytes),
      deadline_timer_(loop, [this] { Fail(timer_problem_); }) {
  const endpoint& to = dial.IsEmpty() ? server_ : dial;
  connection_ = evhttp_connection_base_new(loop_.Base(), nullptr,
                                           to.address.c_str(), to.port);
  evhttp_connection_set_timeout(connection_, kLibraryTimeoutSeconds);
  evhttp_connection_set_retries(connection_, 0);
  evhttp_connection_set_max_headers_size(
      connection_, static_cast<ev_ssize_t>(kMaxAnswerHeaderBytes));
  bufferevent* bytes = evhttp_connection_get_bufferevent(connection_);
  evbuffer_add_cb(bufferevent_get_input(bytes), callbacks::Input, this);
  evbuffer_add_cb(bufferevent_get_output(bytes), callbacks::Output, this);
}

http_connection::~http_connection() {
  Cancel();
  evhttp_connection_free(connection_);
}

void http_connection::Start(const http_request& request,
                            monotonic_time deadline, http_call_handler& handler,
                            send_check may_send) {
  static const http_headers kNone;
  StartPassed({request, request.target, EveryHeaderPasses, kNone}, deadline,
              handler, std::move(may_send));
}

void http_connection::StartPassed(const passed_request& request,
                                  monotonic_time deadline,
                                  http_call_handler& handler,
                                  send_check may_send) {
  assert(IsReusable());
  ResumeReading();
  handler_ = &handler;
  may_send_ = std::move(may_send);
  stopped_ = false;
  timer_problem_ = call_problem::kTimedOut;
  head_seen_ = false;
  check_.Begin(request.from.method != "HEAD");
  bytes_out_at_start_ = bytes_out_;
  request_ = evhttp_request_new(callbacks::Complete, this);
  evhttp_request_set_header_cb(request_, callbacks::Head);
  evhttp_request_set_chunked_cb(request_, callbacks::Body);
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "Host", host_.c_str());
  AddHeaders(request.from.headers, request.passes, request.added, headers);
  const std::string& body = request.from.body;
  evbuffer_add(evhttp_request_get_output_buffer(request_), body.data(),
               body.size());
  deadline_timer_.Arm(deadline);
  if (evhttp_make_request(connection_, request_, Command(request.from.method),
                          request.target.c_str()) != 0) {
    // The library has freed the request.
    request_ = nullptr;
    timer_problem_ = call_problem::kConnectFailed;
    deadline_timer_.Arm(MonotonicNow());
  }
}

// The library takes its callbacks away before it gives a connection up and
// discards what was not sent.
bool http_connection::IsGivenUp() const {
  bufferevent_event_cb on_event = nullptr;
  bufferevent_getcb(evhttp_connection_get_bufferevent(connection_), nullptr,
                    nullptr, &on_event, nullptr);
  return on_event == nullptr;
}

// The library puts the request into the output when the connection stands, and
// may write it to the socket right after. Taken out again at once, not a byte
// of it leaves.
bool http_connection::MaySendNow() {
  if (stopped_) return false;
  if (!may_send_ || std::exchange(may_send_, {})()) return true;
  stopped_ = true;
  timer_problem_ = call_problem::kNotAllowed;
  deadline_timer_.Fire();
  return false;
}

// Taken out at once, not a byte of it reaches the library.
void http_connection::OnBadAnswer(evbuffer* input) {
  evbuffer_drain(input, evbuffer_get_length(input));
  timer_problem_ = call_problem::kConnectionLost;
  deadline_timer_.Fire();
}

void http_connection::Cancel() {
  deadline_timer_.Disarm();
  if (handler_ == nullptr) return;
  handler_ = nullptr;
  broken_ = true;
  evhttp_request* cancelled = std::exchange(request_, nullptr);
  // Inside the head's callback the library still uses the request; there the
  // callback's answer makes the library cancel it.
  if (cancelled != nullptr && !in_head_callback_) {
    evhttp_cancel_request(cancelled);
  }
}

void http_connection::PauseReading() {
  if (paused_) return;
  paused_ = true;
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_), EV_READ);
}

void http_connection::ResumeReading() {
  if (!paused_) return;
  paused_ = false;
  bufferevent_enable(evhttp_connection_get_bufferevent(connection_), EV_READ);
}

void http_connection::OnHeadReceived(evhttp_request* request) {
  if (handler_ == nullptr) return;
  const http_response_head head = CopyHead(request);
  if (head.status == kContinue) return;
  // Such a body ends with the connection, and a cut one looks whole.
  if (!IsDelimited(head)) return Fail(call_problem::kIncomplete);
  head_seen_ = true;
  handler_->OnHead(head);
}

void http_connection::OnBodyReceived(evhttp_request* request) {
  if (handler_ == nullptr) return;
  evbuffer* input = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(input);
  if (size == 0) return;
  const unsigned char* bytes = evbuffer_pullup(input, -1);
  handler_->OnBody({reinterpret_cast<const char*>(bytes), size});
}

void http_connection::OnComplete(evhttp_request* request) {
  request_ = nullptr;
  if (handler_ == nullptr) return;
  const bool answered =
      request != nullptr && evhttp_request_get_response_code(request) != 0;
  if (!answered) {
    const bool sent = bytes_out_ > bytes_out_at_start_;
    if (head_seen_) {
      Fail(call_problem::kIncomplete);
    } else {
      Fail(sent ? call_problem::kConnectionLost : call_problem::kConnectFailed);
    }
    return;
  }
  deadline_timer_.Disarm();
  idle_since_ = MonotonicNow();
  std::exchange(handler_, nullptr)->OnDone();
}

void http_connection::Fail(call_problem problem) {
  const call_failure failure{problem, bytes_out_ > bytes_out_at_start_};
  http_call_handler* handler = handler_;
  Cancel();
  broken_ = true;
  if (handler != nullptr) handler->OnFailed(failure);
}

// Gathers the whole answer of one call, then leaves the client's list.
class http_client::whole_call final : public http_call_handler {
 public:
  whole_call(http_client& client, std::unique_ptr<http_connection> connection,
             on_response done)
      : client_(client),
        connection_(std::move(connection)),
        done_(std::move(done)) {}

  void Start(const http_request& request, monotonic_time deadline) {
    connection_->Start(request, deadline, *this);
  }

  void OnHead(const http_response_head& head) override {
    response_.head = head;
  }
  // A server that answers without end would fill the daemon's memory and end
  // it; the call ends instead, and its connection with it.
  void OnBody(std::string_view bytes) override {
    if (bytes.size() > client_.max_answer_bytes_ - response_.body.size()) {
      connection_->Cancel();
      return Finish(nullptr, {call_problem::kTooLarge, true});
    }
    response_.body.append(bytes);
  }
  void OnDone() override { Finish(&response_, {}); }
  void OnFailed(const call_failure& failure) override {
    Finish(nullptr, failure);
  }

 private:
  void Finish(const http_response* response, const call_failure& failure) {
    // Kept until the callback has returned; then it takes the connection back.
    client_.loop_.Defer([client = &client_, alive = client_.alive_, this] {
      if (*alive) client->Retire(this);
    });
    // The callback may destroy the client, and this call with it.
    const on_response done = std::move(done_);
    done(response, failure);
  }

  friend class http_client;
  http_client& client_;
  std::unique_ptr<http_connection> connection_;
  on_response done_;
  http_response response_;
};

http_client::http_client(event_loop& loop, dial_map dial_overrides,
                         std::size_t max_answer_bytes)
    : loop_(loop),
      dial_overrides_(std::move(dial_overrides)),
      max_answer_bytes_(max_answer_bytes) {}

http_client::~http_client() {
  *alive_ = false;
  for (const auto& call : calls_) {
    call->connection_->Cancel();
    CloseLater(std::move(call->connection_));
  }
}

// The present call may come from inside the connection's own callback, where
// the library goes on to use it.
void http_client::CloseLater(std::unique_ptr<http_connection> connection) {
  loop_.Defer([held = std::make_shared<std::unique_ptr<http_connection>>(
                   std::move(connection))] { held->reset(); });
}

std::unique_ptr<http_connection> http_client::Take(const endpoint& server) {
  const monotonic_time now = MonotonicNow();
  // The youngest first: old ones then age out.
  for (std::size_t i = idle_.size(); i-- > 0;) {
    if (idle_[i]->Server() != server) continue;
    std::unique_ptr<http_connection> taken = std::move(idle_[i]);
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    const bool is_fresh = now - taken->IdleSince() <= kMaxIdleAge;
    // The library would connect again, but one that it closed because of bytes
    // without a request ends the process by an assertion if that fails.
    if (is_fresh && !taken->IsGivenUp()) return taken;
  }
  const auto other_way = dial_overrides_.find(server.Str());
  const std::optional<endpoint> dial = other_way == dial_overrides_.end()
                                           ? std::nullopt
                                           : ParseEndpoint(other_way->second);
  return std::make_unique<http_connection>(loop_, server,
                                           dial.value_or(endpoint{}));
}

void http_client::Give(std::unique_ptr<http_connection> connection) {
  if (!connection->IsReusable()) return CloseLater(std::move(connection));
  if (idle_.size() >= kMaxIdleConnections) idle_.erase(idle_.begin());
  idle_.push_back(std::move(connection));
}

void http_client::Call(const endpoint& server, const http_request& request,
                       monotonic_time deadline, on_response done) {
  calls_.push_back(
      std::make_unique<whole_call>(*this, Take(server), std::move(done)));
  calls_.back()->Start(request, deadline);
}

void http_client::CloseIdle() { idle_.clear(); }

void http_client::Retire(whole_call* call) {
  const auto found = std::find_if(
      calls_.begin(), calls_.end(),
      [call](const auto& candidate) { return candidate.get() == call; });
  if (found == calls_.end()) return;
  Give(std::move((*found)->connection_));
  calls_.erase(found);
}

}  // namespace citron
