#ifndef CITRON_WIRE_CODEC_H_
#define CITRON_WIRE_CODEC_H_

#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "citron/base/result.h"

namespace citron {

// Bounds for hostile bytes: a short message can announce huge containers.
inline constexpr std::size_t kMaxWireElements = 400000;
inline constexpr std::size_t kMaxWireDepth = 16;
inline constexpr std::size_t kMaxWireBytes = 8u << 20;

template <class T>
std::string EncodeWire(const T& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

// Returns the number of fields that a message begins with, 0 if it is none. No
// struct on the wire has more fields than the short form of an array holds.
inline std::size_t WireFieldCount(std::string_view bytes) {
  constexpr unsigned char kShortArray = 0x90;
  constexpr unsigned char kShortArrayMask = 0xf0;
  if (bytes.empty()) return 0;
  const auto first = static_cast<unsigned char>(bytes.front());
  if ((first & kShortArrayMask) != kShortArray) return 0;
  return first & static_cast<unsigned char>(~kShortArrayMask);
}

template <class T>
result<T> DecodeWire(std::string_view bytes) {
  // The library reports bad input by throwing; here it becomes a value.
  try {
    const msgpack::unpack_limit limit(kMaxWireElements, kMaxWireElements,
                                      kMaxWireBytes, kMaxWireBytes,
                                      kMaxWireBytes, kMaxWireDepth);
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return MakeError(error_code::kInvalid, "bytes after the message");
    }
    return handle.get().as<T>();
  } catch (const std::exception& problem) {
    return MakeError(error_code::kInvalid, problem.what());
  }
}

}  // namespace citron

#endif  // CITRON_WIRE_CODEC_H_
