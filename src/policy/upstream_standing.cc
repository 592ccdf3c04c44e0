#include "citron/policy/upstream_standing.h"

#include <algorithm>

#include "citron/base/digest.h"

namespace citron {

namespace {

// Weight of the newest outcome in the failure rate: the last ten or so count.
constexpr double kOutcomeWeight = 0.12;

bool IsAnswer(upstream_outcome outcome) {
  return outcome == upstream_outcome::kAnswered;
}

}  // namespace

// Load pattern: upstreams that die, return cold, fail part of their requests or
// are shared by many VMs. A VM judges by its own outcomes and reported loads.

upstream_standing::upstream_standing(const upstream_record& record,
                                     const region_id& region,
                                     monotonic_time now,
                                     const weight_control_options& weights)
    : record_(record),
      region_(region),
      hash_(HashBytes(record.id.Str())),
      weight_(weights) {
  OnCold(record.cold_left, now);
}

void upstream_standing::OnRecord(const upstream_record& record,
                                 monotonic_time now) {
  const bool started_anew =
      record.born_ms != record_.born_ms || record.address != record_.address;
  record_ = record;
  told_leaving_ = false;
  may_have_restarted_ = false;
  if (started_anew) {
    failures_in_row_ = 0;
    avoided_until_ = {};
    failure_rate_ = 0;
    samples_ = 0;
    ejected_until_ = {};
    foreign_load_ = 0;
    weight_.Reset();
  }
  OnCold(record.cold_left, now);
}

void upstream_standing::SetColdAllowance(const cold_allowance& allowance) {
  allowance_ = allowance;
}

void upstream_standing::OnCold(duration left, monotonic_time now) {
  if (left <= duration::zero()) return;
  if (!IsCold(now)) {
    cold_tokens_ = allowance_.burst;
    cold_tokens_at_ = now;
  }
  cold_until_ = std::max(cold_until_, now + left);
}

void upstream_standing::OnSent(monotonic_time now) {
  ++in_flight_;
  if (!IsCold(now)) return;
  cold_tokens_ = ColdTokens(now) - 1;
  cold_tokens_at_ = now;
}

void upstream_standing::OnReport(const load_report& report,
                                 monotonic_time now) {
  // The request whose answer brings the report isn't in it any more, nor in
  // the count of this VM once it is done.
  SetLoad(report.running + report.waiting, in_flight_ - 1, report.slots, now);
}

void upstream_standing::OnHeardLoad(int requests, monotonic_time now) {
  SetLoad(requests, in_flight_, record_.slots, now);
}

void upstream_standing::SetLoad(int requests, int own, int slots,
                                monotonic_time now) {
  foreign_load_ = std::max(0, requests - own);
  reported_at_ = now;
  weight_.OnLoad(static_cast<double>(requests) / std::max(1, slots), now);
}

int upstream_standing::Load(monotonic_time now) const {
  const bool counts = now - reported_at_ < options_.report_lifetime;
  return in_flight_ + (counts ? foreign_load_ : 0);
}

void upstream_standing::OnDone(upstream_outcome outcome, monotonic_time now) {
  --in_flight_;
  if (outcome == upstream_outcome::kCancelled) return;
  const bool failed = !IsAnswer(outcome);
  failure_rate_ += kOutcomeWeight * ((failed ? 1.0 : 0.0) - failure_rate_);
  ++samples_;
  if (failure_rate_ > options_.ejection_rate &&
      samples_ >= options_.ejection_samples) {
    ejected_until_ = now + options_.ejection;
    // It starts its return with a clean record, or it would never be judged
    // by anything new.
    failure_rate_ = options_.ejection_rate / 2;
    samples_ = 0;
  }
  switch (outcome) {
    case upstream_outcome::kConnectFailedNotRun:
      OnConnectFailure(now);
      break;
    case upstream_outcome::kLeavingNotRun:
      told_leaving_ = true;
      break;
    case upstream_outcome::kAnswered:
    case upstream_outcome::kServerError:
      failures_in_row_ = 0;
      if (may_have_restarted_ && no_restart_at_ == monotonic_time::max()) {
        no_restart_at_ = now + options_.restart_news;
      }
      break;
    default:
      // A single lost answer says little: the next connection tells whether
      // the upstream is there.
      break;
  }
}

void upstream_standing::OnConnectFailure(monotonic_time now) {
  may_have_restarted_ = true;
  no_restart_at_ = monotonic_time::max();
  const int doublings = std::min(failures_in_row_, 6);
  ++failures_in_row_;
  avoided_until_ = now + std::min(options_.first_avoidance * (1 << doublings),
                                  options_.longest_avoidance);
}

bool upstream_standing::IsCold(monotonic_time now) const {
  const bool may_be_new = may_have_restarted_ && now < no_restart_at_;
  return may_be_new || now < cold_until_;
}

double upstream_standing::ColdTokens(monotonic_time now) const {
  const double gained =
      allowance_.rate_per_s * ToSeconds(now - cold_tokens_at_);
  return std::min(allowance_.burst, cold_tokens_ + gained);
}

bool upstream_standing::HasColdRoom(monotonic_time now) const {
  return ColdTokens(now) >= 1;
}

}  // namespace citron
