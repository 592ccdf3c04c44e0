#include "citron/policy/working_set.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

#include "citron/base/digest.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class set_fixture {
 public:
  // Asks for `requests` objects out of `objects` in the course of `span`.
  void Ask(int requests, int objects, duration span) {
    for (int i = 0; i < requests; ++i) {
      now_ += span / requests;
      const auto object = random_(static_cast<std::uint32_t>(objects));
      set_.OnRequest(HashBytes(std::to_string(object)), now_);
    }
  }

  monotonic_time now_{std::chrono::hours(1)};
  pcg32 random_{1};
  working_set set_;
};

BOOST_FIXTURE_TEST_SUITE(objects, set_fixture)

// Guards against VMs of a region that disagree since some see few requests.
BOOST_AUTO_TEST_CASE(ASampledVmFindsAsManyObjectsAsTheOthers) {
  Ask(120, 254, seconds(8));
  BOOST_TEST(set_.IsKnown(now_));
  BOOST_TEST(set_.Objects(now_) > 200);
  BOOST_TEST(set_.Objects(now_) < 450);
  Ask(3000, 254, seconds(8));
  BOOST_TEST(set_.Objects(now_) > 254);
  BOOST_TEST(set_.Objects(now_) < 280);
}

// Guards against an estimate from requests that hardly repeat an object.
BOOST_AUTO_TEST_CASE(AFewRequestsAreNoEstimate) {
  Ask(20, 254, seconds(9));
  BOOST_TEST(!set_.IsKnown(now_));
}

// Guards against objects that are counted long after they were asked for.
BOOST_AUTO_TEST_CASE(AnIdleServiceHasNoKnownObjects) {
  Ask(600, 100, seconds(5));
  BOOST_TEST(set_.IsKnown(now_));
  now_ += seconds(10);
  BOOST_TEST(!set_.IsKnown(now_));
  BOOST_TEST(set_.Objects(now_) == 0);
}

// Guards against unbounded memory, and against a sample that stays small once
// many objects were asked for.
BOOST_AUTO_TEST_CASE(ManyObjectsAreSampledUntilTheyAreFewAgain) {
  Ask(60'000, 10'000, seconds(9));
  BOOST_TEST(set_.Objects(now_) > 8'000);
  BOOST_TEST(set_.Objects(now_) < 14'000);
  Ask(80'000, 200, seconds(80));
  BOOST_TEST(set_.IsKnown(now_));
  BOOST_TEST(set_.Objects(now_) > 150);
  BOOST_TEST(set_.Objects(now_) < 260);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
