#include "citron/protocol/workspace_quota.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace citron {

namespace {

// Weight of a demand that nobody has, for each VM: a VM that was idle has a
// small share at once when callers come to it.
constexpr double kIdleShare = 0.25;
// The demand is an average over about this long, and over the shorter time
// where a rise is looked for.
constexpr double kDemandHorizonS = 0.6;
constexpr double kRiseHorizonS = 0.3;
// Standard deviations of random arrivals by which the shorter average must be
// above.
constexpr double kRiseDeviations = 1;
// Tokens that a share holds at the least: below one it would never let a
// request in, however small the rate.
constexpr double kLeastCapacity = 1.5;
// Debts end after this long at the rate; a longer one would refuse a workspace
// for what it was let in on purpose.
constexpr double kMostDebtS = 2.0;
// Part of the other VMs whose reports may be late without a cut.
constexpr double kUsuallyLate = 0.125;
// Growth against what was told that is taken for one of the whole workspace.
constexpr double kRiseThatCounts = 1.5;
constexpr double kMostRise = 10;
// A count that drops below this part of the last one was reset by a restart.
constexpr double kRestartDetectionRatio = 0.5;

}  // namespace

// Load pattern: callers of one workspace that move between VMs and send in
// floods. Each VM has a token bucket with its part of the contract, by demand;
// while the fleet is far below the contract, a VM lends above its part and
// repays later.

workspace_quota::workspace_quota(const quota_options& options,
                                 monotonic_time now)
    : options_(options),
      started_at_(now),
      refilled_at_(now),
      told_at_(now),
      demand_at_(now) {}

void workspace_quota::SetTerms(double rate_per_s, double burst,
                               monotonic_time now) {
  Refill(now);
  const bool first = rate_per_s_ == 0;
  rate_per_s_ = rate_per_s;
  burst_ = burst;
  // Other VMs may have used the burst just before this one started; a share
  // without it loses little, a whole one could double it.
  if (first) tokens_ = 1;
}

void workspace_quota::OnReport(const vm_id& vm, const quota_report& report,
                               monotonic_time now) {
  other_vm& other = others_[vm];
  // Between two reports little leaves the window; a fall means a restart.
  if (report.admitted_in_window <
      kRestartDetectionRatio * other.report.admitted_in_window) {
    other.admitted_before = other.report.admitted_in_window;
    other.restarted_at = now;
  }
  other.report = report;
  other.demand.Add(report.demand_per_s, now);
  other.demand.Forget(InForceSince(now));
  other.heard_at = now;
  if (other.gone_at) other.gone_at = now + options_.orphan_time;
}

void workspace_quota::OnContact(const vm_id& vm, const quota_contact& contact) {
  others_[vm].contact = contact;
}

void workspace_quota::KeepVm(const vm_id& vm) {
  const auto found = others_.find(vm);
  if (found != others_.end()) found->second.gone_at.reset();
}

void workspace_quota::OnHeardElsewhere(const vm_id& vm, monotonic_time now) {
  const auto found = others_.find(vm);
  if (found == others_.end() || !found->second.gone_at) return;
  found->second.gone_at = now + options_.orphan_time;
}

void workspace_quota::RemoveVm(const vm_id& vm, monotonic_time now) {
  const auto found = others_.find(vm);
  if (found == others_.end()) return;
  found->second.gone_at = now + options_.orphan_time;
}

// A VM that can't be heard isn't known to have stopped. If its part were given
// away at once, it would be used twice, which one notices by a contract that is
// exceeded whenever a zone is cut off. One that left and told of requests after
// that would keep its part for good.
void workspace_quota::DropGone(monotonic_time now) {
  for (auto it = others_.begin(); it != others_.end();) {
    const auto at = it++;
    other_vm& other = at->second;
    if (!other.gone_at || now < *other.gone_at) continue;
    if (IsIdle(other)) {
      others_.erase(at);
      continue;
    }
    other.admitted_before = Admitted(other, now);
    other.restarted_at = now;
    other.report = {};
    other.gone_at = now + options_.window;
  }
}

bool workspace_quota::IsIdle(const other_vm& other) {
  return other.report.demand_per_s == 0 && other.report.admitted_in_window == 0;
}

bool workspace_quota::IsSilent(const other_vm& other,
                               monotonic_time now) const {
  return now - other.heard_at >= silence_limit_;
}

workspace_quota::vm_count workspace_quota::CountVms(monotonic_time now) const {
  vm_count count;
  for (const auto& [vm, other] : others_) {
    if (other.gone_at) continue;
    ++count.told;
    if (IsSilent(other, now)) continue;
    ++count.heard;
    if (now - other.contact.has_heard < silence_limit_) ++count.in_touch;
  }
  return count;
}

bool workspace_quota::IsIsolated(monotonic_time now) const {
  const vm_count count = CountVms(now);
  return 2 * count.in_touch < count.told;
}

