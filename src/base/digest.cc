#include "citron/base/digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <initializer_list>
#include <vector>

namespace citron {

namespace {

std::string ToHex(const unsigned char* bytes, std::size_t count) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex(count * 2, '0');
  for (std::size_t i = 0; i < count; ++i) {
    hex[i * 2] = kDigits[bytes[i] >> 4];
    hex[i * 2 + 1] = kDigits[bytes[i] & 0x0f];
  }
  return hex;
}

using sha256_digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

struct digest_context {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  ~digest_context() { EVP_MD_CTX_free(context); }
};

// The digest of the parts, one after the other.
sha256_digest Sha256(std::initializer_list<std::string_view> parts) {
  static const EVP_MD* const kSha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  thread_local const digest_context state;
  sha256_digest digest;
  bool good = EVP_DigestInit_ex2(state.context, kSha256, nullptr) == 1;
  for (std::string_view part : parts) {
    good =
        good && EVP_DigestUpdate(state.context, part.data(), part.size()) == 1;
  }
  good = good && EVP_DigestFinal_ex(state.context, digest.data(), nullptr) == 1;
  // A digest that was not made would let a guess pass.
  if (!good) std::abort();
  return digest;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  const sha256_digest digest = Sha256({bytes});
  return ToHex(digest.data(), digest.size());
}

std::string HmacSha256Hex(std::string_view secret, std::string_view bytes) {
  return HmacSha256Hex(secret, bytes, {});
}

// RFC 2104 over one digest that is looked up once: the library's HMAC looks
// its digest up by name, under a lock, with every call.
std::string HmacSha256Hex(std::string_view secret, std::string_view first_part,
                          std::string_view second_part) {
  constexpr unsigned char kInner = 0x36;
  constexpr unsigned char kOuter = 0x5c;
  std::array<unsigned char, SHA256_CBLOCK> key{};
  if (secret.size() > key.size()) {
    const sha256_digest shortened = Sha256({secret});
    std::copy(shortened.begin(), shortened.end(), key.begin());
  } else {
    std::copy(secret.begin(), secret.end(), key.begin());
  }
  const auto padded = [&key](unsigned char pad) {
    std::array<unsigned char, SHA256_CBLOCK> block = key;
    for (unsigned char& byte : block) byte ^= pad;
    return block;
  };
  const auto text = [](const auto& block) {
    return std::string_view(reinterpret_cast<const char*>(block.data()),
                            block.size());
  };
  const auto inner = padded(kInner);
  const auto outer = padded(kOuter);
  const sha256_digest first = Sha256({text(inner), first_part, second_part});
  const sha256_digest mac = Sha256({text(outer), text(first)});
  return ToHex(mac.data(), mac.size());
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
