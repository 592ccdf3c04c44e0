#include "citron/policy/relay_choice.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace citron {
namespace {

relay_candidate Vm(const char* vm, const char* zone, const char* region) {
  return {vm_id(vm), zone_id(zone), region_id(region)};
}

relay_request ToRegion(const char* region, bool is_region_bound = false,
                       std::uint64_t hash = 7) {
  return {zone_id("z1"), region_id("r1"), hash, region_id(region),
          is_region_bound};
}

std::string Choose(const std::vector<relay_candidate>& candidates,
                   const relay_request& request) {
  const auto chosen = ChooseRelay(candidates, request);
  return chosen ? chosen->Str() : "";
}

BOOST_AUTO_TEST_CASE(TheOwnZoneGoesFirst) {
  BOOST_TEST(
      Choose({Vm("a", "z2", "r1"), Vm("b", "z1", "r1"), Vm("c", "z3", "r2")},
             ToRegion("r1")) == "b");
}

// Guards against a detour over a third region.
BOOST_AUTO_TEST_CASE(AVmInTheUpstreamsRegionGoesBeforeANearOne) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1"), Vm("b", "z3", "r2")},
                    ToRegion("r2")) == "b");
}

BOOST_AUTO_TEST_CASE(WithoutOneThereTheNearestIsTaken) {
  BOOST_TEST(Choose({Vm("a", "z2", "r1"), Vm("b", "z3", "r2")},
                    ToRegion("r3")) == "a");
  BOOST_TEST(Choose({Vm("b", "z3", "r2")}, ToRegion("r1")) == "b");
  BOOST_TEST(Choose({}, ToRegion("r1")) == "");
}

// Guards against a request that leaves the regions where it may be handled.
BOOST_AUTO_TEST_CASE(ABoundRequestStaysInTheUpstreamsRegion) {
  const std::vector<relay_candidate> others = {Vm("a", "z1", "r1"),
                                               Vm("c", "z4", "r3")};
  BOOST_TEST(Choose(others, ToRegion("r2", true)) == "");
  BOOST_TEST(Choose(others, ToRegion("r3", true)) == "c");
}

// Guards against a tunnel through a VM that is about to stop, and against none
// at all where the others have lost the store.
BOOST_AUTO_TEST_CASE(AVmThatIsNotReadyIsTheLastResort) {
  relay_candidate near = Vm("a", "z1", "r1");
  near.is_ready = false;
  BOOST_TEST(Choose({near, Vm("b", "z3", "r2")}, ToRegion("r1")) == "b");
  BOOST_TEST(Choose({near, Vm("b", "z3", "r2")}, ToRegion("r1", true)) == "a");
  BOOST_TEST(Choose({near}, ToRegion("r1")) == "a");
}

// Guards against one VM that carries all of another one's load.
BOOST_AUTO_TEST_CASE(EqualVmsShareTheUpstreams) {
  std::set<std::string> used;
  for (std::uint64_t hash = 1; hash <= 50; ++hash) {
    used.insert(Choose({Vm("a", "z2", "r1"), Vm("b", "z2", "r1")},
                       ToRegion("r1", false, hash * 0x9e3779b97f4a7c15ULL)));
  }
  BOOST_TEST(used.size() == 2u);
}

}  // namespace
}  // namespace citron
