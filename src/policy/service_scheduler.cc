#include "citron/policy/service_scheduler.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace citron {
namespace {

// Load pattern: more requests than the zone's slots can finish in time. With
// only a bounded queue, requests wait until their callers have left and then
// still take a slot; at twice the capacity nearly all work is for callers that
// have left, so all slots are busy while few answers arrive in time. A request
// is therefore rejected on arrival if it isn't expected to end in time, and
// refused as soon as it can no longer start in time. The refusal carries a
// retry time and is never delayed to slow the caller's retries.

// At saturation requests start at their latest start, since each workspace's
// most urgent request is served first. If the latest start left only the mean
// service time, half of the requests would time out at the upstream and waste
// their slot's time. Four mean deviations, as in TCP's retransmission timer,
// reduce that to one in a hundred; one mean deviation left one in twelve at
// three times the capacity.
constexpr int kDeviationFactor = 4;

// Callers that retry at the same moment would be the next burst, so RetryAt
// returns a random time after one to two times the wait.
constexpr double kRetryJitterFactor = 1.0;
constexpr duration kMinRetryDelay = std::chrono::milliseconds(200);

// Without a usable upstream, a retry can only succeed after an upstream has
// restarted.
constexpr duration kNoUpstreamRetryDelay = std::chrono::seconds(1);

// The connections of one upstream crash are lost within this period.
constexpr duration kCrashGroupingWindow = std::chrono::milliseconds(20);

// The first attempt and one retry.
constexpr int kMaxSends = 2;

}  // namespace

