#ifndef TESTS_NET_LOOP_FIXTURE_H_
#define TESTS_NET_LOOP_FIXTURE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <thread>

#include "citron/net/event_loop.h"

namespace citron {

// A loop on the test's own thread, run until a condition holds.
class loop_fixture {
 public:
  event_loop& Loop() { return *loop_; }

  // False if the condition does not come to hold within a generous limit.
  bool RunUntil(const std::function<bool()>& condition) {
    const monotonic_time limit = MonotonicNow() + std::chrono::seconds(20);
    while (!condition()) {
      if (MonotonicNow() > limit) return false;
      loop_->RunOnce();
      std::this_thread::yield();
    }
    return true;
  }

 private:
  std::unique_ptr<event_loop> loop_ = event_loop::Make();
};

}  // namespace citron

#endif  // TESTS_NET_LOOP_FIXTURE_H_
