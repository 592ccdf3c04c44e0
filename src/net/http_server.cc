#include "citron/net/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

#include "net/copy_headers.h"
#include "net/lingering_close.h"

namespace citron {

namespace {

constexpr duration kSweepInterval = std::chrono::milliseconds(100);
// Handshakes that have begun are over within this time, unless a packet is
// lost.
constexpr duration kHandshakeTime = std::chrono::milliseconds(100);
constexpr int kListenBacklog = 1024;
constexpr std::size_t kNoReadMark = SIZE_MAX;
// Input taken in while a request runs; more waits in the kernel.
constexpr std::size_t kMaxEarlyInput = std::size_t{64} << 10;

std::string MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "UNKNOWN";
  }
}

http_request CopyRequest(evhttp_request* request) {
  http_request copied;
  copied.method = MethodName(evhttp_request_get_command(request));
  copied.target = evhttp_request_get_uri(request);
  copied.headers = CopyHeaders(evhttp_request_get_input_headers(request));
  evbuffer* input = evhttp_request_get_input_buffer(request);
  copied.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, copied.body.data(), copied.body.size());
  return copied;
}

result<int> BindSocket(const endpoint& listen_at, bool reuse_port) {
  const auto failed = [&](const char* what, int fd) {
    error problem = MakeError(
        error_code::kUnavailable,
        fmt::format("{} {}: {}", what, listen_at.Str(), std::strerror(errno)));
    if (fd >= 0) close(fd);
    return problem;
  };
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return failed("socket", fd);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  // Inherited by accepted sockets; small answers must not wait for an ack.
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (reuse_port) setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listen_at.port);
  if (inet_pton(AF_INET, listen_at.address.c_str(), &address.sin_addr) != 1) {
    errno = EINVAL;
    return failed("bind", fd);
  }
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    return failed("bind", fd);
  }
  if (listen(fd, kListenBacklog) != 0) return failed("listen", fd);
  return fd;
}

// Drops requests for a connection, so that their senders ask again after the
// socket is closed and find that nobody listens. Handshakes that have begun are
// let through: their callers take themselves for connected, and would be reset
// with their requests sent.
void DropNewConnections(int listening) {
  constexpr std::uint32_t kFlagsOffset = 13;  // In the TCP header.
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kAck = 0x10;
  sock_filter drop_syn[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
  };
  const sock_fprog program{std::size(drop_syn), drop_syn};
  setsockopt(listening, SOL_SOCKET, SO_ATTACH_FILTER, &program,
             sizeof(program));
}

std::uint16_t BoundPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// As it stands on the wire. The head names the length, so that a closing
// response that is cut is none.
std::string ClosingResponseText(const http_response& response) {
  std::string text =
      fmt::format("HTTP/1.1 {} Closing\r\n", response.head.status);
  for (const http_header& header : response.head.headers) {
    fmt::format_to(std::back_inserter(text), "{}: {}\r\n", header.name,
                   header.value);
  }
  fmt::format_to(std::back_inserter(text),
                 "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                 response.body.size(), response.body);
  return text;
}

}  // namespace

class http_server::exchange final : public http_exchange {
 public:
  exchange(http_server& server, evhttp_request* request)
      : server_(server),
        alive_(server.alive_),
        evhttp_request_(request),
        connection_(evhttp_request_get_connection(request)),
        request_(std::make_shared<const http_request>(CopyRequest(request))) {
    ++server_.open_exchanges_;
    server_.StopWaiting(Bufferevent());
    WatchForHangUp();
    evhttp_connection_set_closecb(
        connection_,
        [](evhttp_connection*, void* self) {
          static_cast<exchange*>(self)->OnConnectionClosed();
        },
        this);
  }

  const http_request& Request() const override { return *request_; }

  std::shared_ptr<const http_request> ShareRequest() const override {
    return request_;
  }

  std::string PeerAddress() const override {
    char* address = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(connection_, &address, &port);
    return address == nullptr ? "" : address;
  }

  void Reply(const http_response& response) override {
    SetHeaders(response.head);
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    PrepareEnd();
    evhttp_send_reply(evhttp_request_, response.head.status, nullptr, body);
    evbuffer_free(body);
    Delete();
  }

  void StartReply(const http_response_head& head) override {
    SetHeaders(head);
    evhttp_send_reply_start(evhttp_request_, head.status, nullptr);
  }

  void StartPassedReply(const passed_head& head) override {
    SetPassedHeaders(head);
    evhttp_send_reply_start(evhttp_request_, head.from.status, nullptr);
  }

