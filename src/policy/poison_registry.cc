#include "citron/policy/poison_registry.h"

#include <algorithm>

namespace citron {
namespace {

// An answer from before a crash may be read after the loss of another
// connection was. Within a zone it is there in a few milliseconds.
constexpr duration kOvertaking = std::chrono::milliseconds(20);
// Two processes tell of one crash at moments no further apart than this; an
// upstream takes longer to start again.
constexpr duration kOneCrash = std::chrono::milliseconds(100);
// A request that was answered this shortly before a crash didn't cause it. The
// time is short, as data may change so that a good request begins to crash.
constexpr duration kRecentAnswer = std::chrono::seconds(2);
constexpr std::size_t kRecentAnswers = 4096;

bool IsSame(const upstream_crash& a, const upstream_crash& b) {
  const duration apart = a.at < b.at ? b.at - a.at : a.at - b.at;
  return a.upstream == b.upstream && apart <= kOneCrash;
}

bool IsRefutedBy(const upstream_crash& crash, const upstream_id& alive,
                 monotonic_time sent_at, monotonic_time now) {
  return crash.upstream == alive && sent_at < crash.at &&
         now - crash.at >= kOvertaking;
}

}  // namespace

// Load pattern: a single request that crashes each upstream that runs it, and
// whose caller sends it again, beside requests that many callers send alike.
//
// Two crashes are the fewest that tell a request that kills from a server that
// died by itself. At a crash every request in flight there is under suspicion,
// also those that merely shared the server. If two of them met again on one
// server, the second crash would convict both. So a suspect is sent only where
// no other suspect runs, and one copy at a time: at the second crash just one
// fingerprint has been at both. An answer clears a suspect at once.
//
// A connection can also be lost without a crash. If another request that was in
// flight there at the time is answered later, the upstream hadn't crashed, and
// what was held against the first one is taken back. What this doesn't tell
// apart is two different killers at the same time: a suspect that shares a
// server with a second, still unknown killer is refused in its place until the
// lifetime ends.

poison_registry::poison_registry(duration lifetime)
    : lifetime_(lifetime), answers_(kRecentAnswers) {}

bool poison_registry::record::Has(const upstream_crash& crash) const {
  return std::any_of(
      crashes.begin(), crashes.end(),
      [&](const upstream_crash& known) { return IsSame(known, crash); });
}

poison_registry::standing poison_registry::Of(std::uint64_t fingerprint,
                                              monotonic_time now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.until <= now) {
    return standing::kClear;
  }
  const record& r = found->second;
  if (r.convicted) return standing::kPoison;
  const bool is_told_of_two = r.crashes.size() >= 2;
  return is_told_of_two && !HasRival(fingerprint, r) ? standing::kPoison
                                                     : standing::kSuspect;
}

// Another request was at the same crashes, so that either may have caused them.
bool poison_registry::HasRival(std::uint64_t fingerprint,
                               const record& r) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& other) {
    if (other.first == fingerprint) return false;
    return std::all_of(
        r.crashes.begin(), r.crashes.end(),
        [&](const upstream_crash& crash) { return other.second.Has(crash); });
  });
}

bool poison_registry::WasAnsweredBefore(std::uint64_t fingerprint,
                                        monotonic_time crash_at) const {
  return answers_.IsAnsweredSince(fingerprint, crash_at - kRecentAnswer);
}

monotonic_time poison_registry::Until(std::uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? monotonic_time() : found->second.until;
}

poison_registry::standing poison_registry::OnCrash(std::uint64_t fingerprint,
                                                   const upstream_id& upstream,
                                                   monotonic_time sent_at,
                                                   monotonic_time now,
                                                   bool kept_apart) {
  if (fingerprint == 0) return standing::kClear;
  const standing before = Of(fingerprint, now);
  if (before == standing::kClear && WasAnsweredBefore(fingerprint, now)) {
    return standing::kClear;
  }
  record& r = records_[fingerprint];
  if (before == standing::kClear) {
    r = record{{{upstream, now}}, false, now + lifetime_};
    return standing::kSuspect;
  }
  // Two copies in flight at one crash are still one crash.
  const bool same_crash = std::any_of(
      r.crashes.begin(), r.crashes.end(), [&](const upstream_crash& known) {
        return known.upstream == upstream && sent_at <= known.at;
      });
  if (!same_crash && before == standing::kSuspect) {
    r.crashes.push_back({upstream, now});
    r.convicted = kept_apart;
  }
  r.until = std::max(r.until, now + lifetime_);
  return Of(fingerprint, now);
}

void poison_registry::OnUnprovenCrash(std::uint64_t fingerprint,
                                      monotonic_time now) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  found->second.until = std::max(found->second.until, now + lifetime_);
}

void poison_registry::OnAlive(const upstream_id& upstream,
                              monotonic_time sent_at, monotonic_time now) {
  for (auto next = records_.begin(); next != records_.end();) {
    const auto at = next++;
    record& r = at->second;
    const std::size_t refuted =
        std::erase_if(r.crashes, [&](const upstream_crash& crash) {
          return IsRefutedBy(crash, upstream, sent_at, now);
        });
    if (refuted == 0) continue;
    r.convicted = r.convicted && r.crashes.size() >= 2;
    if (r.crashes.empty()) records_.erase(at);
  }
}

void poison_registry::OnAnswered(std::uint64_t fingerprint,
                                 monotonic_time now) {
  answers_.Add(fingerprint, now);
  const auto found = records_.find(fingerprint);
  if (found != records_.end() && !found->second.convicted) {
    records_.erase(found);
  }
}

void poison_registry::OnPoison(std::uint64_t fingerprint,
                               monotonic_time until) {
  record& r = records_[fingerprint];
  r.convicted = true;
  r.until = std::max(r.until, until);
}

// The word of a crash may come after this process saw another one: together
// they are two.
void poison_registry::OnSuspect(std::uint64_t fingerprint,
                                const upstream_crash& crash,
                                monotonic_time now) {
  if (Of(fingerprint, now) == standing::kClear) {
    if (WasAnsweredBefore(fingerprint, crash.at)) return;
    records_[fingerprint] = {};
  }
  record& r = records_[fingerprint];
  if (!r.Has(crash)) r.crashes.push_back(crash);
  r.until = std::max(r.until, crash.at + lifetime_);
}

bool poison_registry::MaySend(std::uint64_t fingerprint) const {
  return !in_flight_.contains(fingerprint);
}

bool poison_registry::HoldsSuspect(const upstream_id& upstream) const {
  return suspects_at_.contains(upstream);
}

void poison_registry::AddUpstreamsWithSuspects(
    std::vector<upstream_id>& upstreams) const {
  for (const auto& [upstream, count] : suspects_at_) {
    upstreams.push_back(upstream);
  }
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
