#include "citron/policy/vm_choice.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

vm_candidate Vm(const char* id, const char* zone, const char* region,
                bool ready = true, bool reported = true) {
  return {vm_id(id),        zone_id(zone), region_id(region),
          {"10.0.0.1", 80}, ready,         reported};
}

std::string Ids(const std::vector<vm_candidate>& vms) {
  std::string ids;
  for (const vm_candidate& vm : vms) ids += vm.id.Str() + " ";
  return ids;
}

std::string Choose(const std::vector<vm_candidate>& vms) {
  return Ids(ChooseVms(vms, zone_id("z1"), region_id("r1")));
}

BOOST_AUTO_TEST_CASE(LocalZoneGoesFirst) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1"), Vm("b", "z1", "r1"),
                     Vm("c", "z2", "r1"), Vm("d", "z3", "r2")}) == "a b ");
}

// The zone's only VM has lost the store and cannot admit API keys. Its callers
// must be sent to another zone of the region instead of being rejected.
BOOST_AUTO_TEST_CASE(ZoneWithoutReadyVmUsesItsRegion) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1", false), Vm("c", "z2", "r1"),
                     Vm("d", "z3", "r2")}) == "c ");
}

BOOST_AUTO_TEST_CASE(VmWithoutRecentReportIsLeftOut) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1", true, false), Vm("b", "z1", "r1")}) ==
             "b ");
}

vm_candidate UnreachingVm(const char* id, const char* zone,
                          const char* region) {
  vm_candidate vm = Vm(id, zone, region);
  vm.reaches_upstreams = false;
  return vm;
}

// Guards against callers who are sent to a VM that is cut off from all
// upstreams while others aren't.
BOOST_AUTO_TEST_CASE(VmThatReachesNoUpstreamIsLeftOut) {
  BOOST_TEST(Choose({UnreachingVm("a", "z1", "r1"), Vm("b", "z1", "r1")}) ==
             "b ");
  BOOST_TEST(Choose({UnreachingVm("a", "z1", "r1"), Vm("c", "z2", "r1")}) ==
             "c ");
}

// Guards against look-ups that name nobody while the upstreams are down.
BOOST_AUTO_TEST_CASE(IfNoVmReachesUpstreamsTheNearestAreNamed) {
  BOOST_TEST(
      Choose({UnreachingVm("a", "z1", "r1"), UnreachingVm("b", "z1", "r1"),
              UnreachingVm("c", "z2", "r1")}) == "a b ");
}

// No VM is known to be healthy, for example just after a restart of the whole
// fleet. An address that may fail is better than no address.
BOOST_AUTO_TEST_CASE(ResultIsNotEmptyWhileAnyVmIsKnown) {
  BOOST_TEST(Choose({Vm("a", "z1", "r1", false, false)}) == "a ");
  BOOST_TEST(Choose({Vm("d", "z3", "r2", true, false)}) == "d ");
  BOOST_TEST(Choose({}).empty());
}

vm_candidate VmWithLink(const char* id, double link_mbps,
                        bool is_near_capacity = false) {
  vm_candidate vm = Vm(id, "z1", "r1");
  vm.link_mbps = link_mbps;
  vm.near_capacity = is_near_capacity;
  return vm;
}

// A large response takes a tenth of a second of a small VM's link. Callers are
// sent to VMs of the zone whose links carry a hundred such responses.
BOOST_AUTO_TEST_CASE(VmsWithWideLinksGoFirst) {
  BOOST_TEST(Choose({VmWithLink("a", 10), VmWithLink("b", 200),
                     VmWithLink("c", 10), VmWithLink("d", 200)}) == "b d ");
  BOOST_TEST(Choose({VmWithLink("a", 200), VmWithLink("b", 120)}) == "a b ");
}

// One of two VMs with wide links failed. If all callers of the zone used the
// other one, all would be cut off together when it fails too.
BOOST_AUTO_TEST_CASE(SingleWideVmIsNotEnough) {
  BOOST_TEST(Choose({VmWithLink("a", 10), VmWithLink("b", 200),
                     VmWithLink("c", 10)}) == "a b c ");
}

BOOST_AUTO_TEST_CASE(WideVmNearCapacityBringsInTheOthers) {
  BOOST_TEST(Choose({VmWithLink("a", 10), VmWithLink("b", 200, true),
                     VmWithLink("d", 200)}) == "a b d ");
}

vm_candidate VmAt(const char* id, const char* zone, double link_mbps,
                  bool is_near_capacity = false) {
  vm_candidate vm = VmWithLink(id, link_mbps, is_near_capacity);
  vm.zone = zone_id(zone);
  return vm;
}

// Guards against a zone whose callers all go to its one small VM while its wide
// ones are down and the other zones of the region have room.
BOOST_AUTO_TEST_CASE(ZoneLeftWithLittleCapacityUsesItsRegion) {
  std::vector<vm_candidate> fleet{VmAt("a", "z1", 10), VmAt("c", "z2", 200),
                                  VmAt("d", "z2", 200), VmAt("e", "z2", 10),
                                  VmAt("f", "z3", 200)};
  fleet[4].region = region_id("r2");
  BOOST_TEST(Choose(fleet) == "c d ");
  fleet.push_back(VmAt("b", "z1", 200));
  BOOST_TEST(Choose(fleet) == "a b ");
}

// Guards against callers of one zone who move to others when it loses one of
// two equal VMs.
BOOST_AUTO_TEST_CASE(ZoneWithHalfOfItsVmsKeepsItsCallers) {
  BOOST_TEST(
      Choose({VmAt("a", "z1", 100), VmAt("c", "z2", 100), VmAt("d", "z2", 100),
              VmAt("e", "z4", 100), VmAt("f", "z4", 100)}) == "a ");
}

// Guards against callers who change the region because its last VM is small.
BOOST_AUTO_TEST_CASE(RegionLeftWithLittleCapacityKeepsItsCallers) {
  std::vector<vm_candidate> fleet{VmAt("a", "z1", 10), VmAt("f", "z3", 200),
                                  VmAt("g", "z3", 200)};
  fleet[1].region = fleet[2].region = region_id("r2");
  BOOST_TEST(Choose(fleet) == "a ");
}

// Guards against callers who are held at VMs that are all near capacity while
// others of the region are not.
BOOST_AUTO_TEST_CASE(ZoneNearCapacityUsesItsRegion) {
  BOOST_TEST(Choose({VmAt("a", "z1", 100, true), VmAt("b", "z1", 100, true),
                     VmAt("c", "z2", 100)}) == "a b c ");
  BOOST_TEST(Choose({VmAt("a", "z1", 100, true), VmAt("b", "z1", 100),
                     VmAt("c", "z2", 100)}) == "a b ");
}

}  // namespace
}  // namespace citron
