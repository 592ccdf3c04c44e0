#include "citron/config/fleet_config.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

std::string ProblemOf(const std::string& key, const std::string& json) {
  const status checked = CheckConfigObject(key, json);
  return IsOk(checked) ? "" : ErrorOf(checked).message;
}

BOOST_AUTO_TEST_CASE(ContractIsRead) {
  fleet_config config;
  const status applied =
      ApplyConfigObject(config, "config/contract/lampa",
                        R"({"rate_per_s": 50, "burst": 100, "weight": 2,
          "default_deadline_ms": 1500, "time_zone": "America/Santiago",
          "patience": [{"service": "yard-desk", "from_minute": 300,
                        "to_minute": 540, "deadline_ms": 400}]})");
  BOOST_REQUIRE(IsOk(applied));
  const contract* read = config.FindContract(workspace_id("lampa"));
  BOOST_REQUIRE(read != nullptr);
  BOOST_TEST(read->rate_per_s == 50);
  BOOST_TEST(read->patience.size() == 1u);
  BOOST_TEST((read->patience[0].deadline == FromMilliseconds(400)));
}

BOOST_AUTO_TEST_CASE(RemovalTakesTheObjectOut) {
  fleet_config config;
  ApplyConfigObject(config, "config/drain/vm/a", "{}");
  BOOST_TEST(config.drained_vms.contains(vm_id("a")));
  ApplyConfigObject(config, "config/drain/vm/a", "");
  BOOST_TEST(!config.drained_vms.contains(vm_id("a")));
}

// Tables of blocks are large. Made anew with each contract that changes, they
// would stop every look-up for a moment.
BOOST_AUTO_TEST_CASE(ClientVersionGrowsOnlyWithBlocks) {
  fleet_config config;
  const std::string group = "config/clients/chile";
  const std::string blocks =
      R"({"blocks": {"10.0.0.0/8": {"region": "santiago"}}})";
  BOOST_REQUIRE(IsOk(ApplyConfigObject(config, group, blocks)));
  const std::uint64_t first = config.client_version;
  BOOST_TEST(first > 0u);
  ApplyConfigObject(config, "config/drain/vm/a", "{}");
  ApplyConfigObject(config, "config/contract/w",
                    R"({"rate_per_s": 1, "burst": 1})");
  BOOST_TEST(config.client_version == first);
  BOOST_REQUIRE(IsOk(ApplyConfigObject(config, group, "")));
  BOOST_TEST(config.client_version > first);
  BOOST_TEST(config.client_blocks.empty());
}

// An operator mistypes a contract. The message has to name the place, since
// the file may hold hundreds of lines.
BOOST_AUTO_TEST_CASE(ErrorsNameThePath) {
  const std::string key = "config/contract/w";
  BOOST_TEST(ProblemOf(key, R"({"rate_per_s": 1, "burst": 1, "wieght": 2})") ==
             "wieght: unknown field, with value 2");
  BOOST_TEST(ProblemOf(key, R"({"rate_per_s": "1", "burst": 1})") ==
             "rate_per_s: expected a number, got \"1\"");
  BOOST_TEST(ProblemOf(key, R"({"rate_per_s": 1})") == "burst: missing");
  BOOST_TEST(ProblemOf(key, R"({"rate_per_s": 1, "burst": 1,
      "patience": [{"service": "s", "deadline_ms": -1}]})") ==
             "patience[0].deadline_ms: -1 is outside 1 to 86400000");
  BOOST_TEST(ProblemOf(key, "{") == "not valid JSON");
  BOOST_TEST(ProblemOf("config/nonsense", "{}") ==
             "config/nonsense is no key of the configuration");
}

BOOST_AUTO_TEST_CASE(DeepJsonIsAnError) {
  BOOST_TEST(ProblemOf("config/topology", std::string(100000, '[')) ==
             "JSON text is nested too deeply");
}

}  // namespace
}  // namespace citron
