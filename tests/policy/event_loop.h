#ifndef CITRON_TESTS_POLICY_EVENT_LOOP_H_
#define CITRON_TESTS_POLICY_EVENT_LOOP_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "citron/base/time.h"

namespace citron {

// Runs events in the order of their simulated time, and events of equal time in
// the order in which they were added.
class event_loop {
 public:
  void At(duration at, std::function<void()> run) {
    events_.push(
        {std::max(at, elapsed_), next_sequence_number_++, std::move(run)});
  }
  // Runs until no event is left.
  void Run() {
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      elapsed_ = next.at;
      next.run();
    }
  }
  duration Elapsed() const { return elapsed_; }
  monotonic_time Now() const { return monotonic_time(elapsed_); }

 private:
  struct event {
    duration at{};
    std::uint64_t sequence_number = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at
                            : sequence_number > other.sequence_number;
    }
  };

  std::priority_queue<event> events_;
  std::uint64_t next_sequence_number_ = 0;
  duration elapsed_{};
};

}  // namespace citron

#endif  // CITRON_TESTS_POLICY_EVENT_LOOP_H_
