#include "citron/protocol/suspect_check.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kNow(seconds(100));
const endpoint kFirst{"127.0.0.1", 1};
const endpoint kSecond{"127.0.0.1", 2};
const request_id kRequest("seven");
const request_id kOther("eight");

}  // namespace

BOOST_AUTO_TEST_CASE(EndsWithTheLastReply) {
  suspect_check checks;
  const auto number = checks.Start(kRequest, {kFirst, kSecond}, kNow);
  BOOST_TEST_REQUIRE(number.has_value());
  BOOST_TEST(checks.NextTimer().has_value());
  BOOST_TEST(!checks.OnReply(*number, kFirst).has_value());
  BOOST_TEST(!checks.OnReply(*number, kFirst).has_value());
  BOOST_TEST((checks.OnReply(*number, kSecond) == kRequest));
  BOOST_TEST(!checks.OnReply(*number, kSecond).has_value());
  BOOST_TEST(!checks.NextTimer().has_value());
}

// Guards against a request that waits for a dispatch that is cut off.
BOOST_AUTO_TEST_CASE(EndsAtItsDeadlineWithoutAReply) {
  suspect_check checks;
  const auto number = checks.Start(kRequest, {kFirst, kSecond}, kNow);
  checks.Start(kOther, {kFirst}, kNow + milliseconds(10));
  checks.OnReply(*number, kFirst);
  const auto deadline = checks.NextTimer();
  BOOST_TEST_REQUIRE(deadline.has_value());
  BOOST_TEST((*deadline <= kNow + seconds(2)));
  BOOST_TEST(checks.OnTimer(*deadline - milliseconds(1)).empty());
  BOOST_TEST((checks.OnTimer(*deadline) == std::vector<request_id>{kRequest}));
  BOOST_TEST(!checks.OnReply(*number, kSecond).has_value());
  BOOST_TEST((checks.NextTimer() == *deadline + milliseconds(10)));
}

// Guards against a reply to the query of an earlier crash that confirms the
// report of a later one: two copies of a request are lost in two crashes, and
// each needs replies of its own.
BOOST_AUTO_TEST_CASE(ReplyConfirmsItsOwnQueryAlone) {
  suspect_check checks;
  const auto first = checks.Start(kRequest, {kFirst}, kNow);
  const auto second = checks.Start(kOther, {kFirst}, kNow);
  BOOST_TEST_REQUIRE((first.has_value() && second.has_value()));
  BOOST_TEST((*first != *second));
  BOOST_TEST((checks.OnReply(*first, kFirst) == kRequest));
  BOOST_TEST(checks.NextTimer().has_value());
  BOOST_TEST((checks.OnReply(*second, kFirst) == kOther));
}

BOOST_AUTO_TEST_CASE(NoQueryWithoutPeers) {
  suspect_check checks;
  BOOST_TEST(!checks.Start(kRequest, {}, kNow).has_value());
  BOOST_TEST(!checks.NextTimer().has_value());
}

}  // namespace citron
