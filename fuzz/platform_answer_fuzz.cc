#include "citron/platform/answer_parser.h"
#include "fuzz/require.h"

namespace citron {
namespace {

template <class T>
void Check(const result<T>& parsed) {
  if (!IsOk(parsed)) Require(ErrorOf(parsed).code == error_code::kInvalid);
}

void Try(std::string_view text) {
  Check(ParseStoreItem(text));
  Check(ParseRevision(text));
  Check(ParseConflict(text));
  Check(ParseRange(text));
  Check(ParseEvents(text));
  Check(ParseLease(text));
  Check(ParseVms(text));
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
