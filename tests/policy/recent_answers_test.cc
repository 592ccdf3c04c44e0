#include "citron/policy/recent_answers.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::seconds;

constexpr monotonic_time kNow{seconds(10)};

}  // namespace

BOOST_AUTO_TEST_CASE(AnAnswerCountsForEarlierTimesOnly) {
  recent_answers answers(8);
  BOOST_TEST(!answers.IsAnsweredSince(0, kNow));
  answers.Add(7, kNow);
  BOOST_TEST(answers.IsAnsweredSince(7, kNow - seconds(1)));
  BOOST_TEST(!answers.IsAnsweredSince(7, kNow + seconds(1)));
  BOOST_TEST(!answers.IsAnsweredSince(6, kNow - seconds(1)));
}

// Guards against confusing two requests whose fingerprints share a slot.
BOOST_AUTO_TEST_CASE(AnotherRequestInTheSameSlotReplacesIt) {
  recent_answers answers(8);
  answers.Add(7, kNow);
  answers.Add(15, kNow);
  BOOST_TEST(!answers.IsAnsweredSince(7, kNow));
  BOOST_TEST(answers.IsAnsweredSince(15, kNow));
}

}  // namespace citron
