#include "citron/entry/dispatch_directory.h"

#include <algorithm>

namespace citron {

namespace {

// One try a second finds a dispatch that is back soon enough, and costs a few
// second tries only.
constexpr duration kAvoidUnreachable = std::chrono::seconds(1);

// The more VMs there are, the rarer an unchanged view is repeated. A zone is
// not taken for unknown before three repeats are missing: one may be lost, and
// the next one late.
constexpr int kMissedViews = 3;

// A silent VM may be dead or cut off from here; either way a request sent there
// comes back late, if at all. A VM that was listed and then spoke is taken.
bool TakesWork(const vm_seen& seen) {
  return seen.state != member_state::kGone &&
         seen.state != member_state::kSilent && !seen.view.dispatches.empty();
}

void Add(zone_report& sum, const scheduler_load& load) {
  const bool is_first = sum.slots == 0;
  sum.slots += load.usable_slots;
  sum.in_flight += load.in_flight;
  sum.queued += load.queued;
  sum.expected_wait = is_first
                          ? load.expected_wait
                          : std::min(sum.expected_wait, load.expected_wait);
  sum.mean_service_time =
      std::max(sum.mean_service_time, load.mean_service_time);
}

}  // namespace

dispatch_directory::dispatch_directory(std::uint64_t seed) : random_(seed) {}

void dispatch_directory::Update(const std::map<vm_id, vm_seen>& vms) {
  candidates_.clear();
  std::map<place, zone_report> sums;
  for (const auto& [vm, seen] : vms) {
    if (!TakesWork(seen)) continue;
    for (const service_load& load : seen.view.loads) {
      const place where{seen.view.zone, load.service};
      // A zone whose last upstream is drained must say that it has no slots.
      // Without a word its last report stood: its entries chose their own zone
      // as long as the drain lasted, and each request needed a second try.
      zone_report& sum = sums[where];
      sum.zone = seen.view.zone;
      sum.region = seen.view.region;
      sum.service = load.service;
      sum.received_at = std::max(sum.received_at, seen.received_at);
      sum.lifetime = std::max(sum.lifetime, kMissedViews * seen.view.interval);
      if (load.load.usable_slots == 0) continue;
      for (const task_address& task : seen.view.dispatches) {
        if (task.loop != load.loop) continue;
        candidates_[where].push_back(
            {vm, seen.view.region, task.http, task.peer, load.load});
      }
      Add(sum, load.load);
    }
  }
  reports_.clear();
  for (const auto& [where, sum] : sums) reports_.push_back(sum);
}

std::optional<dispatch_directory::choice> dispatch_directory::Choose(
    const zone_id& zone, const service_id& service,
    const std::set<endpoint>& excluded, monotonic_time now) {
  const auto found = candidates_.find({zone, service});
  if (found == candidates_.end()) return std::nullopt;
  std::vector<const candidate*> fit;
  std::vector<const candidate*> avoided;
  for (const candidate& c : found->second) {
    if (excluded.contains(c.http)) continue;
    const auto avoid = avoid_until_.find(c.http);
    const bool is_avoided = avoid != avoid_until_.end() && now < avoid->second;
    (is_avoided ? avoided : fit).push_back(&c);
  }
  // Better one that may be back than none.
  if (fit.empty()) fit = std::move(avoided);
  if (fit.empty()) return std::nullopt;
  const auto size = static_cast<std::uint32_t>(fit.size());
  const candidate* one = fit[random_(size)];
  const candidate* other = fit[random_(size)];
  const candidate* best = Score(*other) < Score(*one) ? other : one;
  return choice{best->vm, best->http};
}

// Its report is some hundred milliseconds late, and an idle dispatch looks like
// the best one. Each request until the next report would be refused there, and
// the retry budget would not last for them: when an upstream left, callers were
// turned away though the neighbour had free slots.
void dispatch_directory::OnNoUpstream(const endpoint& http,
                                      const service_id& service) {
  for (auto& [where, found] : candidates_) {
    if (where.second != service) continue;
    std::erase_if(found, [&](const candidate& c) { return c.http == http; });
  }
}

// Expected wait by the last report, plus what was sent from here since: a
// report is late, and without that every request until the next one would go
// to the same dispatch.
double dispatch_directory::Score(const candidate& c) const {
  const auto sent = in_flight_.find(c.http);
  const double in_flight = sent == in_flight_.end() ? 0 : sent->second;
  const double service_time = ToSeconds(c.load.mean_service_time);
  const double slots = std::max(1, c.load.usable_slots);
  return ToSeconds(c.load.expected_wait) + in_flight * service_time / slots;
}

std::optional<endpoint> dispatch_directory::PermitPeer(
    const region_id& region, const service_id& service) {
  std::vector<endpoint> peers;
  for (const auto& [where, found] : candidates_) {
    if (where.second != service) continue;
    for (const candidate& c : found) {
      if (c.region == region) peers.push_back(c.peer);
    }
  }
  if (peers.empty()) return std::nullopt;
  return peers[random_(static_cast<std::uint32_t>(peers.size()))];
}

// Heartbeats take seconds to tell that a VM died. Until then half of a zone's
// requests would be tried there first, and the retry budget, made for a few
// failures, would be used up by one dead VM: the rest were refused.
void dispatch_directory::OnUnreachable(const endpoint& http,
                                       monotonic_time now) {
  std::erase_if(avoid_until_,
                [now](const auto& avoid) { return now >= avoid.second; });
  avoid_until_[http] = now + kAvoidUnreachable;
}

void dispatch_directory::OnDone(const endpoint& http) {
  const auto found = in_flight_.find(http);
  if (found == in_flight_.end()) return;
  if (--found->second <= 0) in_flight_.erase(found);
}

}  // namespace citron