service_scheduler::service_scheduler(scheduler_options options,
                                     std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      estimator_(options_.expected_times, options_.default_expected_time),
      guard_(options_.short_reserve),
      chooser_(options_.upstreams),
      poison_(options_.poison_duration),
      retries_(options_.retry_share) {}

service_scheduler::actions service_scheduler::SetUpstreams(
    const std::vector<upstream_capacity>& upstreams, monotonic_time now) {
  actions out;
  chooser_.SetUpstreams(upstreams, now);
  Dispatch(now, out);
  return out;
}

void service_scheduler::SetDraining(const upstream_id& upstream,
                                    bool draining) {
  chooser_.SetDraining(upstream, draining);
}

service_scheduler::actions service_scheduler::OnRequest(
    const scheduler_request& request, monotonic_time now) {
  actions out;
  assert(!entries_.contains(request.id));
  retries_.OnRequest();
  const duration expected = estimator_.Mean(request.request_class, now);
  if (!request.long_running) guard_.OnShortArrival(expected, now);
  queued_request queue_item{
      .id = request.id,
      .workspace = request.workspace,
      .weight = request.weight,
      .long_running = request.long_running,
      .cost = expected,
      .latest_start = LatestStart(request, expected, now)};
  if (RefuseOnArrival(request, queue_item, now, out)) return out;
  entry& e = entries_[request.id];
  e.request = request;
  e.queue_item = std::move(queue_item);
  queue_.Push(e.queue_item);
  latest_starts_.emplace(e.queue_item.latest_start, request.id);
  EnforceQueueLimit(now, out);
  Dispatch(now, out);
  return out;
}

// Returns the time by which the request must have started to be likely to end
// in time. The deviation margin alone never moves that time before `now`: a
// request that could start at once isn't refused as merely unlikely to finish.
monotonic_time service_scheduler::LatestStart(const scheduler_request& request,
                                              duration expected,
                                              monotonic_time now) const {
  const duration deviation_margin =
      kDeviationFactor * estimator_.Deviation(request.request_class);
  const monotonic_time latest_by_mean = request.deadline - expected;
  return std::min(latest_by_mean,
                  std::max(now, latest_by_mean - deviation_margin));
}

bool service_scheduler::RefuseOnArrival(const scheduler_request& request,
                                        const queued_request& queue_item,
                                        monotonic_time now, actions& out) {
  using standing = poison_registry::standing;
  if (poison_.StandingOf(request.fingerprint, now) == standing::kPoison) {
    Refuse(request.id, refusal_reason::kPoison,
           poison_.ExpiresAt(request.fingerprint), out);
    return true;
  }
  if (chooser_.UsableUpstreams(now) == 0) {
    Refuse(request.id, refusal_reason::kNoUpstream,
           RetryAt(kNoUpstreamRetryDelay, now), out);
    return true;
  }
  const duration wait = ExpectedWait(queue_item, now);
  // The wait is a sum over other requests' service times and as uncertain as
  // they are; the deviation of the request's own class stands for theirs. A
  // request that starts at once needs no such margin.
  const bool starts_now = wait == duration();
  const duration margin =
      starts_now ? duration() : estimator_.Deviation(request.request_class);
  if (now + wait + margin <= queue_item.latest_start) return false;
  Refuse(request.id, refusal_reason::kWouldMissDeadline, RetryAt(wait, now),
         out);
  return true;
}

// The queue limit bounds memory; deadlines keep the queue far shorter. The
// refused request is the one that can wait longest, of the workspace with the
// most queued relative to its weight.
void service_scheduler::EnforceQueueLimit(monotonic_time now, actions& out) {
  if (queue_.Size() + held_.size() <= options_.max_queued) return;
  const std::optional<queued_request> surplus = queue_.RejectionCandidate();
  if (!surplus) return;
  RefuseWaiting(surplus->id, refusal_reason::kQueueFull,
                RetryAt(ExpectedWait(*surplus, now), now), out);
}

service_scheduler::actions service_scheduler::OnCancel(const request_id& id,
                                                       monotonic_time now) {
  actions out;
  const auto found = entries_.find(id);
  if (found == entries_.end()) return out;
  entry& e = found->second;
  if (!e.upstream.IsEmpty()) {
    e.cancelled = true;
    return out;
  }
  if (!e.is_lost) StopWaiting(e);
  entries_.erase(found);
  Dispatch(now, out);
  return out;
}

service_scheduler::actions service_scheduler::OnOutcome(
    const request_id& id, upstream_outcome outcome, monotonic_time now) {
  actions out;
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.upstream.IsEmpty()) return out;
  entry& e = found->second;
  ReleaseSlot(e, outcome, now);
  out.emplace_back(
      in_flight_action{e.last_upstream, chooser_.InFlight(e.last_upstream)});
  if (auto ejection = chooser_.TakeEjection()) {
    out.emplace_back(std::move(*ejection));
  }
  bool done = true;
  if (IsNotRun(outcome) && !e.cancelled) {
    OnNotRun(e, outcome, now, out);
    done = false;
  } else if (outcome == upstream_outcome::kConnectionLost) {
    done = !OnConnectionLost(e, now, out);
  } else if (outcome == upstream_outcome::kAnswered ||
             outcome == upstream_outcome::kServerError) {
    poison_.OnAnswered(e.request.fingerprint, now);
    poison_.OnUpstreamAlive(e.last_upstream, e.sent_at, now);
  }
  if (done) entries_.erase(id);
  Dispatch(now, out);
  return out;
}

// Frees the slot, moves `upstream` to `last_upstream`, and updates the
// estimates with the outcome.
void service_scheduler::ReleaseSlot(entry& e, upstream_outcome outcome,
                                    monotonic_time now) {
  const duration elapsed = now - e.sent_at;
  const std::string& request_class = e.request.request_class;
  const duration mean = estimator_.Mean(request_class, now);
  const double slowness =
      ToSeconds(elapsed) / std::max(ToSeconds(mean), ToSeconds(duration(1)));
  chooser_.OnDone(e.upstream, outcome, slowness, now);
  --in_flight_;
  if (e.request.long_running) --long_in_flight_;
  if (e.sent_as_suspect)
    poison_.OnSuspectDone(e.request.fingerprint, e.upstream);
  // A timeout shows that the request takes longer than the time it had. If only
  // answers counted, a class that always times out would still be admitted.
  const bool answered = outcome == upstream_outcome::kAnswered;
  const bool took_longer =
      outcome == upstream_outcome::kTimedOut && elapsed > mean;
  if (answered || took_longer) {
    estimator_.OnServed(request_class, elapsed, now);
  }
  e.last_upstream = e.upstream;
  e.upstream = upstream_id();
}

