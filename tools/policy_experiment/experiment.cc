#include "experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>

#include "baselines.h"
#include "policy/zone_simulation.h"
#include "region_simulation.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Four servers of 4 slots, 40 ms a look-up.
constexpr double kCapacityPerS = 400;
constexpr duration kTime = std::chrono::seconds(40);
constexpr duration kSkip = std::chrono::seconds(5);

// Two entry VMs to a zone, where each decides by itself.
constexpr int kDeciders = 2;

using owners = std::vector<std::unique_ptr<dispatch_policy>>;
using upstreams = std::vector<simulated_upstream>;
using loads = std::vector<simulated_load>;
using decision = std::function<owners(const upstreams&, std::uint64_t seed)>;

struct named_decision {
  std::string name;
  decision make;
};

struct scenario {
  std::string name;
  upstreams servers = YardDeskUpstreams();
  loads callers;
  duration time = kTime;
};

scheduler_options Options() {
  scheduler_options options;
  options.expected_times["lookup"] = milliseconds(40);
  options.expected_times["report"] = seconds(4);
  return options;
}

owners OneScheduler(const upstreams& servers, scheduler_options options,
                    std::uint64_t seed) {
  owners made;
  made.push_back(std::make_unique<scheduler_policy>(std::move(options),
                                                    Capacities(servers), seed));
  return made;
}

owners Owner(const upstreams& servers, std::uint64_t seed) {
  return OneScheduler(servers, Options(), seed);
}

// Each decider knows its part of the slots; what a server reports is mostly the
// others' work and must not be counted against that part.
class divided_policy : public scheduler_policy {
 public:
  using scheduler_policy::scheduler_policy;
  actions OnReport(const upstream_id&, const upstream_report&,
                   monotonic_time) override {
    return {};
  }
};

owners DividedSlots(const upstreams& servers, std::uint64_t seed) {
  owners made;
  std::vector<upstream_capacity> part = Capacities(servers);
  for (upstream_capacity& u : part) u.slots /= kDeciders;
  for (int i = 0; i < kDeciders; ++i) {
    made.push_back(std::make_unique<divided_policy>(Options(), part, seed + i));
  }
  return made;
}

owners Independent(const upstreams& servers, std::uint64_t seed) {
  owners made;
  for (int i = 0; i < kDeciders; ++i) {
    made.push_back(
        std::make_unique<lagging_report_policy>(Capacities(servers), seed + i));
  }
  return made;
}

owners PlainQueue(const upstreams& servers, std::uint64_t) {
  owners made;
  made.push_back(
      std::make_unique<plain_queue_policy>(Capacities(servers), 1000));
  return made;
}

owners SplitQueues(const upstreams& servers, std::uint64_t seed) {
  owners made;
  made.push_back(std::make_unique<split_queue_policy>(
      Options(), Capacities(servers), seed));
  return made;
}

owners WithoutReserve(const upstreams& servers, std::uint64_t seed) {
  scheduler_options options = Options();
  options.short_reserve = 0;
  return OneScheduler(servers, std::move(options), seed);
}

double WorstPart(const simulation_result& result, const scenario& s,
                 double time_s) {
  std::map<workspace_id, std::pair<double, double>> wants;
  for (const simulated_load& load : s.callers) {
    const auto found = result.workspaces.find(load.workspace);
    if (found == result.workspaces.end()) continue;
    // In slots, so that classes of unlike length can be compared.
    const double slots = ToSeconds(load.service_time);
    wants[load.workspace] = {found->second.offered / time_s * slots,
                             load.weight};
  }
  double slots = 0;
  for (const simulated_upstream& u : s.servers) slots += u.capacity.slots;
  double worst = 1;
  for (const simulated_load& load : s.callers) {
    if (load.crashes_upstream) continue;
    const double fair = FairShares(wants, slots)[load.workspace];
    const double got = result.workspaces.at(load.workspace).answered_in_time /
                       time_s * ToSeconds(load.service_time);
    worst = std::min(worst, got / fair);
  }
  return worst;
}

