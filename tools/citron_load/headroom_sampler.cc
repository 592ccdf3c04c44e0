#include "tools/citron_load/headroom_sampler.h"

#include <utility>

namespace citron {

namespace {

// Zones report each 100 ms; a page twice a second costs an entry next to
// nothing beside its load.
constexpr duration kRound = std::chrono::milliseconds(500);
// A page that comes later belongs to the next round, where it would be old.
constexpr duration kPageTimeout = std::chrono::milliseconds(400);

constexpr int kOk = 200;

}  // namespace

headroom_sampler::headroom_sampler(event_loop& loop,
                                   std::vector<endpoint> pages)
    : pages_(std::move(pages)),
      client_(loop),
      timer_(loop, [this] { RoundDue(); }) {}

void headroom_sampler::Start() {
  if (pages_.empty()) return;
  running_ = true;
  RoundDue();
}

void headroom_sampler::Stop() {
  running_ = false;
  timer_.Disarm();
}

void headroom_sampler::RoundDue() {
  series_.EndRound();
  const monotonic_time now = MonotonicNow();
  timer_.Arm(now + kRound);
  for (const endpoint& page : pages_) {
    client_.Call(page, {"GET", "/metrics", {}, ""}, now + kPageTimeout,
                 [this](const http_response* response, const call_failure&) {
                   if (!running_ || response == nullptr) return;
                   if (response->head.status != kOk) return;
                   series_.OnPage(ParseHeadroom(response->body));
                 });
  }
}

}  // namespace citron
