#ifndef CITRON_CTL_TASK_WAITER_H_
#define CITRON_CTL_TASK_WAITER_H_

#include <optional>
#include <utility>

#include "citron/base/time.h"
#include "citron/net/event_loop.h"

namespace citron {

// Lets a command that does one thing after another wait for callbacks.
class task_waiter {
 public:
  virtual ~task_waiter() = default;

  virtual monotonic_time Now() const = 0;
  // Handles events until Wake is called.
  virtual void Wait() = 0;
  virtual void Wake() = 0;
  virtual void PauseUntil(monotonic_time time) = 0;
};

class loop_waiter final : public task_waiter {
 public:
  explicit loop_waiter(event_loop& loop) : loop_(loop) {}

  monotonic_time Now() const override { return MonotonicNow(); }
  void Wait() override { loop_.Run(); }
  void Wake() override { loop_.Stop(); }
  void PauseUntil(monotonic_time time) override;

 private:
  event_loop& loop_;
};

// Starts a call by `start`, which gets the callback to hand on, and answers
// with what the callback got.
template <class Result, class Start>
Result Await(task_waiter& waiter, Start start) {
  std::optional<Result> got;
  start([&](Result r) {
    got.emplace(std::move(r));
    waiter.Wake();
  });
  while (!got) waiter.Wait();
  return std::move(*got);
}

}  // namespace citron

#endif  // CITRON_CTL_TASK_WAITER_H_
