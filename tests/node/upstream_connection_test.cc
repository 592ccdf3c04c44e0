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

class slow_upstream_fixture : public node_fixture {
 public:
  std::string Upload(std::size_t bytes) {
    raw_caller caller(settings_.callers);
    const std::string text =
        Request("POST", "/book/1", "", std::string(bytes, 'b'));
    std::size_t sent = 0;
    BOOST_REQUIRE(RunUntil([&] {
      sent += caller.SendSome(std::string_view(text).substr(sent));
      return sent == text.size() || caller.IsClosed();
    }));
    return Wait(caller);
  }
};

BOOST_FIXTURE_TEST_SUITE(slow_upstream, slow_upstream_fixture)

// Guards against a limit of the kernel that takes an upstream that reads slowly
// for a dead one.
BOOST_AUTO_TEST_CASE(AnUpstreamThatPausesGetsTheWholeBody) {
  scripted_upstream& upstream =
      AddUpstream("u1", [](const std::string& request) {
        return scripted_answer{GoodAnswer(request, "whole")};
      });
  upstream.ReadOnlyAfter(kPause);
  Start();
  BOOST_TEST(StatusOf(Upload(kLongBody)) == "200");
  BOOST_REQUIRE(upstream.Requests().size() == 1u);
  BOOST_TEST(upstream.Requests()[0].size() > kLongBody);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
