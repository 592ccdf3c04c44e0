#include "citron/protocol/share_table.h"
#include "fuzz/require.h"

namespace citron {
namespace {

void Try(std::string_view text) {
  const result<share_table> table = ParseShareTable(text);
  if (!IsOk(table)) return;
  Require(ValueOf(table).FreePpm() >= 0);
  const auto again = ParseShareTable(EncodeShareTable(ValueOf(table)));
  Require(IsOk(again) && ValueOf(again) == ValueOf(table));
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
