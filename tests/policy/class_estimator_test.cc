#include "citron/policy/class_estimator.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kNow{seconds(10)};

class_estimator Estimator() {
  return class_estimator({{"report", seconds(4)}}, milliseconds(50));
}

}  // namespace

BOOST_AUTO_TEST_CASE(StartsFromInitialMeansThenLearnsEachClass) {
  class_estimator estimator = Estimator();
  BOOST_TEST((estimator.Mean("report", kNow) == seconds(4)));
  BOOST_TEST((estimator.Mean("lookup", kNow) == milliseconds(50)));
  for (int i = 0; i < 50; ++i) {
    estimator.OnServed("lookup", milliseconds(20), kNow);
    estimator.OnServed("report", seconds(8), kNow);
  }
  BOOST_TEST(ToMilliseconds(estimator.Mean("lookup", kNow)) < 22);
  BOOST_TEST(ToSeconds(estimator.Mean("report", kNow)) > 7.8);
  BOOST_TEST(ToMilliseconds(estimator.Deviation("lookup")) < 3);
}

// Guards against a class that stays refused: a slow period raises the mean
// until every request of the class is refused, so no answer can lower the mean.
// The mean must decay without answers.
BOOST_AUTO_TEST_CASE(HighMeanDecaysWithoutAnswers) {
  class_estimator estimator = Estimator();
  for (int i = 0; i < 50; ++i) estimator.OnServed("lookup", seconds(9), kNow);
  BOOST_TEST(ToSeconds(estimator.Mean("lookup", kNow)) > 8);
  const monotonic_time later = kNow + seconds(60);
  BOOST_TEST(ToSeconds(estimator.Mean("lookup", later)) < 0.1);
}

}  // namespace citron
