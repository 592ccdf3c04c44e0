#include "citron/policy/upstream_rate_limit.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "citron/base/digest.h"
#include "citron/policy/rendezvous.h"

namespace citron {

namespace {

// Requests a second that go to an upstream whatever limit it names: without an
// answer nobody would hear that the limit has ended.
constexpr double kLeastRatePerS = 0.2;
// Demand that is added for each VM, as a fraction of the rate divided by the
// VMs, so that there are parts before the first reports.
constexpr double kIdleShare = 0.25;
// A VM has no part if its demand is below this fraction of the mean.
constexpr double kLeastDemandFraction = 0.3;
// Averaging time of the demand.
constexpr double kDemandHorizonS = 3.0;
constexpr double kLeastDemandStepS = 0.1;
// Requests that all VMs together may save and send at once: seconds of the
// rate, and requests beside them.
constexpr double kSavedS = 1.0;
constexpr double kSavedRequests = 3;
// Demand of the VMs that have parts, in rates, with which they use the rate: a
// VM that has saved a request loses time until its next one comes. What is
// still lost then is shared out besides.
constexpr double kFullDemand = 4;
constexpr double kFullDemandFactor = 1.1;
// Bound of what a VM saves: requests, and seconds of its part.
constexpr double kMaxSaved = 2;
constexpr double kMaxSavedS = 0.25;

}  // namespace

upstream_rate_limit::upstream_rate_limit(std::uint64_t upstream_hash,
                                         double rate_per_s, monotonic_time now)
    : upstream_hash_(upstream_hash),
      rate_per_s_(rate_per_s),
      accrued_at_(now),
      demand_at_(now) {
  UpdatePart();
}

void upstream_rate_limit::SetRate(double rate_per_s, monotonic_time now) {
  Accrue(now);
  rate_per_s_ = rate_per_s;
  UpdatePart();
}

void upstream_rate_limit::SetFleet(const vm_id& self, int vms,
                                   monotonic_time now) {
  Accrue(now);
  self_ = self;
  fleet_size_ = std::max(1, vms);
  UpdatePart();
}

void upstream_rate_limit::OnPeerDemand(const vm_id& vm, double per_s,
                                       monotonic_time now) {
  Accrue(now);
  peer_demand_per_s_[vm] = per_s;
  UpdatePart();
}

void upstream_rate_limit::OnVmGone(const vm_id& vm, monotonic_time now) {
  Accrue(now);
  peer_demand_per_s_.erase(vm);
  UpdatePart();
}

double upstream_rate_limit::FleetDemandPerS() const {
  double sum = reported_demand_per_s_;
  for (const auto& [vm, per_s] : peer_demand_per_s_) sum += per_s;
  return sum;
}

// VMs that know the same reports choose the same VMs, with parts that add up to
// the rate.
void upstream_rate_limit::UpdatePart() {
  struct sender {
    std::uint64_t order = 0;
    double demand = 0;
    bool is_self = false;
  };
  const double rate = std::max(rate_per_s_, kLeastRatePerS);
  const double idle = kIdleShare * rate / fleet_size_;
  const double least = kLeastDemandFraction * FleetDemandPerS() / fleet_size_;
  std::vector<sender> senders;
  const auto add = [&](const vm_id& vm, double per_s, bool is_self) {
    if (per_s < least) return;
    const std::uint64_t order = MixHashes(upstream_hash_, HashBytes(vm.Str()));
    senders.push_back({order, per_s + idle, is_self});
  };
  add(self_, reported_demand_per_s_, true);
  for (const auto& [vm, per_s] : peer_demand_per_s_) add(vm, per_s, false);
  std::sort(senders.begin(), senders.end(),
            [](const sender& a, const sender& b) { return a.order < b.order; });
  const double max_saved = kSavedS * rate + kSavedRequests;
  std::size_t count = 0;
  double demand = 0;
  while (count < senders.size() && demand < kFullDemand * rate &&
         static_cast<double>(count + 1) <= max_saved) {
    demand += senders[count++].demand;
  }
  // VMs that haven't reported yet take parts as idle ones.
  const double unknown =
      std::max(0.0, static_cast<double>(fleet_size_) - 1 -
                        static_cast<double>(peer_demand_per_s_.size()));
  const auto self = std::find_if(senders.begin(), senders.end(),
                                 [](const sender& s) { return s.is_self; });
  const bool has_part =
      self - senders.begin() < static_cast<std::ptrdiff_t>(count);
  part_per_s_ = max_credit_ = 0;
  if (!has_part) {
    credit_ = 0;
    return;
  }
  const double factor = demand < kFullDemand * rate ? 1 : kFullDemandFactor;
  part_per_s_ = factor * rate * self->demand / (demand + unknown * idle);
  max_credit_ = std::clamp(max_saved / (static_cast<double>(count) + unknown),
                           1.0, std::max(kMaxSaved, kMaxSavedS * part_per_s_));
}

void upstream_rate_limit::Accrue(monotonic_time now) {
  const double seconds = std::max(0.0, ToSeconds(now - accrued_at_));
  accrued_at_ = std::max(accrued_at_, now);
  credit_ = std::min(max_credit_, credit_ + seconds * part_per_s_);
}

void upstream_rate_limit::UpdateDemand(monotonic_time now) {
  const double seconds = ToSeconds(now - demand_at_);
  if (seconds < kLeastDemandStepS) return;
  demand_at_ = now;
  const double weight = 1 - std::exp(-seconds / kDemandHorizonS);
  demand_per_s_ += weight * (arrivals_ / seconds - demand_per_s_);
  arrivals_ = 0;
}

bool upstream_rate_limit::TryTake(monotonic_time now) {
  arrivals_ += 1;
  UpdateDemand(now);
  Accrue(now);
  if (credit_ < 1) return false;
  credit_ -= 1;
  return true;
}

double upstream_rate_limit::ReportDemand(monotonic_time now) {
  UpdateDemand(now);
  Accrue(now);
  reported_demand_per_s_ = demand_per_s_;
  UpdatePart();
  return demand_per_s_;
}

monotonic_time upstream_rate_limit::NextTakeAt(monotonic_time now) const {
  if (part_per_s_ <= 0) return monotonic_time::max();
  return now + FromSeconds(std::max(0.0, 1 - credit_) / part_per_s_);
}

}  // namespace citron
