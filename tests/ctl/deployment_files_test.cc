#include "citron/ctl/deployment_files.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "citron/ctl/declaration.h"
#include "citron/ctl/fleet_status.h"

namespace citron {
namespace {

constexpr char kDeployment[] = R"({
  "name": "test", "time_zone": "UTC",
  "regions": [
    {"name": "r1", "zones": [{"name": "z1", "entry_vms": 2},
                             {"name": "z2", "entry_vms": 1}]},
    {"name": "r2", "zones": [{"name": "z3", "entry_vms": 1}]}],
  "links": {"region_megabits_per_s": 300, "region_latency_ms": 35,
            "zone_latency_ms": 0.5, "client_latency_ms": 8},
  "services": [{"name": "desk", "upstreams": 7, "slots": 4,
    "max_connections": 350,
    "classes": [{"name": "c", "path_prefix": "/c", "expected_ms": 10,
                 "answer_bytes": 100, "mix": 1000}]}],
  "workspaces": [{"name": "w", "rate_per_s": 100, "burst": 50,
    "default_deadline_ms": 2000, "patience": [{"service": "desk",
    "from_minute": 300, "to_minute": 540, "deadline_ms": 400}]}],
  "small": {"upstreams_per_zone": 1, "rate_factor": 0.2}})";

deployment Parsed() {
  auto parsed = ParseDeployment(kDeployment);
  BOOST_REQUIRE(IsOk(parsed));
  return ValueOf(parsed);
}

file_set FilesOf(const deployment& deployed) {
  auto files = MakeDeploymentFiles(deployed, "127.20");
  BOOST_REQUIRE(IsOk(files));
  return ValueOf(files);
}

BOOST_AUTO_TEST_CASE(DeclarationsAreValidTogether) {
  const file_set files = FilesOf(Parsed());
  const auto declared =
      ParseDeclarations(files.at("declarations.json"), "declarations.json");
  BOOST_REQUIRE(IsOk(declared));
  std::map<std::string, std::string> objects;
  for (const declaration& one : ValueOf(declared)) {
    objects[one.Key()] = one.spec.dump();
  }
  BOOST_TEST(objects.size() == 1u + 7u + 1u);
  BOOST_TEST(FindConfigProblems(objects).empty());
  BOOST_TEST(IsOk(ParseFleetFile(files.at("fleet.json"))));
}

BOOST_AUTO_TEST_CASE(UpstreamsSpreadOverZones) {
  const file_set files = FilesOf(Parsed());
  for (const auto& [zone, count] :
       {std::pair{"z1", 3u}, std::pair{"z2", 2u}, std::pair{"z3", 2u}}) {
    const auto list = nlohmann::json::parse(
        files.at(std::string("upstreams-") + zone + ".json"));
    BOOST_TEST(list.size() == count);
  }
}

// Two daemons of one fleet listen at the same address: the second one dies at
// its start, and only the larger deployment shows it.
BOOST_AUTO_TEST_CASE(NoAddressIsUsedTwice) {
  std::set<std::string> seen;
  for (const auto& [name, text] : FilesOf(Parsed())) {
    if (!name.ends_with("/entry.json") && !name.ends_with("/control.json") &&
        !name.ends_with("/dispatch.json")) {
      continue;
    }
    const auto settings = nlohmann::json::parse(text);
    for (const char* member : {"peer_listen", "metrics_listen", "listen"}) {
      if (!settings.contains(member)) continue;
      BOOST_TEST(seen.insert(settings[member].get<std::string>()).second);
    }
  }
  BOOST_TEST(seen.size() == 4u * 8u);
}

BOOST_AUTO_TEST_CASE(SmallScaleKeepsZonesAndWorkspaces) {
  const deployment small = ScaleDown(Parsed());
  BOOST_TEST(small.zones.size() == 3u);
  BOOST_TEST(small.services[0].upstreams == 3);
  BOOST_TEST(small.workspaces[0].rate_per_s == 20);
  BOOST_TEST(FilesOf(small).contains("z1-1/entry.json"));
  BOOST_TEST(!FilesOf(small).contains("z1-2/entry.json"));
}

// Someone expands a deployment onto a network's addresses. Stand-ins and load
// must never leave the own machine.
BOOST_AUTO_TEST_CASE(OnlyLoopbackIsAccepted) {
  for (const char* base : {"10.1", "127", "127.300", "127.1.2", ""}) {
    BOOST_TEST(!IsOk(MakeDeploymentFiles(Parsed(), base)), base);
  }
}

BOOST_AUTO_TEST_CASE(MisspeltMemberIsNamed) {
  std::string text = kDeployment;
  text.replace(text.find("\"slots\""), 7, "\"slot\"");
  const auto parsed = ParseDeployment(text);
  BOOST_REQUIRE(!IsOk(parsed));
  BOOST_TEST(ErrorOf(parsed).message.find("slot") != std::string::npos);
}

}  // namespace
}  // namespace citron
