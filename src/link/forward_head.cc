#include "citron/link/forward_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>

#include "citron/base/digest.h"

namespace citron {

namespace {

// One header for all fields: a header of its own for each cost four
// allocations at either end, which was a third of the work of a forward.
constexpr char kHeadHeader[] = "Citron-Forward";
constexpr char kSealHeader[] = "Citron-Seal";

// Requests of one loop that may overtake each other on their ways.
constexpr std::size_t kWindow = 8192;

struct head_text {
  std::string id;
  std::string workspace;
  std::string service;
  std::string key_digest;
  std::string deadline_ms;
  std::string weight;
  std::string idempotent;
  std::string caller_request_id;
};

constexpr std::size_t kFieldCount = 8;

// Digits of any length, and the colon.
constexpr std::size_t kMaxLengthChars =
    std::numeric_limits<std::size_t>::digits10 + 2;

// Lengths keep fields apart: no two different heads make the same text.
void AppendLength(std::string& text, std::size_t size) {
  std::array<char, kMaxLengthChars> digits;
  const auto [end, problem] =
      std::to_chars(digits.data(), digits.data() + digits.size(), size);
  text.append(digits.data(), end);
  text.push_back(':');
}

void AppendField(std::string& text, std::string_view field) {
  AppendLength(text, field.size());
  text.append(field);
}

std::string JoinFields(
    const std::array<std::string_view, kFieldCount>& fields) {
  std::size_t size = 0;
  for (std::string_view field : fields) size += kMaxLengthChars + field.size();
  std::string text;
  text.reserve(size);
  for (std::string_view field : fields) AppendField(text, field);
  return text;
}

// Takes the first field off the text.
std::optional<std::string> TakeField(std::string_view& text) {
  std::size_t size = 0;
  const char* end = text.data() + text.size();
  const auto [rest, problem] = std::from_chars(text.data(), end, size);
  if (problem != std::errc() || rest == end || *rest != ':') {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()) + 1);
  if (size > text.size()) return std::nullopt;
  std::string field(text.substr(0, size));
  text.remove_prefix(size);
  return field;
}

std::optional<head_text> SplitFields(std::string_view text) {
  std::array<std::string, kFieldCount> fields;
  for (std::string& field : fields) {
    std::optional<std::string> taken = TakeField(text);
    if (!taken) return std::nullopt;
    field = std::move(*taken);
  }
  if (!text.empty()) return std::nullopt;
  auto& [id, workspace, service, key, deadline, weight, idempotent, caller] =
      fields;
  return head_text{std::move(id),         std::move(workspace),
                   std::move(service),    std::move(key),
                   std::move(deadline),   std::move(weight),
                   std::move(idempotent), std::move(caller)};
}

std::string Seal(std::string_view joined, const forward_subject& subject,
                 std::string_view secret) {
  std::string text;
  text.reserve(joined.size() + subject.method.size() + subject.target.size() +
               4 * kMaxLengthChars);
  AppendField(text, joined);
  AppendField(text, subject.method);
  AppendField(text, subject.target);
  AppendLength(text, subject.body.size());
  // A body may be long, and is not copied to be sealed.
  return HmacSha256Hex(secret, text, subject.body);
}

std::optional<double> ParseNumber(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, problem] = std::from_chars(text.data(), end, value);
  if (problem != std::errc() || rest != end) return std::nullopt;
  return value;
}

bool StartsWith(std::string_view name, std::string_view prefix) {
  return name.size() >= prefix.size() &&
         HeaderNameIs(name.substr(0, prefix.size()), prefix);
}

bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "connection",        "keep-alive", "proxy-authenticate",
      "proxy-connection",  "te",         "trailer",
      "transfer-encoding", "upgrade",    "expect"};
  for (std::string_view known : kNames) {
    if (HeaderNameIs(name, known)) return true;
  }
  return false;
}

struct id_parts {
  std::string sender;  // "<vm>.<loop>"
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
};

