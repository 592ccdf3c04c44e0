#include "citron/policy/service_time_estimate.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>
#include <random>

namespace citron {
namespace {

constexpr double kWarmS = 0.1;
constexpr double kColdS = 0.36;

// Serves `requests` objects, of which the fraction `cold_fraction` is cold.
void Serve(service_time_estimate& estimate, int requests, double cold_fraction,
           pcg32& random) {
  std::normal_distribution<double> jitter(1, 0.15);
  std::bernoulli_distribution is_cold(cold_fraction);
  for (int i = 0; i < requests; ++i) {
    const double service_time_s = is_cold(random) ? kColdS : kWarmS;
    estimate.AddSample(
        FromSeconds(service_time_s * std::max(0.3, jitter(random))));
  }
}

bool IsNear(const service_time_estimate& estimate, double seconds) {
  const double median = ToSeconds(estimate.Median());
  return median > 0.8 * seconds && median < 1.25 * seconds;
}

BOOST_AUTO_TEST_SUITE(service_time_estimates)

BOOST_AUTO_TEST_CASE(FewSamplesGiveNoEstimate) {
  service_time_estimate estimate;
  for (int i = 0; i < 5; ++i) estimate.AddSample(FromSeconds(kWarmS));
  BOOST_TEST((estimate.Median() == duration::zero()));
}

// One object in four is cold: the mean is 1.65 times the service time of a warm
// object.
BOOST_AUTO_TEST_CASE(ColdObjectsDoNotMoveTheMedian) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    pcg32 random(seed);
    service_time_estimate estimate;
    Serve(estimate, 300, 0.25, random);
    BOOST_TEST(IsNear(estimate, kWarmS));
  }
}

// A service is cold after its start. Without following the change, the estimate
// would treat the service as slow forever.
BOOST_AUTO_TEST_CASE(TheMedianFollowsAServiceThatBecomesWarm) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    pcg32 random(seed);
    service_time_estimate estimate;
    Serve(estimate, 100, 1, random);
    BOOST_TEST(IsNear(estimate, kColdS));
    Serve(estimate, 100, 0, random);
    BOOST_TEST(IsNear(estimate, kWarmS));
  }
}

BOOST_AUTO_TEST_CASE(SingleOutliersDoNotMoveTheMedian) {
  pcg32 random(1);
  service_time_estimate estimate;
  Serve(estimate, 100, 0, random);
  for (int i = 0; i < 3; ++i) estimate.AddSample(std::chrono::minutes(10));
  BOOST_TEST(IsNear(estimate, kWarmS));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
