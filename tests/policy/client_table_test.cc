#include "citron/policy/client_table.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

namespace citron {
namespace {

client_block Block(const char* text) { return *ParseClientBlock(text); }

std::uint32_t Address(const std::string& text) {
  return ParseClientBlock(text + "/32")->address;
}

client_site Site(const std::string& region) { return {region_id(region), {}}; }

std::string Find(const client_table& table, const std::string& address) {
  const client_site* site = table.Find(Address(address));
  return site == nullptr ? "" : site->region.Str();
}

}  // namespace

BOOST_AUTO_TEST_CASE(ParsesOnlyValidBlocks) {
  BOOST_TEST(Block("10.1.2.0/24").address == 0x0a010200u);
  BOOST_TEST(ParseClientBlock("0.0.0.0/0").has_value());
  for (const char* bad : {"10.1.2.3/24", "10.1.2.0", "10.1.2.0/33", "x/8",
                          "10.1.2.0/", "10.1.2.0/-1", "10.1.2/24", ""}) {
    BOOST_TEST(!ParseClientBlock(bad).has_value());
  }
}

BOOST_AUTO_TEST_CASE(TheLongestPrefixWins) {
  client_routes routes;
  routes.Apply({Block("10.0.0.0/8"), Site("a")});
  routes.Apply({Block("10.1.0.0/16"), Site("b")});
  routes.Apply({Block("10.1.2.0/24"), Site("c")});
  routes.Apply({Block("255.255.255.255/32"), Site("d")});
  const auto table = routes.Build();
  BOOST_TEST(Find(*table, "9.255.255.255") == "");
  BOOST_TEST(Find(*table, "10.0.0.0") == "a");
  BOOST_TEST(Find(*table, "10.1.0.0") == "b");
  BOOST_TEST(Find(*table, "10.1.2.77") == "c");
  BOOST_TEST(Find(*table, "10.1.3.0") == "b");
  BOOST_TEST(Find(*table, "10.2.0.0") == "a");
  BOOST_TEST(Find(*table, "11.0.0.0") == "");
  BOOST_TEST(Find(*table, "255.255.255.255") == "d");
}

// Guards against a table built in steps that differs from a table built at
// once.
BOOST_AUTO_TEST_CASE(StepsBuildTheSameTable) {
  pcg32 random(6);
  client_table::route_map routes;
  for (int i = 0; i < 2000; ++i) {
    const int length = 4 + static_cast<int>(random(29));
    const std::uint32_t mask = ~std::uint32_t{0} << (32 - length);
    routes[{random() & mask, length}] = Site(std::to_string(random(20)));
  }
  const auto whole = client_table_builder(routes).Step(routes.size() + 1);
  BOOST_REQUIRE(whole != nullptr);
  client_table_builder builder(routes);
  std::shared_ptr<const client_table> stepped;
  std::size_t steps = 0;
  for (; stepped == nullptr; ++steps) stepped = builder.Step(7);
  BOOST_TEST(steps >= routes.size() / 7);
  BOOST_TEST(stepped->RangeCount() == whole->RangeCount());
  for (int i = 0; i < 20000; ++i) {
    const std::uint32_t address = random();
    const client_site* a = whole->Find(address);
    const client_site* b = stepped->Find(address);
    BOOST_REQUIRE((a == nullptr) == (b == nullptr));
    if (a != nullptr) BOOST_REQUIRE((*a == *b));
  }
}

BOOST_AUTO_TEST_CASE(DeltasChangeOnlyTheNextTable) {
  client_routes routes;
  routes.Apply({Block("10.0.0.0/8"), Site("a")});
  const auto before = routes.Build();
  routes.Apply({Block("10.0.0.0/8"), std::nullopt});
  routes.Apply({Block("0.0.0.0/0"), Site("z")});
  const auto after = routes.Build();
  BOOST_TEST(Find(*before, "10.0.0.1") == "a");
  BOOST_TEST(Find(*after, "10.0.0.1") == "z");
}

// Compares lookups among nested blocks of many lengths with a linear search.
BOOST_AUTO_TEST_CASE(AgreesWithALinearSearch) {
  pcg32 random(21);
  client_table::route_map routes;
  for (int i = 0; i < 3000; ++i) {
    const int length = 4 + static_cast<int>(random(29));
    const std::uint32_t mask = ~std::uint32_t{0} << (32 - length);
    // Only 24 bits vary, so that many blocks enclose others.
    const std::uint32_t address = (random() & 0x0f0fffffu) & mask;
    routes[{address, length}] = Site(std::to_string(random(9)));
  }
  const auto built = client_table_builder(routes).Step(routes.size() + 1);
  BOOST_REQUIRE(built != nullptr);
  const client_table& table = *built;
  for (int i = 0; i < 3000; ++i) {
    const std::uint32_t address = random() & 0x0f0fffffu;
    const client_site* best = nullptr;
    int best_length = -1;
    for (const auto& [block, site] : routes) {
      const std::uint32_t mask = ~std::uint32_t{0}
                                 << (32 - block.prefix_length);
      const bool matches = (address & mask) == block.address;
      if (!matches || block.prefix_length <= best_length) continue;
      best = &site;
      best_length = block.prefix_length;
    }
    const client_site* found = table.Find(address);
    BOOST_TEST_REQUIRE((found == nullptr) == (best == nullptr));
    if (best != nullptr) BOOST_TEST_REQUIRE((*found == *best));
  }
}

}  // namespace citron
