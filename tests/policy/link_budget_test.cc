#include "citron/policy/link_budget.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLinkBytesPerS = 300e6 / 8;

}  // namespace

// Look-ups, reports and photo bundles demand far more than the link carries.
// Whatever the mix, the bytes taken since the start never exceed the rate, plus
// the burst and one transfer.
BOOST_AUTO_TEST_CASE(StaysWithinItsShareOfTheLink) {
  link_budget link(kLinkBytesPerS, milliseconds(200));
  link.SetShare(0.25, monotonic_time());
  pcg32 random(9);
  double taken = 0;
  const std::vector<std::uint64_t> sizes = {4'000, 300'000, 100'000'000};
  for (duration now{}; now < seconds(100); now += milliseconds(2)) {
    const std::uint64_t bytes = sizes[random(3)];
    if (link.TryTake(bytes, monotonic_time(now))) taken += bytes;
    const double max_bytes =
        0.25 * kLinkBytesPerS * (ToSeconds(now) + 0.2) + sizes.back();
    BOOST_TEST_REQUIRE(taken <= max_bytes);
  }
  BOOST_TEST(taken > 0.9 * 0.25 * kLinkBytesPerS * 100);
}

BOOST_AUTO_TEST_CASE(TakesNothingWithoutAShare) {
  link_budget link(kLinkBytesPerS, milliseconds(200));
  const monotonic_time now{seconds(5)};
  BOOST_TEST(!link.TryTake(1, now));
  BOOST_TEST((link.AvailableAt(1, now) == monotonic_time::max()));
}

BOOST_AUTO_TEST_CASE(AvailableAtIsWithinOneMillisecond) {
  link_budget link(kLinkBytesPerS, milliseconds(200));
  link.SetShare(1, monotonic_time());
  const monotonic_time now{seconds(5)};
  BOOST_TEST(link.TryTake(100'000'000, now));
  BOOST_TEST(!link.TryTake(1000, now));
  const monotonic_time at = link.AvailableAt(1000, now);
  BOOST_TEST(!link.CanTake(1000, at - milliseconds(1)));
  BOOST_TEST(link.TryTake(1000, at));
}

// Responses are larger than expected. The excess must be charged to later
// transfers, or each wrong estimate overruns the link.
BOOST_AUTO_TEST_CASE(UnderestimatesArePaidBack) {
  link_budget link(kLinkBytesPerS, milliseconds(200));
  link.SetShare(1, monotonic_time());
  const monotonic_time now{seconds(5)};
  BOOST_TEST(link.TryTake(1000, now));
  link.Settle(1000, 40'000'000, now);
  BOOST_TEST(!link.CanTake(1, now + milliseconds(500)));
  BOOST_TEST(link.CanTake(1, now + seconds(2)));
}

}  // namespace citron
