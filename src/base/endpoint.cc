#include "citron/base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace citron {

std::string endpoint::Str() const {
  return address + ":" + std::to_string(port);
}

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  endpoint parsed;
  parsed.address = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [rest, problem] = std::from_chars(port.data(), end, parsed.port);
  if (port.empty() || problem != std::errc() || rest != end) {
    return std::nullopt;
  }
  in_addr ignored;
  if (inet_pton(AF_INET, parsed.address.c_str(), &ignored) != 1) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace citron
