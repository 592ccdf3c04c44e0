#include "citron/protocol/share_table.h"

#include <boost/test/unit_test.hpp>

namespace {

using citron::IsOk;
using citron::ParseShareTable;
using citron::share_table;
using citron::vm_id;

share_table TwoVms() {
  share_table table;
  table.FindOrAdd(vm_id("b")) = {.vm = vm_id("b"), .floor_ppm = 300'000};
  table.FindOrAdd(vm_id("a")) = {.vm = vm_id("a"),
                                 .zone = citron::zone_id("z"),
                                 .incarnation = 7,
                                 .writes = 3,
                                 .floor_ppm = 1,
                                 .leased_ppm = 699'999,
                                 .is_suspect = true};
  return table;
}

}  // namespace

BOOST_AUTO_TEST_CASE(EncodedTableParsesUnchanged) {
  const share_table table = TwoVms();
  const auto parsed = ParseShareTable(EncodeShareTable(table));
  BOOST_REQUIRE(IsOk(parsed));
  BOOST_TEST((ValueOf(parsed) == table));
  BOOST_TEST(table.entries.front().vm.Str() == "a");
  BOOST_TEST(table.FreePpm() == 0);
  BOOST_TEST(IsOk(ParseShareTable("")));
}

// Guards against a table that was edited by hand or damaged in the store: using
// it would give parts to two VMs, and a workspace more than its rate.
BOOST_AUTO_TEST_CASE(DamagedTablesAreRejected) {
  const std::string good = EncodeShareTable(TwoVms());
  for (std::size_t cut = 1; cut < good.size(); ++cut) {
    BOOST_TEST(!IsOk(ParseShareTable(good.substr(0, cut))));
  }
  const auto entry = [](const std::string& vm, const std::string& floor) {
    return R"({"vm":")" + vm +
           R"(","zone":"z","incarnation":1,"writes":1,"leased":0,"floor":)" +
           floor + "}";
  };
  const auto table = [](const std::string& entries) {
    return R"({"vms":[)" + entries + "]}";
  };
  BOOST_TEST(IsOk(ParseShareTable(table(entry("a", "1000000")))));
  const std::string bad[] = {
      table(entry("a", "1000001")),
      table(entry("a", "-1")),
      table(entry("a", "0.5")),
      table(entry("a", "1e999")),
      table(entry("a", "\"1\"")),
      table(entry("", "1")),
      table(entry("a", "600000") + "," + entry("b", "600000")),
      table(entry("a", "1") + "," + entry("a", "1")),
      table(entry("b", "1") + "," + entry("a", "1")),
      table("7"),
      "[]",
      "{}",
      R"({"vms":[],"more":1})",
      std::string(100'000, '['),
  };
  for (const std::string& json : bad) {
    BOOST_TEST(!IsOk(ParseShareTable(json)), json.substr(0, 80));
  }
}
