#ifndef CITRON_POLICY_AFFINITY_SELECTOR_H_
#define CITRON_POLICY_AFFINITY_SELECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/object_locations.h"
#include "citron/policy/region_balance.h"
#include "citron/policy/service_time_estimate.h"
#include "citron/policy/upstream_tracker.h"

namespace citron {

struct selector_options {
  zone_id zone;  // This VM's zone.
  region_id region;
  // Least weight of the upstreams in this VM's region relative to other
  // regions; region_balance raises it. All zones of a region have equal weight,
  // so that the VMs of a region place an object at the same upstream.
  double same_region_weight = 4;
  double max_same_region_weight = 64;
  // Factor by which another region must be preferred before an object moves
  // there; towards this VM's region it moves without one.
  double region_hysteresis = 3;
  // Weights of upstreams in this VM's zone and region for large answers, which
  // are served nearby: a large answer that crosses zones costs more than a cold
  // run. In this VM's zone both weights apply.
  double large_answer_zone_weight = 64;
  double large_answer_region_weight = 8;
  // Bounds of the requests per slot up to which the preferred upstream of an
  // object takes requests. The limit is the latency goal divided by the median
  // service time, within these bounds, or `max_load_limit` if either is
  // unknown. Upstreams queue three requests per slot and reject the rest.
  double min_load_limit = 2;
  double max_load_limit = 3.5;
  // Number of upstreams that share an object. A new object goes to the first of
  // them with a free slot. Once the preferred one reaches its limit, another
  // one takes requests while its load per slot is below `spare_replica_load`.
  int replicas = 2;
  double spare_replica_load = 0.5;
  // Load per slot below which an upstream takes the objects of one that has
  // asked for a pause: they run cold, so that what waits behind them is late.
  double paused_object_load = 1;
  // Connect timeouts to upstreams of a zone, without a connection in between,
  // after which the zone counts as unreachable.
  int path_failure_limit = 2;
  // Time for which an unreachable zone gets no requests.
  duration path_backoff = FromMilliseconds(1000);
  weight_control_options weights;
};

// Requirements of a request for the choice of its upstream.
struct selection_request {
  std::uint64_t object = 0;  // Equal for all requests of one object.
  bool has_affinity = true;  // Others may ask for the same object.
  bool large_answer = false;
  duration latency_goal{};  // Zero: no goal.
  const std::set<region_id>* route_allowed_regions = nullptr;
  const std::set<region_id>* workspace_allowed_regions = nullptr;
  const std::vector<upstream_id>* excluded_upstreams = nullptr;
};

enum class selection_error {
  kNoneKnown,    // No upstream of the service is announced.
  kNotAllowed,   // No upstream is in a region where the request may run.
  kUnavailable,  // No allowed upstream can take the request now.
  kBusy,         // No replica of the object has room for the request.
  kRateLimited,  // All upstreams that can take it are at their rate limits.
  kPaused,       // Upstreams want no requests, and no other can take it.
};

std::string_view ToString(selection_error error);

// The chosen upstream and what the choice was based on, for the log.
struct selection {
  upstream_id upstream;
  int load = 0;
  int slots = 0;
  bool cold = false;
  bool first_choice = true;
  // Set if the object runs there from now on.
  std::optional<object_location> placed;
};

// Requests for which an upstream was chosen, by its region.
struct region_choices {
  std::uint64_t own = 0;
  std::uint64_t other = 0;
};

// Chooses the upstream for each request of one service. The VMs of a region
// send an object to the same few upstreams, by its hash and by where they tell
// each other that they placed it; for large answers the VMs of a zone do.
class affinity_selector {
 public:
  explicit affinity_selector(const selector_options& options);

  void SetUpstream(const upstream_record& record, const region_id& region,
                   monotonic_time now);
  // Takes the upstream out of the choice, but keeps what is known of it for
  // a while: its entry may have lapsed while it lives.
  void RemoveUpstream(const upstream_id& id, monotonic_time now);
  // Returns null if the upstream is not announced.
  upstream_tracker* Find(const upstream_id& id);
  // The same, but also finds one whose announcement has lapsed.
  upstream_tracker* FindKnown(const upstream_id& id);
  void ForEach(const std::function<void(upstream_tracker&)>& visit);
  void SetClosedZones(const std::set<zone_id>& zones);

  std::variant<selection, selection_error> Choose(
      const selection_request& request, monotonic_time now);

  // Returns whether a request for which the upstream was chosen may still be
  // sent there.
  bool MaySendTo(const upstream_id& id, monotonic_time now);
  // Returns the earliest end of the pauses that keep the request from being
  // sent; `now` if there are none.
  monotonic_time EarliestPauseEnd(const selection_request& request,
                                  monotonic_time now) const;

