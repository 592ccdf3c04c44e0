#include "citron/wire/envelope.h"
#include "fuzz/require.h"

namespace citron {
namespace {

constexpr char kSecret[] = "a secret of the fleet";
constexpr char kHere[] = "127.0.0.1:1";

// Bytes of a stranger are never an envelope; what was sealed comes out whole.
void Try(std::string_view text) {
  Require(!IsOk(OpenEnvelope(kSecret, kHere, text)));
  envelope message;
  message.sender = std::string(TakeLine(text));
  message.to = kHere;
  message.incarnation = text.size();
  message.sequence = 7;
  message.type = 3;
  message.body = std::string(text);
  std::string sealed = SealEnvelope(kSecret, message);
  const result<envelope> opened = OpenEnvelope(kSecret, kHere, sealed);
  Require(IsOk(opened));
  Require(ValueOf(opened).sender == message.sender);
  Require(ValueOf(opened).body == message.body);
  Require(!IsOk(OpenEnvelope("another secret of a fleet", kHere, sealed)));
  Require(!IsOk(OpenEnvelope(kSecret, "127.0.0.1:2", sealed)));
  sealed[text.size() % sealed.size()] ^= 1;
  Require(!IsOk(OpenEnvelope(kSecret, kHere, sealed)));
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
