#include "citron/protocol/ownership_table.h"
#include "fuzz/require.h"

namespace citron {
namespace {

void Try(std::string_view text) {
  const result<ownership_table> table = ParseOwnershipTable(text);
  if (!IsOk(table)) return;
  const auto again = ParseOwnershipTable(WriteOwnershipTable(ValueOf(table)));
  Require(IsOk(again) && ValueOf(again) == ValueOf(table));
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
