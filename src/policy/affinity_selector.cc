#include "citron/policy/affinity_selector.h"

#include <algorithm>

#include "citron/base/digest.h"
#include "citron/policy/rendezvous.h"

namespace citron {

namespace {

constexpr duration kBalanceInterval = std::chrono::milliseconds(250);
// Entries lapse while the store is away, and are back with it.
constexpr duration kLapsedRetention = std::chrono::hours(1);
constexpr std::size_t kMostLapsed = 256;

bool AllowsRegion(const std::set<region_id>* regions, const region_id& region) {
  return regions == nullptr || regions->empty() || regions->contains(region);
}

// Returns the requests per slot at `upstream`.
double LoadPerSlot(const upstream_tracker& upstream, monotonic_time now) {
  return static_cast<double>(upstream.Load(now)) /
         std::max(1, upstream.Record().slots);
}

bool WasTried(const selection_request& request, const upstream_id& id) {
  if (request.excluded_upstreams == nullptr) return false;
  return std::find(request.excluded_upstreams->begin(),
                   request.excluded_upstreams->end(),
                   id) != request.excluded_upstreams->end();
}

bool IsFirstAttempt(const selection_request& request) {
  return request.excluded_upstreams == nullptr ||
         request.excluded_upstreams->empty();
}

}  // namespace

std::string_view ToString(selection_error error) {
  switch (error) {
    case selection_error::kNoneKnown:
      return "none_known";
    case selection_error::kNotAllowed:
      return "not_allowed";
    case selection_error::kUnavailable:
      return "unavailable";
    case selection_error::kBusy:
      return "busy";
    case selection_error::kRateLimited:
      return "rate_limited";
    case selection_error::kPaused:
      return "paused";
  }
  return "unknown";
}

affinity_selector::affinity_selector(const selector_options& options)
    : options_(options),
      balance_({.base_weight = options.same_region_weight,
                .max_weight = options.max_same_region_weight}) {}

void affinity_selector::SetUpstream(const upstream_record& record,
                                    const region_id& region,
                                    monotonic_time now) {
  const auto found = upstreams_.find(record.id);
  if (found != upstreams_.end()) return found->second.OnRecord(record, now);
  const auto lapsed = lapsed_.find(record.id);
  const bool is_same = lapsed != lapsed_.end() &&
                       lapsed->second.tracker.Region() == region &&
                       lapsed->second.tracker.IsSameStart(record);
  if (!is_same) {
    if (lapsed != lapsed_.end()) lapsed_.erase(lapsed);
    upstreams_.emplace(record.id,
                       upstream_tracker(record, region, now, options_.weights));
    return;
  }
  upstream_tracker& returned =
      upstreams_.emplace(record.id, std::move(lapsed->second.tracker))
          .first->second;
  lapsed_.erase(lapsed);
  returned.OnRecord(record, now);
}

void affinity_selector::RemoveUpstream(const upstream_id& id,
                                       monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  std::erase_if(lapsed_, [now](const auto& lapsed) {
    return now >= lapsed.second.forget_at;
  });
  if (lapsed_.size() >= kMostLapsed) {
    lapsed_.erase(std::min_element(
        lapsed_.begin(), lapsed_.end(), [](const auto& a, const auto& b) {
          return a.second.forget_at < b.second.forget_at;
        }));
  }
  lapsed_.insert_or_assign(
      id, lapsed_upstream{std::move(found->second), now + kLapsedRetention});
  upstreams_.erase(found);
}

upstream_tracker* affinity_selector::FindKnown(const upstream_id& id) {
  if (upstream_tracker* announced = Find(id)) return announced;
  const auto found = lapsed_.find(id);
  return found == lapsed_.end() ? nullptr : &found->second.tracker;
}

bool affinity_selector::MaySendTo(const upstream_id& id, monotonic_time now) {
  const upstream_tracker* upstream = Find(id);
  return upstream != nullptr && !upstream->IsLeaving() &&
         !upstream->IsPaused(now);
}

monotonic_time affinity_selector::EarliestPauseEnd(
    const selection_request& request, monotonic_time now) const {
  monotonic_time earliest = monotonic_time::max();
  for (const auto& [id, upstream] : upstreams_) {
    if (!IsAllowed(upstream, request) || !IsPausedCandidate(upstream, now)) {
      continue;
    }
    earliest = std::min(earliest, upstream.PausedUntil());
  }
  return earliest == monotonic_time::max() ? now : earliest;
}

upstream_tracker* affinity_selector::Find(const upstream_id& id) {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

void affinity_selector::ForEach(
    const std::function<void(upstream_tracker&)>& visit) {
  for (auto& [id, upstream] : upstreams_) visit(upstream);
}

void affinity_selector::SetClosedZones(const std::set<zone_id>& zones) {
  closed_zones_ = zones;
}

void affinity_selector::OnConnected(const zone_id& zone) { paths_.erase(zone); }

// Load pattern: a network partition between zones. Consecutive connect timeouts
// without a success exclude the whole zone; otherwise each upstream behind the
// partition would cost a request a timeout.
void affinity_selector::OnConnectTimeout(const zone_id& zone,
                                         monotonic_time now) {
  path_state& path = paths_[zone];
  ++path.failures;
  if (path.failures >= options_.path_failure_limit) {
    path.backoff_until = now + options_.path_backoff;
  }
}

void affinity_selector::ForgetConnectFailures(monotonic_time since) {
  paths_.clear();
  for (auto& [id, upstream] : upstreams_) upstream.ForgetConnectFailures(since);
}

bool affinity_selector::IsAllowed(const upstream_tracker& upstream,
                                  const selection_request& request) const {
  return AllowsRegion(request.route_allowed_regions, upstream.Region()) &&
         AllowsRegion(request.workspace_allowed_regions, upstream.Region());
}

bool affinity_selector::IsAvailable(const upstream_tracker& upstream,
                                    const selection_request& request,
                                    bool include_ejected,
                                    monotonic_time now) const {
  if (!IsUsable(upstream, now)) return false;
  if (WasTried(request, upstream.Record().id)) return false;
  if (upstream.IsOnProbation() && upstream.InFlight() > 0) return false;
  if (!include_ejected && upstream.IsEjected(now)) return false;
  return !upstream.IsCold(now) || upstream.CanTakeColdRequest(now);
}

double affinity_selector::PlacementWeight(const upstream_tracker& upstream,
                                          bool large_answer) const {
  double weight = std::max(1, upstream.Record().slots) * upstream.LoadWeight();
  if (upstream.Region() != options_.region) return weight;
  if (!large_answer) return weight * balance_.SameRegionWeight();
  weight *= options_.large_answer_region_weight;
  const bool same_zone = upstream.Record().zone == options_.zone;
  return same_zone ? weight * options_.large_answer_zone_weight : weight;
}

// A further attempt is no further demand, and a request that may not run here
// takes no room here.
void affinity_selector::CountObject(const selection_request& request,
                                    monotonic_time now) {
  if (IsFirstAttempt(request) &&
      AllowsRegion(request.route_allowed_regions, options_.region) &&
      AllowsRegion(request.workspace_allowed_regions, options_.region)) {
    balance_.OnRequest(request.object, now);
  }
}

bool affinity_selector::IsUsable(const upstream_tracker& upstream,
                                 monotonic_time now) const {
  const zone_id& zone = upstream.Record().zone;
  if (upstream.IsLeaving() || closed_zones_.contains(zone)) return false;
  const auto path = paths_.find(zone);
  const bool reachable =
      path == paths_.end() || now >= path->second.backoff_until;
  return reachable && !upstream.IsInBackoff(now);
}

void affinity_selector::UpdateBalance(monotonic_time now) {
  if (now < update_balance_at_) return;
  update_balance_at_ = now + kBalanceInterval;
  region_room own;
  region_room others;
  for (const auto& [id, upstream] : upstreams_) {
    if (!IsUsable(upstream, now)) continue;
    region_room& room = upstream.Region() == options_.region ? own : others;
    const int slots = std::max(1, upstream.Record().slots);
    ++room.upstreams;
    room.slots += slots;
    if (!upstream.IsLoadKnown(now)) continue;
    room.heard_slots += slots;
    room.load += upstream.Load(now);
  }
  balance_.Update(own, others, now);
}

bool affinity_selector::IsPausedCandidate(const upstream_tracker& upstream,
                                          monotonic_time now) const {
  return upstream.IsPaused(now) && IsUsable(upstream, now);
}

void affinity_selector::PutRegionFirst(const region_id& region,
                                       std::vector<candidate>& candidates) {
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&region](const candidate& c) { return c.upstream->Region() == region; });
}

