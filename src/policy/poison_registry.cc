#include "citron/policy/poison_registry.h"

#include <algorithm>

namespace citron {
namespace {

// An answer sent before a crash may be read after the loss of another
// connection has been seen. Within a zone such an answer arrives in a few
// milliseconds.
constexpr duration kAnswerReorderWindow = std::chrono::milliseconds(20);
// Reports of two processes about one crash differ in time by at most this much;
// an upstream takes longer to restart.
constexpr duration kSameCrashWindow = std::chrono::milliseconds(100);
// A request that was answered within this time before a crash didn't cause the
// crash and isn't suspected. The time is short because a data change can turn a
// harmless request into one that crashes upstreams.
constexpr duration kRecentAnswerWindow = std::chrono::seconds(2);
constexpr std::size_t kRecentAnswerSlots = 4096;

bool IsSameCrash(const upstream_crash& a, const upstream_crash& b) {
  const duration apart = a.at < b.at ? b.at - a.at : a.at - b.at;
  return a.upstream == b.upstream && apart <= kSameCrashWindow;
}

bool IsRefutedByAnswer(const upstream_crash& crash, const upstream_id& alive,
                       monotonic_time sent_at, monotonic_time now) {
  return crash.upstream == alive && sent_at < crash.at &&
         now - crash.at >= kAnswerReorderWindow;
}

}  // namespace

// Load pattern: a single request that crashes each upstream that runs it and
// that its caller retries, among harmless requests, some of which are sent by
// many callers and share a fingerprint. Without a conviction the retries crash
// one upstream after another.
//
// Two crashes are the fewest that distinguish a poison request from an upstream
// that crashed by itself. At a crash every request in flight at the upstream
// becomes a suspect, including requests that merely shared the upstream, unless
// its fingerprint is unknown or was answered within kRecentAnswerWindow. If two
// suspects were in flight at both crashes, the crashes couldn't show which of
// them is the cause. Therefore a suspect is sent only to an upstream without
// another suspect, and only one request of a fingerprint at a time: at the
// second crash just one fingerprint was present at both. An answer clears a
// suspect at once.
//
// A connection can also be lost without a crash. If another request that was in
// flight at the upstream at that time is answered later, the upstream didn't
// crash, and the crash is withdrawn from all records. A conviction with fewer
// than two crashes left is cancelled. Limitation: two different poison requests
// at the same time can't be distinguished. A suspect that shares an upstream
// with a second, still unknown poison request is refused instead of that
// request until the lifetime ends.

poison_registry::poison_registry(duration lifetime)
    : lifetime_(lifetime), answers_(kRecentAnswerSlots) {}

bool poison_registry::record::Has(const upstream_crash& crash) const {
  return std::any_of(
      crashes.begin(), crashes.end(),
      [&](const upstream_crash& known) { return IsSameCrash(known, crash); });
}

poison_registry::standing poison_registry::StandingOf(
    std::uint64_t fingerprint, monotonic_time now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.until <= now) {
    return standing::kClear;
  }
  const record& r = found->second;
  if (r.convicted) return standing::kPoison;
  const bool has_two_crashes = r.crashes.size() >= 2;
  return has_two_crashes && !SharesCrashesWithAnother(fingerprint, r)
             ? standing::kPoison
             : standing::kSuspect;
}

bool poison_registry::SharesCrashesWithAnother(std::uint64_t fingerprint,
                                               const record& r) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& other) {
    if (other.first == fingerprint) return false;
    return std::all_of(
        r.crashes.begin(), r.crashes.end(),
        [&](const upstream_crash& crash) { return other.second.Has(crash); });
  });
}

bool poison_registry::HasAnswerSinceShortlyBefore(
    std::uint64_t fingerprint, monotonic_time crash_at) const {
  return answers_.IsAnsweredSince(fingerprint, crash_at - kRecentAnswerWindow);
}

monotonic_time poison_registry::ExpiresAt(std::uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? monotonic_time() : found->second.until;
}

