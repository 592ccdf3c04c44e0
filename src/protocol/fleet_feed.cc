#include "citron/protocol/fleet_feed.h"

#include <algorithm>

namespace citron {

fleet_feed::fleet_feed(const feed_options& options)
    : options_(options), interval_(options.min_interval) {}

void fleet_feed::SetFleetSize(int vms) {
  const duration stretched = options_.min_interval * vms / options_.small_fleet;
  interval_ =
      std::clamp(stretched, options_.min_interval, options_.max_interval);
}

std::optional<fleet_feed::feed_call> fleet_feed::NextCall(monotonic_time now,
                                                          bool may_relay) {
  if (in_flight_ || now < next_at_) return std::nullopt;
  in_flight_ = true;
  sent_at_ = now;
  if (may_relay && !needs_store_copy_) {
    return feed_call{call::kWatch, revision_, options_.relay_wait, true};
  }
  if (needs_range_) return feed_call{call::kRange, 0, {}, false};
  const duration left = options_.max_proof_age - (now - *proven_at_);
  const duration longest =
      is_shared_ ? options_.shared_watch_wait : options_.watch_wait;
  wait_ = std::clamp(left, options_.min_wait, longest);
  return feed_call{call::kWatch, revision_, wait_, false};
}

void fleet_feed::OnRange(std::uint64_t revision, monotonic_time now) {
  has_copy_ = true;
  needs_store_copy_ = false;
  revision_ = revision;
  RecordAnswer(revision, sent_at_, now);
}

// The other VM received the request after it was sent and held it for a known
// time, whatever the network delay. That VM's own clock gives the age of its
// proof, so no two clocks are compared.
void fleet_feed::OnRelayed(std::uint64_t revision, duration held,
                           duration proof_age, duration expiry_grace_left,
                           monotonic_time now) {
  const monotonic_time answered = std::min(now, sent_at_ + held);
  const monotonic_time proven = answered - proof_age;
  RecordAnswer(revision, std::max(proven, proven_at_.value_or(proven)), now);
  expiry_grace_until_ = std::max(expiry_grace_until_, now + expiry_grace_left);
}

void fleet_feed::OnRelayFailed(monotonic_time now) {
  in_flight_ = false;
  next_at_ = now;
}

// The store held a watch without changes for its whole wait, so the answer was
// made at least that long after the call was sent. A VM that was frozen may
// read the answer much later.
void fleet_feed::OnEvents(std::uint64_t revision, bool any,
                          monotonic_time now) {
  const monotonic_time held = std::min(now, sent_at_ + wait_);
  RecordAnswer(revision, any ? sent_at_ : held, now);
}

// Records an answer that proves the local copy up to `proven_at`. For a full
// copy or a watch with changes this is the time the call was sent, since the
// store received the call after that time.
void fleet_feed::RecordAnswer(std::uint64_t revision, monotonic_time proven_at,
                              monotonic_time now) {
  in_flight_ = false;
  needs_range_ = false;
  revision_ = std::max(revision_, revision);
  proven_at_ = proven_at;
  if (failures_ > 0) expiry_grace_until_ = now + options_.expiry_grace;
  failures_ = 0;
  next_at_ = std::max(now, sent_at_ + interval_);
}

void fleet_feed::OnCompacted(monotonic_time now) {
  in_flight_ = false;
  needs_range_ = true;
  needs_store_copy_ = true;
  next_at_ = now;
}

void fleet_feed::OnFailed(monotonic_time now) {
  in_flight_ = false;
  ++failures_;
  // A watch that broke off may have missed earlier changes, so the next call
  // to the store reads everything, unless another VM answers first.
  needs_range_ = true;
  next_at_ = now + options_.retry_interval;
}

bool fleet_feed::IsProvenWithin(duration age, monotonic_time now) const {
  return proven_at_.has_value() && now - *proven_at_ < age;
}

}  // namespace citron
