#include "citron/protocol/request_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "citron/base/digest.h"

namespace citron {

namespace {

constexpr std::size_t kMaxIdBytes = 256;
constexpr std::size_t kMaxNumberDigits = 20;

std::uint64_t Milliseconds(monotonic_time t) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          t.time_since_epoch())
          .count());
}

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsHexByte(char c) {
  return (c >= 'a' && c <= 'f') || (c >= '0' && c <= '9');
}

// Accepts only digits without a leading zero, so that a number has one
// spelling.
std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  if (text.empty() || text.size() > kMaxNumberDigits) return std::nullopt;
  if (text.size() > 1 && text.front() == '0') return std::nullopt;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [at, problem] = std::from_chars(text.data(), end, number);
  if (problem != std::errc() || at != end) return std::nullopt;
  return number;
}

// Removes and returns the part after the last dot. Parts are read from the end
// because a VM's name may contain dots.
std::optional<std::string_view> PopLastPart(std::string_view& text) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const std::string_view last = text.substr(dot + 1);
  text = text.substr(0, dot);
  return last;
}

std::optional<std::uint64_t> PopNumber(std::string_view& text) {
  const std::optional<std::string_view> last = PopLastPart(text);
  return last ? ParseNumber(*last) : std::nullopt;
}

std::string SignedText(const request_id_parts& parts) {
  return fmt::format("{}.{}.{}.{}", parts.vm.Str(), parts.incarnation,
                     parts.number, parts.expires_at_ms);
}

}  // namespace

std::optional<request_id_parts> ParseRequestId(std::string_view text) {
  if (text.size() > kMaxIdBytes) return std::nullopt;
  const std::optional<std::string_view> mac = PopLastPart(text);
  if (!mac || mac->empty()) return std::nullopt;
  if (!std::all_of(mac->begin(), mac->end(), IsHexByte)) return std::nullopt;
  const std::optional<std::uint64_t> expiry = PopNumber(text);
  if (!expiry) return std::nullopt;
  const std::optional<std::uint64_t> number = PopNumber(text);
  if (!number) return std::nullopt;
  const std::optional<std::uint64_t> incarnation = PopNumber(text);
  if (!incarnation || text.empty()) return std::nullopt;
  if (!std::all_of(text.begin(), text.end(), IsNameByte)) return std::nullopt;
  return request_id_parts{vm_id(std::string(text)), *incarnation, *number,
                          *expiry, std::string(*mac)};
}

request_registry::request_registry(request_registry_options options,
                                   const request_id_mac& mac)
    : options_(std::move(options)), mac_(mac) {}

// Doesn't store the id, or callers that request ids and never use them would
// fill the memory. The id contains its expiry, protected by the MAC. An id that
// is not stored and hasn't expired has not been run.
result<request_id> request_registry::IssueId(monotonic_time now) {
  Expire(now);
  if (records_.size() >= options_.max_ids) {
    return MakeError(error_code::kUnavailable, "too many request ids");
  }
  request_id_parts parts;
  parts.vm = options_.vm;
  parts.incarnation = options_.incarnation;
  parts.number = next_number_++;
  parts.expires_at_ms = Milliseconds(now + options_.lifetime);
  const std::string text = SignedText(parts);
  return request_id(text + "." + mac_.Compute(text));
}

begin_result request_registry::Begin(const request_id& id,
                                     std::uint64_t fingerprint,
                                     monotonic_time now) {
  Expire(now);
  const std::optional<request_id_parts> parts = ParseVerified(id);
  if (!parts) return begin_answer::refused{};
  if (!IsIssuedHere(*parts)) {
    return begin_answer::other_issuer{parts->vm, parts->incarnation};
  }
  if (Milliseconds(now) >= parts->expires_at_ms) return begin_answer::expired{};
  const auto known = records_.find(parts->number);
  if (known == records_.end()) {
    // Dropping an older id to make room would let that id run twice.
    if (records_.size() >= options_.max_ids) return begin_answer::full{};
    request_record new_record;
    new_record.expires_at_ms = parts->expires_at_ms;
    new_record.fingerprint = fingerprint;
    records_.emplace(parts->number, new_record);
    return begin_answer::run{};
  }
  const request_record& earlier = known->second;
  if (earlier.fingerprint != fingerprint) {
    return begin_answer::fingerprint_differs{};
  }
  if (earlier.running) return begin_answer::already_running{};
  return begin_answer::answered{earlier.ran, earlier.status};
}

void request_registry::OnOutcome(const request_id& id, verdict ran,
                                 int status) {
  const std::optional<request_id_parts> parts = ParseVerified(id);
  if (!parts || !IsIssuedHere(*parts)) return;
  const auto known = records_.find(parts->number);
  if (known == records_.end() || !known->second.running) return;
  if (ran == verdict::kNotRun) {
    records_.erase(known);
    return;
  }
  known->second.running = false;
  known->second.ran = ran;
  known->second.status = status;
}

// Also drops an id that is still running when it expires: Begin no longer runs
// it, by the expiry in the id.
void request_registry::Expire(monotonic_time now) {
  const std::uint64_t now_ms = Milliseconds(now);
  while (!records_.empty() &&
         records_.begin()->second.expires_at_ms <= now_ms) {
    records_.erase(records_.begin());
  }
}

std::optional<request_id_parts> request_registry::ParseVerified(
    const request_id& id) const {
  std::optional<request_id_parts> parts = ParseRequestId(id.Str());
  if (!parts) return std::nullopt;
  const std::string expected = mac_.Compute(SignedText(*parts));
  if (!EqualInConstantTime(expected, parts->mac)) return std::nullopt;
  return parts;
}

bool request_registry::IsIssuedHere(const request_id_parts& parts) const {
  return parts.vm == options_.vm && parts.incarnation == options_.incarnation;
}

}  // namespace citron
