#ifndef CITRON_POLICY_EXPERIMENT_REGION_SIMULATION_H_
#define CITRON_POLICY_EXPERIMENT_REGION_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "citron/policy/placement.h"
#include "citron/policy/retry_budget.h"
#include "citron/policy/service_scheduler.h"
#include "policy/event_loop.h"

namespace citron {

// How an entry VM picks the zone of a request: placement, or what it is
// compared with.
class zone_choice {
 public:
  virtual ~zone_choice() = default;
  virtual std::optional<zone_id> Choose(const placement_request& request,
                                        monotonic_time now) = 0;
  virtual void OnReport(const zone_report&) {}
  virtual void OnSent(const zone_id&, monotonic_time) {}
  virtual void OnDone(const zone_id&, monotonic_time) {}
  virtual void OnRefused(const zone_id&, monotonic_time) {}
};

using zone_choice_maker = std::function<std::unique_ptr<zone_choice>(
    const zone_id& own, std::uint64_t seed)>;

std::unique_ptr<zone_choice> MakePlacement(const zone_id& own,
                                           std::uint64_t seed);
std::unique_ptr<zone_choice> MakeOwnZoneOnly(const zone_id& own,
                                             std::uint64_t seed);
// The zone with the least wait by its last report.
std::unique_ptr<zone_choice> MakeBestReport(const zone_id& own,
                                            std::uint64_t seed);

struct zone_load {
  int servers = 4;
  double rate_per_s = 0;
};

struct region_result {
  std::vector<int> offered;  // By the callers' zone.
  std::vector<int> good;
  std::vector<double> latency_ms;
  int refused = 0;
  int late = 0;
  int asked = 0;  // Of owners.
};

// One region's zones, each with an owner and four entry VMs, played event by
// event. Reports come every second, 200 ms late.
class region_simulation {
 public:
  region_simulation(const std::vector<zone_load>& zones,
                    const zone_choice_maker& maker, std::uint64_t seed);

  region_result Run(duration time, duration skip);

 private:
  struct zone_state {
    zone_id id;
    zone_load load;
    service_scheduler scheduler;
  };
  struct entry_state {
    std::unique_ptr<zone_choice> choice;
    retry_budget retries{0.1};
  };
  struct request_state {
    std::size_t home = 0;
    std::size_t entry = 0;
    std::size_t zone = 0;
    duration arrived{};
    duration service{};
    placement_request place;
  };

  monotonic_time Now() const { return loop_.Now(); }
  double Exponential();
  void NextArrival(std::size_t zone);
  void Arrive(std::size_t zone);
  void Ask(request_state request);
  void Do(std::size_t zone, const service_scheduler::actions& actions);
  void Start(std::size_t zone, const request_id& id);
  void End(const request_id& id, bool in_time);
  void Refused(const request_id& id);
  void Report();
  bool Counts(const request_state& r) const { return r.arrived >= skip_; }

  std::vector<zone_state> zones_;
  std::vector<entry_state> entries_;
  std::unordered_map<request_id, request_state> requests_;
  event_loop loop_;
  std::uint64_t next_request_ = 0;
  pcg32 random_;
  duration end_{};
  duration skip_{};
  region_result result_;
};

}  // namespace citron

#endif  // CITRON_POLICY_EXPERIMENT_REGION_SIMULATION_H_
