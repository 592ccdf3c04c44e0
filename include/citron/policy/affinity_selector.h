#ifndef CITRON_POLICY_AFFINITY_SELECTOR_H_
#define CITRON_POLICY_AFFINITY_SELECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/service_time_estimate.h"
#include "citron/policy/upstream_standing.h"

namespace citron {

struct selector_options {
  zone_id zone;  // Of this VM.
  region_id region;
  // Weight of upstreams of the own region against others. Zones of a region
  // count alike, so that their VMs keep an object at one upstream.
  double region_weight = 4;
  // Large answers come from near, since each of them that crosses a zone costs
  // more than a first run.
  double large_zone_weight = 64;
  double large_region_weight = 8;
  // Requests there for each slot up to which the first upstream of an object
  // takes it: as many as are answered within the goal by the measured service
  // time, between these two. Upstreams queue three for each slot and turn away
  // the rest.
  double least_load_limit = 2;
  double load_limit = 3.5;
  // Above that, one of so many upstreams that has less than this.
  int replicas = 2;
  double spare_load = 0.5;
  // Upstreams of one zone that can't be connected to before the zone counts as
  // out of reach, and for how long.
  int path_failures = 2;
  duration path_avoidance = FromMilliseconds(1000);
  weight_control_options weights;
};

// What a request asks of an upstream.
struct selection_request {
  std::uint64_t object = 0;  // Requests of one object have the same.
  bool large_answer = false;
  duration latency_goal{};  // Zero: none.
  const std::set<region_id>* route_homes = nullptr;
  const std::set<region_id>* workspace_homes = nullptr;
  const std::vector<upstream_id>* tried = nullptr;
};

enum class selection_error {
  kNoneKnown,    // No upstream of the service is announced.
  kNotAllowed,   // None stands where the request may run.
  kUnavailable,  // All that may run it fail, are cold or were tried.
  kBusy,         // Those that it would be sent to are full.
};

std::string_view ToString(selection_error error);

// What decided, for the log.
struct selection {
  upstream_id upstream;
  int load = 0;
  int slots = 0;
  bool cold = false;
  bool first_choice = true;
};

// Chooses the upstream for each request of one service, so that all VMs send an
// object to the same few upstreams without talking to each other.
class affinity_selector {
 public:
  explicit affinity_selector(const selector_options& options);

  void SetUpstream(const upstream_record& record, const region_id& region,
                   monotonic_time now);
  void RemoveUpstream(const upstream_id& id);
  // Null if it isn't known any more.
  upstream_standing* Find(const upstream_id& id);
  void ForEach(const std::function<void(upstream_standing&)>& visit);
  void SetClosedZones(const std::set<zone_id>& zones);

  std::variant<selection, selection_error> Choose(
      const selection_request& request, monotonic_time now) const;

  // An upstream with a free slot answered after that time, the way there and
  // back not counted.
  void OnServed(duration took) { service_time_.OnServed(took); }

  // A connection stood, or didn't within its time.
  void OnConnected(const zone_id& zone);
  void OnConnectTimeout(const zone_id& zone, monotonic_time now);

  std::size_t Count() const { return upstreams_.size(); }

 private:
  struct candidate {
    double cost = 0;
    const upstream_standing* upstream = nullptr;
  };
  struct path_state {
    int failures = 0;
    monotonic_time avoided_until{};
  };

  bool IsAllowed(const upstream_standing& upstream,
                 const selection_request& request) const;
  bool IsAvailable(const upstream_standing& upstream,
                   const selection_request& request, bool spare_ejected,
                   monotonic_time now) const;
  void KeepReplicas(std::vector<candidate>& candidates) const;
  // Null if there is none.
  const upstream_standing* SpareReplica(const std::vector<candidate>& replicas,
                                        monotonic_time now) const;
  double LoadLimit(const selection_request& request) const;
  double WeightOf(const upstream_standing& upstream, bool large_answer) const;

  selector_options options_;
  std::map<upstream_id, upstream_standing> upstreams_;
  std::set<zone_id> closed_zones_;
  std::map<zone_id, path_state> paths_;
  service_time_estimate service_time_;
};

}  // namespace citron

#endif  // CITRON_POLICY_AFFINITY_SELECTOR_H_
