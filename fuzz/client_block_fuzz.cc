#include "citron/policy/client_table.h"
#include "fuzz/require.h"

namespace citron {
namespace {

void Try(std::string_view text) {
  const std::optional<client_block> block = ParseClientBlock(text);
  if (!block) return;
  Require(text.find('/') != std::string_view::npos);
  Require(block->prefix_length >= 0 && block->prefix_length <= 32);
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
