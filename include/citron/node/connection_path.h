#ifndef CITRON_NODE_CONNECTION_PATH_H_
#define CITRON_NODE_CONNECTION_PATH_H_

#include <string>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"

namespace citron {

// How a connection to an upstream is opened: by this VM itself, or in a tunnel
// through another VM.
struct connection_path {
  endpoint address;  // The upstream's.
  vm_id relay;       // Empty: no relay.
  endpoint relay_address;
  std::string relay_secret;
  // With a relay: open connections of this VM's own still work and go first.
  bool may_use_kept = false;
  // Otherwise only a connection that is open already may be used.
  bool can_open = true;
};

}  // namespace citron

#endif  // CITRON_NODE_CONNECTION_PATH_H_
