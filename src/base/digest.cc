#include "citron/base/digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <cstdlib>
#include <vector>

namespace citron {

namespace {

std::string ToHex(const unsigned char* bytes, std::size_t count) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(count * 2);
  for (std::size_t i = 0; i < count; ++i) {
    hex.push_back(kDigits[bytes[i] >> 4]);
    hex.push_back(kDigits[bytes[i] & 0x0f]);
  }
  return hex;
}

const unsigned char* Bytes(std::string_view s) {
  return reinterpret_cast<const unsigned char*>(s.data());
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(Bytes(bytes), bytes.size(), digest);
  return ToHex(digest, sizeof(digest));
}

std::string HmacSha256Hex(std::string_view secret, std::string_view bytes) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       Bytes(bytes), bytes.size(), mac, &size);
  return ToHex(mac, size);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string RandomHex(std::size_t byte_count) {
  std::vector<unsigned char> bytes(byte_count);
  // Without random bytes two incarnations could share a name; stopping is the
  // safe answer.
  if (RAND_bytes(bytes.data(), static_cast<int>(byte_count)) != 1) std::abort();
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace citron
