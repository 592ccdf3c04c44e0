#include "citron/node/upstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <cassert>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

#include "citron/node/answer_signals.h"
#include "citron/node/tunnel_messages.h"
#include "node/socket_address.h"
#include "node/socket_options.h"

namespace citron {

namespace {

constexpr std::size_t kMaxAnswerHeadBytes = std::size_t{64} << 10;
// How long an upstream that doesn't say keeps an idle connection.
constexpr duration kUnstatedKeepAlive = std::chrono::seconds(5);
// An upstream may end a connection on which its answer stays unread for this
// long.
constexpr duration kUnreadLimit = std::chrono::seconds(1);
constexpr duration kUnstatedRelayPause = std::chrono::seconds(1);
// A request up to this size finds room with any upstream that is there.
constexpr std::size_t kShortRequest = std::size_t{16} << 10;
// Around the name and value of a header.
constexpr std::size_t kHeaderFraming = 4;

std::size_t SizeOf(const http_headers& headers) {
  std::size_t size = kHeaderFraming;
  for (const http_header& header : headers) {
    size += header.name.size() + header.value.size() + kHeaderFraming;
  }
  return size;
}

// Seconds of the parameter "timeout" of a header such as "timeout=5, max=100".
std::optional<duration> KeepAliveLimit(const http_headers& headers) {
  const auto value = FindHeader(headers, "Keep-Alive");
  if (!value) return std::nullopt;
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value->find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  int seconds = 0;
  const std::string_view digits = value->substr(at + kName.size());
  const auto [end, failure] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (failure != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

std::string_view UpstreamFaultName(upstream_fault fault) {
  switch (fault) {
    case upstream_fault::kConnectFailed:
      return "connect_failed";
    case upstream_fault::kConnectTimeout:
      return "connect_timeout";
    case upstream_fault::kLost:
      return "connection_lost";
    case upstream_fault::kBadAnswer:
      return "bad_answer";
    case upstream_fault::kRelayFailed:
      return "relay_failed";
    case upstream_fault::kWithdrawn:
      return "withdrawn";
    case upstream_fault::kPausedAtRelay:
      return "paused_at_relay";
    case upstream_fault::kEndlessHeads:
      return "endless_heads";
    case upstream_fault::kEndlessFraming:
      return "endless_framing";
    case upstream_fault::kEndlessUnused:
      return "endless_unused";
  }
  return "unknown";
}

bool IsEndless(upstream_fault fault) {
  return fault == upstream_fault::kEndlessHeads ||
         fault == upstream_fault::kEndlessFraming ||
         fault == upstream_fault::kEndlessUnused;
}

std::string_view ToString(connect_result result) {
  switch (result) {
    case connect_result::kConnected:
      return "connected";
    case connect_result::kRefused:
      return "refused";
    case connect_result::kTimedOut:
      return "timed_out";
    case connect_result::kRelayFailed:
      return "relay_failed";
  }
  return "unknown";
}

struct upstream_connection::callbacks {
  static void Readable(bufferevent*, void* self) {
    static_cast<upstream_connection*>(self)->OnReadable();
  }
  static void Written(bufferevent*, void* self) {
    auto* that = static_cast<upstream_connection*>(self);
    if (that->state_ == state::kBusy && that->listener_ != nullptr) {
      that->listener_->OnRequestDrained();
    }
  }
  static void Event(bufferevent*, short what, void* self) {  // NOLINT
    auto* that = static_cast<upstream_connection*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      return that->IsRelayed() ? that->AskRelay() : that->OnConnected();
    }
    const bool ended = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (ended) that->OnEnd((what & BEV_EVENT_ERROR) != 0);
  }
};

upstream_connection::upstream_connection(event_loop& loop, upstream_id upstream,
                                         connection_path path,
                                         duration connect_limit,
                                         std::string id_header,
                                         upstream_connection_owner& owner)
    : loop_(loop),
      upstream_(std::move(upstream)),
      path_(std::move(path)),
      id_header_(std::move(id_header)),
      owner_(owner),
      reader_(http1_reader::direction::kAnswers, kMaxAnswerHeadBytes, *this),
      connect_timer_(loop,
                     [this] {
                       Fail(IsRelayed() ? upstream_fault::kRelayFailed
                                        : upstream_fault::kConnectTimeout);
                     }),
      created_at_(MonotonicNow()),
      keep_alive_limit_(kUnstatedKeepAlive) {
  sockaddr_in to =
      SocketAddress(IsRelayed() ? path_.relay_address : path_.address);
  bytes_ = bufferevent_socket_new(
      loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(bytes_, callbacks::Readable, callbacks::Written,
                    callbacks::Event, this);
  connect_timer_.Arm(created_at_ + connect_limit);
  // A failure at once is reported as an event all the same.
  bufferevent_socket_connect(bytes_, reinterpret_cast<sockaddr*>(&to),
                             sizeof(to));
}

upstream_connection::~upstream_connection() { bufferevent_free(bytes_); }

void upstream_connection::Start(std::string_view head_and_body,
                                bool expects_body,
                                const std::string& request_id,
                                upstream_call_listener& listener) {
  assert(state_ == state::kConnecting || state_ == state::kIdle);
  listener_ = &listener;
  request_id_ = request_id;
  expects_body_ = expects_body;
  if (head_and_body.size() > kShortRequest) AllowPauses();
  if (state_ == state::kConnecting) {
    unsent_.assign(head_and_body);
    return;
  }
  state_ = state::kBusy;
  guard_.Reset();
  was_left_unread_ = false;
  reader_.Reset();
  if (!expects_body_) reader_.ExpectNoBody();
  bufferevent_write(bytes_, head_and_body.data(), head_and_body.size());
}

void upstream_connection::SendMore(std::string_view bytes) {
  AllowPauses();
  if (state_ == state::kConnecting) {
    unsent_.append(bytes);
  } else if (state_ == state::kBusy) {
    bufferevent_write(bytes_, bytes.data(), bytes.size());
  }
}

void upstream_connection::AllowPauses() {
  if (std::exchange(allows_pauses_, true) || state_ == state::kConnecting) {
    return;
  }
  SetUnconfirmedLimit(bufferevent_getfd(bytes_), peer_reading::kMayPause);
}

void upstream_connection::Cancel() {
  listener_ = nullptr;
  state_ = state::kDead;
  connect_timer_.Disarm();
  bufferevent_disable(bytes_, EV_READ | EV_WRITE);
}

void upstream_connection::PauseReading() {
  if (paused_ || state_ != state::kBusy) return;
  paused_ = true;
  paused_at_ = MonotonicNow();
  bufferevent_disable(bytes_, EV_READ);
}

void upstream_connection::ResumeReading() {
  if (!paused_ || state_ != state::kBusy) return;
  paused_ = false;
  if (MonotonicNow() - paused_at_ >= kUnreadLimit) was_left_unread_ = true;
  bufferevent_enable(bytes_, EV_READ);
}

bool upstream_connection::IsReusable(duration margin,
                                     monotonic_time now) const {
  return state_ == state::kIdle &&
         now + margin < idle_since_ + keep_alive_limit_;
}

std::size_t upstream_connection::PendingBytes() const {
  return unsent_.size() + evbuffer_get_length(bufferevent_get_output(bytes_));
}

void upstream_connection::AskRelay() {
  if (state_ != state::kConnecting) return;
  SetSocketOptions(bufferevent_getfd(bytes_));
  const std::string request =
      MakeTunnelRequest({upstream_, path_.address}, path_.relay_secret);
  reader_.ExpectNoBody();
  bufferevent_write(bytes_, request.data(), request.size());
  bufferevent_enable(bytes_, EV_READ | EV_WRITE);
}

void upstream_connection::OnRelayAnswer() {
  const http1_reader::progress made =
      reader_.Read(bufferevent_get_input(bytes_));
  if (endless_ || made == http1_reader::progress::kFault) {
    return Fail(upstream_fault::kRelayFailed);
  }
  if (made == http1_reader::progress::kNeedsMore) return;
  reader_.Reset();
  switch (relay_status_) {
    case kTunnelOpen:
      return OnConnected();
    case kTunnelUpstreamPaused:
      return Fail(upstream_fault::kPausedAtRelay);
    case kTunnelUpstreamRefused:
      return Fail(upstream_fault::kConnectFailed);
    case kTunnelUpstreamTimedOut:
      return Fail(upstream_fault::kConnectTimeout);
    default:
      return Fail(upstream_fault::kRelayFailed);
  }
}

void upstream_connection::OnConnected() {
  if (state_ != state::kConnecting) return;
  connect_timer_.Disarm();
  if (!IsRelayed()) SetSocketOptions(bufferevent_getfd(bytes_));
  if (allows_pauses_) {
    SetUnconfirmedLimit(bufferevent_getfd(bytes_), peer_reading::kMayPause);
  }
  idle_since_ = MonotonicNow();
  connect_time_ = idle_since_ - created_at_;
  owner_.OnConnectEnd(*this, connect_result::kConnected);
  if (listener_ == nullptr || !listener_->WantsToSend()) {
    state_ = state::kIdle;
    unsent_.clear();
    bufferevent_enable(bytes_, EV_READ | EV_WRITE);
    upstream_call_listener* listener = std::exchange(listener_, nullptr);
    if (listener != nullptr) {
      listener->OnCallFailed(upstream_fault::kWithdrawn);
    }
    return;
  }
  state_ = state::kBusy;
  if (!expects_body_) reader_.ExpectNoBody();
  bufferevent_write(bytes_, unsent_.data(), unsent_.size());
  unsent_.clear();
  bufferevent_enable(bytes_, EV_READ | EV_WRITE);
  listener_->OnConnected();
}

void upstream_connection::OnReadable() {
  if (state_ == state::kConnecting) return OnRelayAnswer();
  if (state_ == state::kIdle) return EndIdle();
  if (state_ != state::kBusy) return;
  while (true) {
    const http1_reader::progress made =
        reader_.Read(bufferevent_get_input(bytes_));
    if (state_ != state::kBusy) return;
    if (endless_) return Fail(*endless_);
    if (made == http1_reader::progress::kNeedsMore) return;
    if (made == http1_reader::progress::kFault) {
      return Fail(reader_.Fault() == http1_fault::kHeadTooLarge
                      ? upstream_fault::kEndlessHeads
                      : upstream_fault::kBadAnswer);
    }
    if (!skipping_) return Finish();
    skipping_ = false;
    reader_.Reset();
    if (!expects_body_) reader_.ExpectNoBody();
  }
}

void upstream_connection::OnHead(http1_head head) {
  if (state_ == state::kConnecting) {
    relay_status_ = head.status;
    const auto pause = FindHeader(head.headers, "Retry-After");
    relay_pause_ = ReadPause(pause.value_or("")).value_or(kUnstatedRelayPause);
    return;
  }
  const auto id = FindHeader(head.headers, id_header_);
  // A late second answer to an earlier request, where this one's was due.
  skipping_ = id.has_value() && !request_id_.empty() && *id != request_id_;
  if (skipping_) {
    // Answers without a body may come without end as well.
    if (!guard_.OnBodyBytes(SizeOf(head.headers), false)) {
      endless_ = upstream_fault::kEndlessUnused;
    }
    return;
  }
  stays_open_ = head.keep_alive && (head.body_length || head.chunked);
  keep_alive_limit_ = KeepAliveLimit(head.headers).value_or(keep_alive_limit_);
  if (listener_ != nullptr) listener_->OnAnswerHead(std::move(head));
}

void upstream_connection::OnBody(std::string_view bytes) {
  const bool is_used =
      !skipping_ && listener_ != nullptr && listener_->UsesAnswerBody();
  if (!guard_.OnBodyBytes(bytes.size(), is_used)) {
    endless_ = upstream_fault::kEndlessUnused;
    return;
  }
  if (!skipping_ && listener_ != nullptr) listener_->OnAnswerBody(bytes);
}

void upstream_connection::OnInterimHead(std::size_t bytes) {
  if (!guard_.OnInterimBytes(bytes)) endless_ = upstream_fault::kEndlessHeads;
}

void upstream_connection::OnFraming(std::size_t bytes) {
  if (!guard_.OnFramingBytes(bytes)) {
    endless_ = upstream_fault::kEndlessFraming;
  }
}

void upstream_connection::Finish() {
  const bool has_more = evbuffer_get_length(bufferevent_get_input(bytes_)) > 0;
  // Bytes behind the answer, or a request that isn't out yet: what comes next
  // here could be taken for the answer to another request.
  const bool clean = stays_open_ && !has_more && PendingBytes() == 0;
  state_ = clean ? state::kIdle : state::kDead;
  // Idle connections are read, or their end isn't seen.
  if (clean && std::exchange(paused_, false)) {
    bufferevent_enable(bytes_, EV_READ);
  }
  if (clean && std::exchange(allows_pauses_, false)) {
    SetUnconfirmedLimit(bufferevent_getfd(bytes_), peer_reading::kAtOnce);
  }
  idle_since_ = MonotonicNow();
  upstream_call_listener* listener = std::exchange(listener_, nullptr);
  if (!clean) bufferevent_disable(bytes_, EV_READ | EV_WRITE);
  if (listener != nullptr) listener->OnAnswerEnd();
}

void upstream_connection::OnEnd(bool reset) {
  switch (state_) {
    case state::kDead:
      return;
    case state::kIdle:
      return EndIdle();
    case state::kConnecting:
      return Fail(IsRelayed() ? upstream_fault::kRelayFailed
                              : upstream_fault::kConnectFailed);
    case state::kBusy:
      break;
  }
  OnReadable();
  if (state_ != state::kBusy) return;
  // An answer without a length ends with its connection, but not with a reset,
  // nor with a relay that ends, nor where the upstream may have given up a
  // caller that read slowly.
  const bool is_upstreams_end = !reset && !IsRelayed() && !was_left_unread_;
  if (is_upstreams_end && !skipping_ && reader_.CompletesAtEnd()) {
    stays_open_ = false;
    return Finish();
  }
  Fail(upstream_fault::kLost);
}

void upstream_connection::Fail(upstream_fault fault) {
  state_ = state::kDead;
  connect_timer_.Disarm();
  bufferevent_disable(bytes_, EV_READ | EV_WRITE);
  if (fault == upstream_fault::kConnectFailed) {
    owner_.OnConnectEnd(*this, connect_result::kRefused);
  } else if (fault == upstream_fault::kConnectTimeout) {
    owner_.OnConnectEnd(*this, connect_result::kTimedOut);
  } else if (fault == upstream_fault::kRelayFailed) {
    owner_.OnConnectEnd(*this, connect_result::kRelayFailed);
  }
  upstream_call_listener* listener = std::exchange(listener_, nullptr);
  if (listener == nullptr) return owner_.OnIdleEnd(*this);
  listener->OnCallFailed(fault);
}

// Closed, or bytes that belong to no request.
void upstream_connection::EndIdle() {
  state_ = state::kDead;
  bufferevent_disable(bytes_, EV_READ | EV_WRITE);
  owner_.OnIdleEnd(*this);
}

}  // namespace citron
