#ifndef CITRON_LINK_ANSWER_RELAY_H_
#define CITRON_LINK_ANSWER_RELAY_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "citron/net/http_client.h"
#include "citron/net/http_server.h"

namespace citron {

// The asking side of a forwarded request: passes an answer on from the
// connection that it comes by, no faster than the asker takes it.
class answer_relay {
 public:
  // `gone` is called when the asker hangs up before it has its answer.
  answer_relay(http_exchange& exchange, std::function<void()> gone);
  answer_relay(const answer_relay&) = delete;
  answer_relay& operator=(const answer_relay&) = delete;

  // The connection whose reading is paused for a slow asker; may be null.
  void SetSource(http_connection* source) { source_ = source; }

  // The asker is there and has not had its whole answer.
  bool IsOpen() const { return exchange_ != nullptr; }
  // Part of an answer has gone out: no other answer can follow.
  bool IsStarted() const { return started_; }
  std::uint64_t BodyBytes() const { return body_bytes_; }

  void Start(const http_response_head& head);
  void StartPassed(const passed_head& head);
  void Body(std::string_view bytes);
  void Finish();
  // The asker sees a broken answer, never a short one that looks whole.
  void Break();
  // A whole answer of our own.
  void Reply(const http_response& response);

 private:
  http_exchange* exchange_;
  http_connection* source_ = nullptr;
  bool started_ = false;
  std::uint64_t body_bytes_ = 0;
};

}  // namespace citron

#endif  // CITRON_LINK_ANSWER_RELAY_H_