// Load pattern: upstreams that are full and ask for a pause. The next
// candidates are in the region where the request would run as long as there are
// any there, as the pause is short.
bool affinity_selector::DropPaused(const selection_request& request,
                                   std::vector<candidate>& candidates,
                                   monotonic_time now) {
  const auto is_paused = [now](const candidate& c) {
    return c.upstream->IsPaused(now);
  };
  if (std::none_of(candidates.begin(), candidates.end(), is_paused)) {
    return false;
  }
  const candidate* runs = Locate(request, candidates).upstream;
  const bool runs_at_paused = runs != nullptr && is_paused(*runs);
  if (runs == nullptr) runs = &candidates.front();
  const region_id region = runs->upstream->Region();
  PutRegionFirst(region, candidates);
  std::erase_if(candidates, is_paused);
  return runs_at_paused;
}

// Drops the preferred upstreams that may not have this request by their rate
// limits, and all others that have one. The next candidates are in the same
// region as long as there are any there: an upstream that starts to limit its
// requests must not move them to other regions.
void affinity_selector::DropRateLimited(std::vector<candidate>& candidates,
                                        monotonic_time now) {
  const bool any_limited = std::any_of(
      candidates.begin(), candidates.end(),
      [](const candidate& c) { return c.upstream->RateLimit() != nullptr; });
  if (!any_limited) return;
  const region_id region = candidates.front().upstream->Region();
  PutRegionFirst(region, candidates);
  bool found = false;
  std::erase_if(candidates, [&](const candidate& c) {
    upstream_rate_limit* limit = c.upstream->RateLimit();
    if (limit == nullptr) {
      found = true;
      return false;
    }
    if (found) return true;
    found = limit->TryTake(now);
    return !found;
  });
}

