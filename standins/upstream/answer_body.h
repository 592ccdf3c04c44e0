#ifndef STANDINS_UPSTREAM_ANSWER_BODY_H_
#define STANDINS_UPSTREAM_ANSWER_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "citron/base/digest.h"

namespace citron {

// The digest that the answer to a request carries in X-Request-Digest.
inline std::uint64_t RequestDigest(std::string_view method,
                                   std::string_view target,
                                   std::string_view body) {
  std::string whole;
  whole.append(method).append(target).append(body);
  return HashBytes(whole);
}

// The body of an answer is a function of its request's digest and the byte's
// offset alone, so a caller can check each byte and tells at once another
// request's answer, a missing part or one sent twice.
inline unsigned char AnswerByte(std::uint64_t digest, std::uint64_t offset) {
  // The mixing step of splitmix64, on words of eight bytes.
  std::uint64_t word = digest + (offset / 8 + 1) * 0x9e3779b97f4a7c15u;
  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9u;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebu;
  word ^= word >> 31;
  return static_cast<unsigned char>(word >> (8 * (offset % 8)));
}

inline std::string AnswerBytes(std::uint64_t digest, std::uint64_t offset,
                               std::size_t size) {
  std::string bytes(size, '\0');
  for (std::size_t i = 0; i < size; ++i) {
    bytes[i] = static_cast<char>(AnswerByte(digest, offset + i));
  }
  return bytes;
}

// Whether these are the answer's bytes from `offset` on.
inline bool IsAnswer(std::uint64_t digest, std::uint64_t offset,
                     std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    if (byte != AnswerByte(digest, offset + i)) return false;
  }
  return true;
}

}  // namespace citron

#endif  // STANDINS_UPSTREAM_ANSWER_BODY_H_
