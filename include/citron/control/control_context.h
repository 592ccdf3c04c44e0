#ifndef CITRON_CONTROL_CONTROL_CONTEXT_H_
#define CITRON_CONTROL_CONTROL_CONTEXT_H_

#include <string>

#include "citron/config/settings.h"
#include "citron/net/event_loop.h"
#include "citron/net/metrics.h"
#include "citron/net/peer_socket.h"
#include "citron/platform/platform_store.h"
#include "citron/wire/codec.h"
#include "citron/wire/messages.h"

namespace citron {

// What the parts of a control share; all of it belongs to the one task.
struct control_context {
  event_loop& loop;
  const control_settings& settings;
  platform_store& store;
  peer_socket& peers;
  metrics& stats;
  std::uint64_t seed = 0;

  template <class T>
  void Send(const endpoint& to, message_type type, const T& message) const {
    peers.Send(to, static_cast<std::uint32_t>(type), EncodeWire(message));
  }
};

}  // namespace citron

#endif  // CITRON_CONTROL_CONTROL_CONTEXT_H_
