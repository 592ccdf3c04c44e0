#include "citron/net/event_loop.h"

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace citron {

struct event_loop::posted_work {
  std::function<void()> work;
  posted_work* next = nullptr;
};

struct event_loop::signal_watch {
  std::function<void()> work;
  event* signal_event = nullptr;
};

std::unique_ptr<event_loop> event_loop::Make() {
  return std::unique_ptr<event_loop>(new event_loop());
}

event_loop::event_loop() {
  // A peer that closed its socket must give an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  // A kept connection turns its reading and writing on and off several times a
  // request; with the list only what is left at the end of a turn reaches the
  // kernel. Unsafe for duplicated descriptors alone, and nothing here makes
  // any.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  // Without a base or a descriptor nothing of the process can work.
  if (base_ == nullptr || wake_fd_ < 0) std::abort();
  wake_event_ = event_new(
      base_, wake_fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        static_cast<event_loop*>(self)->RunPosted();
      },
      this);
  event_add(wake_event_, nullptr);
  deferred_event_ = event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        static_cast<event_loop*>(self)->RunDeferred();
      },
      this);
}

event_loop::~event_loop() {
  // Not run: what deferred work refers to may be gone already.
  deferred_.clear();
  for (const auto& watch : signals_) event_free(watch->signal_event);
  event_free(deferred_event_);
  event_free(wake_event_);
  posted_work* work = posted_.exchange(nullptr);
  while (work != nullptr) {
    posted_work* next = work->next;
    delete work;
    work = next;
  }
  event_base_free(base_);
  close(wake_fd_);
}

void event_loop::Run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void event_loop::RunOnce() { event_base_loop(base_, EVLOOP_NONBLOCK); }

void event_loop::Stop() { event_base_loopbreak(base_); }

void event_loop::Post(std::function<void()> work) {
  auto* added = new posted_work{std::move(work), nullptr};
  added->next = posted_.load(std::memory_order_relaxed);
  while (!posted_.compare_exchange_weak(added->next, added,
                                        std::memory_order_release,
                                        std::memory_order_relaxed)) {
  }
  const std::uint64_t one = 1;
  // Fails only when the counter is full, and then the loop is awake anyway.
  [[maybe_unused]] const ssize_t written = write(wake_fd_, &one, sizeof(one));
}

void event_loop::Defer(std::function<void()> work) {
  if (deferred_.empty()) event_active(deferred_event_, EV_TIMEOUT, 1);
  deferred_.push_back(std::move(work));
}

void event_loop::OnSignal(int signal_number, std::function<void()> work) {
  auto watch = std::make_unique<signal_watch>();
  watch->work = std::move(work);
  watch->signal_event = evsignal_new(
      base_, signal_number,
      [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int)
        static_cast<signal_watch*>(arg)->work();
      },
      watch.get());
  event_add(watch->signal_event, nullptr);
  signals_.push_back(std::move(watch));
}

void event_loop::RunPosted() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = read(wake_fd_, &count, sizeof(count));
  // The list is last in, first out; messages are to run in posting order.
  std::vector<std::unique_ptr<posted_work>> batch;
  posted_work* work = posted_.exchange(nullptr, std::memory_order_acquire);
  for (; work != nullptr; work = work->next) batch.emplace_back(work);
  std::reverse(batch.begin(), batch.end());
  for (const auto& item : batch) item->work();
}

void event_loop::RunDeferred() {
  const std::vector<std::function<void()>> batch = std::exchange(deferred_, {});
  for (const auto& work : batch) work();
}

loop_timer::loop_timer(event_loop& loop, std::function<void()> on_deadline)
    : on_deadline_(std::move(on_deadline)) {
  event_ = event_new(
      loop.Base(), -1, 0,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        static_cast<loop_timer*>(self)->on_deadline_();
      },
      this);
}

loop_timer::~loop_timer() { event_free(event_); }

void loop_timer::Arm(monotonic_time deadline) {
  const duration left = std::max(deadline - MonotonicNow(), duration::zero());
  // Rounded up, so that the timer never fires before its deadline.
  const auto us = std::chrono::ceil<std::chrono::microseconds>(left).count();
  const timeval delay{us / 1000000, us % 1000000};
  event_add(event_, &delay);
}

void loop_timer::Disarm() { event_del(event_); }

void loop_timer::Fire() { event_active(event_, EV_TIMEOUT, 1); }

}  // namespace citron
