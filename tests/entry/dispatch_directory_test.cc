#include "citron/entry/dispatch_directory.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const service_id kDesk("yard-desk");
const zone_id kZone("santiago-a");
const monotonic_time kStart{FromSeconds(1000)};

vm_seen Vm(const std::string& name, std::uint16_t port, int usable_slots,
           double wait_ms) {
  vm_seen seen;
  seen.state = member_state::kLive;
  seen.view.vm = vm_id(name);
  seen.view.zone = kZone;
  seen.view.region = region_id("santiago");
  seen.view.dispatches.push_back(
      {0, 1, {"127.0.0.1", port}, {"127.0.0.1", port}, {}});
  service_load load;
  load.service = kDesk;
  load.load.usable_slots = usable_slots;
  load.load.expected_wait = FromMilliseconds(wait_ms);
  load.load.mean_service_time = FromMilliseconds(10);
  seen.view.loads.push_back(load);
  return seen;
}

BOOST_AUTO_TEST_CASE(QueuesOfAZoneAddUp) {
  dispatch_directory directory(1);
  directory.Update(
      {{vm_id("a"), Vm("a", 1, 8, 5)}, {vm_id("b"), Vm("b", 2, 4, 2)}});
  BOOST_REQUIRE(directory.ZoneReports().size() == 1u);
  const zone_report& report = directory.ZoneReports()[0];
  BOOST_TEST(report.slots == 12);
  BOOST_TEST((report.expected_wait == FromMilliseconds(2)));
}

// An unchanged view is repeated every few seconds in a large fleet, and one may
// be lost. Judged by a fixed time, the zone would look dead until the next.
BOOST_AUTO_TEST_CASE(ReportLivesForThreeRepeatsOfItsView) {
  dispatch_directory directory(1);
  vm_seen vm = Vm("a", 1, 8, 5);
  vm.view.interval = FromSeconds(4);
  vm.received_at = kStart;
  directory.Update({{vm_id("a"), vm}});
  BOOST_REQUIRE(directory.ZoneReports().size() == 1u);
  const zone_report& report = directory.ZoneReports()[0];
  BOOST_TEST((report.lifetime == FromSeconds(12)));
  BOOST_TEST((report.received_at == kStart));
}

// A dispatch that owns no upstream of the service, as after a takeover, must
// get none of its requests: each would come back refused.
BOOST_AUTO_TEST_CASE(DispatchWithoutSlotsIsNotChosen) {
  dispatch_directory directory(1);
  directory.Update(
      {{vm_id("a"), Vm("a", 1, 0, 0)}, {vm_id("b"), Vm("b", 2, 4, 50)}});
  for (int i = 0; i < 20; ++i) {
    const auto chosen = directory.Choose(kZone, kDesk, {}, kStart);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->vm.Str() == "b");
  }
  BOOST_TEST(
      !directory.Choose(kZone, kDesk, {{"127.0.0.1", 2}}, kStart).has_value());
}

// The only upstream of a zone is drained. If the zone's last report, with free
// slots, stayed the word on it, its entries would choose their own zone for as
// long as the drain lasts; each request would need a second try, and more than
// half of them were refused as the budget for those ran out.
BOOST_AUTO_TEST_CASE(ZoneWithoutSlotsSaysSo) {
  dispatch_directory directory(1);
  directory.Update({{vm_id("a"), Vm("a", 1, 4, 5)}});
  BOOST_REQUIRE(directory.ZoneReports().size() == 1u);
  directory.Update({{vm_id("a"), Vm("a", 1, 0, 0)}});
  BOOST_REQUIRE(directory.ZoneReports().size() == 1u);
  BOOST_TEST(directory.ZoneReports()[0].slots == 0);
  BOOST_TEST(!directory.Choose(kZone, kDesk, {}, kStart).has_value());
}

// What a dispatch without slots says of its wait is no wait of the zone.
BOOST_AUTO_TEST_CASE(WaitIsThatOfDispatchesWithSlots) {
  for (const char* idle : {"a", "c"}) {
    dispatch_directory directory(1);
    directory.Update(
        {{vm_id(idle), Vm(idle, 1, 0, 0)}, {vm_id("b"), Vm("b", 2, 4, 50)}});
    BOOST_REQUIRE(directory.ZoneReports().size() == 1u);
    BOOST_TEST(directory.ZoneReports()[0].slots == 4);
    BOOST_TEST(
        (directory.ZoneReports()[0].expected_wait == FromMilliseconds(50)));
  }
}

