#ifndef CITRON_NET_EVENT_LOOP_H_
#define CITRON_NET_EVENT_LOOP_H_

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "citron/base/time.h"

struct event;
struct event_base;

namespace citron {

// One task's thread of work: sockets and timers call back here, one at a time.
// Other threads reach the task by Post alone.
class event_loop {
 public:
  static std::unique_ptr<event_loop> Make();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  event_base* Base() const { return base_; }

  // Runs until Stop.
  void Run();
  // Handles what is ready, without waiting; for tests that step a loop.
  void RunOnce();
  void Stop();

  // May be called from any thread; `work` runs on the loop's own.
  void Post(std::function<void()> work);

  // Only from the loop's thread: runs `work` after the present callback has
  // returned, so that an object can be freed that is still on the stack.
  void Defer(std::function<void()> work);

  // Calls `work` each time that the process gets the signal.
  void OnSignal(int signal_number, std::function<void()> work);

 private:
  struct posted_work;

  event_loop();
  void RunPosted();
  void RunDeferred();

  event_base* base_ = nullptr;
  event* wake_event_ = nullptr;
  event* deferred_event_ = nullptr;
  int wake_fd_ = -1;
  std::atomic<posted_work*> posted_{nullptr};
  std::vector<std::function<void()>> deferred_;
  struct signal_watch;
  std::vector<std::unique_ptr<signal_watch>> signals_;
};

// Calls back once at its deadline; arming again moves the deadline.
class loop_timer {
 public:
  loop_timer(event_loop& loop, std::function<void()> on_deadline);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  void Arm(monotonic_time deadline);
  void Disarm();
  // Calls back in the present turn of the loop, after what runs now and before
  // any socket is looked at again.
  void Fire();

 private:
  std::function<void()> on_deadline_;
  event* event_ = nullptr;
};

}  // namespace citron

#endif  // CITRON_NET_EVENT_LOOP_H_
