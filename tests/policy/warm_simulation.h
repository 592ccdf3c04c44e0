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
  int queue = 12;        // What waits at one upstream; more is turned away.
  int keeps_warm = 26;   // Objects that one upstream had last.
  int objects = 42;      // Of each region.
  double work_s = 0.64;  // Of a cold object.
  double warm_part = 0.3;
  double spread = 0.15;  // Of the work, as a part of it.
  double goal_s = 0.5;
  bool tells_goal = true;  // To the selectors.
  double between_regions_s = 0.035;
  double seconds = 40;
  double first_counted_s = 20;
  std::string closed_zone;  // From closed_at_s on.
  double closed_at_s = 10;
};

struct warm_result {
  int in_goal = 0;
  int late = 0;
  int refused = 0;
  int cold_runs = 0;

  int Asked() const { return in_goal + late + refused; }
  double InGoal() const {
    return static_cast<double>(in_goal) / std::max(1, Asked());
  }
};

// Upstreams that serve objects faster which they had lately, in zones of
// uneven size, behind one VM for each zone that chooses by a selector of its
// own. No network: what VMs know of upstreams is what came back with answers.
class warm_simulation {
 public:
  warm_simulation(warm_plan plan, const selector_options& options,
                  std::uint64_t seed)
      : plan_(std::move(plan)), random_(seed) {
    for (const warm_zone& zone : plan_.zones) AddZone(zone, options);
    for (vm& v : vms_) Announce(v);
  }

  warm_result Run() {
    for (std::size_t i = 0; i < vms_.size(); ++i) ScheduleArrival(i);
    At(plan_.closed_at_s, [this] { CloseZone(); });
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
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct request {
    std::size_t vm = 0;
    std::uint64_t object = 0;
    double arrived = 0;
    bool found_free_slot = false;
  };
  struct upstream {
    upstream_record record;
    region_id region;
    int running = 0;
    std::deque<request> waiting;
    std::list<std::uint64_t> warm;  // The last first.
  };
  struct vm {
    warm_zone zone;
    std::unique_ptr<affinity_selector> selector;
  };

  monotonic_time Time() const {
    return monotonic_time(std::chrono::hours(1)) + FromSeconds(now_);
  }
  void At(double at, std::function<void()> run) {
    events_.push({at, ++order_, std::move(run)});
  }
  void AddZone(const warm_zone& zone, selector_options options) {
    for (int i = 0; i < zone.upstreams; ++i) {
      upstream added;
      added.record.id = upstream_id(fmt::format("{}-{}", zone.name, i));
      added.record.zone = zone_id(zone.name);
      added.record.slots = plan_.slots;
      added.region = region_id(zone.region);
      upstreams_.emplace(added.record.id, std::move(added));
    }
    options.zone = zone_id(zone.name);
    options.region = region_id(zone.region);
    vms_.push_back({zone, std::make_unique<affinity_selector>(options)});
  }
  void Announce(vm& v) {
    for (const auto& [id, u] : upstreams_) {
      v.selector->SetUpstream(u.record, u.region, Time());
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
    At(now_ + gap(random_), [this, index] {
      OnArrival(index);
      ScheduleArrival(index);
    });
  }

  void OnArrival(std::size_t index) {
    vm& v = vms_[index];
    const auto number = random_(static_cast<std::uint32_t>(plan_.objects));
    request r{index, HashBytes(fmt::format("{} {}", v.zone.region, number)),
              now_};
    selection_request asked;
    asked.object = r.object;
    if (plan_.tells_goal) asked.latency_goal = FromSeconds(plan_.goal_s);
    const auto chosen = v.selector->Choose(asked, Time());
    const auto* selected = std::get_if<selection>(&chosen);
    if (selected == nullptr) return Count(r, result_.refused);
    r.found_free_slot = selected->load < selected->slots;
    upstream& u = upstreams_.at(selected->upstream);
    v.selector->Find(u.record.id)->OnSent(Time());
    At(now_ + Way(v, u), [this, &u, r] { OnReached(u, r); });
  }
  double Way(const vm& v, const upstream& u) const {
    return u.region.Str() == v.zone.region ? 0.0005 : plan_.between_regions_s;
  }
  void OnReached(upstream& u, const request& r) {
    if (u.running < plan_.slots) return Start(u, r);
    if (static_cast<int>(u.waiting.size()) < plan_.queue) {
      u.waiting.push_back(r);
      return;
    }
    At(now_ + Way(vms_[r.vm], u), [this, &u, r] {
      Find(u, r).OnDone(upstream_outcome::kShedNotRun, Time());
      Count(r, result_.refused);
    });
  }
  void Start(upstream& u, const request& r) {
    ++u.running;
    const auto known = std::find(u.warm.begin(), u.warm.end(), r.object);
    const bool is_warm = known != u.warm.end();
    if (is_warm) u.warm.erase(known);
    u.warm.push_front(r.object);
    if (u.warm.size() > static_cast<std::size_t>(plan_.keeps_warm)) {
      u.warm.pop_back();
    }
    if (!is_warm) Count(r, result_.cold_runs);
    std::normal_distribution<double> jitter(1, plan_.spread);
    const double work = plan_.work_s * (is_warm ? plan_.warm_part : 1) *
                        std::max(0.3, jitter(random_));
    At(now_ + work, [this, &u, r] { OnWorkDone(u, r); });
  }
  void OnWorkDone(upstream& u, const request& r) {
    --u.running;
    if (!u.waiting.empty()) {
      const request next = u.waiting.front();
      u.waiting.pop_front();
      Start(u, next);
    }
    const load_report report{u.running, static_cast<int>(u.waiting.size()),
                             plan_.slots};
    At(now_ + Way(vms_[r.vm], u), [this, &u, r, report] {
      upstream_standing& standing = Find(u, r);
      standing.OnReport(report, Time());
      standing.OnDone(upstream_outcome::kAnswered, Time());
      if (r.found_free_slot) {
        const double took = now_ - r.arrived - 2 * Way(vms_[r.vm], u);
        vms_[r.vm].selector->OnServed(FromSeconds(took));
      }
      const bool in_goal = now_ - r.arrived <= plan_.goal_s;
      Count(r, in_goal ? result_.in_goal : result_.late);
    });
  }
  upstream_standing& Find(const upstream& u, const request& r) {
    return *vms_[r.vm].selector->Find(u.record.id);
  }
  void Count(const request& r, int& counter) const {
    if (r.arrived >= plan_.first_counted_s) ++counter;
  }

  warm_plan plan_;
  pcg32 random_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::map<upstream_id, upstream> upstreams_;
  std::vector<vm> vms_;
  warm_result result_;
};

}  // namespace citron

#endif  // TESTS_POLICY_WARM_SIMULATION_H_