// The VMs of a zone place large answers, those of a region all others.
std::uint64_t affinity_selector::SharedKey(
    const selection_request& request) const {
  if (!request.large_answer) return request.object;
  return MixHashes(request.object, HashBytes(options_.zone.Str()));
}

// A request that may not run where others for the object do has a location of
// its own.
std::uint64_t affinity_selector::OwnKey(
    const selection_request& request) const {
  std::uint64_t key = SharedKey(request);
  for (const std::set<region_id>* regions :
       {request.route_allowed_regions, request.workspace_allowed_regions}) {
    if (regions == nullptr) continue;
    for (const region_id& region : *regions) {
      key = MixHashes(key, HashBytes(region.Str()));
    }
  }
  return key;
}

const affinity_selector::candidate* affinity_selector::FindLocated(
    const std::optional<object_location>& location,
    const std::vector<candidate>& candidates) const {
  if (!location) return nullptr;
  const auto found = std::find_if(
      candidates.begin(), candidates.end(), [&](const candidate& c) {
        return c.upstream->Hash() == location->upstream;
      });
  return found == candidates.end() ? nullptr : &*found;
}

// Returns whether the object moves to the preferred region, which is not the
// one where it is. The VMs of a region estimate its weight differently: if one
// alone sent an object away, the others would bring it back, to a cold run each
// time.
bool affinity_selector::PrefersOtherRegion(
    const candidate& located, const std::vector<candidate>& candidates) const {
  const candidate& preferred = candidates.front();
  const region_id& region = located.upstream->Region();
  if (preferred.upstream->Region() == options_.region) return true;
  const auto nearest = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const candidate& c) { return c.upstream->Region() == region; });
  return preferred.cost * options_.region_hysteresis < nearest->cost;
}

