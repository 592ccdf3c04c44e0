#include "citron/protocol/admission.h"

#include <algorithm>
#include <cassert>

namespace citron {

namespace {

// Ids of the bucket parts for the loop's own share; loans have other ids.
constexpr std::uint64_t kFloorPart = 1;
constexpr std::uint64_t kLeasedPart = 2;
constexpr std::uint64_t kNotYetStartedPart = 3;

constexpr std::int64_t kPpbOfPpm = kWholePpb / kWholePpm;

// The retry time when no next token can be predicted: about the time in which a
// loan or a renewed share arrives.
constexpr duration kRetryWithoutShare = std::chrono::seconds(1);

bool HasLoans(const token_bucket& bucket) {
  return std::any_of(
      bucket.Parts().begin(), bucket.Parts().end(),
      [](const bucket_part& part) { return part.id > kNotYetStartedPart; });
}

// Rounds down, so that the shares of all loops never exceed the VM's share.
std::int64_t PpbOf(int ppm, int divisor) { return ppm * kPpbOfPpm / divisor; }

}  // namespace

admission::admission(monotonic_time share_starts_at)
    : share_starts_at_(share_starts_at) {}

void admission::SetShare(const vm_share& share, int divisor,
                         monotonic_time now) {
  assert(divisor >= 1);
  share_ = share;
  divisor_ = divisor;
  for (auto& [workspace, limit] : limits_) ApplyShare(limit.bucket, now);
}

void admission::SetContract(const workspace_id& workspace, double rate_per_s,
                            double burst, monotonic_time now) {
  const auto [found, added] = limits_.try_emplace(
      workspace, workspace_limit{token_bucket(rate_per_s, burst, now)});
  token_bucket& bucket = found->second.bucket;
  found->second.is_withdrawn = false;
  if (added) {
    ApplyShare(bucket, now);
  } else {
    bucket.SetContract(rate_per_s, burst, now);
  }
}

// The bucket stays while it has loans; each call drops withdrawn buckets
// without any. If it were dropped at once, a contract that is withdrawn and
// granted again would find the whole share here, while the borrowers still use
// their shares of it.
void admission::RemoveContract(const workspace_id& workspace,
                               monotonic_time now) {
  workspace_limit* limit = Find(workspace);
  if (limit != nullptr) {
    limit->is_withdrawn = true;
    limit->bucket.SetContract(0, 0, now);
  }
  for (auto& [id, each] : limits_) each.bucket.Advance(now);
  std::erase_if(limits_, [](const auto& item) {
    return item.second.is_withdrawn && !HasLoans(item.second.bucket);
  });
}

// Handles a workspace, or all of its callers, sending several times its rate:
// without a rejection here its requests would fill the queues of the upstreams,
// and the other workspaces would wait behind them. The result has the time of
// the next token.
admit_result admission::Admit(const workspace_id& workspace,
                              monotonic_time now) {
  const auto found = limits_.find(workspace);
  if (found == limits_.end() || found->second.is_withdrawn) {
    return no_contract{};
  }
  workspace_limit& limit = found->second;
  ++limit.arrivals;
  if (limit.bucket.TryTake(now)) return admitted{};
  ++limit.refusals;
  return over_rate{
      limit.bucket.NextTokenAt(now).value_or(now + kRetryWithoutShare)};
}

workspace_limit* admission::Find(const workspace_id& workspace) {
  const auto found = limits_.find(workspace);
  return found == limits_.end() ? nullptr : &found->second;
}

const workspace_limit* admission::Find(const workspace_id& workspace) const {
  const auto found = limits_.find(workspace);
  return found == limits_.end() ? nullptr : &found->second;
}

std::int64_t admission::OwnPpbUntil(monotonic_time now,
                                    monotonic_time until) const {
  if (now < share_starts_at_) return 0;
  std::int64_t own = 0;
  if (until <= share_.floor_until) own += PpbOf(share_.floor_ppm, divisor_);
  if (until <= share_.leased_until) own += PpbOf(share_.leased_ppm, divisor_);
  return own;
}

std::int64_t admission::GrantedPpb() const {
  return PpbOf(share_.floor_ppm, divisor_) + PpbOf(share_.leased_ppm, divisor_);
}

void admission::ApplyShare(token_bucket& bucket, monotonic_time now) const {
  const std::int64_t floor = PpbOf(share_.floor_ppm, divisor_);
  const std::int64_t leased = PpbOf(share_.leased_ppm, divisor_);
  // The negative part comes first, so that the share never counts too early.
  bucket.SetPart({kNotYetStartedPart, -(floor + leased), share_starts_at_},
                 now);
  bucket.SetPart({kFloorPart, floor, share_.floor_until}, now);
  bucket.SetPart({kLeasedPart, leased, share_.leased_until}, now);
}

}  // namespace citron
