#include "citron/policy/shift_ramp.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <pcg_random.hpp>
#include <vector>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

shift_ramp_options Options() {
  shift_ramp_options options;
  options.cap_per_s = 100;
  options.ramp = seconds(20);
  return options;
}

}  // namespace

// A region is drained, and twelve entry VMs in other regions shift all of their
// traffic at once, each using its permits at any time of their lifetime. If
// each VM had a cap of its own, the receiving region would be overloaded with
// cold caches.
BOOST_AUTO_TEST_CASE(ManySendersStayWithinTheCapInEveryWindow) {
  const shift_ramp_options options = Options();
  shift_ramp ramp(options);
  pcg32 random(5);
  std::vector<duration> arrivals;
  for (duration now{}; now < seconds(60); now += milliseconds(5)) {
    const vm_id sender("vm-" + std::to_string(random(12)));
    const shift_permit permit =
        ramp.Grant(sender, 1 + random(30), monotonic_time(now));
    for (int i = 0; i < permit.count; ++i) {
      const double fraction = std::ldexp(random(), -32);
      arrivals.push_back(now +
                         FromSeconds(ToSeconds(permit.lifetime) * fraction));
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= options.window) ++first;
    const double cap = ramp.CapAt(monotonic_time(arrivals[last]));
    BOOST_TEST_REQUIRE(static_cast<double>(last - first + 1) <= cap);
  }
  // The limit for window + lifetime leaves four fifths of the cap, or 80 per
  // second. The rest is the cost of permits that may be used after the window.
  const auto late =
      std::lower_bound(arrivals.begin(), arrivals.end(), duration(seconds(30)));
  BOOST_TEST((arrivals.end() - late) / 30.0 > 75);
}

BOOST_AUTO_TEST_CASE(StartsLowAndRestartsWhenCachesAreColdAgain) {
  shift_ramp ramp(Options());
  const monotonic_time start{seconds(100)};
  BOOST_TEST(ramp.Grant(vm_id("a"), 50, start).count == 10);
  BOOST_TEST(ramp.CapAt(start + seconds(20)) == 100);
  ramp.Grant(vm_id("a"), 50, start + seconds(20));
  BOOST_TEST(ramp.Grant(vm_id("a"), 50, start + seconds(200)).count == 10);
}

// One entry VM requests all permits before another one requests any. The other
// one must still get permits while the first keeps requesting.
BOOST_AUTO_TEST_CASE(NoSenderTakesAllPermits) {
  shift_ramp ramp(Options());
  int greedy = 0;
  int modest = 0;
  for (duration now{}; now < seconds(80); now += milliseconds(100)) {
    const int g = ramp.Grant(vm_id("greedy"), 1000, monotonic_time(now)).count;
    const int m = ramp.Grant(vm_id("modest"), 3, monotonic_time(now)).count;
    if (now < seconds(20)) continue;  // The ramp has not ended yet.
    greedy += g;
    modest += m;
  }
  BOOST_TEST(modest > 0.9 * 3 * 600);
  BOOST_TEST(greedy > modest);
}

}  // namespace citron
