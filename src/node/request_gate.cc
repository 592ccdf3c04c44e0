#include "citron/node/request_gate.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "citron/net/http_types.h"

namespace citron {

namespace {

// Of the time after which a withdrawn key must not work any more: how old the
// proof of the declaration may be. The rest covers a watch that heard nothing
// for a moment while changes were made.
constexpr double kRevocationPart = 0.82;
// When a caller whose VM has lost the store should ask again: at once, since
// its next connection goes to another VM.
constexpr duration kElsewhere = std::chrono::milliseconds(50);
constexpr duration kStarting = std::chrono::milliseconds(300);

int CountOf(const http_headers& headers, std::string_view name) {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [&](const http_header& h) { return HeaderNameIs(h.name, name); }));
}

// The host without its port, in lower case.
std::string PlainHost(std::string_view host) {
  std::string plain(host.substr(0, host.find(':')));
  std::transform(plain.begin(), plain.end(), plain.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return plain;
}

// The key of "Authorization: SCHEME KEY"; none if there is no such header.
std::optional<std::string> KeyOf(const http_headers& headers,
                                 const std::string& scheme) {
  const auto value = FindHeader(headers, "Authorization");
  if (!value) return std::nullopt;
  const std::size_t space = value->find(' ');
  if (space == std::string_view::npos) return std::nullopt;
  if (!HeaderNameIs(value->substr(0, space), scheme)) return std::nullopt;
  const std::size_t begin = value->find_first_not_of(' ', space);
  if (begin == std::string_view::npos) return std::nullopt;
  return std::string(value->substr(begin));
}

}  // namespace

bool IsCurrentWithin(double revocation_part, const node_context& context,
                     monotonic_time now) {
  const fleet_bounds& bounds = context.settings.bounds;
  if (!bounds.strict_revocation) return context.feed.HasCopy();
  return context.feed.IsProvenWithin(
      FromSeconds(revocation_part * ToSeconds(bounds.revocation)), now);
}

std::variant<admitted_request, rejection> AdmitRequest(node_context& context,
                                                       const http1_head& head,
                                                       monotonic_time now) {
  if (CountOf(head.headers, "Host") != 1 || head.target.empty() ||
      head.target.front() != '/') {
    return rejection{400, "bad_target", {}};
  }
  admitted_request admitted;
  admitted.routing = context.fleet.Routing();
  if (admitted.routing == nullptr) {
    return rejection{503, "no_declaration_yet", kStarting};
  }
  const std::string host = PlainHost(*FindHeader(head.headers, "Host"));
  const std::string_view path =
      std::string_view(head.target).substr(0, head.target.find('?'));
  admitted.route = admitted.routing->MatchRoute(host, path);
  if (admitted.route == nullptr) return rejection{404, "no_route", {}};
  if (!admitted.route->needs_key) return admitted;

  if (!IsCurrentWithin(kRevocationPart, context, now)) {
    return rejection{503, "keys_not_current", kElsewhere};
  }
  const auto key = KeyOf(head.headers, context.names.key_scheme);
  admitted.workspace = key ? admitted.routing->FindWorkspace(*key) : nullptr;
  if (admitted.workspace == nullptr) return rejection{401, "unknown_key", {}};
  workspace_quota* quota = context.fleet.QuotaOf(admitted.workspace->id);
  if (quota != nullptr && !quota->TryAdmit(now)) {
    return rejection{429, "over_rate", quota->NextTokenAt(now) - now,
                     admitted.workspace->id, quota->State(now)};
  }
  return admitted;
}

}  // namespace citron
