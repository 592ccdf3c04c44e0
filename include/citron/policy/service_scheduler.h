#ifndef CITRON_POLICY_SERVICE_SCHEDULER_H_
#define CITRON_POLICY_SERVICE_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/class_estimator.h"
#include "citron/policy/fair_queue.h"
#include "citron/policy/poison_registry.h"
#include "citron/policy/refusal.h"
#include "citron/policy/retry_budget.h"
#include "citron/policy/slot_guard.h"
#include "citron/policy/upstream_chooser.h"

namespace citron {

struct scheduler_request {
  request_id id;
  workspace_id workspace;
  double weight = 1;
  // Same for requests that do the same: workspace, method, path and body.
  std::uint64_t fingerprint = 0;
  std::string request_class;
  bool long_running = false;
  bool idempotent = false;
  monotonic_time arrived_at;
  monotonic_time deadline;
};

struct scheduler_options {
  // First guesses of the service time, by request class.
  std::map<std::string, duration> expected_times;
  duration default_expected_time = std::chrono::milliseconds(50);
  // Part of the slots that long classes may not take, 0 to 1.
  double short_reserve = 0.25;
  std::size_t max_queued = 4096;
  // Part of the requests that may be sent a second time.
  double retry_share = 0.1;
  duration poison_time = std::chrono::seconds(60);
  upstream_chooser_options upstreams;
};

// Send the request to the upstream now.
struct send_action {
  request_id id;
  upstream_id upstream;
};

// Answer the request now; it was not run.
struct refuse_action {
  request_id id;
  refusal_reason reason = refusal_reason::kNoUpstream;
  monotonic_time retry_at;
};

// Tell the other owners that this fingerprint crashed two upstreams.
struct poison_action {
  std::uint64_t fingerprint = 0;
  monotonic_time until;
};

// Tell the other owners that this fingerprint was in flight at one crash.
struct suspect_action {
  std::uint64_t fingerprint = 0;
  upstream_crash crash;
};

// So many requests of ours count as in flight at the upstream from now on; told
// before each send, and whenever one ends, whatever became of it. Whoever gives
// the upstream to another owner needs the count: if it stayed too high, the new
// owner would leave slots alone that nobody fills, and one would notice by
// requests that wait until their deadline beside an idle upstream.
struct in_flight_action {
  upstream_id upstream;
  int count = 0;
};

using scheduler_action = std::variant<send_action, refuse_action, poison_action,
                                      suspect_action, in_flight_action>;

// What a zone's owner tells the entry VMs about its queue.
struct scheduler_load {
  int slots = 0;         // Of all owned upstreams.
  int usable_slots = 0;  // That may be filled at present.
  int in_flight = 0;
  int queued = 0;
  duration expected_wait{};  // Of a short request that arrives now.
  duration mean_service_time{};
  int usable_upstreams = 0;
};

// The one queue of a service in a zone, at the dispatch that owns the zone's
// upstreams of that service.
//
// A request ends in one of three ways: a refuse_action (not run); an outcome
// whose OnOutcome returns no action for the same id and isn't one of the three
// not-run outcomes (the outcome is final, answer it); or OnCancel. After a
// not-run outcome the scheduler keeps the request until it sends it again or
// refuses it.
class service_scheduler {
 public:
  using actions = std::vector<scheduler_action>;

  service_scheduler(scheduler_options options, std::uint64_t seed);

  // The upstreams owned from now on. Those left out get nothing new; what is in
  // flight there stays counted until its outcome.
  actions SetUpstreams(const std::vector<upstream_capacity>& upstreams,
                       monotonic_time now);
  void SetDraining(const upstream_id& upstream, bool draining);
  // The owner is leaving and has given its upstreams to others: what waits here
  // would wait until its deadline while they answer, and is refused.
  actions Close(monotonic_time now);

