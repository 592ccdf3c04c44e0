#include <boost/test/unit_test.hpp>
#include <string>

#include "../../tools/limits_experiment/simulated_fleet.h"

namespace {

using citron::duration;
using citron::fleet_options;
using citron::FromSeconds;
using citron::simulated_fleet;
using citron::workspace_id;

constexpr double kSeconds = 150;
constexpr const char* kNames[] = {"large", "middle", "small"};
constexpr double kRates[] = {400, 80, 5};

// Injects a random fault at random intervals of up to 1.5 s.
class random_schedule {
 public:
  // `cut_seconds` is the longest network cut.
  random_schedule(simulated_fleet& fleet, const fleet_options& options,
                  double cut_seconds)
      : fleet_(fleet), options_(options), cut_seconds_(cut_seconds) {
    ScheduleNextFault();
  }

 private:
  double Uniform() { return std::ldexp(fleet_.Random()(), -32); }
  int RandomVmIndex() {
    return static_cast<int>(fleet_.Random()() % options_.vms);
  }
  int RandomLoopIndex() {
    return static_cast<int>(fleet_.Random()() % options_.loops);
  }
  void Schedule(double seconds, std::function<void()> action) {
    fleet_.At(fleet_.Now() + FromSeconds(seconds), std::move(action));
  }

  void ScheduleNextFault() {
    Schedule(1.5 * Uniform(), [this] {
      InjectFault();
      ScheduleNextFault();
    });
  }

  void InjectFault() {
    const int i = RandomVmIndex();
    const int loop = RandomLoopIndex();
    const double length = 15 * Uniform() * Uniform();
    const double cut = cut_seconds_ * Uniform() * Uniform();
    switch (fleet_.Random()() % 10) {
      case 0:
        return fleet_.FreezeEntry(i, loop, FromSeconds(length));
      case 1:
        return fleet_.FreezeControl(i, FromSeconds(length));
      case 2:
        fleet_.KillVm(i);
        return Schedule(length, [=, this] { fleet_.StartVm(i); });
      case 3:
        fleet_.KillEntry(i, loop);
        return Schedule(length / 4, [=, this] { fleet_.StartEntry(i, loop); });
      case 4:
        fleet_.KillControl(i);
        return Schedule(length / 2, [=, this] { fleet_.StartControl(i); });
      case 5:
        fleet_.SetStoreDown(true);
        return Schedule(length, [this] { fleet_.SetStoreDown(false); });
      case 6:
        fleet_.CutRegion(1, true);
        return Schedule(cut, [this] { fleet_.CutRegion(1, false); });
      case 7:
        fleet_.CutFromStore(i, true);
        return Schedule(cut, [=, this] { fleet_.CutFromStore(i, false); });
      case 8:
        fleet_.ReleaseVm(i);
        return Schedule(20, [=, this] { fleet_.StartVm(i); });
      default:
        return ChangeContract();
    }
  }

  void ChangeContract() {
    const std::size_t w = fleet_.Random()() % std::size(kNames);
    const double rate = kRates[w] * (0.3 + Uniform());
    fleet_.SetContract(workspace_id(kNames[w]), rate,
                       rate * (0.5 + 2 * Uniform()), FromSeconds(2));
  }

