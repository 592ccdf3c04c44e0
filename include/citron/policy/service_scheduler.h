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
  // Equal for requests with the same workspace, method, path and body.
  std::uint64_t fingerprint = 0;
  std::string request_class;
  bool long_running = false;
  bool idempotent = false;
  monotonic_time arrived_at;
  monotonic_time deadline;
};

struct scheduler_options {
  // Initial estimates of the service time, by request class.
  std::map<std::string, duration> expected_times;
  duration default_expected_time = std::chrono::milliseconds(50);
  // Fraction of the slots that long-running requests may not take, 0 to 1.
  double short_reserve = 0.25;
  std::size_t max_queued = 4096;
  // Retries allowed, as a fraction of the requests that arrive; retries after
  // kLeavingNotRun and kNotOwnedNotRun don't count.
  double retry_share = 0.1;
  // How long a suspicion or a conviction holds.
  duration poison_duration = std::chrono::seconds(60);
  // Whether a suspect that was lost in a crash waits for OnSuspectChecked.
  bool check_suspects = false;
  upstream_chooser_options upstreams;
};

// Instructs the owner to send the request to the upstream now.
struct send_action {
  request_id id;
  upstream_id upstream;
};

// Instructs the owner to answer the request now; the request was not run.
struct refuse_action {
  request_id id;
  refusal_reason reason = refusal_reason::kNoUpstream;
  monotonic_time retry_at;
};

// Instructs the owner to answer the request now as failed: its connection was
// lost, so an upstream may have run it, and it isn't sent again.
struct fail_action {
  request_id id;
};

// Instructs the owner to report to the other owners that this fingerprint
// crashed two upstreams.
struct poison_action {
  std::uint64_t fingerprint = 0;
  monotonic_time until;
};

// Instructs the owner to report to the other owners that this fingerprint was
// in flight at one crash.
struct suspect_action {
  std::uint64_t fingerprint = 0;
  upstream_crash crash;
};

// Instructs the owner to make sure that the other owners know of this suspect
// and to ask what they know, then to call OnSuspectChecked. The request was
// lost in a crash and waits until then. Follows the report of the crash.
struct check_suspect_action {
  request_id id;
  std::uint64_t fingerprint = 0;
};

// The number of this scheduler's requests that count as in flight at the
// upstream from now on. Reported before each send and on each outcome of a
// request in flight. A handover of the upstream to another owner needs the
// count: if it stayed too high, the new owner would leave free slots unused and
// requests would wait until their deadline beside an idle upstream.
struct in_flight_action {
  upstream_id upstream;
  int count = 0;
};

using scheduler_action =
    std::variant<send_action, refuse_action, fail_action, poison_action,
                 suspect_action, check_suspect_action, in_flight_action,
                 upstream_ejection>;

// The queue state that a zone's owner reports to the entry VMs.
struct scheduler_load {
  int slots = 0;         // Total over all owned upstreams.
  int usable_slots = 0;  // May be used now, busy slots included.
  int in_flight = 0;
  int queued = 0;
  duration expected_wait{};  // For a short request that arrives now.
  duration mean_service_time{};
  int usable_upstreams = 0;
};

// The only queue of a service in a zone. It runs at the owner, the dispatch
// that owns the zone's upstreams of that service.
//
// A request ends in one of four ways: a refuse_action (not run, unless it was
// lost before); a fail_action; an outcome for which OnOutcome returns no action
// with the same id and that isn't one of the not-run outcomes (the outcome is
// final and must be answered); or OnCancel. After a not-run outcome the
// scheduler keeps the request until the scheduler sends it again or refuses it.
class service_scheduler {
 public:
  using actions = std::vector<scheduler_action>;

  service_scheduler(scheduler_options options, std::uint64_t seed);

  // Replaces the set of owned upstreams. Upstreams left out get no new
  // requests; their requests in flight stay counted until their outcome.
  actions SetUpstreams(const std::vector<upstream_capacity>& upstreams,
                       monotonic_time now);
  void SetDraining(const upstream_id& upstream, bool draining);
  // Refuses all waiting requests, now and later. Called when the owner leaves
  // and has handed its upstreams to other owners: requests would otherwise wait
  // here until their deadline.
  actions Close(monotonic_time now);

  actions OnRequest(const scheduler_request& request, monotonic_time now);
  // The client has disconnected. A request in flight keeps its slot until
  // OnOutcome and isn't sent again.
  actions OnCancel(const request_id& id, monotonic_time now);
  actions OnOutcome(const request_id& id, upstream_outcome outcome,
                    monotonic_time now);
  actions OnReport(const upstream_id& upstream, const upstream_report& report,
                   monotonic_time now);
  actions OnTimer(monotonic_time now);
  // Reports received from another owner.
  actions OnPoison(std::uint64_t fingerprint, monotonic_time until,
                   monotonic_time now);
  actions OnSuspect(std::uint64_t fingerprint, const upstream_crash& crash,
                    monotonic_time now);
  // Another owner lost this suspect in a crash. Returns until when the
  // fingerprint is convicted here; no value if it isn't.
  std::optional<monotonic_time> OnSuspectQuery(std::uint64_t fingerprint,
                                               monotonic_time now);
  // The other owners know of the suspect and have told what they know, as far
  // as they replied in time. The lost request is sent again now or fails.
  actions OnSuspectChecked(const request_id& id, monotonic_time now);