// A dispatch runs two loops, and one of them owns no upstream of the service.
// Were the slots of both taken for each of them, half of the callers would be
// refused while upstreams are idle.
BOOST_AUTO_TEST_CASE(LoopWithoutSlotsIsNotChosen) {
  dispatch_directory directory(1);
  vm_seen vm = Vm("a", 1, 8, 0);
  vm.view.dispatches.push_back({1, 2, {"127.0.0.1", 2}, {"127.0.0.1", 2}, {}});
  service_load idle = vm.view.loads[0];
  idle.loop = 1;
  idle.load.usable_slots = 0;
  vm.view.loads.push_back(idle);
  directory.Update({{vm_id("a"), vm}});
  for (int i = 0; i < 20; ++i) {
    const auto chosen = directory.Choose(kZone, kDesk, {}, kStart);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST((chosen->http == endpoint{"127.0.0.1", 1}));
  }
  BOOST_TEST(directory.ZoneReports()[0].slots == 8);
}

// A VM dies. Until its upstreams are taken over, its neighbour in the zone
// still has slots; callers must not be refused because the dead one is asked
// first.
BOOST_AUTO_TEST_CASE(SilentVmIsNotChosen) {
  dispatch_directory directory(1);
  vm_seen silent = Vm("a", 1, 8, 0);
  silent.state = member_state::kSilent;
  directory.Update({{vm_id("a"), silent}, {vm_id("b"), Vm("b", 2, 4, 50)}});
  for (int i = 0; i < 20; ++i) {
    const auto chosen = directory.Choose(kZone, kDesk, {}, kStart);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->vm.Str() == "b");
  }
  BOOST_TEST(directory.ZoneReports()[0].slots == 4);
}

// A VM has just died and heartbeats don't tell yet. Callers whose requests are
// tried there first would use up the retries of all.
BOOST_AUTO_TEST_CASE(UnreachableDispatchIsLeftAloneForAWhile) {
  dispatch_directory directory(1);
  directory.Update(
      {{vm_id("a"), Vm("a", 1, 8, 0)}, {vm_id("b"), Vm("b", 2, 4, 50)}});
  directory.OnUnreachable({"127.0.0.1", 1}, kStart);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(directory.Choose(kZone, kDesk, {}, kStart)->vm.Str() == "b");
  }
  const endpoint other{"127.0.0.1", 2};
  BOOST_TEST(directory.Choose(kZone, kDesk, {other}, kStart)->vm.Str() == "a");
  const monotonic_time later = kStart + FromSeconds(1);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 20; ++i) {
    ++chosen[directory.Choose(kZone, kDesk, {}, later)->vm.Str()];
  }
  BOOST_TEST(chosen["a"] > 0);
}

// Reports are late. Were they all that counts, every request until the next
// report would go to the dispatch that looked idle in the last one.
BOOST_AUTO_TEST_CASE(WhatWasSentSinceTheReportCounts) {
  dispatch_directory directory(7);
  directory.Update(
      {{vm_id("a"), Vm("a", 1, 4, 0)}, {vm_id("b"), Vm("b", 2, 4, 1)}});
  std::map<std::string, int> sent;
  for (int i = 0; i < 100; ++i) {
    const auto chosen = directory.Choose(kZone, kDesk, {}, kStart);
    ++sent[chosen->vm.Str()];
    directory.OnSent(chosen->http);
  }
  BOOST_TEST(sent["a"] > 35);
  BOOST_TEST(sent["b"] > 35);
}

// A dispatch's only upstream leaves. Its last report still shows free slots,
// and until the next one every request would be refused there first.
BOOST_AUTO_TEST_CASE(DispatchWithoutUpstreamWaitsForItsNextReport) {
  dispatch_directory directory(7);
  const std::map<vm_id, vm_seen> vms = {{vm_id("a"), Vm("a", 1, 4, 0)},
                                        {vm_id("b"), Vm("b", 2, 4, 1)}};
  directory.Update(vms);
  directory.OnNoUpstream({"127.0.0.1", 1}, kDesk);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(directory.Choose(kZone, kDesk, {}, kStart)->vm.Str() == "b");
  }
  directory.Update(vms);
  BOOST_TEST(
      directory.Choose(kZone, kDesk, {{"127.0.0.1", 2}}, kStart).has_value());
}

}  // namespace
}  // namespace citron
