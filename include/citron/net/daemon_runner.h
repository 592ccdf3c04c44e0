#ifndef CITRON_NET_DAEMON_RUNNER_H_
#define CITRON_NET_DAEMON_RUNNER_H_

#include <functional>

#include "citron/net/event_loop.h"

namespace citron {

// Runs the loop until `stop`, called at the first SIGTERM or SIGINT, has
// called its argument. A later signal is told to `repeated`, with its number; a
// later SIGINT ends at once, a later SIGTERM changes nothing.
void RunUntilSignal(
    event_loop& loop, const std::function<void(std::function<void()>)>& stop,
    const std::function<void(int)>& repeated = [](int) {});

}  // namespace citron

#endif  // CITRON_NET_DAEMON_RUNNER_H_
