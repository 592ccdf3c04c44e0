#include "citron/net/daemon_runner.h"

#include <csignal>

namespace citron {

void RunUntilSignal(event_loop& loop,
                    const std::function<void(std::function<void()>)>& stop) {
  bool stopping = false;
  const auto on_signal = [&] {
    if (stopping) return loop.Stop();
    stopping = true;
    stop([&loop] { loop.Stop(); });
  };
  loop.OnSignal(SIGTERM, on_signal);
  loop.OnSignal(SIGINT, on_signal);
  loop.Run();
}

}  // namespace citron
