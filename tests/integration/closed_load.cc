#include "integration/closed_load.h"

#include <algorithm>
#include <utility>

namespace citron {

closed_load::closed_load(http_caller& caller, int workers, plan_next next,
                         on_end ended)
    : caller_(caller),
      next_(std::move(next)),
      ended_(std::move(ended)),
      workers_(static_cast<std::size_t>(workers)) {}

bool closed_load::Pump() {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    worker& w = workers_[i];
    const int number = static_cast<int>(i);
    if (w.call && w.call->IsDone()) {
      ++ended_count_;
      ended_(number, w.planned, *std::exchange(w.call, nullptr));
    }
    if (w.call || stopping_) continue;
    w.planned = next_(number);
    w.call =
        caller_.Start(w.planned.server, w.planned.request, w.planned.limit);
  }
  return true;
}

bool closed_load::RunUntil(const std::function<bool()>& condition) {
  return caller_.WaitFor([&] { return Pump() && condition(); });
}

bool closed_load::Stop() {
  stopping_ = true;
  return caller_.WaitFor([&] {
    Pump();
    return std::all_of(workers_.begin(), workers_.end(),
                       [](const worker& w) { return w.call == nullptr; });
  });
}

}  // namespace citron
