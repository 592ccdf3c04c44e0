#include "citron/protocol/planned_stop.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class stop_fixture {
 public:
  monotonic_time After(duration passed) const { return began_at_ + passed; }
  // A request that arrives then and is due `left` later.
  bool MayPassOn(duration at, duration left) const {
    return stop_.MayPassOn(After(at + left), After(at));
  }

  // Parts of a period are rounded.
  bool IsNear(monotonic_time time, duration passed) const {
    return std::chrono::abs(time - After(passed)) < milliseconds(1);
  }

  monotonic_time began_at_{std::chrono::hours(1)};
  planned_stop stop_;
};

BOOST_FIXTURE_TEST_SUITE(stop, stop_fixture)

BOOST_AUTO_TEST_CASE(PassesAllOnBeforeItBegins) {
  BOOST_TEST(MayPassOn(seconds(0), seconds(100)));
  BOOST_TEST(stop_.Listens(After(seconds(100))));
}

// Guards against requests that the end of the process cuts.
BOOST_AUTO_TEST_CASE(LateRequestsArePassedOnIfTheyAreDueBeforeTheEnd) {
  stop_.Begin({seconds(6), seconds(3)}, began_at_);
  BOOST_TEST(MayPassOn(milliseconds(2700), seconds(12)));
  BOOST_TEST(!MayPassOn(milliseconds(2750), milliseconds(2860)));
  BOOST_TEST(MayPassOn(milliseconds(2750), milliseconds(2840)));
  BOOST_TEST(!MayPassOn(milliseconds(5650), seconds(1)));
}

BOOST_AUTO_TEST_CASE(ListensForAPartOfTheGracePeriod) {
  stop_.Begin({seconds(10), seconds(3)}, began_at_);
  BOOST_TEST(stop_.Listens(After(milliseconds(5490))));
  BOOST_TEST(!stop_.Listens(After(milliseconds(5510))));
  BOOST_TEST(IsNear(stop_.EndsAt(), milliseconds(9500)));
}

// Guards against a repeated signal that moves the end past the kill.
BOOST_AUTO_TEST_CASE(ASecondBeginMovesNothing) {
  stop_.Begin({seconds(6), seconds(3)}, began_at_);
  stop_.Begin({seconds(6), seconds(3)}, After(seconds(2)));
  BOOST_TEST(IsNear(stop_.EndsAt(), milliseconds(5700)));
  BOOST_TEST((stop_.BeganAt() == began_at_));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
