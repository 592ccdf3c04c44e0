#ifndef CITRON_NODE_TUNNEL_MESSAGES_H_
#define CITRON_NODE_TUNNEL_MESSAGES_H_

#include <string>
#include <string_view>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/net/http1_reader.h"

namespace citron {

// Asks another VM for a tunnel to an upstream: an HTTP CONNECT with a seal by
// the secret that the other VM lists. After an answer with 200 the connection
// carries the upstream's bytes and nothing else.
struct tunnel_request {
  upstream_id upstream;
  endpoint address;  // As the asking VM knows it.
};

constexpr int kTunnelOpen = 200;
constexpr int kTunnelUnsealed = 401;
constexpr int kTunnelUpstreamPaused = 429;    // It wants no requests from here.
constexpr int kTunnelUpstreamRefused = 502;   // The upstream's fault.
constexpr int kTunnelUnavailable = 503;       // The relay can't open any.
constexpr int kTunnelUpstreamTimedOut = 504;  // The upstream's fault.

std::string MakeTunnelRequest(const tunnel_request& request,
                              std::string_view secret);
result<tunnel_request> ReadTunnelRequest(const http1_head& head,
                                         std::string_view secret);
// Why no tunnel is opened, and when to ask again; zero: not said.
struct tunnel_refusal {
  int status = kTunnelUnavailable;
  duration retry_after{};
};

std::string MakeTunnelAnswer(const tunnel_refusal& refusal);
std::string MakeTunnelAnswer(int status);

}  // namespace citron

#endif  // CITRON_NODE_TUNNEL_MESSAGES_H_
