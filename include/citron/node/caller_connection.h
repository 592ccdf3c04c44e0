#ifndef CITRON_NODE_CALLER_CONNECTION_H_
#define CITRON_NODE_CALLER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "citron/base/time.h"
#include "citron/config/routing_config.h"
#include "citron/net/event_loop.h"
#include "citron/net/http1_reader.h"
#include "citron/node/caller_exchange.h"
#include "citron/policy/memory_budget.h"

struct bufferevent;

namespace citron {

// One caller's connection: reads requests one after the other and writes their
// answers. It watches for the caller's end all the while.
class caller_connection : private http1_listener, private caller_exchange {
 public:
  using on_end = std::function<void(caller_connection&)>;

  // Takes the descriptor. What it holds counts in `memory`. `ended` is called
  // once, when nothing is to be done any more; the connection may be destroyed
  // after the callback has returned.
  caller_connection(event_loop& loop, int descriptor,
                    const caller_limits& limits, memory_budget& memory,
                    request_handler_factory& handlers, on_end ended);
  ~caller_connection() override;

  // Answers tell the caller from now on that the connection closes. What the
  // caller has not taken of them goes to the kernel.
  void StopAfterAnswer();
  // Leaves to the kernel what it can deliver after the end of the process,
  // which must follow. Returns whether the caller loses nothing by that end.
  bool EndWithProcess();
  // Bytes of answers that this process or the kernel still holds.
  std::size_t UntakenBytes() const;
  // Closes now if no request is under way or has begun to come in.
  void CloseIfIdle();
  bool IsIdle() const;

 private:
  enum class state { kReading, kServing, kClosing, kEnded };
  struct callbacks;

  // http1_listener
  void OnHead(http1_head head) override;
  void OnBody(std::string_view bytes) override;

  // caller_exchange
  void Reply(int status, const http_headers& headers,
             std::string_view body) override;
  void StartReply(int status, const http_headers& headers,
                  std::optional<std::uint64_t> length) override;
  void SendBody(std::string_view bytes) override;
  void FinishBody() override;
  void Abort() override;
  std::size_t PendingBytes() const override;
  void PauseBody() override;
  void ResumeBody() override;

  std::size_t MaxInput() const;
  void OnReadable();
  void OnWritten();
  void UpdateHeld();
  // Lets the kernel take what is left of an answer.
  void HandOver();
  // Leaves what comes with the kernel; the caller's end is looked for.
  void StopInput();
  void StartInput();
  void LookForEnd();
  void OnClosed(connection_cut cause);
  void OnDeadline();
  void OnCloseLimit();
  void OnIdleLimit();
  void StartTaking(monotonic_time now);
  // Whether the caller takes on; one that takes nearly nothing for the idle
  // limit is given up.
  bool TakesOn(monotonic_time now);
  void ReadOn();
  void RefuseMalformed();
  void WriteHead(int status, const http_headers& headers,
                 std::optional<std::uint64_t> length);
  void Write(std::string_view bytes);
  void EndAnswer();
  void RetireHandler();
  void BeginClose();
  void End();

  event_loop& loop_;
  caller_limits limits_;
  memory_budget& memory_;
  request_handler_factory& handlers_;
  on_end ended_;
  bufferevent* bytes_ = nullptr;
  memory_budget::account held_;
  http1_reader reader_;
  loop_timer timer_;
  loop_timer end_timer_;  // While nothing is read.
  state state_ = state::kReading;
  std::unique_ptr<request_handler> handler_;
  bool in_reader_ = false;
  bool body_paused_ = false;
  bool request_complete_ = false;
  bool request_begun_ = false;
  bool keep_alive_ = true;
  bool closing_after_answer_ = false;
  bool answer_chunked_ = false;
  bool answer_has_body_ = true;
  bool answered_ = false;
  std::uint64_t body_bytes_ = 0;
  // Of answers, beyond the usual size of the kernel's buffer.
  std::size_t handed_over_ = 0;
  // Behind the last answer, at the last look.
  std::size_t untaken_ = 0;
  monotonic_time looked_at_{};
  monotonic_time give_up_at_{};
  // Gone with the connection; for what was deferred before.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citron

#endif  // CITRON_NODE_CALLER_CONNECTION_H_
