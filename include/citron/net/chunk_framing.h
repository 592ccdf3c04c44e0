#ifndef CITRON_NET_CHUNK_FRAMING_H_
#define CITRON_NET_CHUNK_FRAMING_H_

#include <cstdint>
#include <string_view>

namespace citron {

// Checks a chunked body against the grammar of RFC 9112, section 7.1: the lines
// of the sizes with their extensions, the ends of chunks and the trailer
// section. Lines end with CRLF; none is folded.
class chunk_framing {
 public:
  // Takes the next bytes of the body and returns whether it is still well
  // formed. Ignores what follows the end of the body.
  bool Read(std::string_view bytes);

 private:
  enum class state {
    kSizeStart,
    kSize,
    kBeforeExtension,
    kExtensionNameStart,
    kExtensionName,
    kAfterExtensionName,
    kExtensionValueStart,
    kExtensionToken,
    kExtensionQuoted,
    kExtensionQuotedPair,
    kExtensionQuotedEnd,
    kSizeLineEnd,
    kData,
    kDataEnd,
    kDataLineEnd,
    kTrailerStart,
    kTrailerName,
    kTrailerValue,
    kTrailerLineEnd,
    kBodyLineEnd,
    kComplete,
    kMalformed,
  };

  state Next(unsigned char byte);
  state InSize(unsigned char byte);
  state InExtension(unsigned char byte) const;
  state InTrailer(unsigned char byte) const;

  state state_ = state::kSizeStart;
  std::uint64_t left_ = 0;  // Bytes of the present chunk's data.
};

}  // namespace citron

#endif  // CITRON_NET_CHUNK_FRAMING_H_
