#include "citron/protocol/request_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "citron/base/digest.h"

// A booking's answer is lost on the way, or its caller's connection breaks. The
// caller asks again with the same id. Without the registry the second request
// would be a second booking; the planner would see two couples in one place, or
// a depot two credit notes. One process issues the id, runs it and remembers
// it, so no store has to be written for a booking, and a store outage or a cut
// changes nothing. When that process is gone nobody knows, and nobody says.

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

// Digits only and no leading zero, so that a number has one spelling.
std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  if (text.empty() || text.size() > kMaxNumberDigits) return std::nullopt;
  if (text.size() > 1 && text.front() == '0') return std::nullopt;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [at, problem] = std::from_chars(text.data(), end, number);
  if (problem != std::errc() || at != end) return std::nullopt;
  return number;
}

// Takes the part after the last dot off; a VM's name may have dots itself.
std::optional<std::string_view> TakeLast(std::string_view& text) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const std::string_view last = text.substr(dot + 1);
  text = text.substr(0, dot);
  return last;
}

std::optional<std::uint64_t> TakeNumber(std::string_view& text) {
  const std::optional<std::string_view> last = TakeLast(text);
  return last ? ParseNumber(*last) : std::nullopt;
}

std::string SignedText(const request_id_parts& parts) {
  return fmt::format("{}.{}.{}.{}", parts.vm.Str(), parts.incarnation,
                     parts.number, parts.expires_at_ms);
}

}  // namespace

std::optional<request_id_parts> ParseRequestId(std::string_view text) {
  if (text.size() > kMaxIdBytes) return std::nullopt;
  const std::optional<std::string_view> mac = TakeLast(text);
  if (!mac || mac->empty()) return std::nullopt;
  if (!std::all_of(mac->begin(), mac->end(), IsHexByte)) return std::nullopt;
  const std::optional<std::uint64_t> expiry = TakeNumber(text);
  if (!expiry) return std::nullopt;
  const std::optional<std::uint64_t> number = TakeNumber(text);
  if (!number) return std::nullopt;
  const std::optional<std::uint64_t> incarnation = TakeNumber(text);
  if (!incarnation || text.empty()) return std::nullopt;
  if (!std::all_of(text.begin(), text.end(), IsNameByte)) return std::nullopt;
  return request_id_parts{vm_id(std::string(text)), *incarnation, *number,
                          *expiry, std::string(*mac)};
}

request_registry::request_registry(request_registry_options options,
                                   const request_id_mac& mac)
    : options_(std::move(options)), mac_(mac) {}

// An id is not remembered when it is issued, or callers who ask for ids and
// never use them would fill the memory. Its expiry stands in the id, under the
// MAC; what isn't remembered and hasn't expired has not been run.
result<request_id> request_registry::IssueId(monotonic_time now) {
  Expire(now);
  if (entries_.size() >= options_.max_ids) {
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
  const std::optional<request_id_parts> parts = Verified(id);
  if (!parts) return begin_answer::refused{};
  if (!IsOwn(*parts)) {
    return begin_answer::other_issuer{parts->vm, parts->incarnation};
  }
  if (Milliseconds(now) >= parts->expires_at_ms) return begin_answer::expired{};
  const auto known = entries_.find(parts->number);
  if (known == entries_.end()) {
    // Forgetting an older one to make room would let that one run twice.
    if (entries_.size() >= options_.max_ids) return begin_answer::full{};
    entry begun;
    begun.expires_at_ms = parts->expires_at_ms;
    begun.fingerprint = fingerprint;
    entries_.emplace(parts->number, begun);
    return begin_answer::run{};
  }
  const entry& earlier = known->second;
  if (earlier.fingerprint != fingerprint) {
    return begin_answer::fingerprint_differs{};
  }
  if (earlier.running) return begin_answer::already_running{};
  return begin_answer::answered{earlier.ran, earlier.status};
}

void request_registry::OnOutcome(const request_id& id, verdict ran,
                                 int status) {
  const std::optional<request_id_parts> parts = Verified(id);
  if (!parts || !IsOwn(*parts)) return;
  const auto known = entries_.find(parts->number);
  if (known == entries_.end() || !known->second.running) return;
  if (ran == verdict::kNotRun) {
    entries_.erase(known);
    return;
  }
  known->second.running = false;
  known->second.ran = ran;
  known->second.status = status;
}

// One that is still running when it expires is dropped as well: the expiry in
// the id refuses it from then on.
void request_registry::Expire(monotonic_time now) {
  const std::uint64_t now_ms = Milliseconds(now);
  while (!entries_.empty() &&
         entries_.begin()->second.expires_at_ms <= now_ms) {
    entries_.erase(entries_.begin());
  }
}

std::optional<request_id_parts> request_registry::Verified(
    const request_id& id) const {
  std::optional<request_id_parts> parts = ParseRequestId(id.Str());
  if (!parts) return std::nullopt;
  const std::string expected = mac_.Compute(SignedText(*parts));
  if (!EqualInConstantTime(expected, parts->mac)) return std::nullopt;
  return parts;
}

bool request_registry::IsOwn(const request_id_parts& parts) const {
  return parts.vm == options_.vm && parts.incarnation == options_.incarnation;
}

}  // namespace citron
