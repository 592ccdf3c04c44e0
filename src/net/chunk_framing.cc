#include "citron/net/chunk_framing.h"

#include <algorithm>
#include <optional>

#include "citron/net/http1_grammar.h"

namespace citron {

namespace {

constexpr int kBitsPerDigit = 4;
constexpr std::uint64_t kMostBeforeADigit = UINT64_MAX >> kBitsPerDigit;

std::optional<unsigned> HexDigit(unsigned char byte) {
  if (byte >= '0' && byte <= '9') return byte - '0';
  if (byte >= 'a' && byte <= 'f') return byte - 'a' + 10;
  if (byte >= 'A' && byte <= 'F') return byte - 'A' + 10;
  return std::nullopt;
}

bool IsBlank(unsigned char byte) { return byte == ' ' || byte == '\t'; }

}  // namespace

bool chunk_framing::Read(std::string_view bytes) {
  while (!bytes.empty() && state_ != state::kComplete &&
         state_ != state::kMalformed) {
    if (state_ == state::kData) {
      const std::uint64_t taken = std::min<std::uint64_t>(left_, bytes.size());
      left_ -= taken;
      bytes.remove_prefix(taken);
      if (left_ == 0) state_ = state::kDataEnd;
      continue;
    }
    state_ = Next(static_cast<unsigned char>(bytes.front()));
    bytes.remove_prefix(1);
  }
  return state_ != state::kMalformed;
}

chunk_framing::state chunk_framing::Next(unsigned char byte) {
  switch (state_) {
    case state::kSizeStart:
    case state::kSize:
      return InSize(byte);
    case state::kSizeLineEnd:
      if (byte != '\n') return state::kMalformed;
      return left_ == 0 ? state::kTrailerStart : state::kData;
    case state::kDataEnd:
      return byte == '\r' ? state::kDataLineEnd : state::kMalformed;
    case state::kDataLineEnd:
      return byte == '\n' ? state::kSizeStart : state::kMalformed;
    case state::kTrailerStart:
    case state::kTrailerName:
    case state::kTrailerValue:
    case state::kTrailerLineEnd:
    case state::kBodyLineEnd:
      return InTrailer(byte);
    default:
      return InExtension(byte);
  }
}

chunk_framing::state chunk_framing::InSize(unsigned char byte) {
  const std::optional<unsigned> digit = HexDigit(byte);
  if (state_ == state::kSizeStart) left_ = 0;
  if (digit) {
    if (left_ > kMostBeforeADigit) return state::kMalformed;
    left_ = (left_ << kBitsPerDigit) + *digit;
    return state::kSize;
  }
  if (state_ == state::kSizeStart) return state::kMalformed;
  if (byte == '\r') return state::kSizeLineEnd;
  if (byte == ';') return state::kExtensionNameStart;
  return IsBlank(byte) ? state::kBeforeExtension : state::kMalformed;
}

// Blanks may stand around ";" and "=", but not before the end of the line.
chunk_framing::state chunk_framing::InExtension(unsigned char byte) const {
  switch (state_) {
    case state::kExtensionNameStart:
      if (IsBlank(byte)) return state_;
      return IsTokenByte(byte) ? state::kExtensionName : state::kMalformed;
    case state::kExtensionName:
      if (IsTokenByte(byte)) return state_;
      if (byte == '\r') return state::kSizeLineEnd;
      [[fallthrough]];
    case state::kAfterExtensionName:
      if (IsBlank(byte)) return state::kAfterExtensionName;
      if (byte == '=') return state::kExtensionValueStart;
      return byte == ';' ? state::kExtensionNameStart : state::kMalformed;
    case state::kExtensionValueStart:
      if (IsBlank(byte)) return state_;
      if (byte == '"') return state::kExtensionQuoted;
      return IsTokenByte(byte) ? state::kExtensionToken : state::kMalformed;
    case state::kExtensionQuoted:
      if (byte == '"') return state::kExtensionQuotedEnd;
      if (byte == '\\') return state::kExtensionQuotedPair;
      return IsTextByte(byte) ? state_ : state::kMalformed;
    case state::kExtensionQuotedPair:
      return IsTextByte(byte) ? state::kExtensionQuoted : state::kMalformed;
    case state::kExtensionToken:
      if (IsTokenByte(byte)) return state_;
      [[fallthrough]];
    case state::kExtensionQuotedEnd:
      if (byte == '\r') return state::kSizeLineEnd;
      [[fallthrough]];
    case state::kBeforeExtension:
      if (IsBlank(byte)) return state::kBeforeExtension;
      return byte == ';' ? state::kExtensionNameStart : state::kMalformed;
    default:
      return state::kMalformed;
  }
}

chunk_framing::state chunk_framing::InTrailer(unsigned char byte) const {
  switch (state_) {
    case state::kTrailerStart:
      if (byte == '\r') return state::kBodyLineEnd;
      return IsTokenByte(byte) ? state::kTrailerName : state::kMalformed;
    case state::kTrailerName:
      if (byte == ':') return state::kTrailerValue;
      return IsTokenByte(byte) ? state_ : state::kMalformed;
    case state::kTrailerValue:
      if (byte == '\r') return state::kTrailerLineEnd;
      return IsTextByte(byte) ? state_ : state::kMalformed;
    case state::kTrailerLineEnd:
      return byte == '\n' ? state::kTrailerStart : state::kMalformed;
    case state::kBodyLineEnd:
      return byte == '\n' ? state::kComplete : state::kMalformed;
    default:
      return state::kMalformed;
  }
}

}  // namespace citron