// Some of the VMs that let requests in may have been cut off, though they don't
// count as silent yet. Single late reports are usual in a large fleet.
bool workspace_quota::AreSeveralLate(monotonic_time now) const {
  int serving = 0;
  int late = 0;
  for (const auto& [vm, other] : others_) {
    if (other.gone_at || IsIdle(other) || IsSilent(other, now)) continue;
    ++serving;
    if (now >= other.contact.tells_by + options_.way) ++late;
  }
  return late > kUsuallyLate * serving;
}

// A demand that another VM told counts from this time on: a little before that
// VM uses it, and not at once, as its own part grows only when all know of it.
monotonic_time workspace_quota::InForceSince(monotonic_time now) const {
  return now - view_lag_ + options_.way;
}

// The demand that all VMs which are heard know of and have in force. Those that
// let nothing in are told seldom, and not waited for.
double workspace_quota::KnownDemand(monotonic_time now) const {
  monotonic_time since = now - view_lag_;
  for (const auto& [vm, other] : others_) {
    if (IsIdle(other) || IsSilent(other, now)) continue;
    since = std::min(since, other.contact.has_heard);
  }
  return told_.LeastSince(since);
}

// Silent VMs keep their parts; those of the others add up to one at most,
// whoever hears whom: no VM takes more for itself than all others grant it.
workspace_quota::part_basis workspace_quota::Basis(monotonic_time now) const {
  int vms = std::max(fleet_size_, 1);
  if (now - started_at_ < options_.assume_for) {
    vms = std::max(vms, options_.assumed_vms);
  }
  part_basis basis;
  basis.idle_per_s =
      kIdleShare * std::max(rate_per_s_, 1.0) / static_cast<double>(vms);
  const monotonic_time since = InForceSince(now);
  basis.all_per_s = told_.LeastSince(since);
  double kept = 0;
  for (const auto& [vm, other] : others_) {
    if (IsSilent(other, now)) {
      kept += other.part;
      --vms;
    } else {
      basis.all_per_s += other.demand.LeastSince(since);
    }
  }
  basis.all_per_s += basis.idle_per_s * std::max(vms, 1);
  basis.shared = std::max(0.0, 1 - kept);
  return basis;
}

// Notes the parts that VMs go on with if they can't be heard any more: by what
// was known when they were heard last.
void workspace_quota::KeepParts(monotonic_time now) {
  const part_basis basis = Basis(now);
  for (auto& [vm, other] : others_) {
    if (other.heard_at < told_at_) continue;
    other.part = basis.PartOf(other.demand.LeastSince(InForceSince(now)));
  }
}

// A VM that is in touch with fewer than half of the others keeps the part that
// they know it to have.
workspace_quota::own_parts workspace_quota::Parts(monotonic_time now) const {
  const part_basis basis = Basis(now);
  const double in_force = basis.PartOf(KnownDemand(now));
  if (!IsIsolated(now)) {
    return {in_force, std::max(in_force, basis.PartOf(told_.Newest()))};
  }
  const double kept =
      share_in_touch_ == 0 ? in_force : std::min(in_force, share_in_touch_);
  return {kept, kept};
}

// What is left of it in the window, as if it had come evenly.
double workspace_quota::AdmittedBefore(const other_vm& other,
                                       monotonic_time now) const {
  const double passed =
      ToSeconds(now - other.restarted_at) / ToSeconds(options_.window);
  return other.admitted_before * std::max(0.0, 1 - passed);
}

// A silent VM may be cut off from this one, and uses its part by itself.
double workspace_quota::Admitted(const other_vm& other,
                                 monotonic_time now) const {
  const double told =
      std::max(other.report.admitted_in_window, AdmittedBefore(other, now));
  if (!IsSilent(other, now)) return told;
  const double whole = rate_per_s_ * ToSeconds(options_.window) + burst_;
  return std::max(told, other.part * whole);
}

double workspace_quota::FleetAdmitted(monotonic_time now) const {
  double sum = own_admitted_;
  for (const auto& [vm, other] : others_) sum += Admitted(other, now);
  return sum;
}

// What the fleet may let in during one window. A VM that has just started knows
// nothing of what was let in before, perhaps by itself: it counts the rate from
// its start, and no burst.
double workspace_quota::WindowLimit(monotonic_time now) const {
  const double whole = rate_per_s_ * ToSeconds(options_.window) + burst_;
  const duration up = now - started_at_;
  if (up >= options_.window) return whole;
  return std::min(whole, rate_per_s_ * ToSeconds(up));
}

// Requests that other VMs may have let in since they told.
double workspace_quota::OnTheWay() const {
  double sum = demand_per_s_;
  for (const auto& [vm, other] : others_) sum += other.report.demand_per_s;
  const double usual = sum * ToSeconds(view_lag_);
  // A rise that shows here may have come to all others too. Single requests of
  // a small workspace look like one; what those amount to is in the slack.
  const double recent =
      recent_demand_per_s_ -
      kRiseDeviations * std::sqrt(recent_demand_per_s_ / (2 * kRiseHorizonS));
  const double rise =
      std::max(demand_per_s_, recent) / std::max(told_.Newest(), 0.5);
  if (rise < kRiseThatCounts) return usual;
  return std::max(usual,
                  usual * std::min(rise, kMostRise) - options_.unseen_rise);
}

