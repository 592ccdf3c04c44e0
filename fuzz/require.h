#ifndef FUZZ_REQUIRE_H_
#define FUZZ_REQUIRE_H_

#include <cstdlib>
#include <string_view>

namespace citron {

// Ends the run as a finding.
inline void Require(bool holds) {
  if (!holds) std::abort();
}

inline std::string_view TextOf(const unsigned char* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Takes the text up to the next line break off.
inline std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  const std::string_view line = text.substr(0, end);
  text = end == std::string_view::npos ? "" : text.substr(end + 1);
  return line;
}

}  // namespace citron

#endif  // FUZZ_REQUIRE_H_
