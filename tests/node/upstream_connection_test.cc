#include "citron/node/upstream_connection.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "node/node_fixture.h"

namespace citron {
namespace {

// Longer than the kernel's limit for a peer that confirms nothing.
constexpr duration kPause = std::chrono::milliseconds(2500);
// More than the kernel holds.
constexpr std::size_t kLongBody = 4'000'000;

BOOST_FIXTURE_TEST_SUITE(slow_upstream, node_fixture)

// Guards against a limit of the kernel that takes an upstream that reads slowly
// for a dead one.
BOOST_AUTO_TEST_CASE(AnUpstreamThatPausesGetsTheWholeBody) {
  scripted_upstream& upstream =
      AddUpstream("u1", [](const std::string& request) {
        return scripted_answer{GoodAnswer(request, "whole")};
      });
  upstream.ReadOnlyAfter(kPause);
  Start();
  BOOST_TEST(StatusOf(Upload("/book/1", std::string(kLongBody, 'b'))) == "200");
  BOOST_REQUIRE(upstream.Requests().size() == 1u);
  BOOST_TEST(upstream.Requests()[0].size() > kLongBody);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
