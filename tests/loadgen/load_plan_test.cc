#include "citron/loadgen/load_plan.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

std::string PlanWith(const std::string& entry) {
  return R"({"entries":[")" + entry +
         R"("],"workspaces":[{"name":"a","rate_per_s":1,"burst":1}],)"
         R"("requests":[{"service":"s","class":"c","path_prefix":"/p",)"
         R"("mix":1}]})";
}

// Someone runs the tool with a plan that names a machine on the network. Load
// must never leave the own machine.
BOOST_AUTO_TEST_CASE(OnlyLoopbackIsATarget) {
  BOOST_TEST(IsOk(ParseLoadPlan(PlanWith("127.20.1.1:7200"))));
  for (const char* entry : {"10.0.0.1:80", "128.0.0.1:80", "127.0.0.1",
                            "localhost:80", "127.evil.example:80", ""}) {
    BOOST_TEST(!IsOk(ParseLoadPlan(PlanWith(entry))), entry);
  }
  const auto lookup = ParseLookup(
      R"({"vms":[{"address":"10.0.0.1:80"},{"address":"127.0.0.2:80",)"
      R"("weight":3}],"expires_ms":500})");
  BOOST_REQUIRE(IsOk(lookup));
  BOOST_TEST(ValueOf(lookup).entries.size() == 1u);
  BOOST_TEST(!IsOk(ParseLookup(R"({"vms":[{"address":"10.0.0.1:80"}]})")));
}

BOOST_AUTO_TEST_CASE(EachWorkspaceNeedsAKey) {
  auto plan = ParseLoadPlan(PlanWith("127.0.0.1:80"));
  BOOST_REQUIRE(IsOk(plan));
  BOOST_TEST(!IsOk(AddKeys("b k1\n", ValueOf(plan))));
  BOOST_TEST(IsOk(AddKeys("b k1\na k2\n", ValueOf(plan))));
  BOOST_TEST(ValueOf(plan).workspaces[0].key == "k2");
}

BOOST_AUTO_TEST_CASE(RequestIdsAreRead) {
  const auto ids = ParseRequestIds(R"({"ids":["x","y"],"expires_ms":9})");
  BOOST_REQUIRE(IsOk(ids));
  BOOST_TEST(ValueOf(ids).size() == 2u);
  BOOST_TEST(!IsOk(ParseRequestIds(R"({"ids":[]})")));
  BOOST_TEST(!IsOk(ParseRequestIds(R"({"ids":[1]})")));
}

}  // namespace
}  // namespace citron
