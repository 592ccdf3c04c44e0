#include "citron/node/upstream_paths.h"

#include <algorithm>
#include <string>
#include <utility>

#include "citron/node/peer_exchange.h"

namespace citron {

namespace {

// A relay that failed is left alone for so long.
constexpr duration kRelayBackoff = std::chrono::milliseconds(1000);
// Between two looks for relays while none is needed.
constexpr duration kRelayInterval = std::chrono::milliseconds(250);
constexpr duration kProbeLimit = std::chrono::milliseconds(500);

}  // namespace

upstream_paths::upstream_paths(const node_settings& settings,
                               fleet_state& fleet, event_log& log,
                               metrics& stats)
    : settings_(settings), fleet_(fleet), log_(log), stats_(stats) {}

std::optional<connection_path> upstream_paths::PathTo(
    const upstream_tracker& upstream, bool is_region_bound) const {
  connection_path path;
  path.address = upstream.Record().address;
  if (reach_.IsReachable()) return path;
  const auto relay =
      ChooseRelay(relays_, {settings_.zone, settings_.region, upstream.Hash(),
                            upstream.Region(), is_region_bound});
  const auto listing = relay ? fleet_.Vms().find(*relay) : fleet_.Vms().end();
  if (listing == fleet_.Vms().end() || !listing->second.tunnels) {
    if (kept_ == kept_state::kHanging) return std::nullopt;
    path.can_open = false;
    return path;
  }
  path.relay = *relay;
  path.relay_address = *listing->second.tunnels;
  path.relay_secret = listing->second.secret;
  path.may_use_kept = kept_ == kept_state::kSound;
  return path;
}

bool upstream_paths::IsRelay(const vm_id& vm) const {
  return std::any_of(
      relays_.begin(), relays_.end(),
      [&vm](const relay_candidate& relay) { return relay.vm == vm; });
}

void upstream_paths::OnTunnelEnd(const upstream_id& upstream) {
  const auto found = tunnels_.find(upstream);
  if (found != tunnels_.end() && --found->second == 0) tunnels_.erase(found);
}

void upstream_paths::OnConnectEnd(const upstream_connection& connection,
                                  connect_result result) {
  const connection_path& path = connection.Path();
  const bool relayed = connection.IsRelayed();
  stats_.Count("citron_upstream_connects_total",
               {{"path", relayed ? "relay" : "own"},
                {"result", std::string(ToString(result))}});
  if (!relayed) {
    return OnOwnConnectEnd(connection.Upstream(), connection.CreatedAt(),
                           result);
  }
  if (result != connect_result::kRelayFailed) return;
  const monotonic_time now = MonotonicNow();
  relay_failed_until_[path.relay] = now + kRelayBackoff;
  std::erase_if(relays_, [&path](const relay_candidate& relay) {
    return relay.vm == path.relay;
  });
  log_.Write("reach", "relay_failed", {{"vm", path.relay.Str()}}, now);
}

void upstream_paths::OnOwnConnectEnd(const upstream_id& upstream,
                                     monotonic_time began,
                                     connect_result result) {
  const monotonic_time now = MonotonicNow();
  if (result == connect_result::kConnected) {
    kept_ = kept_state::kSound;
    if (!reach_.IsReachable()) {
      log_.Write("reach", "regained", {{"upstream", upstream.Str()}}, now);
      // Relays that were cut off as well told of failures, too.
      ForgetConnectFailures(reach_.FailingSince());
    }
    return reach_.OnConnected(now);
  }
  // Where new connections hang, old ones do.
  if (result == connect_result::kTimedOut) kept_ = kept_state::kHanging;
  const auto known = static_cast<std::size_t>(fleet_.UpstreamCount());
  if (reach_.OnConnectFailed(upstream, began, known, now)) OnLost(result, now);
}

void upstream_paths::OnLost(connect_result result, monotonic_time now) {
  ForgetConnectFailures(reach_.FailingSince());
  log_.Write("reach", "lost",
             {{"last_failure", std::string(ToString(result))},
              {"failing_ms", ToMilliseconds(now - reach_.FailingSince())},
              {"relays", relays_.size()}},
             now);
}

void upstream_paths::OnConnectionLost(const upstream_id& upstream) {
  kept_ = std::max(kept_, kept_state::kSomeLost);
  reach_.OnUnanswered(upstream, MonotonicNow());
}

void upstream_paths::OnUnanswered(const upstream_id& upstream) {
  kept_ = kept_state::kHanging;
  reach_.OnUnanswered(upstream, MonotonicNow());
}

void upstream_paths::ForgetConnectFailures(monotonic_time since) {
  fleet_.ForEachSelector([since](affinity_selector& selector) {
    selector.ForgetConnectFailures(since);
  });
}

void upstream_paths::Run(upstream_pool& pool, const peer_exchange& peers,
                         monotonic_time now) {
  UpdateRelays(pool, peers, now);
  const auto known = static_cast<std::size_t>(fleet_.UpstreamCount());
  if (reach_.WantsProbes(known, now)) Probe(pool, now);
}

void upstream_paths::UpdateRelays(upstream_pool& pool,
                                  const peer_exchange& peers,
                                  monotonic_time now) {
  if (reach_.IsReachable() && now < look_for_relays_at_) return;
  look_for_relays_at_ = now + kRelayInterval;
  std::vector<relay_candidate> relays;
  for (const auto& [vm, listing] : fleet_.Vms()) {
    if (vm == settings_.vm || !listing.tunnels) continue;
    const bool is_sound = peers.IsHeard(vm, now) && peers.ReachesUpstreams(vm);
    const auto failed = relay_failed_until_.find(vm);
    const bool failed_lately =
        failed != relay_failed_until_.end() && now < failed->second;
    if (is_sound && !failed_lately) {
      relays.push_back({vm, listing.zone, listing.region, peers.IsReady(vm)});
    }
  }
  std::erase_if(relay_failed_until_,
                [now](const auto& failed) { return now >= failed.second; });
  if (!reach_.IsReachable()) LeaveLostRelays(relays, pool, peers);
  relays_ = std::move(relays);
}

// Both lists are in the order of the VMs' names.
void upstream_paths::LeaveLostRelays(const std::vector<relay_candidate>& found,
                                     upstream_pool& pool,
                                     const peer_exchange& peers) {
  for (const relay_candidate& before : relays_) {
    const auto place =
        std::lower_bound(found.begin(), found.end(), before.vm,
                         [](const relay_candidate& relay, const vm_id& vm) {
                           return relay.vm < vm;
                         });
    const bool is_left = place != found.end() && place->vm == before.vm &&
                         place->is_ready >= before.is_ready;
    if (is_left) continue;
    pool.CloseIdle(before.vm);
    // It may have told of failures that were its own.
    if (!peers.ReachesUpstreams(before.vm)) {
      ForgetConnectFailures(reach_.FailingSince());
    }
  }
}

void upstream_paths::Probe(upstream_pool& pool, monotonic_time now) {
  std::vector<const upstream_tracker*> known;
  fleet_.ForEachSelector([&known](affinity_selector& selector) {
    selector.ForEach([&known](upstream_tracker& upstream) {
      if (!upstream.IsLeaving()) known.push_back(&upstream);
    });
  });
  std::stable_partition(known.begin(), known.end(),
                        [this](const upstream_tracker* upstream) {
                          return upstream->Region() == settings_.region;
                        });
  std::vector<upstream_id> candidates;
  for (const upstream_tracker* upstream : known) {
    candidates.push_back(upstream->Record().id);
  }
  for (const upstream_id& id : reach_.TakeProbes(candidates, now)) {
    const upstream_tracker* upstream = fleet_.FindUpstream(id);
    connection_path path;
    path.address = upstream->Record().address;
    pool.Probe(id, path, kProbeLimit);
  }
}

}  // namespace citron
