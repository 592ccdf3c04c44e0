#include "citron/link/answer_relay.h"

#include <utility>

namespace citron {

namespace {

// The library would hold a whole download in memory for a slow asker; above
// this the source is not read any further.
constexpr std::size_t kPauseAbove = std::size_t{256} << 10;

}  // namespace

answer_relay::answer_relay(http_exchange& exchange, std::function<void()> gone)
    : exchange_(&exchange) {
  exchange.OnGone([this, gone = std::move(gone)] {
    exchange_ = nullptr;
    gone();
  });
  exchange.OnDrained([this] {
    if (source_ != nullptr) source_->ResumeReading();
  });
}

void answer_relay::Start(const http_response_head& head) {
  if (exchange_ == nullptr) return;
  started_ = true;
  exchange_->StartReply(head);
}

void answer_relay::StartPassed(const passed_head& head) {
  if (exchange_ == nullptr) return;
  started_ = true;
  exchange_->StartPassedReply(head);
}

void answer_relay::Body(std::string_view bytes) {
  if (exchange_ == nullptr || !started_) return;
  body_bytes_ += bytes.size();
  exchange_->SendBody(bytes);
  if (source_ != nullptr && exchange_->PendingBytes() > kPauseAbove) {
    source_->PauseReading();
  }
}

void answer_relay::Finish() {
  if (exchange_ != nullptr) std::exchange(exchange_, nullptr)->FinishBody();
}

void answer_relay::Break() {
  if (exchange_ != nullptr) std::exchange(exchange_, nullptr)->Abort();
}

void answer_relay::Reply(const http_response& response) {
  if (exchange_ != nullptr) std::exchange(exchange_, nullptr)->Reply(response);
}

}  // namespace citron
