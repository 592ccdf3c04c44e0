#include "citron/policy/upstream_tracker.h"

#include <algorithm>

#include "citron/base/digest.h"

namespace citron {

namespace {

// Weight of the newest outcome in the failure rate: covers about the last ten
// outcomes.
constexpr double kOutcomeWeight = 0.12;

// Network delay and clock ticks by which another VM's observation may seem
// newer than it is.
constexpr duration kObservationError = std::chrono::milliseconds(300);

bool IsSuccess(upstream_outcome outcome) {
  return outcome == upstream_outcome::kAnswered;
}

}  // namespace

// Load pattern: upstreams that crash, return cold, fail a fraction of their
// requests or are shared by many VMs. Each VM judges an upstream by the
// outcomes of its own requests and by reported loads.

upstream_tracker::upstream_tracker(const upstream_record& record,
                                   const region_id& region, monotonic_time now,
                                   const weight_control_options& weights)
    : record_(record),
      region_(region),
      hash_(HashBytes(record.id.Str())),
      joined_at_(now),
      weight_(weights) {
  MarkCold(record.cold_left, now);
}

void upstream_tracker::OnRecord(const upstream_record& record,
                                monotonic_time now) {
  const bool restarted = !IsSameStart(record);
  record_ = record;
  is_displaced_ = false;
  may_have_restarted_ = false;
  if (restarted) OnRestart(now);
  MarkCold(record.cold_left, now);
}

void upstream_tracker::OnRestart(monotonic_time now) {
  connect_failures_ = 0;
  backoff_until_ = {};
  failure_rate_ = 0;
  samples_ = 0;
  ejected_until_ = {};
  other_callers_load_ = 0;
  weight_.Reset();
  rate_limit_.reset();
  rate_limit_seen_.reset();
  said_leaving_ = false;
  // The restarted upstream may have answered before its announcement came.
  const bool may_be_its_own =
      now - pause_requested_at_ < options_.restart_report_delay;
  if (!may_be_its_own) paused_until_ = {};
}

void upstream_tracker::OnPauseRequested(monotonic_time until,
                                        monotonic_time now) {
  pause_requested_at_ = now;
  paused_until_ = std::max(paused_until_, until);
}

void upstream_tracker::SetColdAllowance(const cold_allowance& allowance) {
  allowance_ = allowance;
}

void upstream_tracker::MarkCold(duration left, monotonic_time now) {
  if (left <= duration::zero()) return;
  if (!IsCold(now)) {
    cold_tokens_ = allowance_.burst;
    cold_tokens_at_ = now;
  }
  cold_until_ = std::max(cold_until_, now + left);
}

bool upstream_tracker::OnRateLimit(const rate_limit_observation& seen,
                                   monotonic_time now) {
  if (!rate_limit_seen_ && !seen.per_s) return false;
  if (rate_limit_seen_) {
    const bool same_teller = rate_limit_seen_->told_by == seen.told_by;
    const duration error = same_teller ? duration::zero() : kObservationError;
    if (seen.observed_at < rate_limit_seen_->observed_at + error) return false;
  }
  const bool changed =
      !rate_limit_seen_ || rate_limit_seen_->per_s != seen.per_s;
  rate_limit_seen_ = seen;
  if (!seen.per_s) {
    rate_limit_.reset();
  } else if (rate_limit_) {
    rate_limit_->SetRate(*seen.per_s, now);
  } else {
    rate_limit_.emplace(hash_, *seen.per_s, now);
  }
  return changed;
}

void upstream_tracker::OnSent(monotonic_time now) {
  ++in_flight_;
  if (!IsCold(now)) return;
  cold_tokens_ = ColdTokens(now) - 1;
  cold_tokens_at_ = now;
}

void upstream_tracker::OnReport(const load_report& report, monotonic_time now) {
  // The report excludes the request that it arrives with, so the local count
  // excludes it as well; OnDone has not run for it yet.
  UpdateLoad(report.running + report.waiting, in_flight_ - 1, report.slots,
             now);
}

void upstream_tracker::OnPeerLoadReport(int requests, monotonic_time now) {
  UpdateLoad(requests, in_flight_, record_.slots, now);
}

void upstream_tracker::OnPeerSent(monotonic_time now) {
  if (!IsLoadKnown(now)) {
    other_callers_load_ = 0;
    reported_at_ = now;
  }
  ++other_callers_load_;
}

void upstream_tracker::UpdateLoad(int requests, int local_in_flight, int slots,
                                  monotonic_time now) {
  other_callers_load_ = std::max(0, requests - local_in_flight);
  reported_at_ = now;
  weight_.OnLoadReport(static_cast<double>(requests) / std::max(1, slots), now);
}

int upstream_tracker::Load(monotonic_time now) const {
  return in_flight_ + (IsLoadKnown(now) ? other_callers_load_ : 0);
}

void upstream_tracker::OnDone(upstream_outcome outcome, monotonic_time now) {
  // Requests to an earlier start may end at this one.
  in_flight_ = std::max(0, in_flight_ - 1);
  if (outcome == upstream_outcome::kCancelled) return;
  if (outcome != upstream_outcome::kPaused) {
    CountOutcome(!IsSuccess(outcome), now);
  }
  switch (outcome) {
    case upstream_outcome::kConnectFailedNotRun:
      OnConnectFailure(now);
      break;
    case upstream_outcome::kLeavingNotRun:
      is_displaced_ = true;
      break;
    case upstream_outcome::kAnswered:
    case upstream_outcome::kServerError:
    case upstream_outcome::kPaused:
      connect_failures_ = 0;
      if (may_have_restarted_ &&
          restart_ruled_out_at_ == monotonic_time::max()) {
        restart_ruled_out_at_ = now + options_.restart_report_delay;
      }
      break;
    default:
      // These outcomes count only in the failure rate. A single lost answer
      // says little: the next connection attempt shows whether the upstream is
      // reachable.
      break;
  }
}

void upstream_tracker::CountOutcome(bool failed, monotonic_time now) {
  failure_rate_ += kOutcomeWeight * ((failed ? 1.0 : 0.0) - failure_rate_);
  ++samples_;
  if (failure_rate_ <= options_.ejection_failure_rate ||
      samples_ < options_.min_ejection_samples) {
    return;
  }
  ejected_until_ = now + options_.ejection_duration;
  // The upstream returns with a lower rate and no samples; otherwise old
  // outcomes would decide about its next ejection.
  failure_rate_ = options_.ejection_failure_rate / 2;
  samples_ = 0;
}

void upstream_tracker::OnConnectFailure(monotonic_time now) {
  const bool may_be_restarting =
      connect_failures_ > 0 || IsRestartPossible(now);
  if (!may_be_restarting) connect_failing_since_ = now;
  may_have_restarted_ = true;
  restart_ruled_out_at_ = monotonic_time::max();
  const int doublings = std::min(connect_failures_, 6);
  ++connect_failures_;
  backoff_until_ = now + std::min(options_.initial_backoff * (1 << doublings),
                                  options_.max_backoff);
}

// The other outcomes of that time are as much the fault of the path.
void upstream_tracker::ForgetConnectFailures(monotonic_time since) {
  const bool has_failed = connect_failures_ > 0 || may_have_restarted_;
  if (has_failed && connect_failing_since_ < since) return;
  connect_failures_ = 0;
  backoff_until_ = {};
  may_have_restarted_ = false;
  failure_rate_ = 0;
  samples_ = 0;
  ejected_until_ = {};
}

bool upstream_tracker::IsRestartPossible(monotonic_time now) const {
  return may_have_restarted_ && now < restart_ruled_out_at_;
}

bool upstream_tracker::IsCold(monotonic_time now) const {
  return IsRestartPossible(now) || now < cold_until_;
}

double upstream_tracker::ColdTokens(monotonic_time now) const {
  const double accrued =
      allowance_.rate_per_s * ToSeconds(now - cold_tokens_at_);
  return std::min(allowance_.burst, cold_tokens_ + accrued);
}

bool upstream_tracker::CanTakeColdRequest(monotonic_time now) const {
  return ColdTokens(now) >= 1;
}

}  // namespace citron
