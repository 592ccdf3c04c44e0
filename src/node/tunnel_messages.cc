#include "citron/node/tunnel_messages.h"

#include <fmt/format.h>

#include "citron/base/digest.h"
#include "node/status_text.h"

namespace citron {

namespace {

constexpr char kMethod[] = "CONNECT";
constexpr char kUpstreamHeader[] = "Citron-Upstream";
constexpr char kSealHeader[] = "Citron-Seal";
// Sealed before the rest, so that no other sealed message can stand for it.
constexpr std::string_view kPurpose = "tunnel\n";

std::string Seal(const tunnel_request& request, std::string_view secret) {
  return HmacSha256Hex(
      secret, kPurpose,
      fmt::format("{}\n{}", request.upstream.Str(), request.address.Str()));
}

}  // namespace

std::string MakeTunnelRequest(const tunnel_request& request,
                              std::string_view secret) {
  return fmt::format(
      "{0} {1} HTTP/1.1\r\nHost: {1}\r\n{2}: {3}\r\n{4}: {5}\r\n\r\n", kMethod,
      request.address.Str(), kUpstreamHeader, request.upstream.Str(),
      kSealHeader, Seal(request, secret));
}

result<tunnel_request> ReadTunnelRequest(const http1_head& head,
                                         std::string_view secret) {
  const auto address = ParseEndpoint(head.target);
  const auto upstream = FindHeader(head.headers, kUpstreamHeader);
  if (head.method != kMethod || !address || !upstream) {
    return MakeError(error_code::kInvalid, "no request for a tunnel");
  }
  tunnel_request request{upstream_id(std::string(*upstream)), *address};
  const std::string_view seal =
      FindHeader(head.headers, kSealHeader).value_or("");
  if (secret.empty() || !EqualInConstantTime(seal, Seal(request, secret))) {
    return MakeError(error_code::kInvalid, "the seal does not match");
  }
  return request;
}

std::string MakeTunnelAnswer(const tunnel_refusal& refusal) {
  const std::string retry_after =
      refusal.retry_after > duration::zero()
          ? fmt::format("Retry-After: {:.3f}\r\n",
                        ToSeconds(refusal.retry_after))
          : "";
  return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: 0\r\n\r\n",
                     refusal.status, StatusText(refusal.status), retry_after);
}

std::string MakeTunnelAnswer(int status) {
  return MakeTunnelAnswer(tunnel_refusal{status, duration::zero()});
}

}  // namespace citron