void workspace_quota::Refill(monotonic_time now) {
  const double seconds = ToSeconds(now - refilled_at_);
  refilled_at_ = now;
  const own_parts parts = Parts(now);
  const double share = parts.in_force;
  if (!IsIsolated(now)) share_in_touch_ = share;
  // Capacities below one token are rounded up; what that adds over all VMs
  // stays within the slack.
  const double most_extra =
      options_.fleet_slack / static_cast<double>(std::max(fleet_size_, 1));
  const double whole = share * burst_;
  const double capacity =
      std::max(whole, std::min(kLeastCapacity, whole + most_extra));
  tokens_ = std::min(capacity, tokens_ + seconds * share * rate_per_s_);
  // The demand that made the debt may not be in force everywhere yet.
  tokens_ = std::max(tokens_, -kMostDebtS * parts.asked * rate_per_s_ - 1);
}

std::int64_t workspace_quota::SlotOf(monotonic_time at) const {
  const auto slots = static_cast<std::int64_t>(admitted_.counts.size());
  return at.time_since_epoch() / (options_.window / slots);
}

void workspace_quota::Advance(counter& c, monotonic_time now) const {
  const auto slots = static_cast<std::int64_t>(c.counts.size());
  const std::int64_t slot = SlotOf(now);
  const std::int64_t passed = std::min(slot - c.slot, slots);
  for (std::int64_t i = 1; i <= passed; ++i) {
    c.counts[static_cast<std::size_t>((c.slot + i) % slots)] = 0;
  }
  if (slot > c.slot) c.slot = slot;
}

void workspace_quota::UpdateDemand(monotonic_time now) {
  const double seconds = ToSeconds(now - demand_at_);
  if (seconds < 0.1) return;
  demand_at_ = now;
  const auto follow = [&](double average, double horizon_s) {
    const double weight = 1 - std::exp(-seconds / horizon_s);
    return average + weight * (arrivals_ / seconds - average);
  };
  demand_per_s_ = follow(demand_per_s_, kDemandHorizonS);
  recent_demand_per_s_ = follow(recent_demand_per_s_, kRiseHorizonS);
  arrivals_ = 0;
}

bool workspace_quota::TryAdmit(monotonic_time now) {
  arrivals_ += 1;
  UpdateDemand(now);
  if (rate_per_s_ <= 0) return true;
  Refill(now);
  Advance(admitted_, now);
  own_admitted_ =
      std::accumulate(admitted_.counts.begin(), admitted_.counts.end(), 0.0);
  const bool fleet_has_room =
      !IsIsolated(now) && !AreSeveralLate(now) &&
      FleetAdmitted(now) + OnTheWay() + 1 <= WindowLimit(now);
  if (tokens_ < 1 && !fleet_has_room) return false;
  tokens_ -= 1;
  const auto slots = static_cast<std::int64_t>(admitted_.counts.size());
  admitted_.counts[static_cast<std::size_t>(admitted_.slot % slots)] += 1;
  own_admitted_ += 1;
  return true;
}

void workspace_quota::OnNotRun(monotonic_time admitted_at, monotonic_time now) {
  if (rate_per_s_ <= 0) return;
  Refill(now);
  tokens_ += 1;
  Advance(admitted_, now);
  const auto slots = static_cast<std::int64_t>(admitted_.counts.size());
  const std::int64_t slot = SlotOf(admitted_at);
  if (slot <= admitted_.slot - slots) return;
  double& count = admitted_.counts[static_cast<std::size_t>(slot % slots)];
  count = std::max(0.0, count - 1);
}

monotonic_time workspace_quota::NextTokenAt(monotonic_time now) const {
  const double per_s = std::max(Parts(now).in_force * rate_per_s_, 0.2);
  return now + FromSeconds(std::max(0.0, 1 - tokens_) / per_s);
}

quota_state workspace_quota::State(monotonic_time now) const {
  const vm_count count = CountVms(now);
  return {
      rate_per_s_,        burst_,           Parts(now).in_force, tokens_,
      FleetAdmitted(now), WindowLimit(now), count.told,          count.heard};
}

quota_report workspace_quota::Report(monotonic_time now) {
  DropGone(now);
  UpdateDemand(now);
  Advance(admitted_, now);
  own_admitted_ =
      std::accumulate(admitted_.counts.begin(), admitted_.counts.end(), 0.0);
  KeepParts(now);
  told_.Add(demand_per_s_, now);
  told_.Forget(now - silence_limit_);
  told_at_ = now;
  return {demand_per_s_, own_admitted_};
}

}  // namespace citron
