#include "node/tunnel.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <utility>

#include "node/process_end.h"
#include "node/socket_address.h"
#include "node/socket_options.h"

namespace citron {

namespace {

constexpr std::size_t kMaxHeadBytes = std::size_t{4} << 10;
constexpr duration kHeadLimit = std::chrono::milliseconds(1000);
// Less than the other VM waits for the tunnel, so that it learns whose fault a
// failure is.
constexpr duration kConnectLimit = std::chrono::milliseconds(350);
// Bytes on their way to a slow side before the fast one is made to wait.
constexpr std::size_t kMaxPending = std::size_t{256} << 10;
// What is taken at the end of the process of bytes that have come unread.
constexpr std::size_t kMostAtEnd = std::size_t{1} << 20;
// How long the other VM gets to take the last bytes and close its side.
constexpr duration kCloseLimit = std::chrono::seconds(10);

std::size_t PendingBytes(bufferevent* side) {
  return evbuffer_get_length(bufferevent_get_output(side));
}

}  // namespace

struct tunnel::callbacks {
  static void Readable(bufferevent* side, void* self) {
    static_cast<tunnel*>(self)->OnReadable(side);
  }
  static void Written(bufferevent* side, void* self) {
    static_cast<tunnel*>(self)->OnWritten(side);
  }
  static void Event(bufferevent* side, short what, void* self) {  // NOLINT
    static_cast<tunnel*>(self)->OnEvent(side, what);
  }
  static void Attach(bufferevent* side, tunnel* self) {
    bufferevent_setcb(side, Readable, Written, Event, self);
  }
};

tunnel::tunnel(event_loop& loop, int descriptor, tunnel_host& host)
    : loop_(loop),
      host_(host),
      reader_(http1_reader::direction::kRequests, kMaxHeadBytes, *this),
      timer_(loop, [this] {
        state_ == state::kConnecting
            ? OnConnectFailed(connect_result::kTimedOut)
            : End();
      }) {
  SetSocketOptions(descriptor);
  vm_side_ = bufferevent_socket_new(
      loop.Base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  callbacks::Attach(vm_side_, this);
  bufferevent_enable(vm_side_, EV_READ | EV_WRITE);
  timer_.Arm(MonotonicNow() + kHeadLimit);
}

tunnel::~tunnel() {
  if (upstream_side_ != nullptr) bufferevent_free(upstream_side_);
  bufferevent_free(vm_side_);
}

bufferevent* tunnel::Other(bufferevent* side) const {
  return side == vm_side_ ? upstream_side_ : vm_side_;
}

void tunnel::OnReadable(bufferevent* from) {
  if (state_ == state::kOpen) return Pass(from);
  const bool takes_no_more =
      state_ == state::kEnding || state_ == state::kClosing;
  if (takes_no_more && from == vm_side_) return DropInput();
  if (state_ != state::kReadingHead) return;
  const http1_reader::progress made =
      reader_.Read(bufferevent_get_input(vm_side_));
  if (made == http1_reader::progress::kFault) return End();
  if (made == http1_reader::progress::kNeedsMore) return;
  std::variant<tunnel_request, tunnel_refusal> admitted = host_.Admit(*head_);
  if (const auto* refusal = std::get_if<tunnel_refusal>(&admitted)) {
    return Refuse(*refusal);
  }
  request_ = std::get<tunnel_request>(std::move(admitted));
  state_ = state::kConnecting;
  upstream_side_ = bufferevent_socket_new(
      loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  callbacks::Attach(upstream_side_, this);
  connect_began_ = MonotonicNow();
  timer_.Arm(connect_began_ + kConnectLimit);
  sockaddr_in to = SocketAddress(request_.address);
  // A failure at once is reported as an event all the same.
  bufferevent_socket_connect(upstream_side_, reinterpret_cast<sockaddr*>(&to),
                             sizeof(to));
}

void tunnel::OnHead(http1_head head) { head_ = std::move(head); }

void tunnel::OnConnected() {
  timer_.Disarm();
  SetSocketOptions(bufferevent_getfd(upstream_side_));
  for (bufferevent* side : {vm_side_, upstream_side_}) {
    SetUnconfirmedLimit(bufferevent_getfd(side), peer_reading::kMayPause);
  }
  host_.OnConnectEnd(request_.upstream, connect_began_,
                     connect_result::kConnected);
  state_ = state::kOpen;
  bufferevent_enable(upstream_side_, EV_READ | EV_WRITE);
  const std::string answer = MakeTunnelAnswer(kTunnelOpen);
  bufferevent_write(vm_side_, answer.data(), answer.size());
}

void tunnel::OnConnectFailed(connect_result result) {
  bufferevent_disable(upstream_side_, EV_READ | EV_WRITE);
  host_.OnConnectEnd(request_.upstream, connect_began_, result);
  Refuse({result == connect_result::kTimedOut ? kTunnelUpstreamTimedOut
                                              : kTunnelUpstreamRefused});
}

void tunnel::Pass(bufferevent* from) {
  bufferevent* to = Other(from);
  evbuffer_add_buffer(bufferevent_get_output(to), bufferevent_get_input(from));
  if (PendingBytes(to) > kMaxPending) bufferevent_disable(from, EV_READ);
}

void tunnel::OnWritten(bufferevent* to) {
  if (PendingBytes(to) > 0) return;
  if (state_ == state::kEnding && to == vm_side_) return BeginClose();
  if (state_ == state::kOpen) bufferevent_enable(Other(to), EV_READ);
}

void tunnel::OnEvent(bufferevent* from, int what) {
  if (state_ == state::kEnded) return;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    if (state_ == state::kConnecting) OnConnected();
    return;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  const bool is_upstream = from == upstream_side_;
  if (is_upstream && state_ == state::kConnecting) {
    return OnConnectFailed(connect_result::kRefused);
  }
  // The other VM closes only what it has no more use for.
  if (!is_upstream || state_ != state::kOpen) return End();
  if ((what & BEV_EVENT_ERROR) != 0) return Reset();
  Pass(from);
  // A failure to send it the rest of a request is no end of its answer.
  bufferevent_disable(from, EV_READ | EV_WRITE);
  state_ = state::kEnding;
  if (PendingBytes(vm_side_) == 0) BeginClose();
}

void tunnel::Refuse(const tunnel_refusal& refusal) {
  timer_.Disarm();
  state_ = state::kEnding;
  const std::string answer = MakeTunnelAnswer(refusal);
  bufferevent_write(vm_side_, answer.data(), answer.size());
}

void tunnel::Reset() {
  const linger at_once{1, 0};
  setsockopt(bufferevent_getfd(vm_side_), SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
  End();
}

// Closing under bytes that still come would reset the connection.
void tunnel::BeginClose() {
  state_ = state::kClosing;
  const bool is_admitted = !request_.upstream.IsEmpty();
  timer_.Arm(MonotonicNow() + (is_admitted ? kCloseLimit : kHeadLimit));
  shutdown(bufferevent_getfd(vm_side_), SHUT_WR);
  bufferevent_enable(vm_side_, EV_READ);
  DropInput();
}

void tunnel::DropInput() {
  evbuffer* input = bufferevent_get_input(vm_side_);
  evbuffer_drain(input, evbuffer_get_length(input));
}

bool tunnel::EndWithProcess() {
  if (state_ == state::kEnded) return true;
  if (state_ == state::kOpen) {
    ReadFromKernel(upstream_side_, kMostAtEnd);
    Pass(upstream_side_);
  }
  const bool is_taken = WriteToKernel(vm_side_) == 0;
  DropUnread(vm_side_);
  return is_taken;
}

void tunnel::End() {
  if (state_ == state::kEnded) return;
  state_ = state::kEnded;
  timer_.Disarm();
  for (bufferevent* side : {vm_side_, upstream_side_}) {
    if (side == nullptr) continue;
    bufferevent_disable(side, EV_READ | EV_WRITE);
    bufferevent_setcb(side, nullptr, nullptr, nullptr, nullptr);
  }
  host_.OnEnd(*this);
}

}  // namespace citron
