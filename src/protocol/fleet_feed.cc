#include "citron/protocol/fleet_feed.h"

#include <algorithm>

namespace citron {

// Answers: a store that is priced by the call, loses answers, forgets its
// history and is away for seconds. Without the pace each write of an upstream
// is a call by each VM; without the proof a VM that lost the store would go on
// with keys that were withdrawn long ago, which one notices only by requests
// that run for somebody who has no access any more.

fleet_feed::fleet_feed(const feed_options& options)
    : options_(options), interval_(options.least_interval) {}

void fleet_feed::SetFleetSize(int vms) {
  const duration stretched =
      options_.least_interval * vms / options_.small_fleet;
  interval_ =
      std::clamp(stretched, options_.least_interval, options_.longest_interval);
}

std::optional<fleet_feed::order> fleet_feed::Next(monotonic_time now,
                                                  bool may_relay) {
  if (under_way_ || now < next_at_) return std::nullopt;
  under_way_ = true;
  sent_at_ = now;
  if (may_relay && !history_gone_) {
    return order{call::kWatch, revision_, options_.relay_wait, true};
  }
  if (needs_range_) return order{call::kRange, 0, {}, false};
  const duration left = options_.oldest_proof - (now - *proven_at_);
  const duration longest =
      is_shared_ ? options_.shared_watch_wait : options_.watch_wait;
  wait_ = std::clamp(left, options_.least_wait, longest);
  return order{call::kWatch, revision_, wait_, false};
}

void fleet_feed::OnRange(std::uint64_t revision, monotonic_time now) {
  has_copy_ = true;
  history_gone_ = false;
  revision_ = revision;
  OnAnswer(revision, sent_at_, now);
}

// The other VM handled the question after it was sent and held it for a known
// time, whatever happened on the way. Its own clock says how old its proof was
// then, so that no two clocks are compared.
void fleet_feed::OnRelayed(std::uint64_t revision, duration held,
                           duration proof_age, duration lapsed_left,
                           monotonic_time now) {
  const monotonic_time answered = std::min(now, sent_at_ + held);
  const monotonic_time proven = answered - proof_age;
  OnAnswer(revision, std::max(proven, proven_at_.value_or(proven)), now);
  lapsed_until_ = std::max(lapsed_until_, now + lapsed_left);
}

void fleet_feed::OnRelayFailed(monotonic_time now) {
  under_way_ = false;
  next_at_ = now;
}

// A watch without changes was held by the store for its whole wait, so that the
// answer was made that long after the call was sent at the soonest; it may have
// been read much later, by a VM that was frozen.
void fleet_feed::OnEvents(std::uint64_t revision, bool any,
                          monotonic_time now) {
  const monotonic_time held = std::min(now, sent_at_ + wait_);
  OnAnswer(revision, any ? sent_at_ : held, now);
}

// The store saw the call after it was sent; only that is certain otherwise.
void fleet_feed::OnAnswer(std::uint64_t revision, monotonic_time proven_at,
                          monotonic_time now) {
  under_way_ = false;
  needs_range_ = false;
  revision_ = std::max(revision_, revision);
  proven_at_ = proven_at;
  if (failures_ > 0) lapsed_until_ = now + options_.lapse_grace;
  failures_ = 0;
  next_at_ = std::max(now, sent_at_ + interval_);
}

void fleet_feed::OnCompacted(monotonic_time now) {
  under_way_ = false;
  needs_range_ = true;
  history_gone_ = true;
  next_at_ = now;
}

void fleet_feed::OnFailed(monotonic_time now) {
  under_way_ = false;
  ++failures_;
  // A watch that was cut may have missed what happened before: read anew.
  needs_range_ = true;
  next_at_ = now + options_.retry_interval;
}

bool fleet_feed::IsProvenSince(duration age, monotonic_time now) const {
  return proven_at_.has_value() && now - *proven_at_ < age;
}

}  // namespace citron
