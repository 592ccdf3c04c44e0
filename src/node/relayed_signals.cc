#include "citron/node/relayed_signals.h"

#include <algorithm>

namespace citron {

namespace {

constexpr int kTimes = 3;
constexpr duration kInterval = std::chrono::milliseconds(150);
// An end that moves by less is no news.
constexpr duration kLeastChange = std::chrono::milliseconds(100);
// More than one VM has upstreams that pause at once.
constexpr std::size_t kMostEntries = 512;

}  // namespace

// Load pattern: a VM that reaches no upstream and sends through others, while
// upstreams are full.
void relayed_signals::Add(const upstream_signal& signal, monotonic_time now) {
  const auto key = std::pair(signal.upstream, signal.asked);
  const bool is_new = !entries_.contains(key);
  if (is_new && entries_.size() >= kMostEntries) return;
  entry& held = entries_[key];
  const bool is_news =
      is_new || held.signal.born_ms != signal.born_ms ||
      signal.paused_until >= held.signal.paused_until + kLeastChange ||
      (signal.is_leaving && !held.signal.is_leaving);
  if (!is_news) return;
  const bool is_same_start = held.signal.born_ms == signal.born_ms;
  const upstream_signal before =
      is_same_start ? held.signal : upstream_signal{};
  held.signal = signal;
  held.signal.paused_until = std::max(signal.paused_until, before.paused_until);
  held.signal.is_leaving = signal.is_leaving || before.is_leaving;
  held.times_left = kTimes;
  held.due_at = now;
}

std::vector<upstream_signal> relayed_signals::TakeDue(monotonic_time now) {
  std::vector<upstream_signal> due;
  for (auto& [key, held] : entries_) {
    if (held.times_left == 0 || now < held.due_at) continue;
    due.push_back(held.signal);
    --held.times_left;
    held.due_at = now + kInterval;
  }
  std::erase_if(entries_, [now](const auto& held) {
    return held.second.times_left == 0 &&
           now >= held.second.signal.paused_until;
  });
  return due;
}

}  // namespace citron