void service_scheduler::OnNotRun(entry& e, upstream_outcome outcome,
                                 monotonic_time now, actions& out) {
  const request_id id = e.request.id;
  if (e.sends >= kMaxSends) {
    Refuse(id, refusal_reason::kNoUpstream, RetryAt(kNoUpstreamRetryDelay, now),
           out);
    entries_.erase(id);
    return;
  }
  // The retry budget must not turn a planned stop or a change of owner into a
  // refusal. Neither can cause many retries: after the first such outcome that
  // upstream gets no more requests.
  const bool unbudgeted_retry = outcome == upstream_outcome::kLeavingNotRun ||
                                outcome == upstream_outcome::kNotOwnedNotRun;
  if (!unbudgeted_retry && !retries_.TryTake()) {
    Refuse(id, refusal_reason::kRetryBudget, RetryAt(kMinRetryDelay, now), out);
    entries_.erase(id);
    return;
  }
  // A leaving upstream gets no requests, so it need not be excluded here. If
  // the upstream stays, or returns from another owner, it may be the only one
  // of this dispatch, and a request that excludes it would wait until its
  // deadline.
  if (unbudgeted_retry) e.last_upstream = upstream_id();
  latest_starts_.emplace(e.queue_item.latest_start, e.request.id);
  held_.emplace(e.queue_item.latest_start, e.request.id);
}

const std::set<std::uint64_t>& service_scheduler::SuspectsAtCrash(
    const upstream_id& upstream, monotonic_time now) {
  using standing = poison_registry::standing;
  const bool is_same = last_crash_.upstream == upstream &&
                       now - last_crash_.at <= kCrashGroupingWindow;
  if (is_same) return last_crash_.suspects;
  last_crash_ = {upstream, now, {}};
  for (const auto& [id, e] : entries_) {
    // A request that waits for its check was lost in an earlier crash.
    const bool may_have_been_there =
        !e.is_lost && (e.upstream == upstream || e.last_upstream == upstream);
    const std::uint64_t fingerprint = e.request.fingerprint;
    if (may_have_been_there &&
        poison_.StandingOf(fingerprint, now) == standing::kSuspect) {
      last_crash_.suspects.insert(fingerprint);
    }
  }
  return last_crash_.suspects;
}

// A crash counts against a request that isn't a suspect yet, or that was sent
// as a suspect and so went to an upstream with no other such request.
//
// A request that was sent before the suspicion may share its upstream with the
// poison request. If the crash counted against both, equal requests of many
// callers would be convicted with the poison request, and refused although they
// were served before. The crash therefore counts against such a request only if
// no other fingerprint was a suspect there: a duplicate of a poison request, in
// flight when the first one crashed its upstream, is then convicted by its own
// crash, and no third upstream has to crash.
bool service_scheduler::IsCrashEvidence(const entry& e, monotonic_time now) {
  using standing = poison_registry::standing;
  const std::set<std::uint64_t>& suspects =
      SuspectsAtCrash(e.last_upstream, now);
  return e.sent_as_suspect || suspects.size() <= 1 ||
         poison_.StandingOf(e.request.fingerprint, now) != standing::kSuspect;
}

