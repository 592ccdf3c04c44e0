#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "policy/warm_simulation.h"

namespace citron {
namespace {

constexpr std::uint64_t kSeeds = 5;

// Two regions of two zones; one of the zones has a single upstream.
warm_plan UnevenZones() {
  warm_plan plan;
  for (const auto& [zone, region, upstreams] :
       {std::tuple("r0a", "r0", 5), std::tuple("r0b", "r0", 1),
        std::tuple("r1a", "r1", 5), std::tuple("r1b", "r1", 5)}) {
    plan.zones.push_back({zone, region, upstreams, 40});
  }
  return plan;
}

warm_result Sum(const warm_plan& plan, const selector_options& options) {
  warm_result sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const warm_result one = warm_simulation(plan, options, seed).Run();
    sum.in_goal += one.in_goal;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.cold_runs += one.cold_runs;
  }
  fmt::print("in goal {:.3f}, late {}, refused {}, cold runs {}\n",
             sum.InGoal(), sum.late, sum.refused, sum.cold_runs);
  return sum;
}

selector_options WithoutWeightControl() {
  selector_options options;
  options.weights.min_weight = 1;
  return options;
}

BOOST_AUTO_TEST_SUITE(warm_placement)

// The other zone of a region is closed, and both zones' callers prefer the one
// upstream that is left there. It can't carry them, even with every object
// warm, and its callers wait although a third of all slots are free. As all
// work fits, nineteen in twenty are to be in time.
BOOST_AUTO_TEST_CASE(AClosedZonesObjectsFindUpstreamsThatHaveRoom) {
  warm_plan plan = UnevenZones();
  plan.closed_zone = "r0a";
  const warm_result with = Sum(plan, selector_options{});
  const warm_result without = Sum(plan, WithoutWeightControl());
  BOOST_TEST(with.InGoal() > 0.95);
  BOOST_TEST(without.InGoal() < with.InGoal());
}

// The VMs of two zones keep an object at two upstreams, and at the start each
// object is served cold twice.
BOOST_AUTO_TEST_CASE(ZonesOfARegionShareTheirObjects) {
  warm_plan plan = UnevenZones();
  for (warm_zone& zone : plan.zones) zone.requests_per_s = 15;
  plan.first_counted_s = 0;
  const warm_result start = Sum(plan, selector_options{});
  const int objects = 2 * plan.objects;
  BOOST_TEST(start.cold_runs <= static_cast<int>(kSeeds) * objects * 1.05);
}

// More requests come than all upstreams carry. With queues as long as upstreams
// allow, nearly all are answered late; with queues that fit the goal, the
// capacity goes to requests that are in time.
BOOST_AUTO_TEST_CASE(UnderOverloadWhatIsServedIsInTime) {
  warm_plan plan = UnevenZones();
  for (warm_zone& zone : plan.zones) zone.requests_per_s = 100;
  const warm_result with = Sum(plan, selector_options{});
  plan.tells_goal = false;
  const warm_result without = Sum(plan, selector_options{});
  BOOST_TEST(with.InGoal() > without.InGoal());
  BOOST_TEST(with.late < with.in_goal);
}

// On a calm day nothing is to move: what moves is served cold once.
BOOST_AUTO_TEST_CASE(OnACalmDayObjectsStay) {
  warm_plan plan = UnevenZones();
  for (warm_zone& zone : plan.zones) zone.requests_per_s = 15;
  const warm_result calm = Sum(plan, selector_options{});
  BOOST_TEST(calm.InGoal() > 0.97);
  BOOST_TEST(calm.cold_runs * 50 < calm.Asked());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
