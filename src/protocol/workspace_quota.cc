#include "citron/protocol/workspace_quota.h"

#include <algorithm>
#include <cmath>

namespace citron {

namespace {

// Demand added for each VM, as a fraction of the rate divided by the VMs: an
// idle VM has a small share at once when callers arrive.
constexpr double kIdleShare = 0.1;
// Averaging times of the demand, and of the shorter average that detects a
// rise.
constexpr double kDemandHorizonS = 0.6;
constexpr double kRiseHorizonS = 0.3;
// Standard deviations of random arrivals that are subtracted from the shorter
// average.
constexpr double kRiseDeviations = 1;
// Capacity in tokens to which a smaller share is rounded up as far as the slack
// allows: below one token a share would never admit a request, however small
// the rate.
constexpr double kRoundedUpCapacity = 1.5;
// Maximum debt, in seconds of this VM's share of the rate. The window also
// counts what was admitted without a token, so a longer debt would reject later
// requests twice for it.
constexpr double kMaxDebtS = 2.0;
// Fraction of the other VMs whose reports may be late without a network
// partition.
constexpr double kToleratedLateFraction = 0.125;
// Ratios of the current to the reported demand: the smallest ratio that counts
// as a rise of the whole workspace, and the largest ratio that is assumed.
constexpr double kMinFleetRiseRatio = 1.5;
constexpr double kMaxRiseRatio = 10;
// A count below this fraction of the last count was reset by a restart.
constexpr double kRestartDetectionRatio = 0.5;
// Below this count such a fall is usual without a restart.
constexpr double kMinRestartCount = 8;

}  // namespace

workspace_quota::workspace_quota(const quota_options& options,
                                 const report_contacts& contacts,
                                 monotonic_time now)
    : options_(options),
      contacts_(&contacts),
      started_at_(now),
      refilled_at_(now),
      admitted_(options.window),
      reported_at_(now),
      demand_at_(now) {}

void workspace_quota::SetContract(double rate_per_s, double burst,
                                  monotonic_time now) {
  Refill(now);
  const bool first = rate_per_s_ == 0;
  rate_per_s_ = rate_per_s;
  burst_ = burst;
  // Other VMs may have used the burst just before this VM started. A share
  // without the burst loses little; a full burst could double it.
  if (first) tokens_ = 1;
}

// Most VMs have no demand for most workspaces: only the others are kept.
void workspace_quota::OnReport(const contact_id& vm, const quota_report& report,
                               monotonic_time now) {
  const auto known = others_.find(vm.index);
  const bool is_known =
      known != others_.end() && known->second.epoch == vm.epoch;
  if (!is_known && IsIdle(report)) return;
  other_vm& other = others_[vm.index];
  if (!is_known) other = {};
  other.epoch = vm.epoch;
  // Normally less than half of the requests leave the window between two
  // reports, so a sharper fall means a restart.
  if (report.admitted_in_window <
      kRestartDetectionRatio * other.report.admitted_in_window) {
    other.admitted_before_reset = other.report.admitted_in_window;
    other.before_reset_until = other.reported_at + options_.window;
  }
  other.report = report;
  other.reported_at = now;
  other.demand.Add(report.demand_per_s, now);
  other.demand.DropReplacedBefore(DemandInForceSince(now));
}

// Drops the VMs without demand and without requests in the window. A VM that
// counts as gone is treated so one window later, when its requests have left
// the window. A VM whose reports are missing may still run: if its share were
// given to others at once, the contract would be exceeded whenever a zone is
// cut off. If such a VM were never reset, a VM that left and reported requests
// afterwards would keep its share for good.
void workspace_quota::RemoveIdleVms(monotonic_time now) {
  for (auto it = others_.begin(); it != others_.end();) {
    const auto at = it++;
    const std::uint32_t index = at->first;
    other_vm& other = at->second;
    if (!contacts_->Knows({index, other.epoch})) {
      others_.erase(at);
      continue;
    }
    const bool is_idle = IsIdle(other.report);
    if (is_idle && AdmittedBeforeReset(other, now) <= 0) {
      others_.erase(at);
      continue;
    }
    if (is_idle || !report_contacts::IsGone(ContactOf(index), now)) continue;
    other.admitted_before_reset = Admitted(index, other, now);
    other.before_reset_until = now + options_.window;
    other.report = {};
  }
}

bool workspace_quota::IsIdle(const quota_report& report) {
  return report.demand_per_s == 0 && report.admitted_in_window == 0;
}

double workspace_quota::RecordedShare(std::uint32_t index) const {
  if (index >= shares_.size()) return 0;
  const vm_share& recorded = shares_[index];
  return contacts_->Knows({index, recorded.epoch}) ? recorded.share : 0;
}

template <typename visitor>
void workspace_quota::ForEachSilent(monotonic_time now,
                                    const visitor& visit) const {
  for (const std::uint32_t index : contacts_->Silent(now)) {
    if (report_contacts::IsGone(ContactOf(index), now) &&
        !others_.contains(index)) {
      continue;
    }
    visit(index);
  }
}

// Returns whether some of the VMs that admit requests may be cut off although
// they don't count as silent yet. Single late reports are usual in a large
// fleet.
bool workspace_quota::AreManyReportsLate(monotonic_time now) const {
  int serving = 0;
  int late = 0;
  for (const auto& [index, other] : others_) {
    const report_contacts::contact& contact = ContactOf(index);
    if (contact.gone_after || IsIdle(other.report) || IsSilent(index, now)) {
      continue;
    }
    ++serving;
    if (now >= contact.exchange.next_report_due + options_.max_report_delay)
      ++late;
  }
  return late > kToleratedLateFraction * serving;
}

// Returns the time since when the minimum of a VM's reported demand counts for
// its share: one view lag ago, less the report delay. Other VMs apply a demand
// a little before the reporting VM uses it, and not at once, since the share of
// that VM grows only when all VMs know of the demand.
monotonic_time workspace_quota::DemandInForceSince(monotonic_time now) const {
  return now - view_lag_ + options_.max_report_delay;
}

// Returns the demand of this VM that all VMs that are not silent have received
// and applied. Idle VMs receive reports rarely and are not waited for.
double workspace_quota::KnownDemand(monotonic_time now) const {
  monotonic_time since = now - view_lag_;
  for (const auto& [index, other] : others_) {
    if (IsIdle(other.report) || IsSilent(index, now)) continue;
    since = std::min(since, ContactOf(index).exchange.received_report_sent_at);
  }
  return reported_demand_.MinimumSince(since);
}

// Silent VMs keep their shares. The shares of the others add up to at most one,
// whichever VMs receive each other's reports: no VM takes a larger share than
// all others grant it.
workspace_quota::share_basis workspace_quota::ComputeShareBasis(
    monotonic_time now) const {
  int vms = std::max(fleet_size_, 1);
  if (now - started_at_ < options_.assume_for) {
    vms = std::max(vms, options_.assumed_vms);
  }
  share_basis basis;
  basis.idle_demand_per_s =
      kIdleShare * std::max(rate_per_s_, 1.0) / static_cast<double>(vms);
  const monotonic_time since = DemandInForceSince(now);
  basis.fleet_demand_per_s = reported_demand_.MinimumSince(since);
  double kept = 0;
  ForEachSilent(now, [&](std::uint32_t index) {
    kept += RecordedShare(index);
    --vms;
  });
  for (const auto& [index, other] : others_) {
    if (IsSilent(index, now)) continue;
    basis.fleet_demand_per_s += other.demand.MinimumSince(since);
  }
  basis.fleet_demand_per_s += basis.idle_demand_per_s * std::max(vms, 1);
  basis.shared = std::max(0.0, 1 - kept);
  return basis;
}

// Records the current shares of the VMs that have reported since the last
// report of this VM. A VM that becomes silent keeps its recorded share.
void workspace_quota::RecordShares(monotonic_time now) {
  const share_basis basis = ComputeShareBasis(now);
  const double idle_share = basis.ShareOf(0);
  const std::vector<report_contacts::contact>& all = contacts_->All();
  shares_.resize(all.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (all[i].received_at < reported_at_) continue;
    shares_[i] = {all[i].epoch, static_cast<float>(idle_share)};
  }
  for (const auto& [index, other] : others_) {
    if (all[index].received_at < reported_at_) continue;
    shares_[index].share = static_cast<float>(
        basis.ShareOf(other.demand.MinimumSince(DemandInForceSince(now))));
  }
}

// Returns the share that all other VMs grant to this VM. A VM that is connected
// with fewer than half of the others keeps the share that they know of.
double workspace_quota::LocalShare(monotonic_time now) const {
  const double share = ComputeShareBasis(now).ShareOf(KnownDemand(now));
  if (!contacts_->IsIsolated(now) || connected_share_ == 0) return share;
  return std::min(share, connected_share_);
}

// Returns the requests before the reset that may still be in the window: they
// may all have arrived just before their count was taken.
double workspace_quota::AdmittedBeforeReset(const other_vm& other,
                                            monotonic_time now) const {
  return now < other.before_reset_until ? other.admitted_before_reset : 0;
}

// A silent VM may be cut off from this VM and use its whole share.
double workspace_quota::Admitted(std::uint32_t index, const other_vm& other,
                                 monotonic_time now) const {
  const double before = AdmittedBeforeReset(other, now);
  const double since = other.report.admitted_in_window;
  // A small count may have fallen without a restart, and then includes what
  // `before` counts.
  const double reported = other.admitted_before_reset < kMinRestartCount
                              ? std::max(since, before)
                              : since + before;
  if (!IsSilent(index, now)) return reported;
  return std::max(reported, RecordedShare(index) * ContractLimit());
}

double workspace_quota::AdmittedByOthers(monotonic_time now) const {
  double sum = 0;
  for (const auto& [index, other] : others_) {
    sum += Admitted(index, other, now);
  }
  ForEachSilent(now, [&](std::uint32_t index) {
    if (!others_.contains(index)) sum += RecordedShare(index) * ContractLimit();
  });
  return sum;
}

// Returns the requests that the fleet may admit during one window. A VM that
// has just started doesn't know what was admitted before, perhaps by itself: it
// counts the rate from its start, and no burst.
double workspace_quota::WindowLimit(monotonic_time now) const {
  const double contract_limit = ContractLimit();
  const duration up = now - started_at_;
  if (up >= options_.window) return contract_limit;
  return std::min(contract_limit, rate_per_s_ * ToSeconds(up));
}

// Returns the requests up to which the VMs fill the window together without
// tokens. The burst is left to the buckets, so that reports that are late don't
// lead beyond the contract. A VM that has just started fills nothing: it
// doesn't know when the requests that others admitted before leave the window.
double workspace_quota::SharedLimit(monotonic_time now) const {
  if (now - started_at_ < options_.window) return 0;
  return rate_per_s_ * ToSeconds(options_.window);
}

// Estimates the requests that were admitted since the last reports, from the
// demand of all VMs over the view lag.
double workspace_quota::UnreportedAdmissions() const {
  double sum = demand_per_s_;
  for (const auto& [index, other] : others_) {
    sum += other.report.demand_per_s;
  }
  const double usual = sum * ToSeconds(view_lag_);
  // A rise that is seen here may have come to all other VMs too. Single
  // requests of a small workspace look like a rise; `uncounted_rise` covers
  // them.
  const double recent =
      recent_demand_per_s_ -
      kRiseDeviations * std::sqrt(recent_demand_per_s_ / (2 * kRiseHorizonS));
  const double rise = std::max(demand_per_s_, recent) /
                      std::max(reported_demand_.Newest(), 0.5);
  if (rise < kMinFleetRiseRatio) return usual;
  return std::max(
      usual, usual * std::min(rise, kMaxRiseRatio) - options_.uncounted_rise);
}

// A small share's capacity is rounded up; what that adds over all VMs stays
// within the slack.
double workspace_quota::MaxRoundedUp() const {
  return std::min(
      kRoundedUpCapacity,
      options_.fleet_slack / static_cast<double>(std::max(fleet_size_, 1)));
}

void workspace_quota::Refill(monotonic_time now) {
  const double seconds = ToSeconds(now - refilled_at_);
  refilled_at_ = now;
  share_ = LocalShare(now);
  if (!contacts_->IsIsolated(now)) connected_share_ = share_;
  const double unrounded_capacity = share_ * burst_;
  const double capacity = std::max(
      unrounded_capacity,
      std::min(kRoundedUpCapacity, unrounded_capacity + MaxRoundedUp()));
  tokens_ = std::min(capacity, tokens_ + seconds * share_ * rate_per_s_);
  tokens_ = std::max(tokens_, -kMaxDebtS * share_ * rate_per_s_ - 1);
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

// Returns whether this VM knows what the fleet has admitted.
bool workspace_quota::HasWholeView(monotonic_time now) const {
  return !contacts_->IsIsolated(now) && !AreManyReportsLate(now);
}

// Load pattern: callers that move between VMs while the workspace asks less
// than its contract.
bool workspace_quota::HasFleetRoom(double by_others, monotonic_time now) const {
  return admitted_.Count() + by_others + UnreportedAdmissions() + 1 <=
         WindowLimit(now);
}

// Load pattern: a workspace that asks more than its contract, unevenly or after
// a rise. Each VM may add its share of what the reports leave of the window.
// With shares that add up to at most one, all VMs together stay within
// `fleet_limit` and the slack, however many requests arrive between two
// reports.
double workspace_quota::LocalLimit(double share, double by_others,
                                   double fleet_limit) const {
  return reported_admitted_ +
         share * (fleet_limit - reported_admitted_ - by_others) +
         MaxRoundedUp();
}

// Returns the number of requests in the window up to which this VM spends its
// tokens. Requests that it admitted without a token count as well.
double workspace_quota::TokenLimit(monotonic_time now) const {
  const double own = share_ * ContractLimit() + MaxRoundedUp();
  if (admitted_.Count() + 1 <= own || !HasWholeView(now)) return own;
  return std::max(own,
                  LocalLimit(share_, AdmittedByOthers(now), ContractLimit()));
}

bool workspace_quota::HasToken(monotonic_time now) const {
  return tokens_ >= 1 && admitted_.Count() + 1 <= TokenLimit(now);
}

bool workspace_quota::HasRoom(monotonic_time now) const {
  if (!HasWholeView(now)) return false;
  const double by_others = AdmittedByOthers(now);
  return HasFleetRoom(by_others, now) ||
         admitted_.Count() + 1 <=
             LocalLimit(share_, by_others, SharedLimit(now));
}

bool workspace_quota::TryAdmit(monotonic_time now) {
  arrivals_ += 1;
  UpdateDemand(now);
  if (rate_per_s_ <= 0) return true;
  Refill(now);
  admitted_.Advance(now);
  if (!HasToken(now) && !HasRoom(now)) return false;
  tokens_ -= 1;
  admitted_.Add();
  return true;
}

void workspace_quota::OnNotRun(monotonic_time admitted_at, monotonic_time now) {
  if (rate_per_s_ <= 0) return;
  Refill(now);
  tokens_ += 1;
  admitted_.Advance(now);
  admitted_.Remove(admitted_at);
}

monotonic_time workspace_quota::NextTokenAt(monotonic_time now) const {
  const monotonic_time window_passed = now + options_.window;
  const double token_s = std::min(
      std::max(0.0, 1 - tokens_) / std::max(share_ * rate_per_s_, 1e-3),
      ToSeconds(options_.window));
  monotonic_time at = std::max(now + FromSeconds(token_s),
                               admitted_.WhenAtMost(TokenLimit(now) - 1));
  if (HasWholeView(now)) {
    const double limit =
        LocalLimit(share_, AdmittedByOthers(now), SharedLimit(now));
    at = std::min(at, admitted_.WhenAtMost(limit - 1));
  }
  return std::clamp(at, now, window_passed);
}

quota_state workspace_quota::State(monotonic_time now) const {
  const report_contacts::vm_count& count = contacts_->Count(now);
  return {
      rate_per_s_,        burst_,           LocalShare(now), tokens_,
      FleetAdmitted(now), WindowLimit(now), count.reported,  count.responsive};
}

quota_report workspace_quota::Report(monotonic_time now) {
  RemoveIdleVms(now);
  UpdateDemand(now);
  admitted_.Advance(now);
  RecordShares(now);
  reported_demand_.Add(demand_per_s_, now);
  reported_demand_.DropReplacedBefore(now - contacts_->SilenceLimit());
  reported_at_ = now;
  reported_admitted_ = admitted_.Count();
  return {demand_per_s_, reported_admitted_};
}

}  // namespace citron
