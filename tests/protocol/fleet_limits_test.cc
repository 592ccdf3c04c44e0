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

// Faults of one kind or another each second or so, at random.
class random_schedule {
 public:
  // `cut_seconds`: the longest cut.
  random_schedule(simulated_fleet& fleet, const fleet_options& options,
                  double cut_seconds)
      : fleet_(fleet), options_(options), cut_seconds_(cut_seconds) {
    Next();
  }

 private:
  double Uniform() { return std::ldexp(fleet_.Random()(), -32); }
  int AnyVm() { return static_cast<int>(fleet_.Random()() % options_.vms); }
  int AnyLoop() { return static_cast<int>(fleet_.Random()() % options_.loops); }
  void After(double seconds, std::function<void()> action) {
    fleet_.At(fleet_.Now() + FromSeconds(seconds), std::move(action));
  }

  void Next() {
    After(1.5 * Uniform(), [this] {
      Fault();
      Next();
    });
  }

  void Fault() {
    const int i = AnyVm();
    const int loop = AnyLoop();
    const double length = 15 * Uniform() * Uniform();
    const double cut = cut_seconds_ * Uniform() * Uniform();
    switch (fleet_.Random()() % 10) {
      case 0:
        return fleet_.FreezeEntry(i, loop, FromSeconds(length));
      case 1:
        return fleet_.FreezeControl(i, FromSeconds(length));
      case 2:
        fleet_.KillVm(i);
        return After(length, [=, this] { fleet_.StartVm(i); });
      case 3:
        fleet_.KillEntry(i, loop);
        return After(length / 4, [=, this] { fleet_.StartEntry(i, loop); });
      case 4:
        fleet_.KillControl(i);
        return After(length / 2, [=, this] { fleet_.StartControl(i); });
      case 5:
        fleet_.SetStoreDown(true);
        return After(length, [this] { fleet_.SetStoreDown(false); });
      case 6:
        fleet_.CutRegion(1, true);
        return After(cut, [this] { fleet_.CutRegion(1, false); });
      case 7:
        fleet_.CutFromStore(i, true);
        return After(cut, [=, this] { fleet_.CutFromStore(i, false); });
      case 8:
        fleet_.ReleaseVm(i);
        return After(20, [=, this] { fleet_.StartVm(i); });
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
  // Some seeds run into the horizon of the floors.
  if (seed % 2 == 0) options.shares.floor_horizon = std::chrono::seconds(20);
  return options;
}

constexpr double kPeriod = 8;

// Pauses in which all buckets fill, then demand far above each rate; in one
// zone or in all.
void AddDemand(simulated_fleet& fleet, const fleet_options& options) {
  for (std::size_t w = 0; w < std::size(kNames); ++w) {
    const workspace_id id(kNames[w]);
    fleet.SetContract(id, kRates[w], kRates[w]);
    fleet.Demand(id, 6 * kRates[w], FromSeconds(kSeconds),
                 [&fleet, options](pcg32& random) {
                   const double now = citron::ToSeconds(fleet.Now());
                   const int move = static_cast<int>(now / kPeriod);
                   if (now - move * kPeriod < kPeriod / 2) return -1;
                   if (move % 3 == 0) return fleet.RandomVm(random);
                   return fleet.RandomInZone(move * 3 % options.zones, random);
                 });
  }
}

// The most that was usable of a contract at any moment, of all loops.
double RunAndWatch(simulated_fleet& fleet) {
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

// Plays one schedule and checks the limits from outside.
outcome Play(const fleet_options& options, double cut_seconds) {
  simulated_fleet fleet(options);
  AddDemand(fleet, options);
  random_schedule schedule(fleet, options, cut_seconds);
  const double most = RunAndWatch(fleet);
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

// Ten schedules to a case, so that a slow build plays several at a time.
constexpr std::uint64_t kSchedules = 10;

// The schedules must let enough through to prove something.
void PlayHarshSchedules(std::uint64_t first) {
  outcome sum;
  for (std::uint64_t seed = first; seed < first + kSchedules; ++seed) {
    const outcome one = Play(HarshOptions(seed), 15);
    sum.admitted += one.admitted;
    sum.messages += one.messages;
  }
  BOOST_TEST(sum.admitted > 50'000u);
  BOOST_TEST(sum.messages > 25'000u);
}

void PlayLongCuts(std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    fleet_options options = HarshOptions(seed);
    options.shares.floor_ppm = 300'000;
    Play(options, 60);
  }
}

void PlayHomes(std::uint64_t first) {
  outcome sum;
  for (std::uint64_t seed = first; seed < first + kSchedules; ++seed) {
    fleet_options options = HarshOptions(seed);
    options.homes = true;
    options.longest_wait = citron::FromMilliseconds(150);
    options.view_lag = FromSeconds(1);
    // The middle one has a home too, and enough tokens to lose count of.
    options.home.small_capacity = 20;
    const outcome one = Play(options, 15);
    sum.admitted += one.admitted;
    sum.token_asks += one.token_asks;
  }
  BOOST_TEST(sum.admitted > 50'000u);
  BOOST_TEST(sum.token_asks > 25'000u);
}

}  // namespace

// VMs die, freeze, lose the store or each other, and messages arrive late,
// twice or never, while operators change the contracts. A part of a limit that
// two VMs use at a time would let a workspace send more than it may, and the
// other workspaces would wait for it.
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst1) {
  PlayHarshSchedules(1);
}
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst2) {
  PlayHarshSchedules(11);
}
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst3) {
  PlayHarshSchedules(21);
}
BOOST_AUTO_TEST_CASE(NoWindowHasMoreThanRateAndBurst4) {
  PlayHarshSchedules(31);
}

// The same with cuts that outlast the leases: the leased parts of those cut
// off are taken by the others, and must not be used on their side of the cut.
BOOST_AUTO_TEST_CASE(LongCutsLetNoPartBeUsedTwice1) { PlayLongCuts(101, 106); }
BOOST_AUTO_TEST_CASE(LongCutsLetNoPartBeUsedTwice2) { PlayLongCuts(107, 112); }

// The same with workspaces of a few tokens, which one entry holds for all: asks
// and tokens get lost, come twice or seconds late, and after a death the
// entries differ for a while about who holds them. A token used twice, or used
// after its bucket has refilled, would let the workspace send more than it may.
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce1) { PlayHomes(201); }
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce2) { PlayHomes(211); }
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce3) { PlayHomes(221); }
BOOST_AUTO_TEST_CASE(TokensOfHomesAreUsedOnce4) { PlayHomes(231); }

// Demand after a pause empties the full bucket of a home, and its tokens reach
// the farther entries while it refills. If nothing made room for those under
// way, the workspace would get its burst and what refilled meanwhile.
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
