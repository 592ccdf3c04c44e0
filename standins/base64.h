#ifndef STANDINS_BASE64_H_
#define STANDINS_BASE64_H_

#include <openssl/evp.h>

#include <optional>
#include <string>

namespace citron {

// Standard base64 with padding, as the published calls carry values.
inline std::string ToBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  return text;
}

inline std::optional<std::string> FromBase64(const std::string& text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  if (text.empty()) return bytes;
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) return std::nullopt;
  const bool two = text.ends_with("==");
  bytes.resize(bytes.size() - (two ? 2 : (text.ends_with('=') ? 1 : 0)));
  return bytes;
}

}  // namespace citron

#endif  // STANDINS_BASE64_H_