// A caller retries a failed request at another VM as soon as it has the answer.
// The answer of a suspect would arrive there before the report of the crash,
// and the request would crash an upstream in each zone that it reaches first.
// Therefore a suspect neither fails nor is sent again until the other owners
// know of it.
bool service_scheduler::OnConnectionLost(entry& e, monotonic_time now,
                                         actions& out) {
  using standing = poison_registry::standing;
  const std::uint64_t fingerprint = e.request.fingerprint;
  const bool is_evidence = IsCrashEvidence(e, now);
  if (!is_evidence) poison_.ExtendLifetime(fingerprint, now);
  const standing after =
      is_evidence
          ? poison_.OnCrash(fingerprint, e.last_upstream, e.sent_at, now)
          : standing::kSuspect;
  if (after == standing::kPoison) {
    out.emplace_back(
        poison_action{fingerprint, poison_.ExpiresAt(fingerprint)});
    RefusePoisoned(fingerprint, now, out);
  } else if (after == standing::kSuspect && is_evidence) {
    out.emplace_back(suspect_action{fingerprint, {e.last_upstream, now}});
  }
  if (after != standing::kClear && options_.check_suspects) {
    out.emplace_back(check_suspect_action{e.request.id, fingerprint});
    e.is_lost = true;
    return true;
  }
  return SendAgain(e, now, out);
}

// The request may have run, so it doesn't wait for a slot: it is sent again at
// once or not at all.
bool service_scheduler::SendAgain(entry& e, monotonic_time now, actions& out) {
  const bool may_resend = e.request.idempotent && !e.cancelled &&
                          e.sends < kMaxSends &&
                          now < e.queue_item.latest_start &&
                          poison_.StandingOf(e.request.fingerprint, now) !=
                              poison_registry::standing::kPoison;
  if (!may_resend) return false;
  const std::optional<upstream_id> upstream = ChooseWithConstraints(e, now);
  if (!upstream || !retries_.TryTake()) return false;
  Send(e, *upstream, now, out);
  return true;
}

service_scheduler::actions service_scheduler::OnReport(
    const upstream_id& upstream, const upstream_report& report,
    monotonic_time now) {
  actions out;
  chooser_.OnReport(upstream, report, now);
  Dispatch(now, out);
  return out;
}

service_scheduler::actions service_scheduler::OnTimer(monotonic_time now) {
  actions out;
  poison_.Expire(now);
  Dispatch(now, out);
  return out;
}

service_scheduler::actions service_scheduler::OnPoison(
    std::uint64_t fingerprint, monotonic_time until, monotonic_time now) {
  actions out;
  poison_.OnConvicted(fingerprint, until);
  RefusePoisoned(fingerprint, now, out);
  Dispatch(now, out);
  return out;
}

service_scheduler::actions service_scheduler::OnSuspect(
    std::uint64_t fingerprint, const upstream_crash& crash,
    monotonic_time now) {
  using standing = poison_registry::standing;
  actions out;
  poison_.OnSuspect(fingerprint, crash, now);
  if (poison_.StandingOf(fingerprint, now) == standing::kPoison) {
    RefusePoisoned(fingerprint, now, out);
  }
  return out;
}

std::optional<monotonic_time> service_scheduler::OnSuspectQuery(
    std::uint64_t fingerprint, monotonic_time now) {
  using standing = poison_registry::standing;
  poison_.OnSuspectedElsewhere(fingerprint, now);
  if (poison_.StandingOf(fingerprint, now) != standing::kPoison) {
    return std::nullopt;
  }
  return poison_.ExpiresAt(fingerprint);
}

service_scheduler::actions service_scheduler::OnSuspectChecked(
    const request_id& id, monotonic_time now) {
  actions out;
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.is_lost) return out;
  if (!SendAgain(found->second, now, out)) {
    out.emplace_back(fail_action{id});
    entries_.erase(found);
  }
  return out;
}

std::optional<monotonic_time> service_scheduler::NextTimer() const {
  if (latest_starts_.empty()) return std::nullopt;
  const monotonic_time expiry = latest_starts_.begin()->first + duration(1);
  if (!next_change_) return expiry;
  return std::min(expiry, *next_change_);
}

void service_scheduler::Refuse(const request_id& id, refusal_reason reason,
                               monotonic_time retry_at, actions& out) {
  out.emplace_back(refuse_action{id, reason, retry_at});
}

