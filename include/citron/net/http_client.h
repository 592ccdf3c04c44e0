#ifndef CITRON_NET_HTTP_CLIENT_H_
#define CITRON_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/time.h"
#include "citron/net/answer_check.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_types.h"

struct bufferevent;
struct evbuffer;
struct evhttp_connection;
struct evhttp_request;

namespace citron {

enum class call_problem {
  kConnectFailed,
  kConnectionLost,  // Closed, or answered with bytes that are not HTTP.
  kIncomplete,      // The body ended before its length.
  kTimedOut,
  kCancelled,
  kNotAllowed,  // The sender's own check stopped it before its first byte.
  kTooLarge,    // A whole answer with more bytes than its asker takes.
};

std::string_view CallProblemName(call_problem problem);

struct call_failure {
  call_problem problem = call_problem::kConnectionLost;
  // Whether a byte of the request left this process. Only without one is a
  // call certain to have had no effect.
  bool bytes_sent = false;
};

// What a call reports. Exactly one of OnDone and OnFailed comes, last.
class http_call_handler {
 public:
  virtual ~http_call_handler() = default;
  virtual void OnHead(const http_response_head& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnDone() = 0;
  virtual void OnFailed(const call_failure& failure) = 0;
};

// A connection to one server, for one call at a time. A connection whose call
// failed or was cancelled is closed, never used again: a late answer to the
// old request must not be taken for the answer to a new one.
class http_connection {
 public:
  // `dial`: the address to connect to, where it isn't the server's own.
  http_connection(event_loop& loop, const endpoint& server,
                  const endpoint& dial = {});
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // Asked once the connection stands, right before the request's first byte.
  using send_check = std::function<bool()>;

  // The handler must outlive the call. `deadline` bounds the whole call.
  void Start(const http_request& request, monotonic_time deadline,
             http_call_handler& handler, send_check may_send = {});

  // The same for a request that is passed on.
  void StartPassed(const passed_request& request, monotonic_time deadline,
                   http_call_handler& handler, send_check may_send = {});

  // Ends the call; OnFailed is not called.
  void Cancel();

  // Stops and resumes reading of the answer, to push back on a fast server.
  void PauseReading();
  void ResumeReading();

  bool IsBusy() const { return handler_ != nullptr; }
  // Whether the connection may carry another call.
  bool IsReusable() const { return !IsBusy() && !broken_; }
  // Whether the library has closed the connection of an earlier call.
  bool IsGivenUp() const;
  const endpoint& Server() const { return server_; }
  // When the last call ended.
  monotonic_time IdleSince() const { return idle_since_; }

 private:
  struct callbacks;

  void OnHeadReceived(evhttp_request* request);
  void OnBodyReceived(evhttp_request* request);
  void OnComplete(evhttp_request* request);
  bool MaySendNow();
  void OnBadAnswer(evbuffer* input);
  void Fail(call_problem problem);

  event_loop& loop_;
  endpoint server_;
  std::string host_;  // The server as the header "Host" names it.
  evhttp_connection* connection_ = nullptr;
  evhttp_request* request_ = nullptr;
  http_call_handler* handler_ = nullptr;
  // The library accepts malformed answers, and chunk sizes without end.
  answer_check check_;
  send_check may_send_;
  bool stopped_ = false;  // By the check; nothing may leave.
  loop_timer deadline_timer_;
  std::uint64_t bytes_out_ = 0;
  std::uint64_t bytes_out_at_start_ = 0;
  bool head_seen_ = false;
  bool paused_ = false;
  bool broken_ = false;
  bool in_head_callback_ = false;
  // What the timer reports: the deadline, or a connect that failed at once.
  call_problem timer_problem_ = call_problem::kTimedOut;
  monotonic_time idle_since_{};
};

// Bytes of a whole answer's body, where nothing else is said.
inline constexpr std::size_t kDefaultMaxAnswerBytes = std::size_t{16} << 20;

// A pool of connections to any number of servers; calls that want the whole
// answer at once. It may be destroyed at any time, also in a call's callback;
// calls under way then end without one.
class http_client {
 public:
  using on_response =
      std::function<void(const http_response* response, call_failure failure)>;

  // Addresses that are reached by another address than their own.
  using dial_map = std::map<std::string, std::string>;

  explicit http_client(event_loop& loop, dial_map dial_overrides = {},
                       std::size_t max_answer_bytes = kDefaultMaxAnswerBytes);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Takes an idle connection to the server, or opens one.
  std::unique_ptr<http_connection> Take(const endpoint& server);
  // Gives a connection back; one that is not reusable is closed.
  void Give(std::unique_ptr<http_connection> connection);

  // One call with the whole answer; `response` is null on failure.
  void Call(const endpoint& server, const http_request& request,
            monotonic_time deadline, on_response done);

  void CloseIdle();
  int IdleConnections() const { return static_cast<int>(idle_.size()); }

 private:
  class whole_call;

  void Retire(whole_call* call);
  void CloseLater(std::unique_ptr<http_connection> connection);

  event_loop& loop_;
  dial_map dial_overrides_;
  std::size_t max_answer_bytes_;
  // False once the client is gone; for what was deferred before.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::vector<std::unique_ptr<http_connection>> idle_;
  std::vector<std::unique_ptr<whole_call>> calls_;
};

}  // namespace citron

#endif  // CITRON_NET_HTTP_CLIENT_H_
