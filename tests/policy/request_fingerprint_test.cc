#include "citron/policy/request_fingerprint.h"

#include <boost/test/unit_test.hpp>

namespace citron {

BOOST_AUTO_TEST_CASE(OnlyRequestsThatAreAlikeShareAFingerprint) {
  const workspace_id depot("depot");
  const std::uint64_t one = RequestFingerprint(depot, "GET", "/a", "x");
  BOOST_TEST(one == RequestFingerprint(depot, "GET", "/a", "x"));
  BOOST_TEST(one !=
             RequestFingerprint(workspace_id("other"), "GET", "/a", "x"));
  BOOST_TEST(one != RequestFingerprint(depot, "POST", "/a", "x"));
  BOOST_TEST(one != RequestFingerprint(depot, "GET", "/b", "x"));
  BOOST_TEST(one != RequestFingerprint(depot, "GET", "/a", "y"));
}

}  // namespace citron
