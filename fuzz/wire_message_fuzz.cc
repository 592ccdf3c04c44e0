#include "citron/wire/codec.h"
#include "citron/wire/messages.h"
#include "fuzz/require.h"

namespace citron {
namespace {

// What can be read can be written, and read again.
template <class T>
void TryAs(std::string_view bytes) {
  const result<T> decoded = DecodeWire<T>(bytes);
  if (!IsOk(decoded)) return;
  const std::string encoded = EncodeWire(ValueOf(decoded));
  const result<T> again = DecodeWire<T>(encoded);
  Require(IsOk(again));
  Require(EncodeWire(ValueOf(again)) == encoded);
}

void Try(std::string_view bytes) {
  TryAs<hello>(bytes);
  TryAs<share_update>(bytes);
  TryAs<share_applied>(bytes);
  TryAs<dispatch_report>(bytes);
  TryAs<vm_view>(bytes);
  TryAs<fleet_view>(bytes);
  TryAs<store_call_message>(bytes);
  TryAs<store_answer_message>(bytes);
  TryAs<config_pull_message>(bytes);
  TryAs<config_delta_message>(bytes);
  TryAs<loan_message<loan_request>>(bytes);
  TryAs<loan_message<loan_grant>>(bytes);
  TryAs<loan_message<loan_return>>(bytes);
  TryAs<poison_message>(bytes);
  TryAs<suspect_message>(bytes);
  TryAs<permit_ask>(bytes);
  TryAs<permit_grant>(bytes);
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
