#include "citron/node/crash_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace citron {

namespace {

constexpr duration kLifetime = std::chrono::seconds(60);
constexpr int kTellings = 3;
// Lines of one report. With more news than that the rest follows with the next.
constexpr std::size_t kMostLines = 16;
constexpr std::size_t kMostNews = 256;
// An upstream that answers what was sent to it sooner than this after a lost
// connection has not started anew.
constexpr duration kLeastRestart = std::chrono::seconds(1);

}  // namespace

crash_watch::crash_watch(event_log& log) : log_(log), registry_(kLifetime) {}

void crash_watch::OnNews(std::function<void()> listener) {
  on_news_ = std::move(listener);
}

crash_watch::standing crash_watch::Of(std::uint64_t fingerprint,
                                      monotonic_time now) const {
  return registry_.StandingOf(fingerprint, now);
}

monotonic_time crash_watch::Until(std::uint64_t fingerprint) const {
  return registry_.ExpiresAt(fingerprint);
}

bool crash_watch::MaySend(std::uint64_t fingerprint) const {
  return registry_.MaySendSuspect(fingerprint);
}

void crash_watch::AddUpstreamsWithSuspects(
    std::vector<upstream_id>& upstreams) const {
  registry_.AddUpstreamsWithSuspects(upstreams);
}

void crash_watch::OnSuspectSent(std::uint64_t fingerprint,
                                const upstream_id& upstream) {
  registry_.OnSuspectSent(fingerprint, upstream);
}

void crash_watch::OnSuspectDone(std::uint64_t fingerprint,
                                const upstream_id& upstream) {
  registry_.OnSuspectDone(fingerprint, upstream);
}

void crash_watch::OnLost(std::uint64_t fingerprint, const upstream_id& upstream,
                         bool was_suspect, monotonic_time sent_at,
                         monotonic_time now) {
  const standing after =
      registry_.OnCrash(fingerprint, upstream, sent_at, now, was_suspect);
  if (after == standing::kClear) return;
  const upstream_crash crash{upstream, now};
  LogStanding(fingerprint, crash, "own", now);
  if (news_.size() >= kMostNews) news_.pop_back();
  news_.push_front({fingerprint, crash, kTellings});
  if (on_news_) on_news_();
}

void crash_watch::OnAnswered(std::uint64_t fingerprint,
                             const upstream_id& upstream,
                             monotonic_time sent_at, monotonic_time now) {
  if (fingerprint != 0) registry_.OnAnswered(fingerprint, now);
  OnAlive(upstream, sent_at, now);
}

void crash_watch::OnAlive(const upstream_id& upstream, monotonic_time sent_at,
                          monotonic_time now) {
  registry_.OnUpstreamAlive(upstream, sent_at - kLeastRestart, now);
}

void crash_watch::OnTold(const crash_report& report, monotonic_time now) {
  for (const crash_line& line : report.crashes) {
    if (line.fingerprint == 0) continue;
    const auto age = std::chrono::milliseconds(line.age_ms);
    if (age >= kLifetime) continue;
    const standing before = Of(line.fingerprint, now);
    const upstream_crash crash{line.upstream, now - age};
    registry_.OnSuspect(line.fingerprint, crash, now);
    if (Of(line.fingerprint, now) == before) continue;
    LogStanding(line.fingerprint, crash, report.vm.Str().c_str(), now);
  }
}

void crash_watch::LogStanding(std::uint64_t fingerprint,
                              const upstream_crash& crash, const char* source,
                              monotonic_time now) {
  const bool convicted = Of(fingerprint, now) == standing::kPoison;
  log_.Write("poison", convicted ? "convicted" : "suspected",
             {{"fingerprint", fmt::format("{:016x}", fingerprint)},
              {"upstream", crash.upstream.Str()},
              {"crash_age_ms", ToMilliseconds(now - crash.at)},
              {"source", source}},
             now);
}

std::vector<crash_line> crash_watch::TakeNews(monotonic_time now) {
  std::vector<crash_line> lines;
  const std::size_t count = std::min(news_.size(), kMostLines);
  for (std::size_t i = 0; i < count; ++i) {
    news told = std::move(news_.front());
    news_.pop_front();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - told.crash.at);
    lines.push_back({told.fingerprint, told.crash.upstream,
                     static_cast<std::uint32_t>(age.count())});
    if (--told.times_left > 0) news_.push_back(std::move(told));
  }
  return lines;
}

}  // namespace citron
