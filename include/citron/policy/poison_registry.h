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

// A crash of an upstream, as far as one process could see it.
struct upstream_crash {
  upstream_id upstream;
  monotonic_time at{};
};

// Remembers which requests were in flight when upstreams crashed.
class poison_registry {
 public:
  // How long a verdict or a suspicion holds.
  explicit poison_registry(duration lifetime);

  enum class standing { kClear, kSuspect, kPoison };

  standing Of(std::uint64_t fingerprint, monotonic_time now) const;
  monotonic_time Until(std::uint64_t fingerprint) const;

  // The request, sent at `sent_at`, was in flight when the upstream crashed.
  // Fingerprint 0 stands for an unknown one and is never held against anyone.
  // `kept_apart`: no other suspect was sent there, so that it alone can be the
  // cause. Returns the standing after it.
  standing OnCrash(std::uint64_t fingerprint, const upstream_id& upstream,
                   monotonic_time sent_at, monotonic_time now,
                   bool kept_apart = true);
  // The same, but it proves nothing beyond the suspicion.
  void OnUnprovenCrash(std::uint64_t fingerprint, monotonic_time now);
  // A copy was answered, so it doesn't crash upstreams.
  void OnAnswered(std::uint64_t fingerprint, monotonic_time now);
  // Some request that was sent to the upstream at `sent_at` was answered, so
  // the upstream hasn't crashed since.
  void OnAlive(const upstream_id& upstream, monotonic_time sent_at,
               monotonic_time now);
  // Another process convicted it, or saw it in flight at a crash.
  void OnPoison(std::uint64_t fingerprint, monotonic_time until);
  void OnSuspect(std::uint64_t fingerprint, const upstream_crash& crash,
                 monotonic_time now);

  // A suspect in flight; at most one copy of it, and one suspect an upstream.
  bool MaySend(std::uint64_t fingerprint) const;
  bool HoldsSuspect(const upstream_id& upstream) const;
  void AddUpstreamsWithSuspects(std::vector<upstream_id>& upstreams) const;
  void OnSuspectSent(std::uint64_t fingerprint, const upstream_id& upstream);
  void OnSuspectDone(std::uint64_t fingerprint, const upstream_id& upstream);

  bool IsEmpty() const { return records_.empty(); }
  void Expire(monotonic_time now);

 private:
  struct record {
    std::vector<upstream_crash> crashes;
    bool convicted = false;
    monotonic_time until;

    bool Has(const upstream_crash& crash) const;
  };

  bool HasRival(std::uint64_t fingerprint, const record& r) const;
  bool WasAnsweredBefore(std::uint64_t fingerprint,
                         monotonic_time crash_at) const;

  duration lifetime_;
  recent_answers answers_;
  std::unordered_map<std::uint64_t, record> records_;
  std::map<std::uint64_t, int> in_flight_;
  std::map<upstream_id, int> suspects_at_;
};

}  // namespace citron

#endif  // CITRON_POLICY_POISON_REGISTRY_H_
