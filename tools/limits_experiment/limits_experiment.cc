#include <fmt/format.h>
#include <sys/resource.h>

#include <cxxopts.hpp>

#include "citron/base/digest.h"
#include "simulated_fleet.h"

namespace citron {

namespace {

using std::chrono::seconds;

struct workspace_size {
  const char* name;
  double rate;
  double burst;
};

// Eight workspaces, a few large.
constexpr workspace_size kWorkspaces[] = {
    {"w1", 400, 400}, {"w2", 300, 300}, {"w3", 200, 200}, {"w4", 60, 60},
    {"w5", 40, 40},   {"w6", 30, 30},   {"w7", 20, 20},   {"w8", 10, 20},
};

constexpr duration kWarmUp = seconds(20);

double CpuSeconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto seconds_of = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds_of(use.ru_utime) + seconds_of(use.ru_stime);
}

void SetContracts(simulated_fleet& fleet) {
  for (const workspace_size& w : kWorkspaces) {
    fleet.SetContract(workspace_id(w.name), w.rate, w.burst);
  }
}

double Percent(std::uint64_t part, std::uint64_t whole) {
  return whole == 0
             ? 0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

struct totals {
  std::uint64_t in_rate = 0;
  std::uint64_t refused = 0;
  double least_slack = 1e18;
  double worst_percent = 0;  // Of the worst-served workspace.
};

totals Sum(simulated_fleet& fleet) {
  totals t;
  for (auto& [id, r] : fleet.Records()) {
    t.in_rate += r.in_rate;
    t.refused += r.refused_in_rate;
    t.least_slack = std::min(t.least_slack, r.least_slack);
    t.worst_percent =
        std::max(t.worst_percent, Percent(r.refused_in_rate, r.in_rate));
  }
  return t;
}

void PrintTotals(const std::string& label, simulated_fleet& fleet,
                 duration span) {
  const totals t = Sum(fleet);
  fmt::print(
      "{:<44} refused in rate {:>6.2f}%  worst workspace {:>6.2f}%  "
      "least slack {:>6.1f}  store calls/s {:>5.1f}  loan messages/s "
      "{:>6.1f}\n",
      label, Percent(t.refused, t.in_rate), t.worst_percent, t.least_slack,
      static_cast<double>(fleet.StoreCalls()) / ToSeconds(span),
      static_cast<double>(fleet.LoanMessages()) / ToSeconds(span));
}

// --- Floors under outages ---

enum class outage { kNone, kVmDies, kRegionCut, kStoreDown };

const char* NameOf(outage o) {
  switch (o) {
    case outage::kNone:
      return "none";
    case outage::kVmDies:
      return "a VM dies";
    case outage::kRegionCut:
      return "a region is cut";
    case outage::kStoreDown:
      return "store down";
  }
  return "";
}

void EvenDemand(simulated_fleet& fleet, double load, duration until) {
  for (const workspace_size& w : kWorkspaces) {
    fleet.Demand(workspace_id(w.name), w.rate * load, until,
                 [&fleet](pcg32& random) { return fleet.RandomVm(random); });
  }
}

void PlayOutage(const fleet_options& base, int floor_ppm, outage what,
                double load, duration span) {
  fleet_options options = base;
  options.shares.floor_ppm = floor_ppm;
  simulated_fleet fleet(options);
  SetContracts(fleet);
  EvenDemand(fleet, load, kWarmUp + span);
  fleet.Run(kWarmUp);
  fleet.ResetCounts();
  if (what == outage::kVmDies) fleet.KillVm(3);
  if (what == outage::kRegionCut) fleet.CutRegion(1, true);
  if (what == outage::kStoreDown) fleet.SetStoreDown(true);
  fleet.Run(kWarmUp + span);
  PrintTotals(fmt::format("floor {:.2f} load {:.2f} {}", floor_ppm / 1e6, load,
                          NameOf(what)),
              fleet, span);
}

void PlayOutages(const fleet_options& options, duration span) {
  for (const outage what : {outage::kStoreDown, outage::kRegionCut,
                            outage::kVmDies, outage::kNone}) {
    for (const double load : {0.7, 0.95}) {
      for (const int floor :
           {0, 250'000, 500'000, 750'000, 950'000, 1'000'000}) {
        PlayOutage(options, floor, what, load, span);
      }
    }
  }
}

// --- Demand that moves ---

void PlayMoves(const fleet_options& options, double load) {
  constexpr int kMoves = 12;
  constexpr int kMoveSeconds = 10;
  simulated_fleet fleet(options);
  SetContracts(fleet);
  const duration end = kWarmUp + seconds(kMoves * kMoveSeconds);
  const auto zone_now = [&fleet, &options] {
    const int move = static_cast<int>(ToSeconds(fleet.Now())) / kMoveSeconds;
    // Neighbours in the order are in other regions.
    return (move * (options.zones_per_region + 1)) % options.zones;
  };
  for (const workspace_size& w : kWorkspaces) {
    fleet.Demand(workspace_id(w.name), w.rate * load, end,
                 [&fleet, zone_now](pcg32& random) {
                   return fleet.RandomInZone(zone_now(), random);
                 });
  }
  fleet.Run(kWarmUp);
  fleet.ResetCounts();
  fleet.Run(end);
  PrintTotals(fmt::format("one zone, moves each 10 s, load {:.2f} loans {}",
                          load, options.loans ? "on" : "off"),
              fleet, end - kWarmUp);
  std::map<int, std::pair<std::uint64_t, std::uint64_t>> by_second;
  for (auto& [id, r] : fleet.Records()) {
    for (auto& [s, n] : r.arrivals_by_second) {
      by_second[s % kMoveSeconds].second += n;
    }
    for (auto& [s, n] : r.refused_by_second) {
      by_second[s % kMoveSeconds].first += n;
    }
  }
  fmt::print("  refused in rate, by second after the move:");
  for (auto& [s, n] : by_second) {
    fmt::print(" {}: {:.2f}%", s, Percent(n.first, n.second));
  }
  fmt::print("\n  by workspace:");
  for (auto& [id, r] : fleet.Records()) {
    fmt::print(" {}: {:.2f}%", id.Str(), Percent(r.refused_in_rate, r.in_rate));
  }
  fmt::print("\n");
}

// --- One workspace far over its rate ---

struct overload {
  bool in_one_zone = false;
  // VMs that the callers of a workspace with fewer tokens than 100 are told to
  // use; 0: all.
  int vms_of_small = 0;
};

int FewVms(const simulated_fleet& fleet, const char* name, int count,
           pcg32& random) {
  const int first = static_cast<int>(HashBytes(name) % fleet.Size());
  return (first + static_cast<int>(random() % count)) % fleet.Size();
}

void PlayOverload(const fleet_options& options, const overload& play) {
  constexpr int kSpan = 60;
  simulated_fleet fleet(options);
  SetContracts(fleet);
  const duration end = kWarmUp + seconds(kSpan);
  for (const workspace_size& w : kWorkspaces) {
    const bool is_hot = w.name == std::string("w2");
    fleet.Demand(workspace_id(w.name), w.rate * (is_hot ? 8 : 0.8), end,
                 [&fleet, is_hot, play, w](pcg32& random) {
                   if (is_hot && play.in_one_zone) {
                     return fleet.RandomInZone(2, random);
                   }
                   if (w.burst < 100 && play.vms_of_small > 0) {
                     return FewVms(fleet, w.name, play.vms_of_small, random);
                   }
                   return fleet.RandomVm(random);
                 });
  }
  fleet.Run(kWarmUp);
  fleet.ResetCounts();
  fleet.Run(end);
  PrintTotals(fmt::format("w2 at 8x {}, others 0.8, VMs of small {}, loans {}",
                          play.in_one_zone ? "in one zone" : "everywhere",
                          play.vms_of_small, options.loans ? "on" : "off"),
              fleet, seconds(kSpan));
  for (auto& [id, r] : fleet.Records()) {
    fmt::print(
        "  {}: admitted {:.1f}% of its rate, refused in rate {:.2f}%, "
        "least slack {:.1f}\n",
        id.Str(), 100.0 * static_cast<double>(r.admitted) / (r.rate * kSpan),
        Percent(r.refused_in_rate, r.in_rate), r.least_slack);
  }
}

// --- Workspaces whose part at a VM is a few tokens or less ---

void PlaySmall(const fleet_options& options, double load, double overload) {
  constexpr int kSpan = 120;
  simulated_fleet fleet(options);
  const duration end = kWarmUp + seconds(kSpan);
  std::map<workspace_id, double> tokens_by_id;
  for (const double tokens : {0.25, 0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 8.0}) {
    const workspace_id id(fmt::format("{:.2f}", tokens));
    const double burst = tokens * options.vms;
    fleet.SetContract(id, burst, burst);
    fleet.Demand(id, burst * load * overload, end,
                 [&fleet](pcg32& random) { return fleet.RandomVm(random); });
  }
  fleet.Run(kWarmUp);
  fleet.ResetCounts();
  fleet.Run(end);
  PrintTotals(fmt::format("small, load {:.2f}, homes {}", load * overload,
                          options.homes ? "on" : "off"),
              fleet, seconds(kSpan));
  fmt::print("  token asks/s {:.1f}; refused in rate, by tokens a VM:",
             static_cast<double>(fleet.TokenAsks()) / kSpan);
  for (auto& [id, r] : fleet.Records()) {
    fmt::print(" {}: {:.2f}%", id.Str(), Percent(r.refused_in_rate, r.in_rate));
  }
  fmt::print("\n");
}

// --- Cost against fleet size ---

void PlaySizes(const fleet_options& base) {
  constexpr int kSpan = 60;
  for (const int vms : {2, 5, 10, 20, 50, 100, 200}) {
    fleet_options options = base;
    options.vms = vms;
    options.loans = false;
    simulated_fleet fleet(options);
    fleet.Run(std::chrono::seconds(30));
    fleet.ResetCounts();
    const double cpu = CpuSeconds();
    fleet.Run(std::chrono::seconds(30 + kSpan));
    const double used = CpuSeconds() - cpu;
    const double renewals =
        vms * kSpan / ToSeconds(options.shares.renew_interval);
    fmt::print(
        "{:>4} VMs: table {:>6} bytes, store calls/s {:>7.1f} "
        "({:.2f} for each VM), CPU a renewal {:>7.1f} us, granted "
        "{:.4f}\n",
        vms, fleet.TableBytes(),
        static_cast<double>(fleet.StoreCalls()) / kSpan,
        static_cast<double>(fleet.StoreCalls()) / kSpan / vms,
        used / renewals * 1e6, fleet.GrantedFraction());
  }
}

int Main(int argc, char** argv) {
  cxxopts::Options flags("limits_experiment",
                         "Plays the fleet's rate limits in simulated time.");
  flags.add_options()("play", "outages, moves, overload, small, sizes or all",
                      cxxopts::value<std::string>()->default_value("all"))(
      "vms", "number of VMs", cxxopts::value<int>()->default_value("10"))(
      "loops", "event loops of a VM",
      cxxopts::value<int>()->default_value("1"))(
      "region-ms", "one way between regions",
      cxxopts::value<double>()->default_value("35"))(
      "loss", "part of the loan messages lost, and as much late",
      cxxopts::value<double>()->default_value("0.001"))(
      "wait-ms", "how long a request waits for a token",
      cxxopts::value<double>()->default_value("150"))(
      "homes", "whether small workspaces have a home",
      cxxopts::value<bool>()->default_value("true"))(
      "small-capacity", "tokens a VM below which a workspace is small",
      cxxopts::value<double>()->default_value("3.5"))(
      "outage-s", "length of an outage",
      cxxopts::value<int>()->default_value("600"))(
      "seed", "of the random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help", "this");
  const cxxopts::ParseResult parsed = flags.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}\n", flags.help());
    return 0;
  }
  fleet_options options;
  options.vms = parsed["vms"].as<int>();
  options.loops = parsed["loops"].as<int>();
  options.region_latency = FromMilliseconds(parsed["region-ms"].as<double>());
  options.loss = options.repeat = parsed["loss"].as<double>();
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.longest_wait = FromMilliseconds(parsed["wait-ms"].as<double>());
  options.homes = parsed["homes"].as<bool>();
  options.home.small_capacity = parsed["small-capacity"].as<double>();
  const std::string play = parsed["play"].as<std::string>();
  const auto is_played = [&](const char* name) {
    return play == "all" || play == name;
  };
  if (is_played("moves")) {
    fleet_options without = options;
    without.loans = false;
    for (const double load : {0.5, 0.7, 0.9}) {
      PlayMoves(without, load);
      PlayMoves(options, load);
    }
  }
  if (is_played("overload")) {
    fleet_options without = options;
    without.loans = false;
    PlayOverload(without, {});
    PlayOverload(options, {});
    PlayOverload(options, {.in_one_zone = true});
    PlayOverload(options, {.vms_of_small = 2});
    PlayOverload(options, {.vms_of_small = 4});
  }
  if (is_played("small")) {
    fleet_options without = options;
    without.homes = false;
    for (const double load : {0.5, 0.8}) {
      PlaySmall(without, load, 1);
      PlaySmall(options, load, 1);
    }
    PlaySmall(without, 0.8, 8);
    PlaySmall(options, 0.8, 8);
  }
  if (is_played("sizes")) PlaySizes(options);
  if (is_played("outages")) {
    PlayOutages(options, seconds(parsed["outage-s"].as<int>()));
  }
  return 0;
}

}  // namespace

}  // namespace citron

int main(int argc, char** argv) { return citron::Main(argc, argv); }
