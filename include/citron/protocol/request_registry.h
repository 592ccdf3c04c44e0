#ifndef CITRON_PROTOCOL_REQUEST_REGISTRY_H_
#define CITRON_PROTOCOL_REQUEST_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/base/verdict.h"
#include "citron/protocol/incarnation.h"

namespace citron {

// Proves that the fleet issued an id. Both sides hold the fleet's secret.
class request_id_mac {
 public:
  virtual ~request_id_mac() = default;
  // Hexadecimal, of a fixed length.
  virtual std::string Compute(std::string_view text) const = 0;
};

// What a request id says: "<vm>.<incarnation>.<number>.<mac>". It carries no
// time: the issuer remembers when it expires, by its own clock.
struct request_id_parts {
  vm_id vm;
  incarnation_number incarnation = 0;
  std::uint64_t number = 0;
  std::string mac;
};

// Strict: bounded length, every part there, no leading zeros, lower case.
std::optional<request_id_parts> ParseRequestId(std::string_view text);

struct request_registry_options {
  vm_id vm;
  incarnation_number incarnation = 0;
  duration lifetime = FromSeconds(600);
  // Ids issued and not expired; 64 MB at some 250 bytes each.
  std::size_t max_ids = 250000;
};

namespace begin_answer {

// The request may be sent, and this call was the only one to say so.
struct run {};
// It is in flight; its outcome is not known yet.
struct already_running {};
// It has an outcome; nothing is sent.
struct answered {
  verdict ran = verdict::kMayHaveRun;
  int status = 0;  // HTTP status given to the first caller.
};
// The id is too old to be run. It may have run.
struct expired {};
// Issued by another process, which alone may run it.
struct other_issuer {
  vm_id vm;
  incarnation_number incarnation = 0;
};
// The same id with another request; nothing is sent.
struct fingerprint_differs {};
// Malformed, forged or never issued.
struct refused {};

}  // namespace begin_answer

using begin_result =
    std::variant<begin_answer::run, begin_answer::already_running,
                 begin_answer::answered, begin_answer::expired,
                 begin_answer::other_issuer, begin_answer::fingerprint_differs,
                 begin_answer::refused>;

// At-most-once: runs a request id that this process issued once, and remembers
// it until it expires.
class request_registry {
 public:
  // `mac` must outlive the registry.
  request_registry(request_registry_options options, const request_id_mac& mac);

  // kUnavailable when full: refusing to issue is safe, forgetting is not.
  result<request_id> IssueId(monotonic_time now);
  // `fingerprint` is a digest of workspace, method, path and body.
  begin_result Begin(const request_id& id, std::uint64_t fingerprint,
                     monotonic_time now);
  // kNotRun makes the id free to be begun again.
  void OnOutcome(const request_id& id, verdict ran, int status,
                 monotonic_time now);
  // Forgets ids that expired; also done by IssueId and Begin.
  void Expire(monotonic_time now);

  std::size_t Size() const { return entries_.size(); }
  // Ids that were begun and have no outcome yet.
  std::size_t Running() const { return running_; }

 private:
  enum class phase { kIssued, kRunning, kDone };
  struct entry {
    phase state = phase::kIssued;
    monotonic_time expires_at;
    std::uint64_t fingerprint = 0;
    verdict ran = verdict::kNotRun;
    int status = 0;
  };

  std::string MacOf(const request_id_parts& parts) const;
  std::optional<request_id_parts> Verified(const request_id& id) const;
  begin_result BeginOwn(std::uint64_t number, std::uint64_t fingerprint);

  request_registry_options options_;
  const request_id_mac& mac_;
  // Numbers grow and each lives equally long, so the order of numbers is the
  // order of expiry.
  std::map<std::uint64_t, entry> entries_;
  std::uint64_t next_number_ = 1;
  std::size_t running_ = 0;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_REQUEST_REGISTRY_H_
