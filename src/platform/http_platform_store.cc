#include "citron/platform/http_platform_store.h"

#include <event2/http.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <utility>

#include "citron/platform/answer_parser.h"

namespace citron {

namespace {

constexpr int kOk = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

std::string Encode(const std::string& text) {
  const std::unique_ptr<char, decltype(&std::free)> encoded(
      evhttp_uriencode(text.c_str(), static_cast<ev_ssize_t>(text.size()), 0),
      &std::free);
  return encoded ? std::string(encoded.get()) : std::string();
}

std::int64_t Milliseconds(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// The error of an answer that says neither yes nor an expected no.
error UnexpectedStatus(const http_response& response, bool may_change) {
  const int code = response.head.status;
  const std::string message =
      fmt::format("the platform answered with HTTP status {}", code);
  // A server error may come after the write; only the protocol's own refusal
  // of a call that is too many says that nothing was done.
  if (code >= kFirstServerError) {
    return MakeError(
        may_change ? error_code::kUnknown : error_code::kUnavailable, message);
  }
  if (code == kTooManyRequests) {
    return MakeError(error_code::kUnavailable, message);
  }
  return MakeError(error_code::kInvalid, message);
}

// An answer that can't be read says nothing about the write that it answers.
error UnreadableWriteAnswer(const error& problem) {
  return MakeError(error_code::kUnknown, problem.message);
}

error NotFound(const std::string& what) {
  return MakeError(error_code::kNotFound,
                   fmt::format("the platform has no {}", what));
}

write_result WriteResult(const http_response& response,
                         const std::string& key) {
  if (response.head.status == kOk) {
    const result<store_revision> revision = ParseRevision(response.body);
    if (!IsOk(revision)) return UnreadableWriteAnswer(ErrorOf(revision));
    return write_done{ValueOf(revision)};
  }
  if (response.head.status == kConflictStatus) {
    result<write_conflict> conflict = ParseConflict(response.body);
    if (!IsOk(conflict)) return UnreadableWriteAnswer(ErrorOf(conflict));
    return std::move(ValueOf(conflict));
  }
  if (response.head.status == kNotFoundStatus) return NotFound("key " + key);
  return UnexpectedStatus(response, true);
}

result<store_lookup> LookupResult(const http_response& response) {
  if (response.head.status == kNotFoundStatus) {
    const result<store_revision> revision = ParseRevision(response.body);
    if (!IsOk(revision)) return ErrorOf(revision);
    return store_lookup{std::nullopt, ValueOf(revision)};
  }
  if (response.head.status != kOk) return UnexpectedStatus(response, false);
  const result<store_item> item = ParseStoreItem(response.body);
  if (!IsOk(item)) return ErrorOf(item);
  return store_lookup{ValueOf(item), ValueOf(item).revision};
}

// The body of a plain read, by its own parser.
template <class T>
result<T> ReadResult(const result<http_response>& answer,
                     result<T> (*parse)(std::string_view)) {
  if (!IsOk(answer)) return ErrorOf(answer);
  const http_response& response = ValueOf(answer);
  if (response.head.status != kOk) return UnexpectedStatus(response, false);
  return parse(response.body);
}

}  // namespace

http_platform_store::http_platform_store(event_loop& loop,
                                         const endpoint& platform)
    : platform_(platform), client_(loop) {}

void http_platform_store::Get(const std::string& key, monotonic_time deadline,
                              on_lookup done) {
  Call("GET", "/v1/kv?key=" + Encode(key), "", deadline, call_effect::kNone,
       [done = std::move(done)](const result<http_response>& answer) {
         if (!IsOk(answer)) return done(ErrorOf(answer));
         done(LookupResult(ValueOf(answer)));
       });
}

void http_platform_store::Put(const store_write& write, monotonic_time deadline,
                              on_write done) {
  std::string target = "/v1/kv?key=" + Encode(write.key);
  if (write.expected) target += fmt::format("&expect={}", *write.expected);
  if (!write.write_id.empty()) target += "&write_id=" + Encode(write.write_id);
  if (!write.lease.IsEmpty()) target += "&lease=" + Encode(write.lease.Str());
  Call("PUT", target, write.value, deadline, call_effect::kMayChange,
       [done = std::move(done),
        key = write.key](const result<http_response>& answer) {
         if (!IsOk(answer)) return done(ErrorOf(answer));
         done(WriteResult(ValueOf(answer), key));
       });
}

void http_platform_store::Remove(const std::string& key,
                                 store_revision expected,
                                 monotonic_time deadline, on_write done) {
  const std::string target =
      fmt::format("/v1/kv?key={}&expect={}", Encode(key), expected);
  Call("DELETE", target, "", deadline, call_effect::kMayChange,
       [done = std::move(done), key](const result<http_response>& answer) {
         if (!IsOk(answer)) return done(ErrorOf(answer));
         done(WriteResult(ValueOf(answer), key));
       });
}

void http_platform_store::Range(const std::string& prefix,
                                monotonic_time deadline, on_range done) {
  Call("GET", "/v1/range?prefix=" + Encode(prefix), "", deadline,
       call_effect::kNone,
       [done = std::move(done)](const result<http_response>& answer) {
         done(ReadResult<store_range>(answer, ParseRange));
       });
}

void http_platform_store::Watch(const std::string& prefix, store_revision after,
                                monotonic_time wait_until,
                                monotonic_time deadline, on_events done) {
  const std::int64_t wait =
      std::max<std::int64_t>(0, Milliseconds(wait_until - MonotonicNow()));
  const std::string target = fmt::format(
      "/v1/watch?prefix={}&after={}&wait_ms={}", Encode(prefix), after, wait);
  Call("GET", target, "", deadline, call_effect::kNone,
       [done = std::move(done)](const result<http_response>& answer) {
         done(ReadResult<store_events>(answer, ParseEvents));
       });
}

void http_platform_store::GrantLease(duration ttl, monotonic_time deadline,
                                     on_lease done) {
  // A lease whose answer was lost does no harm: nobody holds it and it lapses.
  Call("POST", fmt::format("/v1/lease?ttl_ms={}", Milliseconds(ttl)), "",
       deadline, call_effect::kMayChange,
       [done = std::move(done)](const result<http_response>& answer) {
         done(ReadResult<lease_id>(answer, ParseLease));
       });
}

void http_platform_store::RenewLease(const lease_id& lease,
                                     monotonic_time deadline, on_status done) {
  CallForStatus("POST", "/v1/lease/renew?id=" + Encode(lease.Str()), deadline,
                std::move(done));
}

void http_platform_store::RevokeLease(const lease_id& lease,
                                      monotonic_time deadline, on_status done) {
  CallForStatus("DELETE", "/v1/lease?id=" + Encode(lease.Str()), deadline,
                std::move(done));
}

void http_platform_store::ListVms(monotonic_time deadline, on_vms done) {
  Call("GET", "/v1/vms", "", deadline, call_effect::kNone,
       [done = std::move(done)](const result<http_response>& answer) {
         done(ReadResult<std::vector<vm_record>>(answer, ParseVms));
       });
}

void http_platform_store::CallForStatus(const std::string& method,
                                        const std::string& target,
                                        monotonic_time deadline,
                                        on_status done) {
  Call(method, target, "", deadline, call_effect::kMayChange,
       [done = std::move(done)](const result<http_response>& answer) {
         if (!IsOk(answer)) return done(ErrorOf(answer));
         const http_response& response = ValueOf(answer);
         if (response.head.status == kOk) return done(std::monostate{});
         if (response.head.status == kNotFoundStatus) {
           return done(NotFound("such lease"));
         }
         done(UnexpectedStatus(response, true));
       });
}

void http_platform_store::Call(const std::string& method,
                               const std::string& target, std::string body,
                               monotonic_time deadline, call_effect effect,
                               on_answer done) {
  const http_request request{method, target, {}, std::move(body)};
  client_.Call(platform_, request, deadline,
               [done = std::move(done), effect](const http_response* response,
                                                const call_failure& failure) {
                 if (response != nullptr) return done(*response);
                 const bool may_have_changed =
                     effect == call_effect::kMayChange && failure.bytes_sent;
                 done(MakeError(may_have_changed ? error_code::kUnknown
                                                 : error_code::kUnavailable,
                                fmt::format("no answer from the platform: {}",
                                            CallProblemName(failure.problem))));
               });
}

}  // namespace citron