poison_registry::standing poison_registry::OnCrash(std::uint64_t fingerprint,
                                                   const upstream_id& upstream,
                                                   monotonic_time sent_at,
                                                   monotonic_time now,
                                                   bool was_isolated) {
  if (fingerprint == 0) return standing::kClear;
  const standing before = StandingOf(fingerprint, now);
  if (before == standing::kClear &&
      HasAnswerSinceShortlyBefore(fingerprint, now)) {
    return standing::kClear;
  }
  record& r = records_[fingerprint];
  if (before == standing::kClear) {
    r = record{{{upstream, now}}, false, now + lifetime_};
    return standing::kSuspect;
  }
  // Two requests of one fingerprint in flight at one crash count as one crash.
  const bool same_crash = std::any_of(
      r.crashes.begin(), r.crashes.end(), [&](const upstream_crash& known) {
        return known.upstream == upstream && sent_at <= known.at;
      });
  if (!same_crash && before == standing::kSuspect) {
    r.crashes.push_back({upstream, now});
    r.convicted = was_isolated;
  }
  r.until = std::max(r.until, now + lifetime_);
  return StandingOf(fingerprint, now);
}

void poison_registry::ExtendLifetime(std::uint64_t fingerprint,
                                     monotonic_time now) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  found->second.until = std::max(found->second.until, now + lifetime_);
}

void poison_registry::OnUpstreamAlive(const upstream_id& upstream,
                                      monotonic_time sent_at,
                                      monotonic_time now) {
  for (auto next = records_.begin(); next != records_.end();) {
    const auto at = next++;
    record& r = at->second;
    const std::size_t refuted =
        std::erase_if(r.crashes, [&](const upstream_crash& crash) {
          return IsRefutedByAnswer(crash, upstream, sent_at, now);
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

void poison_registry::OnConvicted(std::uint64_t fingerprint,
                                  monotonic_time until) {
  record& r = records_[fingerprint];
  r.convicted = true;
  r.until = std::max(r.until, until);
}

// The report of a crash may arrive after this process has seen another crash;
// both crashes count.
void poison_registry::OnSuspect(std::uint64_t fingerprint,
                                const upstream_crash& crash,
                                monotonic_time now) {
  if (StandingOf(fingerprint, now) == standing::kClear) {
    if (HasAnswerSinceShortlyBefore(fingerprint, crash.at)) return;
    records_[fingerprint] = {};
  }
  record& r = records_[fingerprint];
  if (!r.Has(crash)) r.crashes.push_back(crash);
  r.until = std::max(r.until, crash.at + lifetime_);
}

// Adds no crash: its report is on the way, and a crash that came by two ways
// would look like two crashes if one of them were slow.
void poison_registry::OnSuspectedElsewhere(std::uint64_t fingerprint,
                                           monotonic_time now) {
  if (StandingOf(fingerprint, now) != standing::kClear) return;
  if (HasAnswerSinceShortlyBefore(fingerprint, now)) return;
  records_[fingerprint] = record{{}, false, now + lifetime_};
}

bool poison_registry::MaySendSuspect(std::uint64_t fingerprint) const {
  return !in_flight_.contains(fingerprint);
}

bool poison_registry::HasSuspectInFlight(const upstream_id& upstream) const {
  return upstream_suspects_.contains(upstream);
}

void poison_registry::AddUpstreamsWithSuspects(
    std::vector<upstream_id>& upstreams) const {
  for (const auto& [upstream, count] : upstream_suspects_) {
    upstreams.push_back(upstream);
  }
}

void poison_registry::OnSuspectSent(std::uint64_t fingerprint,
                                    const upstream_id& upstream) {
  ++in_flight_[fingerprint];
  ++upstream_suspects_[upstream];
}

void poison_registry::OnSuspectDone(std::uint64_t fingerprint,
                                    const upstream_id& upstream) {
  if (--in_flight_[fingerprint] <= 0) in_flight_.erase(fingerprint);
  if (--upstream_suspects_[upstream] <= 0) upstream_suspects_.erase(upstream);
}

void poison_registry::Expire(monotonic_time now) {
  std::erase_if(records_, [&](const auto& r) { return r.second.until <= now; });
}

}  // namespace citron
