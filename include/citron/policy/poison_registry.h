#ifndef CITRON_POLICY_POISON_REGISTRY_H_
#define CITRON_POLICY_POISON_REGISTRY_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/recent_answers.h"

namespace citron {

// An upstream crash as observed by one process; the time is on the clock of the
// process that holds the record.
struct upstream_crash {
  upstream_id upstream;
  monotonic_time at{};
};

// Records which requests were in flight when upstreams crashed and convicts
// those that cause the crashes.
class poison_registry {
 public:
  // `lifetime`: time from the last crash until a suspicion or conviction ends.
  explicit poison_registry(duration lifetime);

  enum class standing { kClear, kSuspect, kPoison };

  standing StandingOf(std::uint64_t fingerprint, monotonic_time now) const;
  monotonic_time ExpiresAt(std::uint64_t fingerprint) const;

  // Records that the request, sent at `sent_at`, was in flight when the
  // upstream crashed, and returns its new standing. Fingerprint 0 means unknown
  // and is ignored here. `was_isolated`: no other suspect was sent to that
  // upstream, so a second crash convicts this request. If false, a second crash
  // makes the request poison only if no other recorded request was in flight at
  // both crashes.
  standing OnCrash(std::uint64_t fingerprint, const upstream_id& upstream,
                   monotonic_time sent_at, monotonic_time now,
                   bool was_isolated = true);
  // Extends the lifetime of an existing record after a crash that isn't
  // evidence against this request.
  void ExtendLifetime(std::uint64_t fingerprint, monotonic_time now);
  // Records that a request with this fingerprint was answered, which clears the
  // record of the request unless the record is marked as convicted.
  void OnAnswered(std::uint64_t fingerprint, monotonic_time now);
  // Withdraws the crashes that are refuted by an answer to any request that was
  // sent to the upstream at `sent_at`: the upstream hasn't crashed since then.
  void OnUpstreamAlive(const upstream_id& upstream, monotonic_time sent_at,
                       monotonic_time now);
  // Records that another process convicted the request, or saw the request in
  // flight at a crash.
  void OnConvicted(std::uint64_t fingerprint, monotonic_time until);
  void OnSuspect(std::uint64_t fingerprint, const upstream_crash& crash,
                 monotonic_time now);
  // Records that another process treats the request as a suspect, of a crash
  // that this process may not know yet.
  void OnSuspectedElsewhere(std::uint64_t fingerprint, monotonic_time now);

  // The following functions track the suspects in flight. The user of the class
  // sends at most one request of a suspect fingerprint at a time, and at most
  // one suspect to each upstream.

  // Returns whether no request with this fingerprint is in flight as a suspect.
  bool MaySendSuspect(std::uint64_t fingerprint) const;
  bool HasSuspectInFlight(const upstream_id& upstream) const;
  void AddUpstreamsWithSuspects(std::vector<upstream_id>& upstreams) const;
  void OnSuspectSent(std::uint64_t fingerprint, const upstream_id& upstream);
  void OnSuspectDone(std::uint64_t fingerprint, const upstream_id& upstream);

  bool IsEmpty() const { return records_.empty(); }
  void Expire(monotonic_time now);

 private:
  struct record {
    std::vector<upstream_crash> crashes;
    // Set by a second, isolated crash or by another process's conviction.
    bool convicted = false;
    monotonic_time until;

    bool Has(const upstream_crash& crash) const;
  };

  // Returns whether another request was in flight at all crashes of `r`, so
  // that either may have caused them.
  bool SharesCrashesWithAnother(std::uint64_t fingerprint,
                                const record& r) const;
  // Returns whether an answer from kRecentAnswerWindow before `crash_at` or
  // later is recorded.
  bool HasAnswerSinceShortlyBefore(std::uint64_t fingerprint,
                                   monotonic_time crash_at) const;

  duration lifetime_;
  recent_answers answers_;
  std::unordered_map<std::uint64_t, record> records_;
  std::map<std::uint64_t, int> in_flight_;
  std::map<upstream_id, int> upstream_suspects_;
};

}  // namespace citron

#endif  // CITRON_POLICY_POISON_REGISTRY_H_
