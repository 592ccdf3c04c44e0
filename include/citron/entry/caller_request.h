#ifndef CITRON_ENTRY_CALLER_REQUEST_H_
#define CITRON_ENTRY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/entry/caller_error.h"
#include "citron/net/http_types.h"

namespace citron {

// What callers write, read strictly.

// Methods that may be run twice without harm.
bool IsIdempotent(std::string_view method);

// "/service/rest?query" as the service and what its upstream is asked for.
struct service_target {
  service_id service;
  std::string target;
};
service_target SplitTarget(const std::string& target);

// An IPv4 address in host byte order.
std::optional<std::uint32_t> ParseAddress(const std::string& text);

// The whole text is one decimal number; anything else is none.
std::optional<int> ParseCount(std::string_view text);

// The key of "Authorization: Bearer KEY".
std::variant<std::string_view, caller_error> ReadKey(
    const http_headers& headers);

// How long the caller says it waits; none if it doesn't say.
std::variant<std::optional<duration>, caller_error> ReadDeadline(
    const http_headers& headers);

}  // namespace citron

#endif  // CITRON_ENTRY_CALLER_REQUEST_H_