  // Latest time to call OnTimer; no value while no request waits.
  std::optional<monotonic_time> NextTimer() const;
  scheduler_load Load(monotonic_time now) const;
  int InFlightAt(const upstream_id& upstream) const;
  bool IsLeaving(const upstream_id& upstream, monotonic_time now) const;

 private:
  struct entry {
    scheduler_request request;
    queued_request queue_item;  // As pushed to the queue.
    // Where the request is in flight; empty while it waits.
    upstream_id upstream;
    // The upstream that the next send must avoid: that of the last outcome, or
    // empty before the first outcome and after an unbudgeted retry.
    upstream_id last_upstream;
    monotonic_time sent_at;
    int sends = 0;
    bool sent_as_suspect = false;
    // It was lost in a crash and waits for OnSuspectChecked, outside of queue_,
    // held_ and latest_starts_.
    bool is_lost = false;
    bool cancelled = false;
  };
  using entry_map = std::unordered_map<request_id, entry>;

  monotonic_time LatestStart(const scheduler_request& request,
                             duration expected, monotonic_time now) const;
  bool RefuseOnArrival(const scheduler_request& request,
                       const queued_request& queue_item, monotonic_time now,
                       actions& out);
  void Refuse(const request_id& id, refusal_reason reason,
              monotonic_time retry_at, actions& out);
  void RefuseWaiting(const request_id& id, refusal_reason reason,
                     monotonic_time retry_at, actions& out);
  void RefusePoisoned(std::uint64_t fingerprint, monotonic_time now,
                      actions& out);
  void EnforceQueueLimit(monotonic_time now, actions& out);
  void StopWaiting(const entry& e);

  void Dispatch(monotonic_time now, actions& out);
  void DispatchHeld(monotonic_time now, actions& out);
  bool HasUpstreamConstraint(const entry& e, monotonic_time now) const;
  std::optional<upstream_id> ChooseWithConstraints(const entry& e,
                                                   monotonic_time now);
  bool LongAllowed(monotonic_time now) const;
  void Send(entry& e, const upstream_id& upstream, monotonic_time now,
            actions& out);
  void ExpireWaiting(monotonic_time now, actions& out);

  void ReleaseSlot(entry& e, upstream_outcome outcome, monotonic_time now);
  void OnNotRun(entry& e, upstream_outcome outcome, monotonic_time now,
                actions& out);
  // Returns the suspects among the requests whose current or last upstream is
  // `upstream`, as of the first connection lost in its crash.
  const std::set<std::uint64_t>& SuspectsAtCrash(const upstream_id& upstream,
                                                 monotonic_time now);
  // Returns whether the crash of the request's upstream counts against the
  // request.
  bool IsCrashEvidence(const entry& e, monotonic_time now);
  // Returns true if the request was sent again or waits for a check.
  bool OnConnectionLost(entry& e, monotonic_time now, actions& out);
  // Returns whether the lost request was sent again.
  bool SendAgain(entry& e, monotonic_time now, actions& out);

  duration ExpectedWait(const queued_request& queue_item,
                        monotonic_time now) const;
  duration ShortWait(duration cost_ahead, duration expected,
                     monotonic_time now) const;
  monotonic_time RetryAt(duration wait, monotonic_time now);

  scheduler_options options_;
  pcg32 random_;
  class_estimator estimator_;
  slot_guard guard_;
  upstream_chooser chooser_;
  // The last crash. The connections of one crash are lost one after the other.
  struct crash_record {
    upstream_id upstream;
    monotonic_time at;
    std::set<std::uint64_t> suspects;
  };
  crash_record last_crash_;
  poison_registry poison_;
  retry_budget retries_;
  fair_queue queue_;
  // Waiting requests outside queue_: suspects for which no allowed upstream had
  // a free slot, and requests that an upstream didn't run.
  std::set<std::pair<monotonic_time, request_id>> held_;
  // All waiting requests, by the time by which they must have started.
  std::set<std::pair<monotonic_time, request_id>> latest_starts_;
  std::optional<monotonic_time> next_change_;
  entry_map entries_;
  int in_flight_ = 0;
  int long_in_flight_ = 0;
  bool closed_ = false;
};

}  // namespace citron

#endif  // CITRON_POLICY_SERVICE_SCHEDULER_H_
