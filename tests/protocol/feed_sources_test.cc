#include "citron/protocol/feed_sources.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns a fleet with `in_zone` VMs in each of two zones of `regions` regions.
// The first VM of each zone has a wide link.
std::vector<feed_member> Fleet(int regions, int in_zone) {
  std::vector<feed_member> fleet;
  for (int region = 0; region < regions; ++region) {
    for (int zone = 0; zone < 2; ++zone) {
      for (int i = 0; i < in_zone; ++i) {
        const std::string name = fmt::format("r{}z{}", region, zone);
        fleet.push_back({vm_id(fmt::format("{}v{}", name, i)), zone_id(name),
                         region_id(fmt::format("r{}", region)),
                         i == 0 ? 200.0 : 10.0});
      }
    }
  }
  return fleet;
}

std::map<vm_id, std::vector<vm_id>> Plans(
    const std::vector<feed_member>& fleet) {
  std::map<vm_id, std::vector<vm_id>> plans;
  for (const feed_member& m : fleet) plans[m.vm] = PlanFeedSources(m, fleet);
  return plans;
}

// Returns the number of VMs that an answer of the store passes to reach `vm`.
int Depth(const std::map<vm_id, std::vector<vm_id>>& plans, const vm_id& vm) {
  const std::vector<vm_id>& plan = plans.at(vm);
  return plan.empty() ? 0 : 1 + Depth(plans, plan.front());
}

BOOST_AUTO_TEST_SUITE(feed_sources_cases)

// The store counts each call, and its rates grow more slowly than the fleet.
// One VM per region reads the store, whatever the number of VMs.
BOOST_AUTO_TEST_CASE(OneVmOfARegionReadsTheStore) {
  for (const int in_zone : {1, 2, 10, 150}) {
    const auto plans = Plans(Fleet(3, in_zone));
    const auto readers =
        std::count_if(plans.begin(), plans.end(),
                      [](const auto& plan) { return plan.second.empty(); });
    BOOST_TEST(readers == 3);
    for (const auto& [vm, plan] : plans) BOOST_TEST(Depth(plans, vm) <= 2);
  }
}

// A VM with a narrow link would spend its link on sending changes to others.
BOOST_AUTO_TEST_CASE(SourcesHaveWideLinks) {
  for (const auto& [vm, plan] : Plans(Fleet(3, 10))) {
    if (plan.empty()) continue;
    BOOST_TEST(plan.front().Str().ends_with("v0"));
  }
}

BOOST_AUTO_TEST_CASE(SourceServesAtMostItsZoneAndTheFirstOfOtherZones) {
  std::map<vm_id, int> readers;
  for (const auto& [vm, plan] : Plans(Fleet(2, 50))) {
    if (!plan.empty()) ++readers[plan.front()];
  }
  for (const auto& [vm, count] : readers) BOOST_TEST(count <= 49 + 1);
}

// A plan lists at most three different VMs, which serve as fallbacks for each
// other before the store.
BOOST_AUTO_TEST_CASE(PlansListFewDifferentVms) {
  const std::vector<feed_member> fleet = Fleet(3, 10);
  for (const auto& [vm, plan] : Plans(fleet)) {
    std::set<vm_id> different(plan.begin(), plan.end());
    BOOST_TEST(different.size() == plan.size());
    BOOST_TEST(plan.size() <= 3u);
  }
}

// Two VMs that read from each other would receive no changes of the store. No
// VM may be in the plan of a VM in its own plan.
BOOST_AUTO_TEST_CASE(NoTwoVmsReadFromEachOther) {
  const auto plans = Plans(Fleet(3, 10));
  for (const auto& [vm, plan] : plans) {
    for (const vm_id& source : plan) {
      const std::vector<vm_id>& back = plans.at(source);
      BOOST_TEST((std::find(back.begin(), back.end(), vm) == back.end()));
    }
  }
}

BOOST_AUTO_TEST_CASE(VmWithoutAnswerIsSkipped) {
  monotonic_time now{std::chrono::hours(1)};
  feed_sources sources;
  sources.SetPlan({vm_id("a"), vm_id("b")});
  BOOST_CHECK(sources.Next(now) == vm_id("a"));
  sources.OnFailed(vm_id("a"), now);
  BOOST_CHECK(sources.Next(now) == vm_id("b"));
  sources.OnFailed(vm_id("b"), now);
  BOOST_CHECK(!sources.Next(now));
  now += seconds(2);
  BOOST_CHECK(sources.Next(now) == vm_id("a"));
  // VM a fails again and is skipped for longer.
  sources.OnFailed(vm_id("a"), now);
  now += seconds(2);
  BOOST_CHECK(sources.Next(now) == vm_id("b"));
  sources.OnAnswered(vm_id("a"));
  BOOST_CHECK(sources.Next(now) == vm_id("a"));
}

// Guards against VMs that come to the store after an outage, since they leave
// their sources alone for longer than the outage.
BOOST_AUTO_TEST_CASE(ASourceThatLostTheStoreIsAskedAgainSoon) {
  monotonic_time now{std::chrono::hours(1)};
  feed_sources sources;
  sources.SetPlan({vm_id("a")});
  for (int i = 0; i < 5; ++i) {
    sources.OnRefused(vm_id("a"), now);
    BOOST_CHECK(!sources.Next(now + milliseconds(1999)));
    now += seconds(2);
    BOOST_CHECK(sources.Next(now) == vm_id("a"));
  }
}

BOOST_AUTO_TEST_CASE(RemovalFromThePlanClearsFailures) {
  monotonic_time now{std::chrono::hours(1)};
  feed_sources sources;
  sources.SetPlan({vm_id("a")});
  sources.OnFailed(vm_id("a"), now);
  sources.SetPlan({vm_id("b")});
  sources.SetPlan({vm_id("a")});
  BOOST_CHECK(sources.Next(now) == vm_id("a"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
