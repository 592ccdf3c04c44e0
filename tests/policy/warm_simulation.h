#ifndef TESTS_POLICY_WARM_SIMULATION_H_
#define TESTS_POLICY_WARM_SIMULATION_H_

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/digest.h"
#include "citron/policy/affinity_selector.h"

namespace citron {

// A zone of a simulated deployment: its upstreams, and callers whose objects
// belong to the zone's region.
struct warm_zone {
  std::string name;
  std::string region;
  int upstreams = 4;
  double requests_per_s = 30;
};

struct warm_plan {
  std::vector<warm_zone> zones;
  int slots = 4;
  int queue_limit = 12;  // Waiting requests at one upstream; more are rejected.
  int warm_capacity = 26;  // Objects that one upstream served most recently.
  int objects = 42;        // Objects of each region.
  double cold_service_time_s = 0.64;  // Mean for a cold object.
  double warm_time_fraction = 0.3;    // Of the cold service time.
  double service_time_spread = 0.15;  // Relative standard deviation.
  double latency_goal_s = 0.5;
  bool passes_latency_goal = true;  // Pass the goal to the selectors.
  // VMs of a region tell each other where they place objects.
  bool tells_placements = true;
  double tell_loads_each_s = 0;  // And what they hear of loads; 0: never.
  // A rejected request is tried at so many upstreams.
  int attempts = 1;
  // Full upstreams ask for a pause of this length; 0: of none.
  double pause_s = 0;
  // Of the first zone, so many upstreams take so many times as long meanwhile.
  int slow_upstreams = 0;
  double slow_factor = 1;
  double slow_from_s = 0;
  double slow_until_s = 0;
  double cross_region_delay_s = 0.035;  // One way.
  double seconds = 40;
  double count_from_s = 20;  // Earlier requests are not counted.
  std::string closed_zone;   // Closed from closed_at_s on; empty: none.
  double closed_at_s = 10;
};

struct warm_result {
  int in_goal = 0;
  int late = 0;
  int rejected = 0;
  int cold_runs = 0;
  int from_other_regions = 0;  // Requests that were sent to another region.
  int lost_round_trips = 0;    // Rejections by upstreams.

  int RequestCount() const { return in_goal + late + rejected; }
  double InGoalFraction() const {
    return static_cast<double>(in_goal) / std::max(1, RequestCount());
  }
};

// Simulates upstreams that serve recently served objects faster, in zones of
// uneven size. Each zone has one VM with its own selector. The network is a
// fixed delay within a region and another between regions. VMs learn the load
// of upstreams from answers and, if the plan says so, from each other.
class warm_simulation {
 public:
  warm_simulation(warm_plan plan, const selector_options& options,
                  std::uint64_t seed)
      : plan_(std::move(plan)), random_(seed) {
    for (const warm_zone& zone : plan_.zones) AddZone(zone, options);
    for (vm& v : vms_) AnnounceUpstreams(v);
  }

  warm_result Run() {
    for (std::size_t i = 0; i < vms_.size(); ++i) ScheduleArrival(i);
    ScheduleAt(plan_.closed_at_s, [this] { CloseZone(); });
    if (plan_.tell_loads_each_s > 0) TellLoads();
    while (!events_.empty() && events_.top().at < plan_.seconds) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return result_;
  }