  actions OnRequest(const scheduler_request& request, monotonic_time now);
  // The caller is gone. If the request is in flight its slot stays taken until
  // OnOutcome; it isn't sent again.
  actions OnCancel(const request_id& id, monotonic_time now);
  actions OnOutcome(const request_id& id, upstream_outcome outcome,
                    monotonic_time now);
  actions OnReport(const upstream_id& upstream, const upstream_report& report,
                   monotonic_time now);
  actions OnTimer(monotonic_time now);
  // Told by another owner.
  actions OnPoison(std::uint64_t fingerprint, monotonic_time until,
                   monotonic_time now);
  actions OnSuspect(std::uint64_t fingerprint, const upstream_crash& crash,
                    monotonic_time now);

  // When to call OnTimer at the latest; nothing while nothing is queued.
  std::optional<monotonic_time> NextTimer() const;
  scheduler_load Load(monotonic_time now) const;
  int InFlightAt(const upstream_id& upstream) const;
  bool IsLeaving(const upstream_id& upstream, monotonic_time now) const;

 private:
  struct entry {
    scheduler_request request;
    queued_request place;  // As it is in the queue.
    upstream_id upstream;  // Where it is in flight; empty while it waits.
    upstream_id tried;     // Where it was in flight before.
    monotonic_time sent_at;
    int sends = 0;
    bool suspect = false;  // When it was sent.
    bool cancelled = false;
  };
  using entry_map = std::unordered_map<request_id, entry>;

  monotonic_time LatestStart(const scheduler_request& request,
                             duration expected, monotonic_time now) const;
  bool RefuseOnArrival(const scheduler_request& request,
                       const queued_request& place, monotonic_time now,
                       actions& out);
  void Refuse(const request_id& id, refusal_reason reason,
              monotonic_time retry_at, actions& out);
  void RefuseWaiting(const request_id& id, refusal_reason reason,
                     monotonic_time retry_at, actions& out);
  void RefusePoisoned(std::uint64_t fingerprint, monotonic_time now,
                      actions& out);
  void MakeRoom(monotonic_time now, actions& out);
  void StopWaiting(const entry& e);

  void Dispatch(monotonic_time now, actions& out);
  void DispatchHeld(monotonic_time now, actions& out);
  bool NeedsCare(const entry& e, monotonic_time now) const;
  std::optional<upstream_id> ChooseWithCare(const entry& e, monotonic_time now);
  bool LongAllowed(monotonic_time now) const;
  void Send(entry& e, const upstream_id& upstream, monotonic_time now,
            actions& out);
  void ExpireWaiting(monotonic_time now, actions& out);

  void TakeBack(entry& e, upstream_outcome outcome, monotonic_time now);
  void OnNotRun(entry& e, upstream_outcome outcome, monotonic_time now,
                actions& out);
  // The suspects that were in flight at the upstream when it crashed.
  const std::set<std::uint64_t>& SuspectsAtCrash(const upstream_id& upstream,
                                                 monotonic_time now);
  // Whether its upstream's crash says something about the request.
  bool IsProven(const entry& e, monotonic_time now);
  // True if it was sent again.
  bool OnLost(entry& e, monotonic_time now, actions& out);

  duration ExpectedWait(const queued_request& place, monotonic_time now) const;
  duration ShortWait(duration cost_ahead, duration expected,
                     monotonic_time now) const;
  monotonic_time RetryAt(duration wait, monotonic_time now);

  scheduler_options options_;
  pcg32 random_;
  class_estimator estimator_;
  slot_guard guard_;
  upstream_chooser chooser_;
  // The last crash: its connections are lost one after the other.
  struct crash_seen {
    upstream_id upstream;
    monotonic_time at;
    std::set<std::uint64_t> suspects;
  };
  crash_seen last_crash_;
  poison_registry poison_;
  retry_budget retries_;
  fair_queue queue_;
  // Waiting, but not for just any slot: suspects, and requests that must not
  // go back to the upstream that didn't run them.
  std::set<std::pair<monotonic_time, request_id>> held_;
  // Of all that wait, by when they must have started.
  std::set<std::pair<monotonic_time, request_id>> latest_starts_;
  std::optional<monotonic_time> next_change_;
  entry_map entries_;
  int in_flight_ = 0;
  int long_in_flight_ = 0;
  bool closed_ = false;
};

}  // namespace citron

#endif  // CITRON_POLICY_SERVICE_SCHEDULER_H_