// An overloaded upstream loses a stable part of its objects. One that joins
// takes over the first one that prefers it, and others where their requests
// would wait: each object that moves is run cold once more.
bool affinity_selector::HasToLeave(const candidate& located,
                                   monotonic_time placed_at,
                                   const selection_request& request,
                                   const std::vector<candidate>& candidates,
                                   monotonic_time now) const {
  if (&located == &candidates.front()) return false;
  const upstream_tracker& from = *located.upstream;
  const bool is_shed = HashToUnitInterval(MixHashes(
                           from.Hash(), request.object)) > from.LoadWeight();
  if (is_shed) return true;
  const upstream_tracker& preferred = *candidates.front().upstream;
  if (preferred.Region() != from.Region()) {
    return PrefersOtherRegion(located, candidates);
  }
  const bool takes_over =
      !preferred.HasObjects() || LoadPerSlot(from, now) >= 1;
  return preferred.JoinedAt() > placed_at && takes_over &&
         !preferred.IsCold(now);
}

affinity_selector::located_object affinity_selector::Locate(
    const selection_request& request,
    const std::vector<candidate>& candidates) {
  if (!request.has_affinity) return {};
  std::optional<object_location> location = locations_.Find(SharedKey(request));
  const candidate* located = FindLocated(location, candidates);
  if (located == nullptr) {
    location = locations_.Find(OwnKey(request));
    located = FindLocated(location, candidates);
  }
  return {location, located};
}

affinity_selector::location_state affinity_selector::PreferLocated(
    const selection_request& request, std::vector<candidate>& candidates,
    monotonic_time now) {
  if (!request.has_affinity) return location_state::kUnknown;
  const auto [location, located] = Locate(request, candidates);
  if (located == nullptr) {
    const bool comes_back = location && IsPresent(location->upstream);
    return comes_back ? location_state::kAway : location_state::kUnknown;
  }
  if (HasToLeave(*located, location->placed_at, request, candidates, now)) {
    return location_state::kLeaves;
  }
  const auto index = located - candidates.data();
  std::rotate(candidates.begin(), candidates.begin() + index,
              candidates.begin() + index + 1);
  return location_state::kLocated;
}

bool affinity_selector::IsPresent(std::uint64_t hash) const {
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& u) {
    const upstream_tracker& upstream = u.second;
    return upstream.Hash() == hash && !upstream.IsLeaving() &&
           !closed_zones_.contains(upstream.Record().zone);
  });
}

// Reduces `candidates` to the replicas that share the object, the preferred one
// first. All are in the region of the preferred one, so that an overload does
// not move the requests of a region to other regions from one second to the
// next.
void affinity_selector::KeepReplicas(std::vector<candidate>& candidates) const {
  const region_id region = candidates.front().upstream->Region();
  std::erase_if(candidates, [&region](const candidate& c) {
    return c.upstream->Region() != region;
  });
  if (candidates.size() > static_cast<std::size_t>(options_.replicas)) {
    candidates.resize(static_cast<std::size_t>(options_.replicas));
  }
}

// A new object is cold anywhere, and what waits behind its run is late, so it
// goes to a free slot. Other objects leave a full upstream only for a nearly
// idle one: a busy one would serve them cold, in the time of several warm
// requests.
upstream_tracker* affinity_selector::PickReplica(
    const std::vector<candidate>& replicas, location_state state,
    double load_limit, monotonic_time now) const {
  const auto first_below = [&](auto begin, double load) -> upstream_tracker* {
    const auto found =
        std::find_if(begin, replicas.end(), [&](const candidate& c) {
          return LoadPerSlot(*c.upstream, now) < load;
        });
    return found == replicas.end() ? nullptr : found->upstream;
  };
  if (state == location_state::kUnknown) {
    upstream_tracker* free = first_below(replicas.begin(), 1);
    if (free != nullptr) return free;
  }
  upstream_tracker* preferred = replicas.front().upstream;
  if (LoadPerSlot(*preferred, now) < load_limit) return preferred;
  return first_below(replicas.begin() + 1, options_.spare_replica_load);
}

