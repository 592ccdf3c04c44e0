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

vm_candidate Linked(const char* id, double link_mbps, bool strained = false) {
  vm_candidate vm = Vm(id, "z1", "r1");
  vm.link_mbps = link_mbps;
  vm.strained = strained;
  return vm;
}

// A large answer takes a tenth of a second of a small VM's link. Callers are
// sent to the VMs beside it that carry a hundred of them.
BOOST_AUTO_TEST_CASE(VmsWithWideLinksGoFirst) {
  BOOST_TEST(Choose({Linked("a", 10), Linked("b", 200), Linked("c", 10),
                     Linked("d", 200)}) == "b d ");
  BOOST_TEST(Choose({Linked("a", 200), Linked("b", 120)}) == "a b ");
}

// One of the two wide VMs died. All of a zone's callers at the other one would
// be cut together when it follows.
BOOST_AUTO_TEST_CASE(OneWideVmIsNotEnough) {
  BOOST_TEST(Choose({Linked("a", 10), Linked("b", 200), Linked("c", 10)}) ==
             "a b c ");
}

BOOST_AUTO_TEST_CASE(TheOthersHelpWhereAWideOneIsStrained) {
  BOOST_TEST(Choose({Linked("a", 10), Linked("b", 200, true),
                     Linked("d", 200)}) == "a b d ");
}

}  // namespace
}  // namespace citron
