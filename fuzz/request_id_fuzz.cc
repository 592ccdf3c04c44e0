#include <fmt/format.h>

#include "citron/protocol/request_registry.h"
#include "fuzz/require.h"

namespace citron {
namespace {

// An id has one spelling.
void Try(std::string_view text) {
  const std::optional<request_id_parts> parts = ParseRequestId(text);
  if (!parts) return;
  const std::string spelt =
      fmt::format("{}.{}.{}.{}.{}", parts->vm.Str(), parts->incarnation,
                  parts->number, parts->expires_at_ms, parts->mac);
  Require(spelt == text);
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
