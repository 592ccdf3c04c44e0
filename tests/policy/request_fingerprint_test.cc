#include "citron/policy/request_fingerprint.h"

#include <boost/test/unit_test.hpp>

namespace citron {

BOOST_AUTO_TEST_CASE(OnlyEqualRequestsShareAFingerprint) {
  const workspace_id depot("depot");
  const std::uint64_t fingerprint = RequestFingerprint(depot, "GET", "/a", "x");
  BOOST_TEST(fingerprint == RequestFingerprint(depot, "GET", "/a", "x"));
  BOOST_TEST(fingerprint !=
             RequestFingerprint(workspace_id("other"), "GET", "/a", "x"));
  BOOST_TEST(fingerprint != RequestFingerprint(depot, "POST", "/a", "x"));
  BOOST_TEST(fingerprint != RequestFingerprint(depot, "GET", "/b", "x"));
  BOOST_TEST(fingerprint != RequestFingerprint(depot, "GET", "/a", "y"));
}

}  // namespace citron
