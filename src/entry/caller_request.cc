#include "citron/entry/caller_request.h"

#include <arpa/inet.h>

#include <charconv>
#include <system_error>

namespace citron {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr double kMaxDeadlineMs = 24.0 * 3600 * 1000;

}  // namespace

bool IsIdempotent(std::string_view method) {
  return method == "GET" || method == "HEAD";
}

service_target SplitTarget(const std::string& target) {
  const std::size_t begin = target.find_first_not_of('/');
  if (begin == std::string::npos) return {};
  const std::size_t end = target.find_first_of("/?", begin);
  if (end == std::string::npos) return {service_id(target.substr(begin)), "/"};
  std::string rest = target.substr(end);
  if (rest[0] == '?') rest.insert(0, "/");
  return {service_id(target.substr(begin, end - begin)), rest};
}

std::optional<std::uint32_t> ParseAddress(const std::string& text) {
  in_addr address;
  if (inet_pton(AF_INET, text.c_str(), &address) != 1) return std::nullopt;
  return ntohl(address.s_addr);
}

std::optional<int> ParseCount(std::string_view text) {
  int count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, problem] = std::from_chars(text.data(), end, count);
  if (problem != std::errc() || rest != end) return std::nullopt;
  return count;
}

std::variant<std::string_view, caller_error> ReadKey(
    const http_headers& headers) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = FindHeader(headers, "Authorization");
  if (!header) {
    return caller_error{kUnauthorized, "key_missing",
                        "no Authorization: Bearer header"};
  }
  const bool well_formed =
      header->size() > kScheme.size() && header->size() < kMaxKeyBytes &&
      HeaderNameIs(header->substr(0, kScheme.size()), kScheme);
  if (!well_formed) {
    return caller_error{kUnauthorized, "key_malformed",
                        "Authorization is not \"Bearer KEY\""};
  }
  return header->substr(kScheme.size());
}

std::variant<std::optional<duration>, caller_error> ReadDeadline(
    const http_headers& headers) {
  const auto text = FindHeader(headers, "Citron-Deadline-Ms");
  if (!text) return std::optional<duration>();
  double ms = 0;
  const char* end = text->data() + text->size();
  const auto [rest, problem] = std::from_chars(text->data(), end, ms);
  if (problem != std::errc() || rest != end || !(ms <= kMaxDeadlineMs)) {
    return caller_error{kBadRequest, "bad_deadline",
                        "Citron-Deadline-Ms is no number of milliseconds"};
  }
  if (ms <= 0) {
    return caller_error{kBadRequest, "deadline_passed",
                        "the deadline has passed already"};
  }
  return std::optional<duration>(FromMilliseconds(ms));
}

}  // namespace citron