  simulated_fleet& fleet_;
  const fleet_options options_;
  const double cut_seconds_;
};

fleet_options HarshOptions(std::uint64_t seed) {
  fleet_options options;
  options.seed = seed;
  options.vms = 6 + static_cast<int>(seed % 3);
  options.loops = 1 + static_cast<int>(seed % 2);
  options.loss = 0.05;
  options.repeat = 0.05;
  options.lost_store_answers = 0.1;
  // Even seeds run beyond the horizon of the floors.
  if (seed % 2 == 0) options.shares.floor_horizon = std::chrono::seconds(20);
  return options;
}

constexpr double kDemandPeriodSeconds = 8;

// Alternates pauses in which all buckets fill with demand far above each rate,
// in one zone or in all.
void AddDemand(simulated_fleet& fleet, const fleet_options& options) {
  for (std::size_t w = 0; w < std::size(kNames); ++w) {
    const workspace_id id(kNames[w]);
    fleet.SetContract(id, kRates[w], kRates[w]);
    fleet.Demand(
        id, 6 * kRates[w], FromSeconds(kSeconds),
        [&fleet, options](pcg32& random) {
          const double now = citron::ToSeconds(fleet.Now());
          const int move = static_cast<int>(now / kDemandPeriodSeconds);
          if (now - move * kDemandPeriodSeconds < kDemandPeriodSeconds / 2)
            return -1;
          if (move % 3 == 0) return fleet.RandomVm(random);
          return fleet.RandomInZone(move * 3 % options.zones, random);
        });
  }
}

// Runs the fleet and returns the largest fraction of a contract that was usable
// by all loops together at any moment.
double RunForMaxUsableFraction(simulated_fleet& fleet) {
  double most = 0;
  for (double t = 0; t < kSeconds; t += 0.05) {
    fleet.Run(FromSeconds(t));
    for (const char* name : kNames) {
      most = std::max(most, fleet.UsableFraction(workspace_id(name)));
    }
  }
  return most;
}

struct outcome {
  std::uint64_t admitted = 0;
  std::uint64_t token_asks = 0;
  std::uint64_t messages = 0;
};

// Runs one schedule and checks the limits from outside.
outcome RunSchedule(const fleet_options& options, double cut_seconds) {
  simulated_fleet fleet(options);
  AddDemand(fleet, options);
  random_schedule schedule(fleet, options, cut_seconds);
  const double most = RunForMaxUsableFraction(fleet);
  BOOST_TEST(most <= 1.0 + 1e-9, "seed " << options.seed << " " << most);
  outcome sum;
  for (const auto& [id, record] : fleet.Records()) {
    BOOST_TEST(record.least_slack >= -1e-6, "seed " << options.seed << " "
                                                    << id.Str() << " "
                                                    << record.least_slack);
    sum.admitted += record.admitted;
  }
  sum.messages = fleet.LoanMessages();
  sum.token_asks = fleet.TokenAsks();
  return sum;
}

// Ten schedules per case, so that a slow build runs several cases in parallel.
constexpr std::uint64_t kSchedules = 10;

// The schedules must admit enough requests to prove something.
void RunHarshSchedules(std::uint64_t first) {
  outcome sum;
  for (std::uint64_t seed = first; seed < first + kSchedules; ++seed) {
    const outcome one = RunSchedule(HarshOptions(seed), 15);
    sum.admitted += one.admitted;
    sum.messages += one.messages;
  }
  BOOST_TEST(sum.admitted > 50'000u);
  BOOST_TEST(sum.messages > 25'000u);
}

void RunLongCuts(std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    fleet_options options = HarshOptions(seed);
    options.shares.floor_ppm = 300'000;
    RunSchedule(options, 60);
  }
}

void RunWithHomes(std::uint64_t first) {
  outcome sum;
  for (std::uint64_t seed = first; seed < first + kSchedules; ++seed) {
    fleet_options options = HarshOptions(seed);
    options.homes = true;
    options.longest_wait = citron::FromMilliseconds(150);
    options.view_lag = FromSeconds(1);
    // The middle workspace has a home too, and enough tokens for some to be
    // counted twice.
    options.home.small_capacity = 20;
    const outcome one = RunSchedule(options, 15);
    sum.admitted += one.admitted;
    sum.token_asks += one.token_asks;
  }
  BOOST_TEST(sum.admitted > 50'000u);
  BOOST_TEST(sum.token_asks > 25'000u);
}

}  // namespace

// VMs die, freeze, lose the store or each other, and messages arrive late,
// twice or never, while operators change the contracts. A share of a limit that
// two VMs use at a time would let a workspace send more than it may, and the
// other workspaces would wait for it.
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst1) { RunHarshSchedules(1); }
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst2) {
  RunHarshSchedules(11);
}
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst3) {
  RunHarshSchedules(21);
}
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst4) {
  RunHarshSchedules(31);
}

// The same with cuts that outlast the leases: the other VMs take the leased
// shares of the VMs cut off, which must no longer use them.
BOOST_AUTO_TEST_CASE(LongCutsLetNoPartBeUsedTwice1) { RunLongCuts(101, 106); }
BOOST_AUTO_TEST_CASE(LongCutsLetNoPartBeUsedTwice2) { RunLongCuts(107, 112); }

// The same with workspaces of a few tokens, which one entry holds for all:
// token requests and tokens get lost, come twice or seconds late, and after a
// death the entries disagree for a while about the holder. A token used twice,
// or used after its bucket has refilled, would let the workspace send more than
// it may.
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce1) { RunWithHomes(201); }
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce2) { RunWithHomes(211); }
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce3) { RunWithHomes(221); }
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce4) { RunWithHomes(231); }

// Demand after a pause empties the full bucket of a home, and its tokens reach
// the farther entries while it refills. If the home reserved no capacity for
// tokens in flight, the workspace would get its burst and what refilled
// meanwhile.
BOOST_AUTO_TEST_CASE(TokensUnderWayAreNoSecondBurst) {
  for (std::uint64_t seed = 301; seed <= 312; ++seed) {
    fleet_options options;
    options.seed = seed;
    options.homes = true;
    options.longest_wait = citron::FromMilliseconds(150);
    options.region_latency = citron::FromMilliseconds(50);
    options.home.small_capacity = 50;
    simulated_fleet fleet(options);
    AddDemand(fleet, options);
    fleet.Run(FromSeconds(kSeconds));
    BOOST_TEST(fleet.TokenAsks() > 1'000u);
    for (const auto& [id, record] : fleet.Records()) {
      BOOST_TEST(record.least_slack >= -1e-6, "seed " << seed << " " << id.Str()
                                                      << " "
                                                      << record.least_slack);
    }
  }
}
