#include "citron/platform/retry_backoff.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace citron {
namespace {

const monotonic_time kStart{};

// The store was down for a while and is back. Daemons that all come in the
// same moment push it over again, and the outage goes on for everyone.
BOOST_AUTO_TEST_CASE(ManyClientsSpreadTheirAttempts) {
  constexpr int kClients = 1000;
  constexpr int kTenths = 10;
  std::array<int, kTenths> attempts{};
  for (int seed = 0; seed < kClients; ++seed) {
    retry_backoff backoff({}, static_cast<std::uint64_t>(seed));
    duration wait{};
    for (int i = 0; i < 12; ++i) wait = backoff.NextAttempt(kStart) - kStart;
    const auto tenth = static_cast<std::size_t>(ToSeconds(wait) * 2);
    ++attempts.at(std::min<std::size_t>(tenth, kTenths - 1));
  }
  for (const int in_tenth : attempts) {
    BOOST_TEST(in_tenth > kClients / kTenths / 2);
    BOOST_TEST(in_tenth < kClients / kTenths * 2);
  }
}

BOOST_AUTO_TEST_CASE(WaitsAreBoundedAndStartAgain) {
  const retry_backoff_limits limits{std::chrono::milliseconds(100),
                                    std::chrono::seconds(5)};
  retry_backoff backoff(limits, 1);
  for (int i = 0; i < 100; ++i) {
    const duration wait = backoff.NextAttempt(kStart) - kStart;
    BOOST_TEST((wait >= limits.first / 2));
    BOOST_TEST((wait <= limits.longest));
  }
  backoff.Reset();
  BOOST_TEST((backoff.NextAttempt(kStart) - kStart <= limits.first));
}

BOOST_AUTO_TEST_CASE(SameSeedWaitsAlike) {
  retry_backoff one({}, 7);
  retry_backoff other({}, 7);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST((one.NextAttempt(kStart) == other.NextAttempt(kStart)));
  }
}

}  // namespace
}  // namespace citron
