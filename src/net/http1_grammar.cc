#include "citron/net/http1_grammar.h"

#include <algorithm>

namespace citron {

namespace {

constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr char kLeastStatusClass = '1';
constexpr char kLastStatusClass = '5';

bool IsDigit(unsigned char byte) { return byte >= '0' && byte <= '9'; }

bool IsLetter(unsigned char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
}

}  // namespace

bool IsTokenByte(unsigned char byte) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return IsDigit(byte) || IsLetter(byte) ||
         kMarks.find(static_cast<char>(byte)) != std::string_view::npos;
}

bool IsTextByte(unsigned char byte) {
  constexpr unsigned char kDelete = 0x7f;
  return byte == '\t' || (byte >= ' ' && byte != kDelete);
}

bool IsStatusLine(std::string_view line) {
  if (!line.starts_with(kVersionStart)) return false;
  line.remove_prefix(kVersionStart.size());
  constexpr std::size_t kStatusAt = 2;  // Behind the minor version and a blank.
  constexpr std::size_t kStatusEnd = kStatusAt + kStatusDigits;
  if (line.size() < kStatusEnd) return false;
  if (!IsDigit(line[0]) || line[1] != ' ') return false;
  const std::string_view status = line.substr(kStatusAt, kStatusDigits);
  if (!std::all_of(status.begin(), status.end(), IsDigit)) return false;
  if (status[0] < kLeastStatusClass || status[0] > kLastStatusClass) {
    return false;
  }
  const std::string_view reason = line.substr(kStatusEnd);
  if (!reason.empty() && reason[0] != ' ') return false;
  return std::all_of(reason.begin(), reason.end(), IsTextByte);
}

}  // namespace citron
