#ifndef CITRON_NODE_UPSTREAM_CONNECTION_H_
#define CITRON_NODE_UPSTREAM_CONNECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/net/http1_reader.h"
#include "citron/net/http_types.h"
#include "citron/node/connection_path.h"
#include "citron/policy/answer_guard.h"

struct bufferevent;

namespace citron {

enum class upstream_fault {
  kConnectFailed,   // Refused; nothing was sent.
  kConnectTimeout,  // No connection in time; nothing was sent.
  kLost,            // Closed, reset or silent before the whole answer.
  kBadAnswer,       // Bytes that are no answer.
  kRelayFailed,     // The other VM opened no tunnel; nothing was sent.
  kWithdrawn,       // Connected, but the listener wanted it unsent by then.
  kPausedAtRelay,   // The upstream wants no requests from the other VM.
  // Bytes that go on beyond what an answer has.
  kEndlessHeads,
  kEndlessFraming,
  kEndlessUnused,
};

std::string_view UpstreamFaultName(upstream_fault fault);
bool IsEndless(upstream_fault fault);

enum class connect_result {
  kConnected,
  kRefused,
  kTimedOut,
  kRelayFailed,  // Says nothing of the upstream.
};

std::string_view ToString(connect_result result);

// What one call reports. OnAnswerEnd or OnCallFailed comes last, once; after
// either the listener may start another call or destroy the connection.
class upstream_call_listener {
 public:
  virtual ~upstream_call_listener() = default;
  // Asked once the connection is open. If false the call ends with kWithdrawn,
  // and the connection is idle.
  virtual bool WantsToSend() { return true; }
  // Connected, and the request is being sent.
  virtual void OnConnected() = 0;
  virtual void OnAnswerHead(http1_head head) = 0;
  // Whether the caller gets the body of that answer.
  virtual bool UsesAnswerBody() const { return true; }
  virtual void OnAnswerBody(std::string_view bytes) = 0;
  virtual void OnAnswerEnd() = 0;
  virtual void OnCallFailed(upstream_fault fault) = 0;
  // The request's bytes that were given are on their way.
  virtual void OnRequestDrained() = 0;
};

class upstream_connection;

// Keeps connections, or hands them out to requests. Neither call may destroy
// the connection.
class upstream_connection_owner {
 public:
  virtual ~upstream_connection_owner() = default;
  // Once, whether or not a request waits for the connection.
  virtual void OnConnectEnd(const upstream_connection& connection,
                            connect_result result) = 0;
  // A connection that no request uses is of no more use.
  virtual void OnIdleEnd(upstream_connection& connection) = 0;
};

// A connection to one upstream, for one request at a time.
class upstream_connection : private http1_listener {
 public:
  // `id_header` names the header in which an answer carries its request's id:
  // an answer with another id belongs to an earlier request and is passed over.
  upstream_connection(event_loop& loop, upstream_id upstream,
                      connection_path path, duration connect_limit,
                      std::string id_header, upstream_connection_owner& owner);
  ~upstream_connection() override;
  upstream_connection(const upstream_connection&) = delete;
  upstream_connection& operator=(const upstream_connection&) = delete;

  const upstream_id& Upstream() const { return upstream_; }
  const connection_path& Path() const { return path_; }
  bool IsRelayed() const { return !path_.relay.IsEmpty(); }

  // Sends the head, and the body as far as it is there. `request_id` may be
  // empty. The listener must outlive the call.
  void Start(std::string_view head_and_body, bool expects_body,
             const std::string& request_id, upstream_call_listener& listener);
  // More of the request's body, already in its transfer form.
  void SendMore(std::string_view bytes);
  // The listener is told nothing more; the connection is of no more use.
  void Cancel();
  void PauseReading();
  void ResumeReading();

  // Whether it can carry another request now: it is idle, and the upstream
  // won't close it within `margin`.
  bool IsReusable(duration margin, monotonic_time now) const;
  // Not connected yet; a request that is started now is sent once it is.
  bool IsConnecting() const { return state_ == state::kConnecting; }
  monotonic_time CreatedAt() const { return created_at_; }
  // Zero until it is connected.
  duration ConnectTime() const { return connect_time_; }
  std::size_t PendingBytes() const;
  // With kPausedAtRelay: for how long.
  duration RelayPause() const { return relay_pause_; }

 private:
  enum class state { kConnecting, kBusy, kIdle, kDead };
  struct callbacks;

  void OnHead(http1_head head) override;
  void OnBody(std::string_view bytes) override;
  void OnInterimHead(std::size_t bytes) override;
  void OnFraming(std::size_t bytes) override;

  void AskRelay();
  void OnRelayAnswer();
  void OnConnected();
  void OnReadable();
  void OnEnd(bool reset);
  // The upstream may read a long request slowly.
  void AllowPauses();
  void Finish();
  void Fail(upstream_fault fault);
  void EndIdle();

  event_loop& loop_;
  upstream_id upstream_;
  connection_path path_;
  std::string id_header_;
  upstream_connection_owner& owner_;
  bufferevent* bytes_ = nullptr;
  http1_reader reader_;
  answer_guard guard_;
  std::optional<upstream_fault> endless_;
  loop_timer connect_timer_;
  state state_ = state::kConnecting;
  upstream_call_listener* listener_ = nullptr;
  std::string unsent_;
  std::string request_id_;
  bool expects_body_ = true;
  int relay_status_ = 0;
  duration relay_pause_{};
  bool skipping_ = false;  // The answer of an earlier request.
  bool stays_open_ = true;
  bool paused_ = false;
  bool was_left_unread_ = false;
  bool allows_pauses_ = false;  // In the present request.
  monotonic_time paused_at_{};
  monotonic_time created_at_;
  duration connect_time_{};
  monotonic_time idle_since_{};
  duration keep_alive_limit_;
};

}  // namespace citron

#endif  // CITRON_NODE_UPSTREAM_CONNECTION_H_