void service_scheduler::RefuseWaiting(const request_id& id,
                                      refusal_reason reason,
                                      monotonic_time retry_at, actions& out) {
  const auto found = entries_.find(id);
  assert(found != entries_.end());
  Refuse(id, reason, retry_at, out);
  StopWaiting(found->second);
  entries_.erase(found);
}

void service_scheduler::StopWaiting(const entry& e) {
  const std::pair key(e.queue_item.latest_start, e.request.id);
  latest_starts_.erase(key);
  if (held_.erase(key) == 0) queue_.Remove(e.queue_item);
}

void service_scheduler::RefusePoisoned(std::uint64_t fingerprint,
                                       monotonic_time now, actions& out) {
  std::vector<request_id> waiting;
  for (const auto& [start, id] : latest_starts_) {
    const entry& e = entries_.at(id);
    if (e.request.fingerprint == fingerprint) waiting.push_back(id);
  }
  const monotonic_time until = std::max(now, poison_.ExpiresAt(fingerprint));
  for (const request_id& id : waiting) {
    RefuseWaiting(id, refusal_reason::kPoison, until, out);
  }
}

void service_scheduler::ExpireWaiting(monotonic_time now, actions& out) {
  while (!latest_starts_.empty() && latest_starts_.begin()->first < now) {
    const request_id id = latest_starts_.begin()->second;
    const duration wait = ExpectedWait(entries_.at(id).queue_item, now);
    RefuseWaiting(id, refusal_reason::kExpiredInQueue, RetryAt(wait, now), out);
  }
}

bool service_scheduler::LongAllowed(monotonic_time now) const {
  return long_in_flight_ < guard_.LongLimit(chooser_.UsableSlots(now), now);
}

// Returns whether the request may not take a free slot of just any upstream.
bool service_scheduler::HasUpstreamConstraint(const entry& e,
                                              monotonic_time now) const {
  if (!e.last_upstream.IsEmpty()) return true;
  if (poison_.IsEmpty()) return false;
  return poison_.StandingOf(e.request.fingerprint, now) ==
         poison_registry::standing::kSuspect;
}

std::optional<upstream_id> service_scheduler::ChooseWithConstraints(
    const entry& e, monotonic_time now) {
  const std::uint64_t fingerprint = e.request.fingerprint;
  const bool suspect = poison_.StandingOf(fingerprint, now) ==
                       poison_registry::standing::kSuspect;
  if (suspect && !poison_.MaySendSuspect(fingerprint)) return std::nullopt;
  return chooser_.Choose(now, random_, [&](const upstream_id& id) {
    if (id == e.last_upstream) return false;
    return !suspect || !poison_.HasSuspectInFlight(id);
  });
}

void service_scheduler::DispatchHeld(monotonic_time now, actions& out) {
  for (auto next = held_.begin(); next != held_.end();) {
    const auto at = next++;
    entry& e = entries_.at(at->second);
    if (e.request.long_running && !LongAllowed(now)) continue;
    const std::optional<upstream_id> upstream = ChooseWithConstraints(e, now);
    if (!upstream) continue;
    held_.erase(at);
    Send(e, *upstream, now, out);
  }
}

service_scheduler::actions service_scheduler::Close(monotonic_time now) {
  actions out;
  closed_ = true;
  Dispatch(now, out);
  return out;
}

void service_scheduler::Dispatch(monotonic_time now, actions& out) {
  ExpireWaiting(now, out);
  while (closed_ && !latest_starts_.empty()) {
    RefuseWaiting(latest_starts_.begin()->second, refusal_reason::kDraining,
                  RetryAt(kNoUpstreamRetryDelay, now), out);
  }
  if (!held_.empty()) DispatchHeld(now, out);
  while (!queue_.IsEmpty()) {
    const std::optional<upstream_id> upstream = chooser_.Choose(now, random_);
    if (!upstream) break;
    const bool any_long = queue_.TotalCost() != queue_.ShortCost();
    const auto next = queue_.Pop(any_long && LongAllowed(now));
    if (!next) break;
    entry& e = entries_.at(next->id);
    if (!HasUpstreamConstraint(e, now)) {
      Send(e, *upstream, now, out);
    } else if (const auto allowed = ChooseWithConstraints(e, now)) {
      Send(e, *allowed, now, out);
    } else {
      held_.emplace(e.queue_item.latest_start, e.request.id);
    }
  }
  next_change_ =
      latest_starts_.empty() ? std::nullopt : chooser_.NextChange(now);
}

