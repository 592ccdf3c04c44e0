#include "citron/ctl/task_waiter.h"

namespace citron {

void loop_waiter::PauseUntil(monotonic_time time) {
  bool passed = false;
  loop_timer timer(loop_, [&] {
    passed = true;
    Wake();
  });
  timer.Arm(time);
  while (!passed) Wait();
}

}  // namespace citron
