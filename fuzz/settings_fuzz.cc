#include "citron/config/settings.h"
#include "fuzz/require.h"

namespace citron {
namespace {

void Try(std::string_view text) {
  const auto control = ParseControlSettings(text);
  if (!IsOk(control)) Require(!ErrorOf(control).message.empty());
  const auto entry = ParseEntrySettings(text);
  if (IsOk(entry)) Require(ValueOf(entry).loops >= 1);
  const auto dispatch = ParseDispatchSettings(text);
  if (IsOk(dispatch)) Require(ValueOf(dispatch).loops >= 1);
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