experiment_row Measure(const scenario& s, const named_decision& d,
                       std::uint64_t seed) {
  zone_simulation simulation(d.make(s.servers, seed), s.servers, seed);
  simulation.SetReports(milliseconds(500), milliseconds(700));
  for (const simulated_load& load : s.callers) simulation.AddLoad(load);
  const simulation_result result = simulation.Run(s.time, kSkip);
  const double time_s = ToSeconds(s.time - kSkip);
  experiment_row row;
  row.load = s.name;
  row.decision = d.name;
  row.offered_per_s = result.Offered() / time_s;
  row.good_per_s = result.AnsweredInTime() / time_s;
  const auto lookups = result.latency_ms.find("lookup");
  if (lookups != result.latency_ms.end()) {
    row.p50_ms = Percentile(lookups->second, 0.5);
    row.p99_ms = Percentile(lookups->second, 0.99);
  }
  row.worst_part = WorstPart(result, s, time_s);
  for (const auto& [id, w] : result.workspaces) {
    row.refused_per_s += w.callers_rejected / time_s;
    row.late_per_s += w.callers_failed / time_s;
  }
  row.sends_for_good =
      result.sends / std::max(1.0, result.AnsweredInTime() * 1.0);
  row.sheds = result.sheds;
  row.crashes = result.crashes;
  return row;
}

experiment_rows Compare(const std::vector<scenario>& scenarios,
                        const std::vector<named_decision>& decisions,
                        std::uint64_t seed) {
  experiment_rows rows;
  for (const scenario& s : scenarios) {
    for (const named_decision& d : decisions) {
      rows.push_back(Measure(s, d, seed));
    }
  }
  return rows;
}

std::vector<scenario> LoadsOf(const std::vector<double>& factors) {
  std::vector<scenario> scenarios;
  for (const double factor : factors) {
    scenario s;
    s.name = fmt::format("{:.2f} x capacity", factor);
    s.callers = LookupLoads(factor * kCapacityPerS, milliseconds(500));
    scenarios.push_back(std::move(s));
  }
  return scenarios;
}

// A service with two servers of 3 slots in the zone, as bookings has.
scenario SmallZone(double factor) {
  scenario s;
  s.name = fmt::format("2 x 3 slots, {:.2f} x", factor);
  s.servers = YardDeskUpstreams(2);
  for (simulated_upstream& u : s.servers) u.capacity.slots = 3;
  s.callers = LookupLoads(factor * 150, milliseconds(500));
  return s;
}

experiment_rows RunOwner(std::uint64_t seed) {
  std::vector<scenario> scenarios = LoadsOf({0.5, 0.8, 0.95, 1.5});
  scenarios.push_back(SmallZone(0.6));
  scenarios.push_back(SmallZone(0.8));
  return Compare(scenarios,
                 {{"owner per upstream", Owner},
                  {"slots divided", DividedSlots},
                  {"choice by lagging reports", Independent}},
                 seed);
}

experiment_rows RunSaturation(std::uint64_t seed) {
  return Compare(
      LoadsOf({0.8, 1.2, 1.5, 3}),
      {{"refuses by deadline", Owner}, {"plain queue of 1000", PlainQueue}},
      seed);
}

experiment_rows RunQueues(std::uint64_t seed) {
  return Compare(LoadsOf({0.5, 0.8, 0.95, 1.5}),
                 {{"one queue", Owner}, {"queue per upstream", SplitQueues}},
                 seed);
}

scenario MixedWork() {
  scenario s;
  s.name = "reports among look-ups";
  s.callers = LookupLoads(0.35 * kCapacityPerS, seconds(1));
  simulated_load reports;
  reports.workspace = workspace_id("office");
  reports.weight = 4;
  reports.request_class = "report";
  reports.long_running = true;
  reports.service_time = seconds(4);
  reports.request_timeout = seconds(30);
  reports.rate_per_s = 4;
  s.callers.push_back(reports);
  s.time = seconds(90);
  return s;
}

experiment_rows RunReserve(std::uint64_t seed) {
  scenario alone;
  alone.name = "look-ups alone";
  alone.callers = LookupLoads(0.35 * kCapacityPerS, seconds(1));
  alone.time = seconds(90);
  return Compare({alone, MixedWork()},
                 {{"slots kept for short", Owner},
                  {"no slots kept", WithoutReserve},
                  {"plain queue of 1000", PlainQueue}},
                 seed);
}

scenario Burst(int asks) {
  scenario s;
  s.name = asks > 1 ? "dawn burst, asks again" : "dawn burst";
  s.callers = LookupLoads(0.4 * kCapacityPerS, seconds(2));
  for (simulated_load& load : s.callers) {
    load.burst_factor = 5;
    load.burst_from = seconds(10);
    load.burst_to = seconds(30);
    load.max_attempts = asks;
    load.ask_again = milliseconds(asks > 1 ? 100 : 0);
  }
  s.time = seconds(50);
  return s;
}

experiment_rows RunBurst(std::uint64_t seed) {
  return Compare(
      {Burst(1), Burst(10)},
      {{"refuses by deadline", Owner}, {"plain queue of 1000", PlainQueue}},
      seed);
}

