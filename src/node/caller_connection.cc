#include "citron/node/caller_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "node/process_end.h"
#include "node/socket_options.h"
#include "node/status_text.h"

namespace citron {

namespace {

// Input that may wait while a request is served: the next requests of a caller
// that doesn't wait for answers.
constexpr std::size_t kMaxWaitingInput = std::size_t{64} << 10;
// How long the end of a caller may go unseen while nothing is read from it.
constexpr duration kEndInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxHeardOutput = std::size_t{1} << 30;
// How long a caller that has taken the last answer gets to close its side, and
// how often it is looked whether it takes on. Closing first would reset the
// connection under bytes that are still on their way.
constexpr duration kCloseLimit = std::chrono::milliseconds(1500);
// A caller that takes less holds an answer for as long as it likes.
constexpr double kLeastTakenPerS = 1000;
// What the kernel may hold of an answer that goes on as it comes, where the end
// of the process is near: as much as is held of one that is sent whole.
constexpr std::size_t kMostHandedOver = std::size_t{1} << 20;

}  // namespace

std::string_view ToString(connection_cut cause) {
  switch (cause) {
    case connection_cut::kClosedByCaller:
      return "closed_by_caller";
    case connection_cut::kTimedOut:
      return "timed_out";
    case connection_cut::kCloseLimit:
      return "close_limit";
    case connection_cut::kProcessEnd:
      return "process_end";
  }
  return "unknown";
}

struct caller_connection::callbacks {
  static void Readable(bufferevent*, void* self) {
    static_cast<caller_connection*>(self)->OnReadable();
  }
  static void Written(bufferevent*, void* self) {
    static_cast<caller_connection*>(self)->OnWritten();
  }
  static void Event(bufferevent*, short what, void* self) {  // NOLINT
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) {
      return;
    }
    const bool timed_out =
        (what & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ETIMEDOUT;
    static_cast<caller_connection*>(self)->OnClosed(
        timed_out ? connection_cut::kTimedOut
                  : connection_cut::kClosedByCaller);
  }
};

caller_connection::caller_connection(event_loop& loop, int descriptor,
                                     const caller_limits& limits,
                                     memory_budget& memory,
                                     request_handler_factory& handlers,
                                     on_end ended)
    : loop_(loop),
      limits_(limits),
      memory_(memory),
      handlers_(handlers),
      ended_(std::move(ended)),
      held_(memory),
      reader_(http1_reader::direction::kRequests, limits.max_head_bytes, *this),
      timer_(loop, [this] { OnDeadline(); }),
      end_timer_(loop, [this] { LookForEnd(); }) {
  SetCallerSocketOptions(descriptor);
  bytes_ = bufferevent_socket_new(
      loop.Base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(bytes_, callbacks::Readable, callbacks::Written,
                    callbacks::Event, this);
  bufferevent_setwatermark(bytes_, EV_READ, 0, MaxInput());
  // To hear of each part that a slow caller takes.
  bufferevent_setwatermark(bytes_, EV_WRITE, kMaxHeardOutput, 0);
  bufferevent_enable(bytes_, EV_READ | EV_WRITE);
  timer_.Arm(MonotonicNow() + limits_.idle_limit);
}

caller_connection::~caller_connection() {
  // Requests without an answer tell their end themselves.
  if (state_ != state::kEnded && handler_ == nullptr && PendingBytes() > 0) {
    handlers_.OnCut(connection_cut::kProcessEnd, PendingBytes());
  }
  handler_.reset();
  if (bytes_ != nullptr) bufferevent_free(bytes_);
}

std::size_t caller_connection::MaxInput() const {
  return limits_.max_head_bytes + kMaxWaitingInput;
}

void caller_connection::StopAfterAnswer() {
  closing_after_answer_ = true;
  HandOver();
}

bool caller_connection::EndWithProcess() {
  if (state_ == state::kEnded) return true;
  const bool is_taken = WriteToKernel(bytes_) == 0;
  DropUnread(bytes_);
  return is_taken && handler_ == nullptr;
}

// Where an answer is whole, the VM holds no more than before; one that still
// comes may grow as far as the memory limit allows.
void caller_connection::HandOver() {
  std::size_t bytes = PendingBytes();
  const bool still_comes = handler_ != nullptr && answered_;
  if (still_comes) bytes += memory_.Allowance(kMostHandedOver);
  if (bytes == 0) return;
  const int descriptor = bufferevent_getfd(bytes_);
  GrowSendBuffer(descriptor, UnconfirmedBytes(descriptor) + bytes);
  handed_over_ = std::max(handed_over_, bytes);
  UpdateHeld();
}

bool caller_connection::IsIdle() const {
  return state_ == state::kReading && !request_begun_ &&
         evbuffer_get_length(bufferevent_get_input(bytes_)) == 0;
}

void caller_connection::CloseIfIdle() {
  if (IsIdle()) BeginClose();
}

void caller_connection::OnReadable() {
  if (state_ == state::kClosing) {
    // Nothing more is read as a request; it is taken only so that the close
    // doesn't become a reset.
    evbuffer* input = bufferevent_get_input(bytes_);
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  ReadOn();
  UpdateHeld();
}

void caller_connection::ReadOn() {
  if (in_reader_ || state_ == state::kEnded || state_ == state::kClosing)
    return;
  // A request that is whole is served before the next is looked at.
  evbuffer* input = bufferevent_get_input(bytes_);
  if (request_complete_ || body_paused_) {
    // A full input that stays full is reported again and again.
    if (evbuffer_get_length(input) >= MaxInput()) StopInput();
    return;
  }
  if (!request_begun_ && evbuffer_get_length(input) > 0) {
    request_begun_ = true;
    timer_.Arm(MonotonicNow() + limits_.head_limit);
  }
  in_reader_ = true;
  const http1_reader::progress made = reader_.Read(input);
  in_reader_ = false;
  if (state_ == state::kEnded || state_ == state::kClosing) return;
  if (made == http1_reader::progress::kFault) return RefuseMalformed();
  if (made == http1_reader::progress::kNeedsMore) return;
  request_complete_ = true;
  if (handler_ != nullptr) handler_->OnBodyEnd();
}

void caller_connection::OnHead(http1_head head) {
  timer_.Disarm();
  state_ = state::kServing;
  keep_alive_ = head.keep_alive;
  answer_has_body_ = head.method != "HEAD";
  answered_ = false;
  body_bytes_ = 0;
  if (head.body_length && *head.body_length > limits_.max_body_bytes) {
    Reply(413, {}, R"({"error":"body_too_large"})");
    return;
  }
  const auto expectation = FindHeader(head.headers, "Expect");
  const bool waits_for_word =
      expectation && HeaderNameIs(*expectation, "100-continue");
  handler_ = handlers_.Make(std::move(head), *this);
  if (waits_for_word && !answered_) Write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::OnBody(std::string_view bytes) {
  if (answered_ || handler_ == nullptr) return;
  body_bytes_ += bytes.size();
  if (body_bytes_ > limits_.max_body_bytes) {
    handler_->OnCallerGone();
    Reply(413, {}, R"({"error":"body_too_large"})");
    return;
  }
  handler_->OnBody(bytes);
}

void caller_connection::RefuseMalformed() {
  // A body that can't be read belongs to a request that may be at an upstream.
  if (handler_ != nullptr) {
    handler_->OnCallerGone();
    RetireHandler();
  }
  keep_alive_ = false;
  request_complete_ = false;
  if (answered_) return BeginClose();
  const bool too_large = reader_.Fault() == http1_fault::kHeadTooLarge;
  state_ = state::kServing;
  Reply(too_large ? 431 : 400, {},
        too_large ? R"({"error":"head_too_large"})"
                  : R"({"error":"malformed_request"})");
}

void caller_connection::OnDeadline() {
  if (state_ == state::kClosing) return OnCloseLimit();
  if (state_ != state::kReading) return;
  if (!request_begun_) return OnIdleLimit();
  keep_alive_ = false;
  state_ = state::kServing;
  Reply(408, {}, R"({"error":"request_too_slow"})");
}

void caller_connection::OnCloseLimit() {
  const monotonic_time now = MonotonicNow();
  if (TakesOn(now)) return timer_.Arm(now + kCloseLimit);
  if (untaken_ > 0) handlers_.OnCut(connection_cut::kCloseLimit, untaken_);
  End();
}

void caller_connection::OnIdleLimit() {
  const monotonic_time now = MonotonicNow();
  if (TakesOn(now)) return timer_.Arm(now + limits_.idle_limit);
  BeginClose();
}

void caller_connection::StartTaking(monotonic_time now) {
  untaken_ = PendingBytes();  // Without a call to the kernel for each answer.
  looked_at_ = now;
  give_up_at_ = now + limits_.idle_limit;
}

bool caller_connection::TakesOn(monotonic_time now) {
  const std::size_t before = std::exchange(untaken_, UntakenBytes());
  if (before == 0 && untaken_ == 0) return false;
  const double least =
      kLeastTakenPerS * ToSeconds(now - std::exchange(looked_at_, now));
  const bool is_first_look = before == 0;
  if (is_first_look ||
      static_cast<double>(untaken_) + least <= static_cast<double>(before)) {
    give_up_at_ = now + limits_.idle_limit;
  }
  return now < give_up_at_;
}

std::size_t caller_connection::UntakenBytes() const {
  return PendingBytes() + UnconfirmedBytes(bufferevent_getfd(bytes_));
}

void caller_connection::OnClosed(connection_cut cause) {
  if (state_ == state::kEnded) return;
  if (handler_ != nullptr || PendingBytes() > 0) {
    handlers_.OnCut(cause, PendingBytes());
  }
  if (handler_ != nullptr) {
    handler_->OnCallerGone();
    RetireHandler();
  }
  End();
}

void caller_connection::UpdateHeld() {
  if (state_ == state::kEnded) return;
  held_.Set(std::max(PendingBytes(), handed_over_) +
            evbuffer_get_length(bufferevent_get_input(bytes_)));
}

void caller_connection::OnWritten() {
  UpdateHeld();
  if (PendingBytes() > 0) return;
  // The kernel has all; it is asked at the next limit what it still holds.
  untaken_ = 0;
  if (state_ == state::kClosing) {
    shutdown(bufferevent_getfd(bytes_), SHUT_WR);
    return;
  }
  if (state_ == state::kReading && !request_begun_) {
    timer_.Arm(MonotonicNow() + limits_.idle_limit);
  }
  if (state_ == state::kServing && handler_ != nullptr) handler_->OnDrained();
}

void caller_connection::Write(std::string_view bytes) {
  handlers_.OnBytesWritten(bytes.size());
  bufferevent_write(bytes_, bytes.data(), bytes.size());
  UpdateHeld();
}

void caller_connection::WriteHead(int status, const http_headers& headers,
                                  std::optional<std::uint64_t> length) {
  // What is left of a body that nobody reads can't be told from a request.
  if (!reader_.IsComplete() || closing_after_answer_) keep_alive_ = false;
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\n", status, StatusText(status));
  for (const http_header& header : headers) {
    head.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (length) {
    head += fmt::format("Content-Length: {}\r\n", *length);
  } else {
    head += "Transfer-Encoding: chunked\r\n";
  }
  if (!keep_alive_) head += "Connection: close\r\n";
  head += "\r\n";
  answered_ = true;
  Write(head);
}

void caller_connection::Reply(int status, const http_headers& headers,
                              std::string_view body) {
  WriteHead(status, headers, body.size());
  if (answer_has_body_) Write(body);
  EndAnswer();
}

void caller_connection::StartReply(int status, const http_headers& headers,
                                   std::optional<std::uint64_t> length) {
  answer_chunked_ = !length.has_value();
  WriteHead(status, headers, length);
  if (closing_after_answer_) HandOver();
}

void caller_connection::SendBody(std::string_view bytes) {
  if (bytes.empty() || !answer_has_body_) return;
  if (answer_chunked_) Write(fmt::format("{:x}\r\n", bytes.size()));
  Write(bytes);
  if (answer_chunked_) Write("\r\n");
}

void caller_connection::FinishBody() {
  if (answer_chunked_ && answer_has_body_) Write("0\r\n\r\n");
  EndAnswer();
}

void caller_connection::EndAnswer() {
  RetireHandler();
  if (!keep_alive_) return BeginClose();
  // The present callback may stand inside the reader or the handler.
  loop_.Defer([this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || state_ != state::kServing) return;
    if (!request_complete_) return BeginClose();
    reader_.Reset();
    request_complete_ = false;
    request_begun_ = false;
    body_paused_ = false;
    StartInput();
    state_ = state::kReading;
    if (closing_after_answer_) return BeginClose();
    const monotonic_time now = MonotonicNow();
    StartTaking(now);
    timer_.Arm(now + limits_.idle_limit);
    ReadOn();
  });
}

void caller_connection::RetireHandler() {
  if (handler_ == nullptr) return;
  std::shared_ptr<request_handler> retired = std::move(handler_);
  loop_.Defer([retired] {});
}

void caller_connection::Abort() {
  RetireHandler();
  const linger reset{1, 0};
  setsockopt(bufferevent_getfd(bytes_), SOL_SOCKET, SO_LINGER, &reset,
             sizeof(reset));
  End();
}

std::size_t caller_connection::PendingBytes() const {
  return evbuffer_get_length(bufferevent_get_output(bytes_));
}

void caller_connection::StopInput() {
  bufferevent_disable(bytes_, EV_READ);
  end_timer_.Arm(MonotonicNow() + kEndInterval);
}

void caller_connection::StartInput() {
  bufferevent_enable(bytes_, EV_READ);
  end_timer_.Disarm();
}

void caller_connection::LookForEnd() {
  pollfd look{bufferevent_getfd(bytes_), POLLRDHUP, 0};
  if (poll(&look, 1, 0) > 0) return OnClosed(connection_cut::kClosedByCaller);
  end_timer_.Arm(MonotonicNow() + kEndInterval);
}

void caller_connection::PauseBody() {
  body_paused_ = true;
  StopInput();
}

void caller_connection::ResumeBody() {
  if (!body_paused_) return;
  body_paused_ = false;
  StartInput();
  loop_.Defer([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) ReadOn();
  });
}

void caller_connection::BeginClose() {
  if (state_ == state::kClosing || state_ == state::kEnded) return;
  state_ = state::kClosing;
  const monotonic_time now = MonotonicNow();
  StartTaking(now);
  timer_.Arm(now + kCloseLimit);
  if (PendingBytes() == 0) shutdown(bufferevent_getfd(bytes_), SHUT_WR);
  if (closing_after_answer_) HandOver();
  StartInput();
  // What has come must be taken, or the close would become a reset that takes
  // the answer with it.
  loop_.Defer([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && state_ == state::kClosing) OnReadable();
  });
}

void caller_connection::End() {
  if (state_ == state::kEnded) return;
  state_ = state::kEnded;
  timer_.Disarm();
  end_timer_.Disarm();
  held_.Set(0);
  bufferevent_disable(bytes_, EV_READ | EV_WRITE);
  bufferevent_setcb(bytes_, nullptr, nullptr, nullptr, nullptr);
  ended_(*this);
}

}  // namespace citron
