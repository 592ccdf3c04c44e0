#ifndef CITRON_BASE_DIGEST_H_
#define CITRON_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace citron {

// Lower-case hexadecimal SHA-256 of the bytes; how keys are stored and looked
// up.
std::string Sha256Hex(std::string_view bytes);

// Lower-case hexadecimal HMAC-SHA-256; how daemons prove themselves to each
// other.
std::string HmacSha256Hex(std::string_view secret, std::string_view bytes);
// The same of two parts, one after the other, without joining them.
std::string HmacSha256Hex(std::string_view secret, std::string_view first_part,
                          std::string_view second_part);

// Compares in a time that does not depend on where the strings differ.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// 64-bit xxHash; for spreading and for body checks, not for secrets.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

// `byte_count` bytes from the system's random source, as hexadecimal.
std::string RandomHex(std::size_t byte_count);

}  // namespace citron

#endif  // CITRON_BASE_DIGEST_H_
