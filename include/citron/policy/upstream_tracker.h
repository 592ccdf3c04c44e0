#ifndef CITRON_POLICY_UPSTREAM_TRACKER_H_
#define CITRON_POLICY_UPSTREAM_TRACKER_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/config/routing_config.h"
#include "citron/policy/upstream_chooser.h"
#include "citron/policy/upstream_rate_limit.h"
#include "citron/policy/weight_control.h"

namespace citron {

// Load that an upstream reports with an answer: its requests, without the
// answered one, and its slots.
struct load_report {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// Request rate limit that an upstream named, or that it named none.
struct rate_limit_observation {
  std::optional<double> per_s;
  vm_id told_by;  // The VM that got the answer.
  monotonic_time observed_at{};
};

// Requests that this VM may send to a cold upstream. The allowances of all VMs
// add up to what the upstream can take while it is cold.
struct cold_allowance {
  double rate_per_s = 0;
  double burst = 0;  // Below 1: this VM sends none while the upstream is cold.
};

struct upstream_tracker_options {
  // Validity of a load report.
  duration report_lifetime = FromMilliseconds(1500);
  // Time without requests after a connect failure; doubles with each further
  // connect failure up to `max_backoff`.
  duration initial_backoff = FromMilliseconds(400);
  duration max_backoff = FromMilliseconds(4000);
  // Failure rate that ejects an upstream, the minimum number of outcomes before
  // an ejection, and its duration. Each outcome but an answer without error
  // counts as a failure; cancelled requests are not counted.
  double ejection_failure_rate = 0.35;
  int min_ejection_samples = 6;
  duration ejection_duration = FromMilliseconds(3000);
  // After a connect failure the upstream counts as cold until this time after
  // its next answer. By then, a restarted upstream would have announced the
  // restart and this VM would have read the announcement.
  duration restart_report_delay = FromMilliseconds(2500);
};

// State of one upstream as seen by this VM: its announcement, this VM's
// requests in flight, its load reports and the outcomes of requests.
class upstream_tracker {
 public:
  upstream_tracker(const upstream_record& record, const region_id& region,
                   monotonic_time now,
                   const weight_control_options& weights = {});

  const upstream_record& Record() const { return record_; }
  // Returns whether the upstream announced that it leaves, said so in an
  // answer, or another one answered in its place since its last announcement.
  bool IsLeaving() const {
    return record_.draining || said_leaving_ || is_displaced_;
  }
  const region_id& Region() const { return region_; }
  std::uint64_t Hash() const { return hash_; }

  // Returns whether the announcement is of the same start of the upstream.
  bool IsSameStart(const upstream_record& record) const {
    return record.born_ms == record_.born_ms &&
           record.address == record_.address;
  }
  // Takes a new announcement, which shows whether the upstream has restarted. A
  // restart resets the failures, the load of other callers and the weight.
  void OnRecord(const upstream_record& record, monotonic_time now);
  // Treats the upstream as one that has just been announced.
  void OnRejoined(monotonic_time now) {
    joined_at_ = now;
    has_objects_ = false;
  }
  monotonic_time JoinedAt() const { return joined_at_; }
  void OnObjectPlaced() { has_objects_ = true; }
  // Returns whether an object was placed here since the upstream joined.
  bool HasObjects() const { return has_objects_; }
  void SetColdAllowance(const cold_allowance& allowance);
  // Takes that the upstream said in an answer that it leaves. Only a new start
  // takes it back. Returns whether it is news.
  bool OnSaidLeaving() { return !std::exchange(said_leaving_, true); }
  // Takes that the upstream wants no requests from this VM until `until`. It is
  // full, not failing. A shorter time doesn't end a longer one.
  void OnPauseRequested(monotonic_time until, monotonic_time now);
  bool IsPaused(monotonic_time now) const { return now < paused_until_; }
  monotonic_time PausedUntil() const { return paused_until_; }
  // Treats the upstream as cold for at least `left`, whatever it announced.
  void MarkCold(duration left, monotonic_time now);

