#include "citron/wire/envelope.h"

#include <fmt/format.h>

#include "citron/base/digest.h"
#include "citron/wire/codec.h"

namespace citron {

namespace {

constexpr std::size_t kMacSize = 64;

struct packed_envelope {
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string to;
  std::uint32_t type = 0;
  std::string body;

  MSGPACK_DEFINE_ARRAY(sender, incarnation, sequence, to, type, body);
};

}  // namespace

std::string SealEnvelope(std::string_view secret, const envelope& message) {
  const std::string packed = EncodeWire(
      packed_envelope{message.sender, message.incarnation, message.sequence,
                      message.to, message.type, message.body});
  return HmacSha256Hex(secret, packed) + packed;
}

result<envelope> OpenEnvelope(std::string_view secret, std::string_view to,
                              std::string_view bytes) {
  if (bytes.size() < kMacSize || bytes.size() > kMaxEnvelopeBytes) {
    return MakeError(error_code::kInvalid,
                     fmt::format("{} bytes are no message", bytes.size()));
  }
  const std::string_view mac = bytes.substr(0, kMacSize);
  const std::string_view packed = bytes.substr(kMacSize);
  // Checked before anything is decoded, so that strangers reach no parser.
  if (!EqualInConstantTime(mac, HmacSha256Hex(secret, packed))) {
    return MakeError(error_code::kInvalid, "the seal does not match");
  }
  result<packed_envelope> decoded = DecodeWire<packed_envelope>(packed);
  if (!IsOk(decoded)) return ErrorOf(decoded);
  packed_envelope& parts = ValueOf(decoded);
  if (parts.to != to) {
    return MakeError(error_code::kInvalid,
                     fmt::format("meant for {}", parts.to));
  }
  return envelope{
      std::move(parts.sender), parts.incarnation, parts.sequence,
      std::move(parts.to),     parts.type,        std::move(parts.body)};
}

bool replay_guard::Accept(const envelope& message) {
  last_seen& last = senders_[message.sender];
  if (message.incarnation < last.incarnation) return false;
  const bool same = message.incarnation == last.incarnation;
  if (same && message.sequence <= last.sequence) return false;
  last = {message.incarnation, message.sequence};
  return true;
}

}  // namespace citron
