#include "citron/config/routing_config.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

route_config Route(const char* id, const char* host, const char* prefix) {
  route_config route;
  route.id = route_id(id);
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

routing_config Sample() {
  routing_config config;
  config.routes = {Route("all", "a.example", "/x/"),
                   Route("deep", "a.example", "/x/y/"),
                   Route("other", "b.example", "/x/")};
  config.workspaces.push_back({workspace_id("depot"), {"k1", "k2"}});
  config.Index();
  return config;
}

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins) {
  const routing_config config = Sample();
  BOOST_TEST(config.MatchRoute("a.example", "/x/y/z")->id.Str() == "deep");
  BOOST_TEST(config.MatchRoute("a.example", "/x/z")->id.Str() == "all");
  BOOST_TEST(config.MatchRoute("b.example", "/x/y/z")->id.Str() == "other");
}

BOOST_AUTO_TEST_CASE(NothingMatchesOutsideTheRoutes) {
  const routing_config config = Sample();
  BOOST_TEST(config.MatchRoute("a.example", "/x") == nullptr);
  BOOST_TEST(config.MatchRoute("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(EachKeyHasItsWorkspace) {
  const routing_config config = Sample();
  BOOST_TEST(config.FindWorkspace("k2")->id.Str() == "depot");
  BOOST_TEST(config.FindWorkspace("k3") == nullptr);
}

// A copy must not look things up in the original, which may be gone.
BOOST_AUTO_TEST_CASE(ACopyFindsItsOwnRoutes) {
  const routing_config copy = routing_config(Sample());
  BOOST_TEST(copy.MatchRoute("a.example", "/x/z") == &copy.routes[0]);
}

}  // namespace
}  // namespace citron
