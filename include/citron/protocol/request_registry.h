#ifndef CITRON_PROTOCOL_REQUEST_REGISTRY_H_
#define CITRON_PROTOCOL_REQUEST_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/base/verdict.h"
#include "citron/protocol/incarnation.h"

namespace citron {

// Proves that the fleet issued an id. Issuer and verifier hold the fleet's
// secret.
class request_id_mac {
 public:
  virtual ~request_id_mac() = default;
  // Returns hexadecimal text of a fixed length.
  virtual std::string Compute(std::string_view text) const = 0;
};

// Parts of a request id: "<vm>.<incarnation>.<number>.<expiry>.<mac>".
struct request_id_parts {
  vm_id vm;
  incarnation_number incarnation = 0;
  std::uint64_t number = 0;
  // Milliseconds of the issuer's monotonic clock; meaningless to other
  // processes.
  std::uint64_t expires_at_ms = 0;
  std::string mac;
};

// Parses strictly: bounded length, every part present, no leading zeros,
// lower-case MAC.
std::optional<request_id_parts> ParseRequestId(std::string_view text);

struct request_registry_options {
  vm_id vm;
  incarnation_number incarnation = 0;
  duration lifetime = FromSeconds(600);
  // Limit of the ids that were run and have not expired.
  std::size_t max_ids = 250000;
};

namespace begin_answer {

// The request may be sent; no other call returns this for the id, unless the
// outcome is kNotRun.
struct run {};
// The request is in flight; its outcome is not known yet.
struct already_running {};
// The request has an outcome; nothing is sent.
struct answered {
  verdict ran = verdict::kMayHaveRun;
  int status = 0;  // HTTP status given to the first caller.
};
// The id is too old to be run. The request may have run.
struct expired {};
// Another process issued the id, and only that process may run it.
struct other_issuer {
  vm_id vm;
  incarnation_number incarnation = 0;
};
// The id was used with another request; nothing is sent.
struct fingerprint_differs {};
// The id is malformed or forged.
struct refused {};
// The limit of ids is reached. The request was not run; the same id may be
// tried later.
struct full {};

}  // namespace begin_answer

using begin_result =
    std::variant<begin_answer::run, begin_answer::already_running,
                 begin_answer::answered, begin_answer::expired,
                 begin_answer::other_issuer, begin_answer::fingerprint_differs,
                 begin_answer::refused, begin_answer::full>;

// Gives at-most-once execution: lets a request id that this process issued run
// once and remembers the id until it expires.
//
// Load pattern: an answer is lost or a caller's connection breaks, and the
// caller sends the request again with the same id. Without the registry the
// second request would run as well, such as a second booking or a second credit
// note. One process issues the id, runs it and remembers it, so no store is
// written for a request, and a store outage or partition changes nothing. When
// that process is gone, whether the request ran is unknown and is not reported.
class request_registry {
 public:
  // `mac` must outlive the registry.
  request_registry(request_registry_options options, const request_id_mac& mac);

  // Returns kUnavailable when full. An id costs no memory until it is run.
  result<request_id> IssueId(monotonic_time now);
  // `fingerprint` is a digest of workspace, method, path and body.
  begin_result Begin(const request_id& id, std::uint64_t fingerprint,
                     monotonic_time now);
  // Records the outcome. kNotRun frees the id to be run again.
  void OnOutcome(const request_id& id, verdict ran, int status);
  // Drops expired ids. IssueId and Begin call this as well.
  void Expire(monotonic_time now);

  std::size_t Size() const { return records_.size(); }

 private:
  struct request_record {
    std::uint64_t expires_at_ms = 0;
    std::uint64_t fingerprint = 0;
    bool running = true;
    verdict ran = verdict::kMayHaveRun;
    int status = 0;
  };

  std::optional<request_id_parts> ParseVerified(const request_id& id) const;
  bool IsIssuedHere(const request_id_parts& parts) const;

  request_registry_options options_;
  const request_id_mac& mac_;
  // Ids that were run. Numbers grow and all ids have the same lifetime, so the
  // order of numbers is the order of expiry.
  std::map<std::uint64_t, request_record> records_;
  std::uint64_t next_number_ = 1;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_REQUEST_REGISTRY_H_
