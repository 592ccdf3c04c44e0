#ifndef CITRON_BASE_ENDPOINT_H_
#define CITRON_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace citron {

// An IPv4 address with a port; port 0 asks the kernel to choose one.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default <=>.
  friend auto operator<=>(const endpoint&, const endpoint&) = default;

  bool IsEmpty() const { return address.empty(); }
  // "address:port"
  std::string Str() const;
};

// Accepts "a.b.c.d:port" only; host names are not resolved.
std::optional<endpoint> ParseEndpoint(std::string_view text);

}  // namespace citron

template <>
struct std::hash<citron::endpoint> {
  std::size_t operator()(const citron::endpoint& e) const {
    return std::hash<std::string>()(e.address) * 65599u + e.port;
  }
};

#endif  // CITRON_BASE_ENDPOINT_H_
