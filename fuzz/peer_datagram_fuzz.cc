#include "citron/node/peer_datagram.h"

#include "citron/wire/codec.h"
#include "fuzz/require.h"

namespace citron {
namespace {

void Try(std::string_view bytes) {
  const result<peer_datagram> read = ReadPeerDatagram(bytes);
  if (!IsOk(read)) return Require(ErrorOf(read).code == error_code::kInvalid);
  const std::string written = std::visit(
      [](const auto& report) { return EncodeWire(report); }, ValueOf(read));
  const result<peer_datagram> again = ReadPeerDatagram(written);
  Require(IsOk(again) && ValueOf(again).index() == ValueOf(read).index());
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
