#include "citron/loadgen/load_ledger.h"

#include <boost/test/unit_test.hpp>

#include "citron/loadgen/arrival_schedule.h"

namespace citron {
namespace {

load_plan TwoWorkspaces() {
  load_plan plan;
  plan.workspaces = {{"a", 100, 10, "k"}, {"b", 10, 10, "k"}};
  plan.requests = {{"s", "c", "/p", "GET", false, 10, 3},
                   {"t", "d", "/q", "GET", false, 10, 1}};
  return plan;
}

BOOST_AUTO_TEST_CASE(PercentilesAreThoseOfAllValues) {
  latency_histogram fast;
  latency_histogram slow;
  for (int i = 0; i < 990; ++i) fast.Add(std::chrono::milliseconds(10));
  for (int i = 0; i < 10; ++i) slow.Add(std::chrono::seconds(1));
  fast.Merge(slow);
  BOOST_TEST(fast.Count() == 1000u);
  BOOST_TEST(ToMilliseconds(fast.Percentile(0.5)) == 10,  // in a bucket
             boost::test_tools::tolerance(0.13));
  BOOST_TEST(ToMilliseconds(fast.Percentile(0.99)) < 20);
  BOOST_TEST(ToMilliseconds(fast.Percentile(0.995)) > 880);
  BOOST_TEST((fast.Percentile(1) == std::chrono::seconds(1)));
  BOOST_TEST((latency_histogram().Percentile(0.5) == duration::zero()));
}

BOOST_AUTO_TEST_CASE(ArrivalsFollowRateMixAndSeed) {
  const load_plan plan = TwoWorkspaces();
  arrival_schedule one(plan, {100, 10}, monotonic_time{}, 7);
  arrival_schedule other(plan, {100, 10}, monotonic_time{}, 7);
  int of_a = 0;
  int of_s = 0;
  monotonic_time last{};
  constexpr int kArrivals = 11000;
  for (int i = 0; i < kArrivals; ++i) {
    const arrival taken = one.Take();
    BOOST_REQUIRE((taken.at >= last));
    BOOST_REQUIRE((other.Take().at == taken.at));
    last = taken.at;
    of_a += taken.workspace == 0 ? 1 : 0;
    of_s += taken.request == 0 ? 1 : 0;
  }
  BOOST_TEST(of_a > 9800);
  BOOST_TEST(of_a < 10200);
  BOOST_TEST(of_s > 8050);
  BOOST_TEST(of_s < 8450);
  BOOST_TEST(ToSeconds(last - monotonic_time{}) > 95);
  BOOST_TEST(ToSeconds(last - monotonic_time{}) < 105);
}

// A small workspace gets few of its requests through while a large one gets
// all. In the sum of both it does not show; the ledger must name it.
BOOST_AUTO_TEST_CASE(WorstWorkspaceIsNamed) {
  const load_plan plan = TwoWorkspaces();
  load_ledger ledger(plan);
  load_record record;
  record.outcome = call_outcome::kWhole;
  for (int i = 0; i < 1000; ++i) ledger.Add(record);
  record.workspace = 1;
  ledger.Add(record);
  record.outcome = call_outcome::kRefused;
  record.reason = "over_rate";
  ledger.Add(record);
  record.over_rate = true;
  ledger.Add(record);
  BOOST_TEST(ledger.WorstWorkspace() == "b");
  BOOST_TEST(ledger.Total().failures.at("over_rate") == 2u);
  BOOST_TEST(ledger.Total().refused_inside_rate == 1u);
  BOOST_TEST(ledger.ByService().at("s").whole == 1001u);
}

BOOST_AUTO_TEST_CASE(BucketHoldsRateAndBurst) {
  contract_bucket bucket(10, 5, monotonic_time{});
  int taken = 0;
  for (int ms = 0; ms <= 10000; ++ms) {
    taken += bucket.Take(monotonic_time{} + std::chrono::milliseconds(ms));
  }
  BOOST_TEST(taken >= 104);
  BOOST_TEST(taken <= 105);
}

}  // namespace
}  // namespace citron