void affinity_selector::OnPlacedByPeer(const object_location& placed,
                                       upstream_tracker& upstream) {
  locations_.OnPlacedByPeer(placed);
  upstream.OnObjectPlaced();
  upstream.OnPeerSent(placed.placed_at);
}

// Returns the load limit in requests per slot. Under overload an upstream
// serves as many requests with a short queue as with a long one, but only the
// short queue keeps them within the latency goal.
double affinity_selector::LoadLimit(const selection_request& request) const {
  const duration service_time = service_time_.Median();
  if (service_time <= duration::zero() ||
      request.latency_goal <= duration::zero()) {
    return options_.max_load_limit;
  }
  return std::clamp(ToSeconds(request.latency_goal) / ToSeconds(service_time),
                    options_.min_load_limit, options_.max_load_limit);
}

// Ejections are ignored if more than half of the upstreams that want requests
// are ejected: the cause is then likely elsewhere, and the remaining upstreams
// would be overloaded.
bool affinity_selector::AreManyEjected(monotonic_time now) const {
  std::size_t open = 0;
  std::size_t ejected = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.IsPaused(now)) continue;
    ++open;
    if (upstream.IsEjected(now)) ++ejected;
  }
  return 2 * ejected > open;
}

// Load pattern: more work than the upstreams can serve cold. The VMs of a
// region compute nearly the same rendezvous order, so that each object stays at
// an upstream that is warm for it.
std::variant<selection, selection_error> affinity_selector::Choose(
    const selection_request& request, monotonic_time now) {
  if (upstreams_.empty()) return selection_error::kNoneKnown;
  CountObject(request, now);
  UpdateBalance(now);
  const bool include_ejected = AreManyEjected(now);
  std::vector<candidate> candidates;
  bool allowed = false;
  bool any_paused = false;
  for (auto& [id, upstream] : upstreams_) {
    if (!IsAllowed(upstream, request)) continue;
    allowed = true;
    any_paused = any_paused || IsPausedCandidate(upstream, now);
    if (!IsAvailable(upstream, request, include_ejected, now)) continue;
    const double cost =
        RendezvousCost(request.object, upstream.Hash(),
                       PlacementWeight(upstream, request.large_answer));
    candidates.push_back({cost, &upstream});
  }
  if (!allowed) return selection_error::kNotAllowed;
  std::sort(
      candidates.begin(), candidates.end(),
      [](const candidate& a, const candidate& b) { return a.cost < b.cost; });
  const bool runs_at_paused =
      any_paused && DropPaused(request, candidates, now);
  if (candidates.empty()) {
    return any_paused ? selection_error::kPaused
                      : selection_error::kUnavailable;
  }
  DropRateLimited(candidates, now);
  if (candidates.empty()) return selection_error::kRateLimited;
  const location_state state = PreferLocated(request, candidates, now);
  KeepReplicas(candidates);
  const upstream_tracker* preferred = candidates.front().upstream;
  const double load_limit =
      runs_at_paused ? options_.paused_object_load : LoadLimit(request);
  upstream_tracker* upstream = PickReplica(candidates, state, load_limit, now);
  if (upstream == nullptr) return selection_error::kBusy;
  const bool at_home = upstream->Region() == options_.region;
  ++(at_home ? choices_.own : choices_.other);
  selection chosen{upstream->Record().id,    upstream->Load(now),
                   upstream->Record().slots, upstream->IsCold(now),
                   upstream == preferred,    std::nullopt};
  const bool is_placed =
      state == location_state::kUnknown ||
      (state == location_state::kLeaves && chosen.first_choice);
  if (is_placed && request.has_affinity && IsFirstAttempt(request)) {
    chosen.placed = {OwnKey(request), upstream->Hash(), now};
    locations_.OnPlaced(*chosen.placed);
    upstream->OnObjectPlaced();
  }
  return chosen;
}

}  // namespace citron
