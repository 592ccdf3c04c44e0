#include "node/forwarded_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

namespace citron {

namespace {

constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "Connection", "Keep-Alive",         "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding",  "Upgrade",          "Content-Length",
    "Expect",     "Proxy-Authorization"};

bool Names(const auto& list, std::string_view name) {
  return std::any_of(list.begin(), list.end(), [name](const auto& entry) {
    return HeaderNameIs(name, entry);
  });
}

// Headers that "Connection" names concern that connection too.
std::vector<std::string> NamedByConnection(const http_headers& headers) {
  std::vector<std::string> named;
  for (const http_header& header : headers) {
    if (!HeaderNameIs(header.name, "Connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      std::string_view name = rest.substr(0, comma);
      rest.remove_prefix(std::min(comma + 1, rest.size()));
      while (name.starts_with(' ')) name.remove_prefix(1);
      while (name.ends_with(' ')) name.remove_suffix(1);
      if (!name.empty()) named.emplace_back(name);
    }
  }
  return named;
}

bool PassesConnection(const std::string& name,
                      const std::vector<std::string>& named) {
  return !Names(kConnectionHeaders, name) && !Names(named, name);
}

void Append(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string MakeUpstreamHead(const http1_head& head, const header_names& names,
                             const upstream_id& upstream,
                             const workspace_id& workspace, duration time_left,
                             const body_framing& framing) {
  std::string out = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
  const std::vector<std::string> named = NamedByConnection(head.headers);
  // What a caller says in these would be taken for this system's word.
  const std::array<std::string_view, 4> own = {
      "Authorization", names.deadline_ms, names.workspace,
      names.expected_upstream};
  for (const http_header& header : head.headers) {
    if (!PassesConnection(header.name, named)) continue;
    if (Names(own, header.name)) continue;
    Append(out, header.name, header.value);
  }
  Append(out, names.deadline_ms,
         std::to_string(std::max<std::int64_t>(
             1, static_cast<std::int64_t>(ToMilliseconds(time_left)))));
  Append(out, names.expected_upstream, upstream.Str());
  if (!workspace.IsEmpty()) Append(out, names.workspace, workspace.Str());
  if (framing.chunked) Append(out, "Transfer-Encoding", "chunked");
  if (framing.length) {
    Append(out, "Content-Length", std::to_string(*framing.length));
  }
  out += "\r\n";
  return out;
}

http_headers CallerHeaders(const http_headers& headers,
                           const header_names& names) {
  const std::vector<std::string> named = NamedByConnection(headers);
  http_headers passed;
  for (const http_header& header : headers) {
    if (!PassesConnection(header.name, named)) continue;
    // The state of an upstream concerns nobody outside.
    if (HeaderNameIs(header.name, names.load)) continue;
    if (HeaderNameIs(header.name, names.leaving)) continue;
    if (HeaderNameIs(header.name, names.cold_ms)) continue;
    passed.push_back(header);
  }
  return passed;
}

}  // namespace citron
