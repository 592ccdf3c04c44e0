#include "citron/protocol/fleet_feed.h"

#include <algorithm>

namespace citron {

namespace {

// One may be lost and another one slow.
constexpr int kMaxPendingRefreshes = 3;
// Calls to the store that fail in a row until it counts as lost.
constexpr int kFailuresToLoseStore = 2;
// Intervals between two calls of a VM during an outage of the store, while the
// VMs from which it reads look for its end.
constexpr int kOutageIntervals = 2;

}  // namespace

feed_options feed_options::ForBound(duration bound) {
  constexpr duration kDefaultBound = std::chrono::milliseconds(2500);
  constexpr duration kLeastBound = std::chrono::milliseconds(1000);
  const double scale =
      ToSeconds(std::max(bound, kLeastBound)) / ToSeconds(kDefaultBound);
  feed_options options;
  for (duration feed_options::*wait :
       {&feed_options::refresh_age, &feed_options::shared_refresh_age,
        &feed_options::refresh_interval, &feed_options::max_interval,
        &feed_options::watch_wait, &feed_options::relay_wait,
        &feed_options::proof_step, &feed_options::max_proof_age,
        &feed_options::min_wait, &feed_options::audit_interval}) {
    options.*wait = FromSeconds(scale * ToSeconds(options.*wait));
  }
  return options;
}

fleet_feed::fleet_feed(const feed_options& options)
    : options_(options), interval_(options.min_interval) {}

void fleet_feed::SetOptions(const feed_options& options) {
  options_ = options;
  SetFleetSize(fleet_size_);
}

void fleet_feed::SetFleetSize(int vms) {
  fleet_size_ = vms;
  const duration stretched = options_.min_interval * vms / options_.small_fleet;
  interval_ =
      std::clamp(stretched, options_.min_interval,
                 std::max(options_.min_interval, options_.max_interval));
}

std::optional<fleet_feed::feed_call> fleet_feed::NextCall(monotonic_time now,
                                                          bool may_relay) {
  if (in_flight_ || now < next_at_) return std::nullopt;
  const bool relayed = may_relay && !needs_store_copy_;
  if (!relayed && NeedsRefresh(now)) return std::nullopt;
  in_flight_ = true;
  sent_at_ = now;
  watches_store_ = !relayed;
  if (relayed) {
    return feed_call{call::kWatch, revision_, options_.relay_wait, true};
  }
  if (needs_range_) return feed_call{call::kRange, 0, {}, false};
  const duration left =
      options_.max_proof_age - (now - *proven_at_) - answer_delay_;
  wait_ = std::clamp(left, options_.min_wait, options_.watch_wait);
  return feed_call{call::kWatch, revision_, wait_, false};
}

bool fleet_feed::NeedsRefresh(monotonic_time now) const {
  const duration age =
      is_shared_ ? options_.shared_refresh_age : options_.refresh_age;
  return proven_at_.has_value() && now - *proven_at_ >= age;
}

std::optional<fleet_feed::refresh_reason> fleet_feed::StartRefresh(
    monotonic_time now) {
  const bool is_old = NeedsRefresh(now);
  const bool is_audit = has_copy_ && watches_store_ &&
                        now - copy_sent_at_ >= options_.audit_interval;
  if (!is_old && !is_audit) return std::nullopt;
  if (now < next_refresh_at_) return std::nullopt;
  if (pending_refreshes_ >= kMaxPendingRefreshes) return std::nullopt;
  ++pending_refreshes_;
  next_refresh_at_ = now + RetryWait(options_.refresh_interval);
  return is_old ? refresh_reason::kOldProof : refresh_reason::kAudit;
}

void fleet_feed::OnRefreshed(std::uint64_t revision, monotonic_time sent_at,
                             monotonic_time now) {
  --pending_refreshes_;
  revision_ = std::max(revision_, revision);
  proven_at_ = std::max(*proven_at_, sent_at);
  RecordCopy(sent_at, now);
}

void fleet_feed::OnRefreshFailed(monotonic_time sent_at) {
  --pending_refreshes_;
  if (*proven_at_ < sent_at) ++failures_;
}

void fleet_feed::OnRange(std::uint64_t revision, monotonic_time now) {
  has_copy_ = true;
  revision_ = revision;
  RecordAnswer(revision, std::max(sent_at_, proven_at_.value_or(sent_at_)),
               now);
  answer_delay_ = now - sent_at_;
  RecordCopy(sent_at_, now);
}

void fleet_feed::RecordCopy(monotonic_time sent_at, monotonic_time now) {
  copy_sent_at_ = std::max(copy_sent_at_, sent_at);
  if (sent_at >= copy_needed_since_) {
    needs_range_ = false;
    needs_store_copy_ = false;
  }
  EndFailures(now);
}

void fleet_feed::EndFailures(monotonic_time now) {
  if (failures_ > 0) expiry_grace_until_ = now + options_.expiry_grace;
  failures_ = 0;
  others_lost_store_ = false;
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
  // The interval of a large fleet is for the store; at another VM it would
  // age the proof of each VM on the way.
  next_at_ = std::max(now, sent_at_ + std::min(interval_, options_.proof_step));
  expiry_grace_until_ = std::max(expiry_grace_until_, now + expiry_grace_left);
}

void fleet_feed::OnRelayFailed(monotonic_time now) {
  in_flight_ = false;
  next_at_ = now;
}

void fleet_feed::OnRelayRefused(monotonic_time now) {
  OnRelayFailed(now);
  others_lost_store_ = true;
}

// The store held a watch without changes for its whole wait, so the answer was
// made at least that long after the call was sent. A VM that was frozen may
// read the answer much later.
void fleet_feed::OnEvents(std::uint64_t revision, bool any,
                          monotonic_time now) {
  const monotonic_time held = std::min(now, sent_at_ + wait_);
  if (!any) answer_delay_ = now - held;
  const monotonic_time proven = any ? sent_at_ : held;
  RecordAnswer(revision, std::max(proven, *proven_at_), now);
}

// Records an answer that proves the local copy up to `proven_at`. For a full
// copy or a watch with changes this is the time the call was sent, since the
// store received the call after that time.
void fleet_feed::RecordAnswer(std::uint64_t revision, monotonic_time proven_at,
                              monotonic_time now) {
  in_flight_ = false;
  if (!needs_store_copy_) needs_range_ = false;
  revision_ = std::max(revision_, revision);
  proven_at_ = proven_at;
  EndFailures(now);
  next_at_ = std::max(now, sent_at_ + interval_);
}

void fleet_feed::OnCompacted(monotonic_time now) {
  in_flight_ = false;
  needs_range_ = true;
  needs_store_copy_ = true;
  copy_needed_since_ = now;
  next_at_ = now;
}

void fleet_feed::OnFailed(monotonic_time now) {
  in_flight_ = false;
  // A refresh that was requested later was answered meanwhile.
  if (proven_at_ && *proven_at_ > sent_at_) {
    next_at_ = now;
    return;
  }
  ++failures_;
  // A watch that broke off may have missed earlier changes, so the next call
  // to the store reads everything, unless another VM answers first.
  needs_range_ = true;
  copy_needed_since_ = sent_at_;
  next_at_ = now + RetryWait(options_.retry_interval);
}

// Load pattern: an outage of the store, in which each VM of a large fleet calls
// it again and again, and its end, to which all come at once.
duration fleet_feed::RetryWait(duration least) const {
  const bool is_outage = others_lost_store_ && !is_shared_;
  return is_outage ? std::max(least, kOutageIntervals * interval_) : least;
}

bool fleet_feed::CanServeOthers(monotonic_time now) const {
  return IsProvenWithin(options_.refresh_age, now) &&
         failures_ < kFailuresToLoseStore;
}

bool fleet_feed::IsProvenWithin(duration age, monotonic_time now) const {
  return proven_at_.has_value() && now - *proven_at_ < age;
}

}  // namespace citron