  // Takes where another VM of the region placed an object.
  void OnPlacedByPeer(const object_location& placed,
                      upstream_tracker& upstream);
  const object_locations& Locations() const { return locations_; }

  // Records the service time of a request for which this VM counted a free slot
  // at the upstream, without the network delay in either direction.
  void RecordServiceTime(duration service_time) {
    service_time_.AddSample(service_time);
  }

  // Records the result of a connection attempt to an upstream in `zone`.
  void OnConnected(const zone_id& zone);
  void OnConnectTimeout(const zone_id& zone, monotonic_time now);

  // Takes back what connect failures at or after `since` showed.
  void ForgetConnectFailures(monotonic_time since);

  std::size_t Count() const { return upstreams_.size(); }
  const region_balance& RegionBalance() const { return balance_; }
  double LeastRegionWeight() const { return options_.same_region_weight; }
  // Returns the choices since the last call.
  region_choices TakeRegionChoices() { return std::exchange(choices_, {}); }

 private:
  struct candidate {
    double cost = 0;
    upstream_tracker* upstream = nullptr;
  };
  enum class location_state {
    kUnknown,  // Not placed yet, or at an upstream that is gone.
    kLocated,  // At the preferred candidate.
    kLeaves,   // Moves to the preferred candidate.
    kAway,     // At an upstream that can't take the request now.
  };
  // Where the object of a request runs, and that upstream, if a candidate.
  struct located_object {
    std::optional<object_location> location;
    const candidate* upstream = nullptr;
  };
  struct lapsed_upstream {
    upstream_tracker tracker;
    monotonic_time forget_at;
  };
  struct path_state {
    int failures = 0;
    monotonic_time backoff_until{};
  };

  bool IsAllowed(const upstream_tracker& upstream,
                 const selection_request& request) const;
  bool IsAvailable(const upstream_tracker& upstream,
                   const selection_request& request, bool include_ejected,
                   monotonic_time now) const;
  bool AreManyEjected(monotonic_time now) const;
  bool IsPausedCandidate(const upstream_tracker& upstream,
                         monotonic_time now) const;
  // Otherwise keeps their order.
  static void PutRegionFirst(const region_id& region,
                             std::vector<candidate>& candidates);
  // Returns whether the object runs at one of the dropped upstreams.
  bool DropPaused(const selection_request& request,
                  std::vector<candidate>& candidates, monotonic_time now);
  void DropRateLimited(std::vector<candidate>& candidates, monotonic_time now);
  located_object Locate(const selection_request& request,
                        const std::vector<candidate>& candidates);
  // Returns null if the object is not known or its upstream not a candidate.
  const candidate* FindLocated(const std::optional<object_location>& location,
                               const std::vector<candidate>& candidates) const;
  // Returns whether the object has to leave the upstream that runs it.
  bool HasToLeave(const candidate& located, monotonic_time placed_at,
                  const selection_request& request,
                  const std::vector<candidate>& candidates,
                  monotonic_time now) const;
  bool PrefersOtherRegion(const candidate& located,
                          const std::vector<candidate>& candidates) const;
  // Moves the upstream that runs the object to the front.
  location_state PreferLocated(const selection_request& request,
                               std::vector<candidate>& candidates,
                               monotonic_time now);
  // Returns whether an upstream may come back as a candidate.
  bool IsPresent(std::uint64_t hash) const;
  void KeepReplicas(std::vector<candidate>& candidates) const;
  // Returns null if no replica has room.
  upstream_tracker* PickReplica(const std::vector<candidate>& replicas,
                                location_state state, double load_limit,
                                monotonic_time now) const;
  std::uint64_t SharedKey(const selection_request& request) const;
  std::uint64_t OwnKey(const selection_request& request) const;
  double LoadLimit(const selection_request& request) const;
  double PlacementWeight(const upstream_tracker& upstream,
                         bool large_answer) const;
  void CountObject(const selection_request& request, monotonic_time now);
  // Returns whether the upstream counts as room of its region.
  bool IsUsable(const upstream_tracker& upstream, monotonic_time now) const;
  // Moves the weight of this VM's region, if an update is due.
  void UpdateBalance(monotonic_time now);

  selector_options options_;
  std::map<upstream_id, upstream_tracker> upstreams_;
  std::map<upstream_id, lapsed_upstream> lapsed_;
  std::set<zone_id> closed_zones_;
  std::map<zone_id, path_state> paths_;
  service_time_estimate service_time_;
  region_balance balance_;
  object_locations locations_;
  monotonic_time update_balance_at_{};
  region_choices choices_;
};

}  // namespace citron

#endif  // CITRON_POLICY_AFFINITY_SELECTOR_H_