  void SendBody(std::string_view bytes) override {
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk_with_cb(
        evhttp_request_, chunk,
        [](evhttp_connection*, void* self) {
          auto* that = static_cast<exchange*>(self);
          if (that->on_drained_) that->on_drained_();
        },
        this);
    evbuffer_free(chunk);
  }

  void FinishBody() override {
    PrepareEnd();
    // The callback of the last chunk must not fire for a deleted exchange.
    evbuffer* nothing = evbuffer_new();
    evhttp_send_reply_chunk_with_cb(evhttp_request_, nothing, nullptr, nullptr);
    evbuffer_free(nothing);
    evhttp_send_reply_end(evhttp_request_);
    Delete();
  }

  void Abort() override {
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    // A write that is due before the connection is freed must not call
    // OnDrained of this deleted exchange.
    bufferevent_setcb(Bufferevent(), nullptr, nullptr, nullptr, nullptr);
    // Freed later: the present call may come from inside the connection's own
    // callback.
    server_.loop_.Defer([connection = connection_, alive = alive_] {
      if (*alive) evhttp_connection_free(connection);
    });
    Delete();
  }

  std::size_t PendingBytes() const override {
    return evbuffer_get_length(bufferevent_get_output(Bufferevent()));
  }

  void OnDrained(std::function<void()> callback) override {
    on_drained_ = std::move(callback);
  }

  void OnGone(std::function<void()> callback) override {
    on_gone_ = std::move(callback);
  }

 private:
  bufferevent* Bufferevent() const {
    return evhttp_connection_get_bufferevent(connection_);
  }

  // The library stops reading while a request runs, so that a hang-up would be
  // noticed only at the answer, after the work was done for nobody. Reading
  // goes on here with a mark that no input reaches: the end of the stream is
  // seen, but a caller that sends its next request early does not get the
  // library's reader called in a state in which it ends the process.
  void WatchForHangUp() {
    bufferevent* stream = Bufferevent();
    bufferevent_setwatermark(stream, EV_READ, kNoReadMark, kMaxEarlyInput);
    const auto stall = std::chrono::ceil<std::chrono::seconds>(
        server_.limits_.write_stall_limit);
    const timeval write_stall{stall.count(), 0};
    bufferevent_set_timeouts(stream, nullptr, &write_stall);
    bufferevent_enable(stream, EV_READ);
  }

  void SetHeaders(const http_response_head& head) {
    static const http_headers kNone;
    SetPassedHeaders({head, EveryHeaderPasses, kNone});
  }

  void SetPassedHeaders(const passed_head& head) {
    evkeyvalq* headers = evhttp_request_get_output_headers(evhttp_request_);
    AddHeaders(head.from.headers, head.passes, head.added, headers);
    if (server_.stopping_) {
      evhttp_remove_header(headers, "Connection");
      evhttp_add_header(headers, "Connection", "close");
    }
  }

  // After the answer the connection waits for its next request again.
  void PrepareEnd() {
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    // The library reads again by itself once the answer has left.
    bufferevent_disable(Bufferevent(), EV_READ);
    bufferevent_setwatermark(Bufferevent(), EV_READ, 0, 0);
    server_.WatchConnection(connection_);
  }

  void OnConnectionClosed() {
    // A request whose connection failed is detached from it and ours to free.
    if (evhttp_request_get_connection(evhttp_request_) == nullptr) {
      evhttp_request_free(evhttp_request_);
    }
    if (on_gone_) std::exchange(on_gone_, nullptr)();
    Delete();
  }

  void Delete() {
    if (*alive_) --server_.open_exchanges_;
    delete this;
  }

  http_server& server_;
  std::shared_ptr<bool> alive_;
  evhttp_request* evhttp_request_;
  evhttp_connection* connection_;
  std::shared_ptr<const http_request> request_;
  std::function<void()> on_drained_;
  std::function<void()> on_gone_;
};

result<std::unique_ptr<http_server>> http_server::Make(
    event_loop& loop, const endpoint& listen, const http_server_limits& limits,
    http_handler handler, bool reuse_port) {
  const result<int> fd = BindSocket(listen, reuse_port);
  if (!IsOk(fd)) return ErrorOf(fd);
  std::unique_ptr<http_server> server(
      new http_server(loop, limits, std::move(handler)));
  server->address_ = {listen.address, BoundPort(ValueOf(fd))};
  server->socket_ =
      evhttp_accept_socket_with_handle(server->http_, ValueOf(fd));
  return server;
}

