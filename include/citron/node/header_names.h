#ifndef CITRON_NODE_HEADER_NAMES_H_
#define CITRON_NODE_HEADER_NAMES_H_

#include <string>

namespace citron {

// Names of the headers that callers, upstreams and this system exchange; given
// by who composes the daemon, so that a deployment may have its own.
struct header_names {
  std::string request_id;         // The caller's, echoed by upstreams.
  std::string deadline_ms;        // Milliseconds that the caller still waits.
  std::string affinity;           // The object that the request is about.
  std::string signature;          // Proves that an upstream made the answer.
  std::string workspace;          // Whose request it is, for the upstream.
  std::string expected_upstream;  // Any other one answers "not run".
  std::string load;               // Running, waiting, slots.
  std::string rate_limit;         // Requests a second from all VMs together.
  std::string pause;              // Seconds without requests, with a 503.
  std::string leaving;            // "1": the upstream leaves.
  std::string not_run;            // The upstream did not run the request.
  std::string upstream;           // Which upstream answered.
  std::string cold_ms;            // How long it stays cold.
  std::string key_scheme;         // Of the header "Authorization".
};

}  // namespace citron

#endif  // CITRON_NODE_HEADER_NAMES_H_
