#include "node/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

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

int SendBufferBytes(int descriptor) {
  int bytes = 0;
  socklen_t size = sizeof(bytes);
  const bool is_known =
      getsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, &size) == 0;
  // Half of what the kernel reports is for its own overhead.
  return is_known ? bytes / 2 : 0;
}

// The kernel cuts larger wishes down to its limit, below what a buffer may have
// grown to by itself.
int LargestSendBuffer() {
  static const int largest = [] {
    constexpr int kBeyondAnyLimit = 1 << 30;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (probe < 0) return 0;
    setsockopt(probe, SOL_SOCKET, SO_SNDBUF, &kBeyondAnyLimit,
               sizeof(kBeyondAnyLimit));
    const int bytes = SendBufferBytes(probe);
    close(probe);
    return bytes;
  }();
  return largest;
}

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

void GrowSendBuffer(int descriptor, std::size_t bytes) {
  const int largest = LargestSendBuffer();
  const int wanted = bytes < static_cast<std::size_t>(largest)
                         ? static_cast<int>(bytes)
                         : largest;
  if (wanted <= SendBufferBytes(descriptor)) return;
  setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &wanted, sizeof(wanted));
}

std::size_t UnconfirmedBytes(int descriptor) {
  int bytes = 0;
  if (ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

}  // namespace citron