http_server::http_server(event_loop& loop, const http_server_limits& limits,
                         http_handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      ending_(std::make_unique<lingering_close>(loop)),
      sweep_(loop, [this] { CloseSlowConnections(); }),
      close_socket_(loop, [this] { CloseSocket(); }) {
  http_ = evhttp_new(loop_.Base());
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                        EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                        EVHTTP_REQ_OPTIONS);
  evhttp_set_max_headers_size(
      http_, static_cast<ev_ssize_t>(limits_.max_header_bytes));
  evhttp_set_max_body_size(http_,
                           static_cast<ev_ssize_t>(limits_.max_body_bytes));
  evhttp_set_default_content_type(http_, nullptr);
  const auto stall =
      std::chrono::ceil<std::chrono::seconds>(limits_.write_stall_limit);
  evhttp_set_timeout(http_, static_cast<int>(stall.count()));
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* self) {
        static_cast<http_server*>(self)->OnRequest(request);
      },
      this);
  evhttp_set_bevcb(
      http_,
      [](event_base*, void* self) {
        return static_cast<http_server*>(self)->OnConnection();
      },
      this);
  sweep_.Arm(MonotonicNow() + kSweepInterval);
}

http_server::~http_server() {
  *alive_ = false;
  ending_.reset();
  evhttp_free(http_);
  for (const auto& [connection, deadline] : waiting_) {
    bufferevent_decref(connection);
  }
}

void http_server::StopAccepting(const http_response& closing_response) {
  stopping_ = true;
  if (socket_ == nullptr) return;
  closing_text_ = ClosingResponseText(closing_response);
  DropNewConnections(evhttp_bound_socket_get_fd(socket_));
  evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
  EndAcceptQueue();
  close_socket_.Arm(MonotonicNow() + kHandshakeTime);
}

// What the kernel has accepted already would be reset with the socket, its
// requests unanswered.
void http_server::EndAcceptQueue() {
  for (;;) {
    const int fd = accept4(evhttp_bound_socket_get_fd(socket_), nullptr,
                           nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    ending_->TakeSocket(fd, closing_text_);
  }
}

void http_server::CloseSocket() {
  EndAcceptQueue();
  evhttp_del_accept_socket(http_, std::exchange(socket_, nullptr));
}

// One whose request has begun to come in is left to end by its answer.
void http_server::EndIdle(const http_response& closing_response) {
  const std::string text = ClosingResponseText(closing_response);
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    bufferevent* stream = it->first;
    if (evbuffer_get_length(bufferevent_get_input(stream)) != 0) {
      ++it;
      continue;
    }
    ending_->Take(stream, text);
    it = waiting_.erase(it);
    bufferevent_decref(stream);
  }
}

bool http_server::HasEnded() const {
  const bool accepts = stopping_ && socket_ != nullptr;
  return !accepts && waiting_.empty() && ending_->IsEmpty();
}

void http_server::OnRequest(evhttp_request* request) {
  // Deletes itself when its answer is complete or its caller is gone.
  auto* started = new exchange(*this, request);
  handler_(*started);
}

bufferevent* http_server::OnConnection() {
  bufferevent* connection =
      bufferevent_socket_new(loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_incref(connection);
  waiting_[connection] = MonotonicNow() + limits_.request_deadline_after;
  return connection;
}

void http_server::WatchConnection(evhttp_connection* connection) {
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  if (!waiting_.contains(stream)) bufferevent_incref(stream);
  waiting_[stream] = MonotonicNow() + limits_.request_deadline_after;
}

void http_server::StopWaiting(bufferevent* connection) {
  if (waiting_.erase(connection) != 0) bufferevent_decref(connection);
}

// A caller that sends its request a byte at a time never trips a limit on
// silence, and many such callers would hold every connection. The deadline is
// for the whole request, so they are closed all the same.
void http_server::CloseSlowConnections() {
  const monotonic_time now = MonotonicNow();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    bufferevent* connection = it->first;
    bufferevent_data_cb read_callback = nullptr;
    bufferevent_getcb(connection, &read_callback, nullptr, nullptr, nullptr);
    const bool freed = read_callback == nullptr;
    const bool late = now >= it->second;
    if (!freed && !late) {
      ++it;
      continue;
    }
    it = waiting_.erase(it);
    if (!freed) {
      bufferevent_trigger_event(connection,
                                BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
    }
    bufferevent_decref(connection);
  }
  if (socket_ != nullptr && !stopping_) {
    evconnlistener* listener = evhttp_bound_socket_get_listener(socket_);
    const bool full = OpenConnections() >= limits_.max_connections;
    full ? evconnlistener_disable(listener) : evconnlistener_enable(listener);
  }
  sweep_.Arm(now + kSweepInterval);
}

}  // namespace citron
