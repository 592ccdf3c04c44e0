#include "citron/protocol/suspect_check.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kNow(seconds(100));
const endpoint kFirst{"127.0.0.1", 1};
const endpoint kSecond{"127.0.0.1", 2};

}  // namespace

BOOST_AUTO_TEST_CASE(EndsWithTheLastReply) {
  suspect_check checks;
  const auto number = checks.Start(7, {kFirst, kSecond}, kNow);
  BOOST_TEST_REQUIRE(number.has_value());
  BOOST_TEST(checks.IsOpen(7));
  BOOST_TEST(!checks.OnReply(*number, kFirst).has_value());
  BOOST_TEST(!checks.OnReply(*number, kFirst).has_value());
  BOOST_TEST((checks.OnReply(*number, kSecond) == 7u));
  BOOST_TEST(!checks.IsOpen(7));
  BOOST_TEST(!checks.NextTimer().has_value());
}

// Guards against a request that waits for a dispatch that is cut off.
BOOST_AUTO_TEST_CASE(EndsAtItsDeadlineWithoutAReply) {
  suspect_check checks;
  const auto number = checks.Start(7, {kFirst, kSecond}, kNow);
  checks.Start(8, {kFirst}, kNow + milliseconds(10));
  checks.OnReply(*number, kFirst);
  const auto deadline = checks.NextTimer();
  BOOST_TEST_REQUIRE(deadline.has_value());
  BOOST_TEST((*deadline <= kNow + milliseconds(250)));
  BOOST_TEST(checks.OnTimer(*deadline - milliseconds(1)).empty());
  BOOST_TEST((checks.OnTimer(*deadline) == std::vector<std::uint64_t>{7}));
  BOOST_TEST(!checks.OnReply(*number, kSecond).has_value());
  BOOST_TEST(checks.IsOpen(8));
}

BOOST_AUTO_TEST_CASE(OneQueryForAFingerprintAndNoneWithoutPeers) {
  suspect_check checks;
  BOOST_TEST(!checks.Start(7, {}, kNow).has_value());
  BOOST_TEST(checks.Start(7, {kFirst}, kNow).has_value());
  BOOST_TEST(!checks.Start(7, {kFirst}, kNow).has_value());
  BOOST_TEST(checks.Start(8, {kFirst}, kNow).has_value());
}

}  // namespace citron
