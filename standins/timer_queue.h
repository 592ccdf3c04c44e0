#ifndef STANDINS_TIMER_QUEUE_H_
#define STANDINS_TIMER_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "citron/base/time.h"
#include "citron/net/event_loop.h"

namespace citron {

// Work to be done at given times, on one timer. Nothing is taken back: work
// that may have become pointless checks so itself.
class timer_queue {
 public:
  explicit timer_queue(event_loop& loop) : timer_(loop, [this] { RunDue(); }) {}

  void At(monotonic_time deadline, std::function<void()> work) {
    work_.emplace(deadline, std::move(work));
    timer_.Arm(work_.begin()->first);
  }

 private:
  void RunDue() {
    const monotonic_time now = MonotonicNow();
    while (!work_.empty() && work_.begin()->first <= now) {
      const std::function<void()> work = std::move(work_.begin()->second);
      work_.erase(work_.begin());
      work();
    }
    if (!work_.empty()) timer_.Arm(work_.begin()->first);
  }

  std::multimap<monotonic_time, std::function<void()>> work_;
  loop_timer timer_;
};

}  // namespace citron

#endif  // STANDINS_TIMER_QUEUE_H_