void service_scheduler::Send(entry& e, const upstream_id& upstream,
                             monotonic_time now, actions& out) {
  latest_starts_.erase({e.queue_item.latest_start, e.request.id});
  e.upstream = upstream;
  e.sent_at = now;
  e.is_lost = false;
  ++e.sends;
  e.sent_as_suspect =
      !poison_.IsEmpty() && poison_.StandingOf(e.request.fingerprint, now) ==
                                poison_registry::standing::kSuspect;
  if (e.sent_as_suspect) poison_.OnSuspectSent(e.request.fingerprint, upstream);
  chooser_.OnSent(upstream, now);
  ++in_flight_;
  if (e.request.long_running) ++long_in_flight_;
  out.emplace_back(in_flight_action{upstream, chooser_.InFlight(upstream)});
  out.emplace_back(send_action{e.request.id, upstream});
}

// Returns the wait of a short request that has `cost_ahead` of short work ahead
// of it.
duration service_scheduler::ShortWait(duration cost_ahead, duration expected,
                                      monotonic_time now) const {
  if (cost_ahead == duration() && chooser_.FreeSlots(now) > 0) return {};
  const int usable = chooser_.UsableSlots(now);
  const int slots = std::max(1, usable - long_in_flight_);
  // With all slots busy, on average one of those without a long request becomes
  // free after the service time divided by their number.
  return (cost_ahead + expected) / slots;
}

duration service_scheduler::ExpectedWait(const queued_request& queue_item,
                                         monotonic_time now) const {
  const duration short_ahead =
      queue_.CostAhead(queue_item.workspace, queue_item.weight,
                       queue_item.latest_start, queue_item.cost, true);
  const duration short_wait = ShortWait(short_ahead, queue_item.cost, now);
  if (!queue_item.long_running) return short_wait;
  const duration all_ahead =
      queue_.CostAhead(queue_item.workspace, queue_item.weight,
                       queue_item.latest_start, queue_item.cost, false);
  const int usable = std::max(1, chooser_.UsableSlots(now));
  const int limit = std::max(1, guard_.LongLimit(usable, now));
  if (all_ahead == duration() && long_in_flight_ < limit) return short_wait;
  const duration long_ahead = std::max(duration(), all_ahead - short_ahead);
  const duration by_limit = (long_ahead + queue_item.cost) / limit;
  return std::max(by_limit, all_ahead / usable);
}

monotonic_time service_scheduler::RetryAt(duration wait, monotonic_time now) {
  const double jitter = 1 + kRetryJitterFactor * std::ldexp(random_(), -32);
  return now + FromSeconds(ToSeconds(std::max(wait, kMinRetryDelay)) * jitter);
}

scheduler_load service_scheduler::Load(monotonic_time now) const {
  scheduler_load load;
  load.slots = chooser_.Slots();
  load.usable_slots = chooser_.UsableSlots(now);
  load.in_flight = in_flight_;
  load.queued = static_cast<int>(queue_.Size() + held_.size());
  load.mean_service_time = estimator_.OverallMean();
  load.expected_wait =
      ShortWait(queue_.ShortCost(), load.mean_service_time, now);
  load.usable_upstreams = chooser_.UsableUpstreams(now);
  return load;
}

int service_scheduler::InFlightAt(const upstream_id& upstream) const {
  return chooser_.InFlight(upstream);
}

bool service_scheduler::IsLeaving(const upstream_id& upstream,
                                  monotonic_time now) const {
  return chooser_.IsLeaving(upstream, now);
}

}  // namespace citron
