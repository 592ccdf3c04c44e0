#include "citron/policy/link_budget.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 300e6 / 8;

}  // namespace

// Look-ups, reports and photo bundles all want to cross at once, far more than
// the link carries. Whatever the mix, no stretch of time may see more bytes
// than its rate allows, beyond the burst and one transfer.
BOOST_AUTO_TEST_CASE(NeverMoreThanItsPartOfTheLink) {
  link_budget link(kRate, milliseconds(200));
  link.SetShare(0.25, monotonic_time());
  pcg32 random(9);
  double taken = 0;
  const std::vector<std::uint64_t> sizes = {4'000, 300'000, 100'000'000};
  for (duration now{}; now < seconds(100); now += milliseconds(2)) {
    const std::uint64_t bytes = sizes[random(3)];
    if (link.TryTake(bytes, monotonic_time(now))) taken += bytes;
    const double most = 0.25 * kRate * (ToSeconds(now) + 0.2) + sizes.back();
    BOOST_TEST_REQUIRE(taken <= most);
  }
  BOOST_TEST(taken > 0.9 * 0.25 * kRate * 100);
}

BOOST_AUTO_TEST_CASE(NothingCrossesWithoutAShare) {
  link_budget link(kRate, milliseconds(200));
  const monotonic_time now{seconds(5)};
  BOOST_TEST(!link.TryTake(1, now));
  BOOST_TEST((link.AvailableAt(1, now) == monotonic_time::max()));
}

BOOST_AUTO_TEST_CASE(SaysWhenThereIsRoom) {
  link_budget link(kRate, milliseconds(200));
  link.SetShare(1, monotonic_time());
  const monotonic_time now{seconds(5)};
  BOOST_TEST(link.TryTake(100'000'000, now));
  BOOST_TEST(!link.TryTake(1000, now));
  const monotonic_time at = link.AvailableAt(1000, now);
  BOOST_TEST(!link.CanTake(1000, at - milliseconds(1)));
  BOOST_TEST(link.TryTake(1000, at));
}

// Answers turn out larger than was thought. The excess must come out of what
// crosses next, or the link is overrun by each wrong guess.
BOOST_AUTO_TEST_CASE(WrongGuessesArePaidBack) {
  link_budget link(kRate, milliseconds(200));
  link.SetShare(1, monotonic_time());
  const monotonic_time now{seconds(5)};
  BOOST_TEST(link.TryTake(1000, now));
  link.Settle(1000, 40'000'000, now);
  BOOST_TEST(!link.CanTake(1, now + milliseconds(500)));
  BOOST_TEST(link.CanTake(1, now + seconds(2)));
}

}  // namespace citron
