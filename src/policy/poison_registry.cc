#include "citron/policy/poison_registry.h"

#include <algorithm>

namespace citron {
namespace {

// An answer from before a crash may be read after the loss of another
// connection was. Within a zone it is there in a few milliseconds.
constexpr duration kOvertaking = std::chrono::milliseconds(20);

}  // namespace

// Answers: a single request that crashes each upstream that runs it, and whose
// caller sends it again. Without this it takes the zone's upstreams one after
// another; one notices by upstreams that restart in turn. Two crashes are the
// fewest that tell a request that kills from a server that died by itself.
//
// At a crash every request in flight there is under suspicion, also those that
// merely shared the server. If two of them met again on one server, the second
// crash would convict both. So a suspect is sent only where no other suspect
// runs, and one copy at a time: at the second crash just one fingerprint has
// been at both. An answer clears a suspect at once.
//
// A connection can also be lost without a crash. If another request that was in
// flight there at the time is answered later, the upstream hadn't crashed, and
// what was held against the first one is taken back. What this doesn't tell
// apart is two different killers at the same time: a suspect that shares a
// server with a second, still unknown killer is refused in its place until the
// lifetime ends.

poison_registry::poison_registry(duration lifetime) : lifetime_(lifetime) {}

poison_registry::standing poison_registry::Of(std::uint64_t fingerprint,
                                              monotonic_time now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.until <= now) {
    return standing::kClear;
  }
  return found->second.state;
}

monotonic_time poison_registry::Until(std::uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? monotonic_time() : found->second.until;
}

poison_registry::standing poison_registry::OnCrash(std::uint64_t fingerprint,
                                                   const upstream_id& upstream,
                                                   monotonic_time sent_at,
                                                   monotonic_time now) {
  if (fingerprint == 0) return standing::kClear;
  const standing before = Of(fingerprint, now);
  record& r = records_[fingerprint];
  if (before == standing::kClear) {
    r = record{standing::kSuspect, {upstream, now}, {}, now + lifetime_};
    return r.state;
  }
  // Two copies in flight at one crash are still one crash.
  const bool same_crash = r.first.upstream == upstream && sent_at <= r.first.at;
  if (!same_crash && before == standing::kSuspect) {
    r.state = standing::kPoison;
    r.second = crash{upstream, now};
  }
  r.until = std::max(r.until, now + lifetime_);
  return r.state;
}

bool poison_registry::crash::IsRefutedBy(const upstream_id& alive,
                                         monotonic_time sent_at,
                                         monotonic_time now) const {
  return upstream == alive && sent_at < at && now - at >= kOvertaking;
}

void poison_registry::OnAlive(const upstream_id& upstream,
                              monotonic_time sent_at, monotonic_time now) {
  for (auto next = records_.begin(); next != records_.end();) {
    const auto at = next++;
    record& r = at->second;
    if (r.second && r.second->IsRefutedBy(upstream, sent_at, now)) {
      r.second.reset();
      r.state = standing::kSuspect;
    }
    if (!r.first.IsRefutedBy(upstream, sent_at, now)) continue;
    if (!r.second) {
      records_.erase(at);
      continue;
    }
    r.first = *r.second;
    r.second.reset();
    r.state = standing::kSuspect;
  }
}

void poison_registry::OnAnswered(std::uint64_t fingerprint) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  if (found->second.state == standing::kSuspect) records_.erase(found);
}

void poison_registry::OnPoison(std::uint64_t fingerprint,
                               monotonic_time until) {
  record& r = records_[fingerprint];
  r.state = standing::kPoison;
  r.until = std::max(r.until, until);
}

void poison_registry::OnSuspect(std::uint64_t fingerprint,
                                monotonic_time until) {
  record& r = records_[fingerprint];
  if (r.state == standing::kClear) r.state = standing::kSuspect;
  r.until = std::max(r.until, until);
}

bool poison_registry::MaySend(std::uint64_t fingerprint) const {
  return !in_flight_.contains(fingerprint);
}

bool poison_registry::HoldsSuspect(const upstream_id& upstream) const {
  return suspects_at_.contains(upstream);
}

void poison_registry::OnSuspectSent(std::uint64_t fingerprint,
                                    const upstream_id& upstream) {
  ++in_flight_[fingerprint];
  ++suspects_at_[upstream];
}

void poison_registry::OnSuspectDone(std::uint64_t fingerprint,
                                    const upstream_id& upstream) {
  if (--in_flight_[fingerprint] <= 0) in_flight_.erase(fingerprint);
  if (--suspects_at_[upstream] <= 0) suspects_at_.erase(upstream);
}

void poison_registry::Expire(monotonic_time now) {
  std::erase_if(records_, [&](const auto& r) { return r.second.until <= now; });
}

}  // namespace citron
