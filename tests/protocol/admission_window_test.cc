#include "citron/protocol/admission_window.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr monotonic_time kStart{std::chrono::hours(1)};

// Guards against requests that leave the count before they leave the window.
BOOST_AUTO_TEST_CASE(RequestsCountForOneWindow) {
  admission_window window{seconds(5)};
  window.Advance(kStart);
  for (int i = 0; i < 10; ++i) window.Add();
  window.Advance(kStart + milliseconds(4999));
  BOOST_TEST(window.Count() == 10);
  window.Advance(kStart + milliseconds(5250));
  BOOST_TEST(window.Count() == 5);
  window.Advance(kStart + milliseconds(5500));
  BOOST_TEST(window.Count() == 0);
}

// Guards against a request that is taken back twice, or after it has left.
BOOST_AUTO_TEST_CASE(ARequestIsTakenBackOnce) {
  admission_window window{seconds(5)};
  window.Advance(kStart);
  window.Add();
  window.Advance(kStart + seconds(1));
  window.Add();
  window.Remove(kStart);
  window.Remove(kStart);
  BOOST_TEST(window.Count() == 1);
  window.Advance(kStart + seconds(20));
  window.Remove(kStart + seconds(1));
  BOOST_TEST(window.Count() == 0);
}

// Guards against times without room: the count at that time is the limit.
BOOST_AUTO_TEST_CASE(TheTimeOfALimitIsWhenTheCountReachesIt) {
  admission_window window{seconds(5)};
  for (int i = 0; i < 40; ++i) {
    window.Advance(kStart + i * milliseconds(100));
    window.Add();
  }
  for (const double limit : {0.0, 7.5, 21.0, 39.0}) {
    admission_window later = window;
    later.Advance(window.WhenAtMost(limit));
    BOOST_TEST(later.Count() <= limit + 0.01);
    BOOST_TEST(later.Count() >= limit - 0.01);
  }
}

}  // namespace
}  // namespace citron