 private:
  struct event {
    double at = 0;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    // Reversed, so that the priority queue returns the earliest event first.
    bool operator<(const event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  struct request {
    std::size_t vm = 0;
    std::uint64_t object = 0;
    double arrived = 0;
    bool expected_free_slot = false;
    std::vector<upstream_id> tried;
  };
  struct upstream {
    upstream_record record;
    region_id region;
    int running = 0;
    std::deque<request> waiting;
    std::list<std::uint64_t> warm;  // Most recent first.
    bool may_be_slow = false;
  };
  struct vm {
    warm_zone zone;
    std::unique_ptr<affinity_selector> selector;
    std::map<upstream_id, int> heard_loads;
  };
  static constexpr double kPlacementDelayS = 0.012;

  monotonic_time Now() const {
    return monotonic_time(std::chrono::hours(1)) + FromSeconds(now_);
  }
  void ScheduleAt(double at, std::function<void()> run) {
    events_.push({at, ++sequence_, std::move(run)});
  }
  void AddZone(const warm_zone& zone, selector_options options) {
    for (int i = 0; i < zone.upstreams; ++i) {
      upstream added;
      added.record.id = upstream_id(fmt::format("{}-{}", zone.name, i));
      added.record.zone = zone_id(zone.name);
      added.record.slots = plan_.slots;
      added.region = region_id(zone.region);
      added.may_be_slow = vms_.empty() && i < plan_.slow_upstreams;
      upstreams_.emplace(added.record.id, std::move(added));
    }
    options.zone = zone_id(zone.name);
    options.region = region_id(zone.region);
    vms_.push_back({zone, std::make_unique<affinity_selector>(options)});
  }
  void AnnounceUpstreams(vm& v) {
    for (const auto& [id, u] : upstreams_) {
      v.selector->SetUpstream(u.record, u.region, Now());
    }
  }
  void CloseZone() {
    if (plan_.closed_zone.empty()) return;
    for (vm& v : vms_) {
      v.selector->SetClosedZones({zone_id(plan_.closed_zone)});
    }
  }
  void ScheduleArrival(std::size_t index) {
    std::exponential_distribution<double> gap(vms_[index].zone.requests_per_s);
    ScheduleAt(now_ + gap(random_), [this, index] {
      OnRequest(index);
      ScheduleArrival(index);
    });
  }

  template <typename action>
  void ForEachNeighbour(const vm& teller, const action& act) {
    for (vm& v : vms_) {
      if (&v != &teller && v.zone.region == teller.zone.region) act(v);
    }
  }
  void TellPlacement(const vm& teller, const selection& chosen) {
    ScheduleAt(now_ + kPlacementDelayS, [this, &teller, chosen] {
      ForEachNeighbour(teller, [&](vm& v) {
        object_location placed = *chosen.placed;
        placed.placed_at = Now();
        v.selector->OnPlacedByPeer(placed, *v.selector->Find(chosen.upstream));
      });
    });
  }
  void TellLoads() {
    for (vm& teller : vms_) {
      ForEachNeighbour(teller, [&](vm& v) {
        for (const auto& [id, requests] : teller.heard_loads) {
          v.selector->Find(id)->OnPeerLoadReport(requests, Now());
        }
      });
      teller.heard_loads.clear();
    }
    ScheduleAt(now_ + plan_.tell_loads_each_s, [this] { TellLoads(); });
  }

  void OnRequest(std::size_t index) {
    vm& v = vms_[index];
    const auto number = random_(static_cast<std::uint32_t>(plan_.objects));
    request r{index, HashBytes(fmt::format("{} {}", v.zone.region, number)),
              now_};
    Place(std::move(r));
  }
  void Place(request r) {
    vm& v = vms_[r.vm];
    selection_request choice_request;
    choice_request.object = r.object;
    choice_request.excluded_upstreams = &r.tried;
    if (plan_.passes_latency_goal)
      choice_request.latency_goal = FromSeconds(plan_.latency_goal_s);
    const auto chosen = v.selector->Choose(choice_request, Now());
    const auto* selected = std::get_if<selection>(&chosen);
    if (selected == nullptr) return Count(r, result_.rejected);
    if (selected->placed && plan_.tells_placements) TellPlacement(v, *selected);
    r.expected_free_slot = selected->load < selected->slots;
    upstream& u = upstreams_.at(selected->upstream);
    r.tried.push_back(u.record.id);
    v.selector->Find(u.record.id)->OnSent(Now());
    if (u.region.Str() != v.zone.region) Count(r, result_.from_other_regions);
    ScheduleAt(now_ + NetworkDelay(v, u),
               [this, &u, r] { OnArrivalAtUpstream(u, r); });
  }
  double NetworkDelay(const vm& v, const upstream& u) const {
    return u.region.Str() == v.zone.region ? 0.0005
                                           : plan_.cross_region_delay_s;
  }
  void OnArrivalAtUpstream(upstream& u, const request& r) {
    if (u.running < plan_.slots) return Start(u, r);
    if (static_cast<int>(u.waiting.size()) < plan_.queue_limit) {
      u.waiting.push_back(r);
      return;
    }
    const monotonic_time until = Now() + FromSeconds(plan_.pause_s);
    ScheduleAt(now_ + NetworkDelay(vms_[r.vm], u),
               [this, &u, r, until] { OnRejected(u, r, until); });
  }
  void OnRejected(const upstream& u, const request& r, monotonic_time until) {
    Count(r, result_.lost_round_trips);
    const bool pauses = plan_.pause_s > 0;
    if (pauses) Find(u, r).OnPauseRequested(until, Now());
    Find(u, r).OnDone(
        pauses ? upstream_outcome::kPaused : upstream_outcome::kShedNotRun,
        Now());
    if (static_cast<int>(r.tried.size()) >= plan_.attempts) {
      return Count(r, result_.rejected);
    }
    Place(r);
  }
  void Start(upstream& u, const request& r) {
    ++u.running;
    const auto warm_entry = std::find(u.warm.begin(), u.warm.end(), r.object);
    const bool is_warm = warm_entry != u.warm.end();
    if (is_warm) u.warm.erase(warm_entry);
    u.warm.push_front(r.object);
    if (u.warm.size() > static_cast<std::size_t>(plan_.warm_capacity)) {
      u.warm.pop_back();
    }
    if (!is_warm) Count(r, result_.cold_runs);
    std::normal_distribution<double> jitter(1, plan_.service_time_spread);
    const bool is_slow =
        u.may_be_slow && now_ >= plan_.slow_from_s && now_ < plan_.slow_until_s;
    const double service_time_s = plan_.cold_service_time_s *
                                  (is_slow ? plan_.slow_factor : 1) *
                                  (is_warm ? plan_.warm_time_fraction : 1) *
                                  std::max(0.3, jitter(random_));
    ScheduleAt(now_ + service_time_s, [this, &u, r] { OnServiceDone(u, r); });
  }
  void OnServiceDone(upstream& u, const request& r) {
    --u.running;
    if (!u.waiting.empty()) {
      const request next = u.waiting.front();
      u.waiting.pop_front();
      Start(u, next);
    }
    const load_report report{u.running, static_cast<int>(u.waiting.size()),
                             plan_.slots};
    ScheduleAt(now_ + NetworkDelay(vms_[r.vm], u), [this, &u, r, report] {
      upstream_tracker& standing = Find(u, r);
      standing.OnReport(report, Now());
      vms_[r.vm].heard_loads[u.record.id] = report.running + report.waiting;
      standing.OnDone(upstream_outcome::kAnswered, Now());
      if (r.expected_free_slot) {
        const double observed_service_time_s =
            now_ - r.arrived - 2 * NetworkDelay(vms_[r.vm], u);
        vms_[r.vm].selector->RecordServiceTime(
            FromSeconds(observed_service_time_s));
      }
      const bool in_goal = now_ - r.arrived <= plan_.latency_goal_s;
      Count(r, in_goal ? result_.in_goal : result_.late);
    });
  }
  upstream_tracker& Find(const upstream& u, const request& r) {
    return *vms_[r.vm].selector->Find(u.record.id);
  }
  void Count(const request& r, int& counter) const {
    if (r.arrived >= plan_.count_from_s) ++counter;
  }

  warm_plan plan_;
  pcg32 random_;
  double now_ = 0;
  std::uint64_t sequence_ = 0;
  std::priority_queue<event> events_;
  std::map<upstream_id, upstream> upstreams_;
  std::vector<vm> vms_;
  warm_result result_;
};

}  // namespace citron

#endif  // TESTS_POLICY_WARM_SIMULATION_H_
