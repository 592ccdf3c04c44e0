#include "node/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citron {

namespace {

// A connection on which nothing is confirmed for this long has lost its peer:
// ten round trips between the farthest regions, and three lost packets.
constexpr unsigned int kUnconfirmedLimitMs = 1500;
constexpr unsigned int kPausedLimitMs = 10'000;
// Probes of a connection that is silent, so that a waiting answer or an idle
// connection behind a cut isn't held for ever. A probe each 2 s on every kept
// connection costs under 100 bytes.
constexpr int kProbeAfterS = 2;
constexpr int kProbeIntervalS = 1;
constexpr int kProbes = 2;

}  // namespace

// A failure of any of these leaves a connection that works, with a default.
void SetSocketOptions(int descriptor) {
  SetCallerSocketOptions(descriptor);
  SetUnconfirmedLimit(descriptor, peer_reading::kAtOnce);
}

// TCP_USER_TIMEOUT also ends connections of peers that confirm every probe and
// keep their window closed.
void SetUnconfirmedLimit(int descriptor, peer_reading reading) {
  const unsigned int limit_ms =
      reading == peer_reading::kAtOnce ? kUnconfirmedLimitMs : kPausedLimitMs;
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
             sizeof(limit_ms));
}

void SetCallerSocketOptions(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeAfterS,
             sizeof(kProbeAfterS));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalS,
             sizeof(kProbeIntervalS));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

}  // namespace citron
