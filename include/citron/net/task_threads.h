#ifndef CITRON_NET_TASK_THREADS_H_
#define CITRON_NET_TASK_THREADS_H_

#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "citron/base/result.h"
#include "citron/base/time.h"
#include "citron/net/daemon_runner.h"
#include "citron/net/event_loop.h"

namespace citron {

// Several tasks of one kind, each with a loop on a thread of its own; the first
// runs on the calling thread. They share nothing but messages.
template <class Task>
class task_threads {
 public:
  using make_task =
      std::function<result<std::unique_ptr<Task>>(event_loop& loop, int index)>;

  // Makes every task before any runs, so that a bad address is reported at the
  // start.
  status Make(int count, const make_task& make) {
    for (int i = 0; i < count; ++i) {
      loops_.push_back(event_loop::Make());
      result<std::unique_ptr<Task>> made = make(*loops_.back(), i);
      if (!IsOk(made)) return ErrorOf(made);
      tasks_.push_back(std::move(ValueOf(made)));
    }
    return std::monostate{};
  }

  Task& First() { return *tasks_.front(); }

  // Runs until a signal came and every task has left. How long leaving took.
  duration Run() {
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < loops_.size(); ++i) {
      threads.emplace_back([loop = loops_[i].get()] { loop->Run(); });
    }
    RunUntilSignal(*loops_.front(), [this](std::function<void()> done) {
      Leave(std::move(done));
    });
    for (std::size_t i = 1; i < loops_.size(); ++i) {
      loops_[i]->Post([loop = loops_[i].get()] { loop->Stop(); });
    }
    for (std::thread& thread : threads) thread.join();
    return MonotonicNow() - told_at_;
  }

 private:
  void Leave(std::function<void()> done) {
    told_at_ = MonotonicNow();
    waiting_ = loops_.size();
    event_loop* first = loops_.front().get();
    const auto on_left = [this, first, done = std::move(done)] {
      // Counted on the first loop, wherever the task that left runs.
      first->Post([this, done] {
        if (--waiting_ == 0) done();
      });
    };
    for (std::size_t i = 0; i < loops_.size(); ++i) {
      loops_[i]->Post(
          [task = tasks_[i].get(), on_left] { task->Leave(on_left); });
    }
  }

  // Tasks go before their loops.
  std::vector<std::unique_ptr<event_loop>> loops_;
  std::vector<std::unique_ptr<Task>> tasks_;
  std::size_t waiting_ = 0;
  monotonic_time told_at_;
};

}  // namespace citron

#endif  // CITRON_NET_TASK_THREADS_H_
