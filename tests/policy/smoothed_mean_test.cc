#include "citron/policy/smoothed_mean.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

namespace citron {
namespace {

namespace tt = boost::test_tools;

constexpr double kStandardErrors = 2;

smoothed_mean Of(std::initializer_list<double> values) {
  smoothed_mean mean(0.1);
  for (const double value : values) mean.Add(value);
  return mean;
}

}  // namespace

BOOST_AUTO_TEST_CASE(FirstValuesHaveEqualWeights) {
  const smoothed_mean mean = Of({1, 2, 3, 6});
  BOOST_TEST(mean.Samples() == 4);
  BOOST_TEST(mean.Mean() == 3.0, tt::tolerance(1e-9));
  BOOST_TEST(mean.Variance() == 3.5, tt::tolerance(1e-9));
  BOOST_TEST(mean.EquivalentSamples() == 4);
}

BOOST_AUTO_TEST_CASE(FollowsAChange) {
  smoothed_mean mean(0.1);
  for (int i = 0; i < 100; ++i) mean.Add(1);
  BOOST_TEST(mean.Variance() == 0);
  for (int i = 0; i < 100; ++i) mean.Add(5);
  BOOST_TEST(mean.Mean() == 5.0, tt::tolerance(0.01));
  BOOST_TEST(mean.EquivalentSamples() == 19, tt::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(EqualValuesAreComparedByTheirMeans) {
  BOOST_TEST(IsAboveMultiple(Of({9, 9}), 4, Of({2, 2}), kStandardErrors));
  BOOST_TEST(!IsAboveMultiple(Of({7, 7}), 4, Of({2, 2}), kStandardErrors));
  BOOST_TEST(!IsAboveMultiple(Of({7, 7}), 4, Of({}), kStandardErrors));
  BOOST_TEST(!IsAboveMultiple(Of({}), 4, Of({2, 2}), kStandardErrors));
}

// Guards against a verdict by chance: a few low values of a series that has
// high ones as often.
BOOST_AUTO_TEST_CASE(FewValuesOfAWideSpreadProveNothing) {
  const smoothed_mean mixed = Of({0, 2, 0, 2, 0, 2, 0, 2});
  const smoothed_mean low = Of({0.05, 0.05, 0.05, 0.05});
  BOOST_TEST(mixed.Mean() > 4 * low.Mean());
  BOOST_TEST(!IsAboveMultiple(mixed, 4, low, kStandardErrors));
}

// Guards against a verdict on two series of the same kind, however long.
BOOST_AUTO_TEST_CASE(TwoSeriesOfOneKindAreAlike) {
  constexpr int kMinSamples = 9;
  pcg32 random(4);
  smoothed_mean a(0.05);
  smoothed_mean b(0.05);
  for (int i = 0; i < 100000; ++i) {
    a.Add(random(2) == 0 ? 0.05 : 1.95);
    b.Add(random(2) == 0 ? 0.05 : 1.95);
    if (a.Samples() < kMinSamples) continue;
    BOOST_TEST_REQUIRE(!IsAboveMultiple(a, 4, b, kStandardErrors),
                       "after " << i);
  }
}

}  // namespace citron