  // Takes what an answer showed of the rate limit, to this VM or another one.
  // Older observations are ignored. Returns whether the limit in force changed.
  bool OnRateLimit(const rate_limit_observation& seen, monotonic_time now);
  // Returns null while the upstream names no limit.
  upstream_rate_limit* RateLimit() {
    return rate_limit_ ? &*rate_limit_ : nullptr;
  }
  // Returns the last observation, if the upstream ever named a limit.
  const std::optional<rate_limit_observation>& RateLimitSeen() const {
    return rate_limit_seen_;
  }

  void OnSent(monotonic_time now);
  void OnReport(const load_report& report, monotonic_time now);
  // Takes the number of requests at the upstream that another VM reports.
  void OnPeerLoadReport(int requests, monotonic_time now);
  // Counts a request of another VM, until the next report.
  void OnPeerSent(monotonic_time now);
  void OnDone(upstream_outcome outcome, monotonic_time now);
  // Takes back what connect failures at or after `since` showed: that the
  // upstream fails, and may have restarted.
  void ForgetConnectFailures(monotonic_time since);
  int InFlight() const { return in_flight_; }
  // Returns the requests at the upstream: this VM's in flight and, while the
  // last report is valid, those of other callers.
  int Load(monotonic_time now) const;
  // Returns whether a load report is valid.
  bool IsLoadKnown(monotonic_time now) const {
    return now - reported_at_ < options_.report_lifetime;
  }
  // Returns the fraction of its full weight that the upstream has in the
  // choice, by its reported load.
  double LoadWeight() const { return weight_.Weight(); }
  // Returns whether connections failed since the last answer, which may be a
  // server error. The selector then sends one request at a time.
  bool IsOnProbation() const { return connect_failures_ > 0; }
  bool IsInBackoff(monotonic_time now) const { return now < backoff_until_; }
  bool IsEjected(monotonic_time now) const { return now < ejected_until_; }
  // Returns whether the upstream has recently started, or may have.
  bool IsCold(monotonic_time now) const;
  // Returns whether one more request stays within the cold allowance.
  bool CanTakeColdRequest(monotonic_time now) const;
  double FailureRate() const { return failure_rate_; }

 private:
  void UpdateLoad(int requests, int local_in_flight, int slots,
                  monotonic_time now);
  // Forgets what an earlier start of the upstream said and how it did.
  void OnRestart(monotonic_time now);
  void CountOutcome(bool failed, monotonic_time now);
  bool IsRestartPossible(monotonic_time now) const;
  double ColdTokens(monotonic_time now) const;
  void OnConnectFailure(monotonic_time now);

  upstream_tracker_options options_;
  upstream_record record_;
  region_id region_;
  std::uint64_t hash_;
  monotonic_time joined_at_;
  bool has_objects_ = false;
  bool said_leaving_ = false;
  bool is_displaced_ = false;  // Another upstream has answered at its address.
  int in_flight_ = 0;

  int other_callers_load_ = 0;
  monotonic_time reported_at_{};
  weight_control weight_;

  int connect_failures_ = 0;
  monotonic_time connect_failing_since_{};
  monotonic_time backoff_until_{};
  double failure_rate_ = 0;
  int samples_ = 0;
  monotonic_time ejected_until_{};

  monotonic_time paused_until_{};
  monotonic_time pause_requested_at_{};

  monotonic_time cold_until_{};
  bool may_have_restarted_ = false;
  // monotonic_time::max() until the first answer after a connect failure.
  monotonic_time restart_ruled_out_at_{};
  std::optional<upstream_rate_limit> rate_limit_;
  std::optional<rate_limit_observation> rate_limit_seen_;

  cold_allowance allowance_;
  double cold_tokens_ = 0;
  monotonic_time cold_tokens_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_UPSTREAM_TRACKER_H_
