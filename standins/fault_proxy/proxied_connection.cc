#include "standins/fault_proxy/proxied_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <arpa/inet.h>

#include <algorithm>
#include <utility>

namespace citron {

namespace {

// Above this much on its way in one direction, its sender is held back.
constexpr std::size_t kMaxHeldBytes = std::size_t{4} << 20;

std::size_t OutputBytes(bufferevent* stream) {
  return evbuffer_get_length(bufferevent_get_output(stream));
}

void SetNoDelay(bufferevent* stream) {
  const int on = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

// The close that follows sends a reset in place of an orderly end.
void ResetOnClose(bufferevent* stream) {
  const linger at_once{1, 0};
  setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
}

sockaddr_in SocketAddress(const endpoint& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

proxied_connection::flow::flow(event_loop& loop, proxied_connection& connection)
    : owner(connection), timer(loop, [this] { owner.Deliver(*this); }) {}

proxied_connection::proxied_connection(event_loop& loop, int source_fd,
                                       const endpoint& target,
                                       const route_faults& faults,
                                       std::function<void()> on_closed)
    : faults_(faults),
      on_closed_(std::move(on_closed)),
      to_target_(loop, *this),
      to_source_(loop, *this) {
  source_ =
      bufferevent_socket_new(loop.Base(), source_fd, BEV_OPT_CLOSE_ON_FREE);
  target_ = bufferevent_socket_new(loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  to_target_.from = to_source_.to = source_;
  to_target_.to = to_source_.from = target_;
  Attach(to_target_);
  Attach(to_source_);
  sockaddr_in address = SocketAddress(target);
  // A failure is reported as an event of the target's side.
  bufferevent_socket_connect(target_, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  SetNoDelay(source_);
  SetNoDelay(target_);
  OnFaultsChanged();
}

proxied_connection::~proxied_connection() {
  on_closed_ = nullptr;
  Close();
}

void proxied_connection::Attach(flow& f) {
  // The flow's reader; its writer is the other flow's, so each side's
  // callbacks take the flow that starts there.
  bufferevent_setcb(
      f.from,
      [](bufferevent*, void* arg) {
        auto* self = static_cast<flow*>(arg);
        self->owner.OnReadable(*self);
      },
      [](bufferevent*, void* arg) {
        auto* self = static_cast<flow*>(arg);
        const bool starts_at_source = self == &self->owner.to_target_;
        self->owner.OnWritten(starts_at_source ? self->owner.to_source_
                                               : self->owner.to_target_);
      },
      [](bufferevent*, short what, void* arg) {  // NOLINT(google-runtime-int)
        auto* self = static_cast<flow*>(arg);
        self->owner.OnEvent(*self, what);
      },
      &f);
  bufferevent_enable(f.from, EV_WRITE);
}

bool proxied_connection::IsCut(const flow& f) const {
  return &f == &to_target_ ? faults_.cut_to_target : faults_.cut_to_source;
}

void proxied_connection::OnFaultsChanged() {
  for (flow* f : {&to_target_, &to_source_}) {
    if (source_ == nullptr) return;
    SetReading(*f);
    Deliver(*f);
  }
}

void proxied_connection::Reset() {
  if (source_ == nullptr) return;
  ResetOnClose(source_);
  ResetOnClose(target_);
  Close();
}

// While a direction is cut nothing is read from its sender, so an end of the
// stream does not pass either, and the bytes wait as on a real network.
void proxied_connection::SetReading(flow& f) {
  const std::size_t waiting = f.held_bytes + OutputBytes(f.to);
  const bool reads = !f.ended && !IsCut(f) && ending_ == ending::kNone &&
                     waiting < kMaxHeldBytes;
  if (reads) {
    bufferevent_enable(f.from, EV_READ);
  } else {
    bufferevent_disable(f.from, EV_READ);
  }
}

void proxied_connection::OnReadable(flow& f) {
  evbuffer* input = bufferevent_get_input(f.from);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  Hold(f, {MonotonicNow() + faults_.delay, std::move(bytes), false});
}

void proxied_connection::Hold(flow& f, piece held) {
  // A delay that was made shorter must not let later bytes overtake.
  if (!f.pieces.empty()) held.due = std::max(held.due, f.pieces.back().due);
  f.held_bytes += held.bytes.size();
  f.pieces.push_back(std::move(held));
  Deliver(f);
}

void proxied_connection::Deliver(flow& f) {
  while (source_ != nullptr && !f.pieces.empty() && !IsCut(f)) {
    if (f.pieces.front().due > MonotonicNow()) {
      f.timer.Arm(f.pieces.front().due);
      break;
    }
    const piece next = std::move(f.pieces.front());
    f.pieces.pop_front();
    f.held_bytes -= next.bytes.size();
    next.is_end ? EndFlow(f) : Pass(f, next.bytes);
  }
  if (source_ != nullptr) SetReading(f);
}

void proxied_connection::Pass(flow& f, const std::string& bytes) {
  if (ending_ != ending::kNone) return;
  if (&f == &to_source_) {
    PassToSource(f, bytes);
    return;
  }
  f.passed_bytes += bytes.size();
  bufferevent_write(f.to, bytes.data(), bytes.size());
}

void proxied_connection::PassToSource(flow& f, const std::string& bytes) {
  // The target has answered, so the request had its effect.
  if (faults_.lose_answer) {
    Close();
    return;
  }
  const std::uint64_t reset_at = faults_.reset_after.value_or(UINT64_MAX);
  const std::uint64_t close_at = faults_.truncate_at.value_or(UINT64_MAX);
  const std::uint64_t limit = std::min(reset_at, close_at);
  const std::uint64_t room = limit - std::min(limit, f.passed_bytes);
  const std::size_t size = std::min<std::uint64_t>(bytes.size(), room);
  f.passed_bytes += size;
  bufferevent_write(f.to, bytes.data(), size);
  if (f.passed_bytes < limit) return;
  EndAfterWrite(reset_at <= close_at ? ending::kReset : ending::kClose);
}

void proxied_connection::EndFlow(flow& f) {
  f.ended = true;
  const bool both_ended = to_target_.ended && to_source_.ended;
  if (both_ended) {
    EndAfterWrite(ending::kClose);
    return;
  }
  if (OutputBytes(f.to) == 0) shutdown(bufferevent_getfd(f.to), SHUT_WR);
}

void proxied_connection::OnWritten(flow& f) {
  if (ending_ != ending::kNone) {
    CheckEnding();
    return;
  }
  if (f.ended) shutdown(bufferevent_getfd(f.to), SHUT_WR);
  Deliver(f);
}

void proxied_connection::OnEvent(flow& f, int what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return;
  if ((what & BEV_EVENT_ERROR) != 0) {
    Reset();
    return;
  }
  if ((what & BEV_EVENT_EOF) == 0) return;
  Hold(f, {MonotonicNow() + faults_.delay, "", true});
}

void proxied_connection::EndAfterWrite(ending how) {
  ending_ = how;
  SetReading(to_target_);
  SetReading(to_source_);
  CheckEnding();
}

void proxied_connection::CheckEnding() {
  if (OutputBytes(source_) != 0) return;
  const bool waits_for_target = ending_ == ending::kClose && to_target_.ended &&
                                OutputBytes(target_) != 0;
  if (waits_for_target) return;
  ending_ == ending::kReset ? Reset() : Close();
}

void proxied_connection::Close() {
  if (source_ == nullptr) return;
  bufferevent_free(std::exchange(source_, nullptr));
  bufferevent_free(std::exchange(target_, nullptr));
  to_target_.timer.Disarm();
  to_source_.timer.Disarm();
  if (on_closed_) std::exchange(on_closed_, nullptr)();
}

}  // namespace citron
