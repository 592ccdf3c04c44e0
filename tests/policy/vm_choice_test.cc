#include "citron/policy/vm_choice.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

vm_candidate Vm(const char* id, const char* zone, const char* region,
                bool ready = true, bool heard = true) {
  return {vm_id(id),        zone_id(zone), region_id(region),
          {"10.0.0.1", 80}, ready,         heard};
}

std::string Names(const std::vector<vm_candidate>& vms) {
  std::string names;
  for (const vm_candidate& vm : vms) names += vm.id.Str() + " ";
  return names;
}

std::string Choose(const std::vector<vm_candidate>& vms) {
  return Names(ChooseVms(vms, zone_id("z1"), region_id("r1")));
}

BOOST_AUTO_TEST_CASE(TheOwnZoneGoesFirst) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1"), Vm("b", "z1", "r1"),
                     Vm("c", "z2", "r1"), Vm("d", "z3", "r2")}) == "a b ");
}

// The zone's only VM has lost the store and can't let keys in. Its callers must
// be sent next door rather than be refused.
BOOST_AUTO_TEST_CASE(AZoneWithoutAReadyVmUsesItsRegion) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1", false), Vm("c", "z2", "r1"),
                     Vm("d", "z3", "r2")}) == "c ");
}

BOOST_AUTO_TEST_CASE(AVmThatFellSilentIsLeftOut) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1", true, false), Vm("b", "z1", "r1")}) ==
             "b ");
}

// Nothing is known to be sound, as right after the whole fleet restarted. An
// address that may fail is better than none.
BOOST_AUTO_TEST_CASE(SomethingIsNamedAsLongAsAnythingIsKnown) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1", false, false)}) == "a ");
  BOOST_TEST(Choose({Vm("d", "z3", "r2", true, false)}) == "d ");
  BOOST_TEST(Choose({}).empty());
}

}  // namespace
}  // namespace citron
