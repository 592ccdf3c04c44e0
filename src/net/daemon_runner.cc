#include "citron/net/daemon_runner.h"

#include <csignal>

namespace citron {

void RunUntilSignal(event_loop& loop,
                    const std::function<void(std::function<void()>)>& stop,
                    const std::function<void(int)>& repeated) {
  bool stopping = false;
  const auto on_signal = [&](int signal_number) {
    if (stopping) {
      repeated(signal_number);
      // Who sends SIGTERM twice wants the same as before; who presses ^C twice
      // doesn't want to wait.
      if (signal_number == SIGINT) loop.Stop();
      return;
    }
    stopping = true;
    stop([&loop] { loop.Stop(); });
  };
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal_number,
                  [&on_signal, signal_number] { on_signal(signal_number); });
  }
  loop.Run();
}

}  // namespace citron
