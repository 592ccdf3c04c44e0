#include "citron/node/fleet_state.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "citron/base/digest.h"
#include "citron/policy/rendezvous.h"

namespace citron {

namespace {

// VMs that may send to one cold upstream, and the part of what it bears that
// they use together: while VMs come and go, each may see another pair for a
// second or two.
constexpr std::size_t kColdSenders = 2;
constexpr double kColdPart = 0.6;
// Of one sender's part of a second, what may come at once.
constexpr double kColdBurstPart = 0.3;
// A VM beside the upstream is this much more likely to be a sender.
constexpr double kNearSenderWeight = 16;
// Of the bound on retries, what the VMs use together; the rest is for what
// their counts can't see.
constexpr double kRetryPart = 0.7;
// Part of the quota's slack that buckets may be rounded up by.
constexpr double kQuotaSlackPart = 0.6;
// Part of the quota's overshoot that is used: VMs that count apart let other
// requests in than one counter would, and each that one would have let in and
// they refuse is a request refused inside the rate.
constexpr double kQuotaOvershootPart = 0.5;
// Time for which other VMs are told that a rate limit has ended; some reports
// may be lost.
constexpr duration kTellEndFor = std::chrono::seconds(5);
// Upstreams of a zone that was closed come back cold without a word of it.
constexpr duration kReopenedColdSpell = std::chrono::seconds(3);

}  // namespace

fleet_state::fleet_state(const node_settings& settings,
                         const fleet_codec& codec, event_log& log)
    : settings_(settings),
      codec_(codec),
      log_(log),
      contacts_({.gone_retention = 2 * settings.bounds.quota_window}) {}

void fleet_state::ApplyCopy(const std::vector<key_change>& changes,
                            monotonic_time keep_missing_until,
                            monotonic_time now) {
  for (const key_change& change : changes) {
    if (change.what == key_change::kind::kRemoved) {
      missing_.emplace(change.item.key, keep_missing_until);
    } else {
      ApplyItem(change.item, now);
    }
  }
  RemoveMissing(now);
}

bool fleet_state::ApplyEvent(const store_event& event,
                             monotonic_time keep_missing_until,
                             monotonic_time now) {
  bool is_new = event.removed;
  if (event.removed) {
    missing_.emplace(event.item.key, keep_missing_until);
  } else {
    is_new = ApplyItem(event.item, now);
  }
  EraseMissing(now);
  return is_new;
}

// That an upstream still writes says that it has not started anew.
void fleet_state::Confirm(const std::string& key, monotonic_time now) {
  missing_.erase(key);
  const store_key read = codec_.ReadKey(key);
  if (read.kind != store_key_kind::kUpstream) return;
  upstream_tracker* upstream = FindUpstream(upstream_id(read.name));
  if (upstream != nullptr) upstream->OnRecord(upstream->Record(), now);
}

void fleet_state::RemoveMissing(monotonic_time now) {
  EraseMissing(now);
  SetFleetSize(now);
}

void fleet_state::EraseMissing(monotonic_time now) {
  for (auto it = missing_.begin(); it != missing_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    Remove(it->first, now);
    it = missing_.erase(it);
  }
}

bool fleet_state::ApplyItem(const store_item& item, monotonic_time now) {
  const bool was_missing = missing_.erase(item.key) > 0;
  const store_key key = codec_.ReadKey(item.key);
  switch (key.kind) {
    case store_key_kind::kRouting:
      return ApplyRouting(item, now) || was_missing;
    case store_key_kind::kUpstream:
      return ApplyUpstream(item, upstream_id(key.name), now) || was_missing;
    case store_key_kind::kVm:
      return ApplyVm(item, vm_id(key.name), now) || was_missing;
    case store_key_kind::kClosedZone:
      if (!closed_zones_.insert(zone_id(key.name)).second) return was_missing;
      log_.Write("fleet", "zone_closed",
                 {{"zone", key.name}, {"revision", item.revision}}, now);
      SetClosedZones();
      return true;
    case store_key_kind::kOther:
      return false;
  }
  return false;
}

void fleet_state::Remove(const std::string& name, monotonic_time now) {
  unreadable_.erase(name);
  const store_key key = codec_.ReadKey(name);
  switch (key.kind) {
    case store_key_kind::kUpstream:
      RemoveUpstream(upstream_id(key.name), now);
      return;
    case store_key_kind::kVm:
      vms_.erase(vm_id(key.name));
      ++vms_version_;
      contacts_.OnVmUnlisted(vm_id(key.name), now);
      ForEachRateLimit([&](upstream_rate_limit& limit) {
        limit.OnVmGone(vm_id(key.name), now);
      });
      log_.Write("fleet", "vm_gone", {{"vm", key.name}}, now);
      fleet_changed_ = true;
      return;
    case store_key_kind::kClosedZone: {
      closed_zones_.erase(zone_id(key.name));
      log_.Write("fleet", "zone_opened", {{"zone", key.name}}, now);
      SetClosedZones();
      const zone_id zone(key.name);
      for (auto& [service, selector] : selectors_) {
        selector.ForEach([&](upstream_tracker& upstream) {
          if (upstream.Record().zone == zone) {
            upstream.MarkCold(kReopenedColdSpell, now);
            upstream.OnRejoined(now);
          }
        });
      }
      return;
    }
    case store_key_kind::kRouting:
    case store_key_kind::kOther:
      return;
  }
}

bool fleet_state::ApplyRouting(const store_item& item, monotonic_time now) {
  if (item.revision <= routing_revision_) return false;
  result<routing_config> read = codec_.ReadRouting(item.value);
  if (!IsOk(read)) {
    log_.Write(
        "fleet", "routing_rejected",
        {{"revision", item.revision}, {"problem", ErrorOf(read).message}}, now);
    return false;
  }
  routing_revision_ = item.revision;
  routing_ = std::make_shared<const routing_config>(std::move(ValueOf(read)));
  log_.Write("fleet", "routing_applied",
             {{"version", routing_->version},
              {"revision", item.revision},
              {"routes", routing_->routes.size()},
              {"workspaces", routing_->workspaces.size()}},
             now);
  quota_options options;
  options.window = settings_.bounds.quota_window;
  options.fleet_slack = settings_.bounds.quota_slack * kQuotaSlackPart;
  options.assumed_vms = static_cast<int>(2 * settings_.zones.size());
  for (const workspace_terms& terms : routing_->workspaces) {
    const auto quota =
        quotas_.try_emplace(terms.id, options, contacts_, now).first;
    const double tolerated =
        1 + kQuotaOvershootPart * settings_.bounds.quota_overshoot;
    quota->second.SetContract(terms.rate_per_s * tolerated, terms.burst, now);
  }
  std::erase_if(quotas_, [this](const auto& quota) {
    return std::none_of(
        routing_->workspaces.begin(), routing_->workspaces.end(),
        [&](const workspace_terms& terms) { return terms.id == quota.first; });
  });
  for (const route_config& route : routing_->routes) {
    SplitOf(route).SetServices(route.services);
  }
  fleet_changed_ = true;
  return true;
}

bool fleet_state::ApplyUpstream(const store_item& item, const upstream_id& id,
                                monotonic_time now) {
  const result<upstream_record> read = codec_.ReadUpstream(id, item.value);
  if (!IsOk(read)) {
    // It names no upstream to use; the others hold.
    RemoveUpstream(id, now);
    if (!unreadable_.emplace(item.key, item.revision).second) return false;
    log_.Write("fleet", "upstream_unreadable",
               {{"upstream", id.Str()}, {"problem", ErrorOf(read).message}},
               now);
    return true;
  }
  unreadable_.erase(item.key);
  const upstream_record& record = ValueOf(read);
  const auto zone = settings_.zones.find(record.zone);
  const region_id region =
      zone == settings_.zones.end() ? region_id() : zone->second;
  const auto known = service_of_.find(id);
  if (known != service_of_.end() && known->second != record.service) {
    RemoveUpstream(id, now);
  }
  affinity_selector& selector = MakeSelector(record.service);
  const upstream_tracker* before = selector.Find(id);
  const bool is_new = before == nullptr;
  const bool was_draining = !is_new && before->Record().draining;
  const bool says_new = is_new || before->Record() != record;
  selector.SetUpstream(record, region, now);
  service_of_[id] = record.service;
  upstream_tracker* upstream = selector.Find(id);
  upstream->SetColdAllowance(AllowanceFor(*upstream));
  if (is_new && upstream->RateLimitSeen()) {
    rate_limited_.insert(id);
    SetRateLimitFleet(now);
  }
  if (is_new || was_draining != record.draining) {
    log_.Write("fleet",
               record.draining ? "upstream_draining" : "upstream_ready",
               {{"upstream", id.Str()},
                {"service", record.service.Str()},
                {"zone", record.zone.Str()},
                {"cold_ms", ToMilliseconds(record.cold_left)},
                {"revision", item.revision}},
               now);
  }
  return says_new;
}

bool fleet_state::ApplyVm(const store_item& item, const vm_id& id,
                          monotonic_time now) {
  result<vm_listing> read = DecodeVmListing(id, item.value);
  if (!IsOk(read)) {
    log_.Write("fleet", "vm_unreadable",
               {{"vm", id.Str()}, {"problem", ErrorOf(read).message}}, now);
    return false;
  }
  const auto known = vms_.find(id);
  if (known != vms_.end() && known->second == ValueOf(read)) return false;
  if (known == vms_.end()) {
    log_.Write("fleet", "vm_listed", {{"vm", id.Str()}}, now);
  }
  vms_[id] = std::move(ValueOf(read));
  ++vms_version_;
  contacts_.OnVmListed(id);
  fleet_changed_ = true;
  return true;
}

void fleet_state::RemoveUpstream(const upstream_id& id, monotonic_time now) {
  const auto known = service_of_.find(id);
  if (known == service_of_.end()) return;
  const auto selector = selectors_.find(known->second);
  if (selector != selectors_.end()) selector->second.RemoveUpstream(id, now);
  service_of_.erase(known);
  unreadable_signals_.erase(id);
}

void fleet_state::SetClosedZones() {
  for (auto& [service, selector] : selectors_) {
    selector.SetClosedZones(closed_zones_);
  }
}

int fleet_state::FleetSize() const {
  const bool listed = vms_.contains(settings_.vm);
  return std::max<int>(1, static_cast<int>(vms_.size()) + (listed ? 0 : 1));
}

int fleet_state::UpstreamCount() const {
  return static_cast<int>(service_of_.size());
}

// Once for all that came together: a whole copy names each VM and upstream, and
// each VM concerns all of them.
void fleet_state::SetFleetSize(monotonic_time now) {
  if (!fleet_changed_) return;
  fleet_changed_ = false;
  const int vms = FleetSize();
  for (auto& [workspace, quota] : quotas_) quota.SetFleetSize(vms);
  SetColdAllowances();
  SetRateLimitFleet(now);
}

void fleet_state::SetColdAllowances() {
  for (auto& [service, selector] : selectors_) {
    selector.ForEach([this](upstream_tracker& upstream) {
      upstream.SetColdAllowance(AllowanceFor(upstream));
    });
  }
}

// Load pattern: an upstream that starts and breaks if all VMs send to it at
// once. Two VMs, the same for all who know the fleet, share what it bears while
// it is cold.
cold_allowance fleet_state::AllowanceFor(
    const upstream_tracker& upstream) const {
  const std::uint64_t hash = upstream.Hash();
  const auto cost = [&](const vm_id& vm, const zone_id& zone) {
    const bool near = zone == upstream.Record().zone;
    return RendezvousCost(hash, HashBytes(vm.Str()),
                          near ? kNearSenderWeight : 1);
  };
  const double own = cost(settings_.vm, settings_.zone);
  // Most VMs find the senders among the first few of a large fleet.
  std::size_t before = 0;
  for (const auto& [vm, listing] : vms_) {
    if (vm == settings_.vm || cost(vm, listing.zone) >= own) continue;
    if (++before == kColdSenders) return {};
  }
  const service_terms* terms =
      routing_ ? routing_->FindService(upstream.Record().service) : nullptr;
  const double rate = terms == nullptr ? 0 : terms->cold_rate_per_s;
  const double bearable =
      rate * settings_.bounds.cold_overshoot + settings_.bounds.cold_slack;
  const double part = kColdPart * bearable / static_cast<double>(kColdSenders);
  return {part * (1 - kColdBurstPart), std::max(1.0, part * kColdBurstPart)};
}

affinity_selector& fleet_state::MakeSelector(const service_id& service) {
  const auto found = selectors_.find(service);
  if (found != selectors_.end()) return found->second;
  selector_options options;
  options.zone = settings_.zone;
  options.region = settings_.region;
  affinity_selector& made =
      selectors_.emplace(service, affinity_selector(options)).first->second;
  made.SetClosedZones(closed_zones_);
  return made;
}

void fleet_state::ForEachSelector(
    const std::function<void(affinity_selector&)>& visit) {
  for (auto& [service, selector] : selectors_) visit(selector);
}

void fleet_state::ForEachService(
    const std::function<void(const service_id&, affinity_selector&)>& visit) {
  for (auto& [service, selector] : selectors_) visit(service, selector);
}

affinity_selector* fleet_state::SelectorOf(const service_id& service) {
  const auto found = selectors_.find(service);
  return found == selectors_.end() ? nullptr : &found->second;
}

upstream_tracker* fleet_state::FindUpstream(const upstream_id& id) {
  const auto service = service_of_.find(id);
  if (service == service_of_.end()) return nullptr;
  affinity_selector* selector = SelectorOf(service->second);
  return selector == nullptr ? nullptr : selector->Find(id);
}

void fleet_state::OnUpstreamLoad(upstream_tracker& upstream,
                                 const load_report& report,
                                 monotonic_time now) {
  upstream.OnReport(report, now);
  const int requests = report.running + report.waiting;
  heard_loads_[upstream.Record().id] = requests;
  region_loads_[upstream.Record().id] = requests;
}

std::map<upstream_id, int> fleet_state::TakeHeardLoads() {
  return std::exchange(heard_loads_, {});
}

std::map<upstream_id, int> fleet_state::TakeRegionLoads() {
  return std::exchange(region_loads_, {});
}

void fleet_state::OnPlacedByPeer(const placement_line& line,
                                 monotonic_time now) {
  const auto service = service_of_.find(line.upstream);
  if (service == service_of_.end()) return;
  affinity_selector* selector = SelectorOf(service->second);
  upstream_tracker* upstream =
      selector == nullptr ? nullptr : selector->Find(line.upstream);
  if (upstream == nullptr) return;
  selector->OnPlacedByPeer({line.object, upstream->Hash(), now}, *upstream);
}

std::vector<placement_line> fleet_state::OwnPlacements() {
  std::vector<placement_line> lines;
  for (auto& [service, selector] : selectors_) {
    std::unordered_map<std::uint64_t, upstream_id> by_hash;
    selector.ForEach([&](const upstream_tracker& upstream) {
      by_hash.emplace(upstream.Hash(), upstream.Record().id);
    });
    for (const object_location& placed : selector.Locations().OwnPlacements()) {
      const auto upstream = by_hash.find(placed.upstream);
      if (upstream == by_hash.end()) continue;
      lines.push_back({placed.object, upstream->second});
    }
  }
  return lines;
}

bool fleet_state::OnRateLimit(const upstream_id& id,
                              const rate_limit_observation& seen,
                              monotonic_time now) {
  upstream_tracker* upstream = FindUpstream(id);
  if (upstream == nullptr || !upstream->OnRateLimit(seen, now)) return false;
  rate_limited_.insert(id);
  rate_limit_news_ = rate_limit_news_ || seen.told_by == settings_.vm;
  SetRateLimitFleet(now);
  log_.Write("upstream", seen.per_s ? "rate_limit" : "rate_limit_ended",
             {{"upstream", id.Str()},
              {"per_s", seen.per_s.value_or(0)},
              {"told_by", seen.told_by.Str()},
              {"age_ms", ToMilliseconds(now - seen.observed_at)}},
             now);
  return true;
}

void fleet_state::OnPauseRequested(const service_id& service,
                                   const upstream_start& start,
                                   monotonic_time until, monotonic_time now) {
  upstream_tracker* upstream = FindStart(service, start);
  if (upstream == nullptr || until <= now) return;
  upstream->OnPauseRequested(until, now);
  pauses_[start.id] = upstream->PausedUntil();
}

bool fleet_state::OnSaidLeaving(const service_id& service,
                                const upstream_start& start) {
  upstream_tracker* upstream = FindStart(service, start);
  return upstream != nullptr && upstream->OnSaidLeaving();
}

void fleet_state::OnToldSignal(const upstream_start& start,
                               const vm_id& told_by,
                               monotonic_time paused_until, bool is_leaving,
                               monotonic_time now) {
  const auto service = service_of_.find(start.id);
  if (service == service_of_.end()) return;
  const upstream_tracker* upstream = FindStart(service->second, start);
  if (upstream == nullptr) return;
  const monotonic_time before = std::max(now, upstream->PausedUntil());
  OnPauseRequested(service->second, start, paused_until, now);
  const bool leaves = is_leaving && OnSaidLeaving(service->second, start);
  if (!leaves && paused_until <= before) return;
  log_.Write("upstream", "signal_told",
             {{"upstream", start.id.Str()},
              {"told_by", told_by.Str()},
              {"pause_ms", ToMilliseconds(paused_until - now)},
              {"leaving", leaves}},
             now);
}

upstream_tracker* fleet_state::FindStart(const service_id& service,
                                         const upstream_start& start) {
  affinity_selector* selector = SelectorOf(service);
  upstream_tracker* upstream =
      selector == nullptr ? nullptr : selector->FindKnown(start.id);
  const bool is_it =
      upstream != nullptr && upstream->Record().born_ms == start.born_ms;
  return is_it ? upstream : nullptr;
}

int fleet_state::PausedUpstreams(const service_id& service,
                                 monotonic_time now) {
  int count = 0;
  affinity_selector* selector = SelectorOf(service);
  if (selector == nullptr) return count;
  selector->ForEach([&](const upstream_tracker& upstream) {
    if (upstream.IsPaused(now)) ++count;
  });
  return count;
}

int fleet_state::LogEndedPauses(monotonic_time now) {
  for (auto it = pauses_.begin(); it != pauses_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    log_.Write("upstream", "pause_ended",
               {{"upstream", it->first.Str()},
                {"announced", FindUpstream(it->first) != nullptr}},
               now);
    it = pauses_.erase(it);
  }
  return static_cast<int>(pauses_.size());
}

void fleet_state::OnUnreadableSignal(const upstream_id& id,
                                     const std::string& header,
                                     std::string_view text,
                                     monotonic_time now) {
  std::string& logged = unreadable_signals_[id][header];
  if (logged == text) return;
  logged = text;
  log_.Write("upstream", "signal_unreadable",
             {{"upstream", id.Str()}, {"header", header}, {"text", text}}, now);
}

void fleet_state::OnPeerDemand(const upstream_id& id, const vm_id& vm,
                               double per_s, monotonic_time now) {
  upstream_tracker* upstream = FindUpstream(id);
  upstream_rate_limit* limit =
      upstream == nullptr ? nullptr : upstream->RateLimit();
  if (limit != nullptr) limit->OnPeerDemand(vm, per_s, now);
}

std::vector<rate_limit_line> fleet_state::RateLimitLines(monotonic_time now) {
  std::vector<rate_limit_line> lines;
  std::erase_if(rate_limited_, [&](const upstream_id& id) {
    upstream_tracker* upstream = FindUpstream(id);
    if (upstream == nullptr || !upstream->RateLimitSeen()) return true;
    const rate_limit_observation& seen = *upstream->RateLimitSeen();
    const duration age = now - seen.observed_at;
    if (!seen.per_s && age >= kTellEndFor) return true;
    rate_limit_line line{id, seen.per_s.has_value(), seen.per_s.value_or(0),
                         static_cast<std::uint32_t>(ToMilliseconds(age)), 0};
    upstream_rate_limit* limit = upstream->RateLimit();
    if (limit != nullptr) line.demand_per_s = limit->ReportDemand(now);
    lines.push_back(std::move(line));
    return false;
  });
  return lines;
}

void fleet_state::ForEachRateLimit(
    const std::function<void(upstream_rate_limit&)>& visit) {
  for (const upstream_id& id : rate_limited_) {
    upstream_tracker* upstream = FindUpstream(id);
    upstream_rate_limit* limit =
        upstream == nullptr ? nullptr : upstream->RateLimit();
    if (limit != nullptr) visit(*limit);
  }
}

void fleet_state::SetRateLimitFleet(monotonic_time now) {
  const int vms = FleetSize();
  ForEachRateLimit([&](upstream_rate_limit& limit) {
    limit.SetFleet(settings_.vm, vms, now);
  });
}

service_split& fleet_state::SplitOf(const route_config& route) {
  return splits_[route.id];
}

retry_budget& fleet_state::RetriesOf(const service_id& service) {
  const auto found = retries_.find(service);
  if (found != retries_.end()) return found->second;
  const double kept = kRetryPart * settings_.bounds.retry_slack /
                      static_cast<double>(2 * settings_.zones.size());
  return retries_
      .emplace(service,
               retry_budget(kRetryPart * settings_.bounds.retry_ratio, kept))
      .first->second;
}

workspace_quota* fleet_state::QuotaOf(const workspace_id& workspace) {
  const auto found = quotas_.find(workspace);
  return found == quotas_.end() ? nullptr : &found->second;
}

}  // namespace citron