scenario OneBad(const std::string& name,
                const std::function<void(simulated_upstream&)>& spoil) {
  scenario s;
  s.name = name;
  s.callers = LookupLoads(0.6 * kCapacityPerS, milliseconds(600));
  spoil(s.servers[1]);
  return s;
}

experiment_rows RunBadUpstream(std::uint64_t seed) {
  return Compare(
      {OneBad("one 10 x slower", [](auto& u) { u.slowness = 10; }),
       OneBad("one answers errors fast", [](auto& u) { u.fails_fast = true; }),
       OneBad("one full, says idle",
              [](auto& u) {
                u.foreign_work = 4;
                u.says_idle = true;
              })},
      {{"judged by outcomes", Owner},
       {"by own count only", PlainQueue},
       {"choice by lagging reports", Independent}},
      seed);
}

experiment_rows RunPoison(std::uint64_t seed) {
  scenario s;
  s.name = "one request crashes servers";
  s.callers = LookupLoads(0.4 * kCapacityPerS, seconds(2));
  simulated_load killer = s.callers.back();
  killer.workspace = workspace_id("killer");
  killer.crashes_upstream = true;
  killer.rate_per_s = 0.5;
  s.callers.push_back(killer);
  return Compare(
      {s}, {{"refused after two crashes", Owner}, {"sent on", PlainQueue}},
      seed);
}

experiment_rows RunFairness(std::uint64_t seed) {
  scenario s;
  s.name = "one at 20 x its part";
  s.callers = LookupLoads(0.9 * kCapacityPerS, milliseconds(500));
  s.callers.back().rate_per_s *= 20;
  return Compare(
      {s}, {{"shares by weight", Owner}, {"plain queue of 1000", PlainQueue}},
      seed);
}

struct region_scenario {
  std::string name;
  std::vector<zone_load> zones;
};

experiment_row MeasureRegion(const region_scenario& s, const std::string& name,
                             const zone_choice_maker& maker,
                             std::uint64_t seed) {
  region_simulation simulation(s.zones, maker, seed);
  const region_result result = simulation.Run(kTime, kSkip);
  const double time_s = ToSeconds(kTime - kSkip);
  experiment_row row;
  row.load = s.name;
  row.decision = name;
  row.worst_part = 1;
  double good = 0;
  for (std::size_t z = 0; z < s.zones.size(); ++z) {
    row.offered_per_s += result.offered[z] / time_s;
    good += result.good[z];
    const double part = 1.0 * result.good[z] / std::max(1, result.offered[z]);
    row.worst_part = std::min(row.worst_part, part);
  }
  row.good_per_s = good / time_s;
  row.p50_ms = Percentile(result.latency_ms, 0.5);
  row.p99_ms = Percentile(result.latency_ms, 0.99);
  row.refused_per_s = result.refused / time_s;
  row.late_per_s = result.late / time_s;
  row.sends_for_good = result.asked / std::max(1.0, good);
  return row;
}

// Here the worst-served are the callers of a zone, and sends are those from
// entries to owners.
experiment_rows RunPlacement(std::uint64_t seed) {
  const std::vector<region_scenario> scenarios = {
      {"even, 0.8 of capacity", {{4, 320}, {4, 320}, {4, 320}}},
      {"one zone at 1.8", {{4, 720}, {4, 160}, {4, 160}}},
      {"one zone lost 3 of 4 servers", {{1, 240}, {4, 240}, {4, 240}}},
      {"all at 1.5", {{4, 600}, {4, 600}, {4, 600}}},
  };
  experiment_rows rows;
  for (const region_scenario& s : scenarios) {
    rows.push_back(MeasureRegion(s, "placement", MakePlacement, seed));
    rows.push_back(MeasureRegion(s, "own zone only", MakeOwnZoneOnly, seed));
    rows.push_back(MeasureRegion(s, "best report", MakeBestReport, seed));
  }
  return rows;
}

}  // namespace

const std::vector<experiment>& AllExperiments() {
  static const std::vector<experiment> kAll = {
      {"owner", "One owner of each upstream, or several who decide?", RunOwner},
      {"queues", "One queue for the service, or one for each upstream?",
       RunQueues},
      {"saturation", "What is refusing by deadline worth?", RunSaturation},
      {"burst", "Five times the load for 20 s.", RunBurst},
      {"fairness", "What are shares in the queue worth?", RunFairness},
      {"reserve", "What are slots kept for short work worth?", RunReserve},
      {"upstream", "One bad upstream of four.", RunBadUpstream},
      {"placement", "Which zone of the region? Three zones, four entries each.",
       RunPlacement},
      {"poison", "One request that crashes servers.", RunPoison},
  };
  return kAll;
}

}  // namespace citron
