#ifndef STANDINS_HTTP_JSON_H_
#define STANDINS_HTTP_JSON_H_

#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "citron/net/http_types.h"

namespace citron {

inline http_response JsonResponse(int status, const nlohmann::json& body) {
  return {{status, {{"Content-Type", "application/json"}}},
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

// Nothing if the parameter is absent or not a whole number.
inline std::optional<std::uint64_t> QueryNumber(const http_request& request,
                                                std::string_view name) {
  const std::optional<std::string> text = request.Query(name);
  if (!text) return std::nullopt;
  std::uint64_t number = 0;
  const char* end = text->data() + text->size();
  const auto [rest, problem] = std::from_chars(text->data(), end, number);
  if (text->empty() || problem != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace citron

#endif  // STANDINS_HTTP_JSON_H_