std::optional<std::uint64_t> ParseWhole(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, problem] = std::from_chars(text.data(), end, value);
  if (text.empty() || problem != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<id_parts> SplitId(std::string_view id) {
  const std::size_t last = id.rfind('.');
  if (last == std::string_view::npos || last == 0) return std::nullopt;
  const std::size_t middle = id.rfind('.', last - 1);
  if (middle == std::string_view::npos) return std::nullopt;
  const auto incarnation = ParseWhole(id.substr(middle + 1, last - middle - 1));
  const auto number = ParseWhole(id.substr(last + 1));
  if (!incarnation || !number) return std::nullopt;
  return id_parts{std::string(id.substr(0, middle)), *incarnation, *number};
}

}  // namespace

void AddForwardHeaders(const forward_head& head, const forward_subject& subject,
                       std::string_view secret, http_headers& headers) {
  const std::string deadline_ms =
      fmt::format("{:.3f}", ToMilliseconds(head.time_left));
  const std::string weight = fmt::format("{}", head.weight);
  // In the order of head_text.
  std::string joined =
      JoinFields({head.id.Str(), head.workspace.Str(), head.service.Str(),
                  head.key_digest, deadline_ms, weight,
                  head.idempotent ? "1" : "0", head.caller_request_id});
  headers.push_back({kSealHeader, Seal(joined, subject, secret)});
  headers.push_back({kHeadHeader, std::move(joined)});
}

result<forward_head> ReadForwardHeaders(const http_headers& headers,
                                        const forward_subject& subject,
                                        std::string_view secret) {
  const std::string_view joined = FindHeader(headers, kHeadHeader).value_or("");
  const std::string_view seal = FindHeader(headers, kSealHeader).value_or("");
  if (!EqualInConstantTime(seal, Seal(joined, subject, secret))) {
    return MakeError(error_code::kInvalid, "the seal does not match");
  }
  std::optional<head_text> fields = SplitFields(joined);
  if (!fields) return MakeError(error_code::kInvalid, "a field is malformed");
  head_text& t = *fields;
  const std::optional<double> left_ms = ParseNumber(t.deadline_ms);
  const std::optional<double> weight = ParseNumber(t.weight);
  if (!left_ms || !weight) {
    return MakeError(error_code::kInvalid, "a number is malformed");
  }
  forward_head head;
  head.id = request_id(std::move(t.id));
  head.workspace = workspace_id(std::move(t.workspace));
  head.service = service_id(std::move(t.service));
  head.key_digest = std::move(t.key_digest);
  head.time_left = FromMilliseconds(*left_ms);
  head.weight = *weight;
  head.idempotent = t.idempotent == "1";
  head.caller_request_id = std::move(t.caller_request_id);
  return head;
}

bool MayForwardHeader(std::string_view name) {
  return !IsHopByHop(name) && !StartsWith(name, "citron-") &&
         !StartsWith(name, "upstream-") && !StartsWith(name, "x-forwarded-") &&
         !HeaderNameIs(name, "authorization") &&
         !HeaderNameIs(name, "proxy-authorization") &&
         !HeaderNameIs(name, "cookie") && !HeaderNameIs(name, "host") &&
         !HeaderNameIs(name, "content-length") &&
         !HeaderNameIs(name, "forwarded");
}

bool MayReturnHeader(std::string_view name) {
  return !IsHopByHop(name) && !StartsWith(name, "citron-") &&
         !StartsWith(name, "upstream-");
}

bool forward_replay_window::Accept(const request_id& id) {
  const std::optional<id_parts> parts = SplitId(id.Str());
  if (!parts) return false;
  sender& from = senders_[parts->sender];
  if (parts->incarnation < from.incarnation) return false;
  // A sender that was not heard before has no window, whatever it counts from.
  if (parts->incarnation > from.incarnation || from.seen.empty()) {
    from = {parts->incarnation, 0, std::vector<bool>(kWindow, false)};
  }
  if (parts->number + kWindow <= from.highest) return false;
  const bool is_newest = parts->number > from.highest;
  if (is_newest) {
    // Places between the old highest and the new one belong to numbers that
    // have not come yet.
    const std::uint64_t steps =
        std::min<std::uint64_t>(parts->number - from.highest, kWindow);
    for (std::uint64_t i = 0; i < steps; ++i) {
      from.seen[(parts->number - i) % kWindow] = false;
    }
    from.highest = parts->number;
  }
  const std::size_t place = parts->number % kWindow;
  if (from.seen[place]) return false;
  from.seen[place] = true;
  return true;
}

}  // namespace citron
