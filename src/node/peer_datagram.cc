#include "citron/node/peer_datagram.h"

#include <tuple>
#include <utility>

#include "citron/wire/codec.h"
#include "citron/wire/fields.h"

namespace citron {

namespace {

template <class T>
constexpr std::size_t kFieldsOf =
    std::tuple_size_v<decltype(WireFields(std::declval<T&>()))>;

static_assert(kFieldsOf<reach_report> == kFieldsOf<rate_limit_report>);

template <class T>
result<peer_datagram> ReadAs(std::string_view bytes) {
  result<T> read = DecodeWire<T>(bytes);
  if (!IsOk(read)) return ErrorOf(read);
  return peer_datagram(std::move(ValueOf(read)));
}

}  // namespace

// The number of fields tells the type, since a failed attempt to read another
// one costs more than the whole reading.
result<peer_datagram> ReadPeerDatagram(std::string_view bytes) {
  switch (WireFieldCount(bytes)) {
    case kFieldsOf<peer_report>:
      return ReadAs<peer_report>(bytes);
    case kFieldsOf<crash_report>:
      return ReadAs<crash_report>(bytes);
    case kFieldsOf<region_report>:
      return ReadAs<region_report>(bytes);
    case kFieldsOf<upstream_signal_report>:
      return ReadAs<upstream_signal_report>(bytes);
    case kFieldsOf<reach_report>: {
      result<peer_datagram> reach = ReadAs<reach_report>(bytes);
      return IsOk(reach) ? reach : ReadAs<rate_limit_report>(bytes);
    }
    default:
      return MakeError(error_code::kInvalid, "no known kind of datagram");
  }
}

}  // namespace citron
