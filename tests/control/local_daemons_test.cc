#include "citron/control/local_daemons.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const monotonic_time kNow = monotonic_time(std::chrono::hours(1));
constexpr duration kLongSilence = std::chrono::seconds(10);

hello HelloOf(daemon_role role, int loop, std::uint64_t incarnation,
              int loops = 1) {
  hello said;
  said.role = role;
  said.address.loop = loop;
  said.address.incarnation = incarnation;
  said.loops = loops;
  said.revision = 5;
  return said;
}

vm_view Described(const local_daemons& daemons, monotonic_time now) {
  vm_view view;
  daemons.Describe(view, now);
  return view;
}

BOOST_AUTO_TEST_CASE(AnotherProcessIsToldApart) {
  local_daemons daemons;
  BOOST_TEST(daemons.OnHello(HelloOf(daemon_role::kEntry, 0, 1), kNow));
  BOOST_TEST(!daemons.OnHello(HelloOf(daemon_role::kEntry, 0, 1), kNow));
  BOOST_TEST(daemons.OnHello(HelloOf(daemon_role::kEntry, 0, 2), kNow));
  BOOST_TEST(!daemons.OnHello(HelloOf(daemon_role::kEntry, 0, 1), kNow));
  const vm_view view = Described(daemons, kNow);
  BOOST_REQUIRE(view.entries.size() == 1u);
  BOOST_TEST(view.entries[0].incarnation == 2u);
}

// An entry restarts. What its predecessor had applied says nothing of it, or
// the VM would take a share as in force that nobody holds to.
BOOST_AUTO_TEST_CASE(RestartForgetsTheAppliedShare) {
  local_daemons daemons;
  daemons.OnHello(HelloOf(daemon_role::kEntry, 0, 1), kNow);
  daemons.OnShareApplied({0, 9});
  BOOST_TEST(daemons.AppliedShare() == 9u);
  daemons.OnHello(HelloOf(daemon_role::kEntry, 0, 2), kNow);
  BOOST_TEST(daemons.AppliedShare() == 0u);
}

BOOST_AUTO_TEST_CASE(ShareIsAppliedWhenEveryLoopHasIt) {
  local_daemons daemons;
  daemons.OnHello(HelloOf(daemon_role::kEntry, 0, 1, 2), kNow);
  daemons.OnShareApplied({0, 9});
  BOOST_TEST(daemons.EntryLoops() == 2);
  BOOST_TEST(daemons.AppliedShare() == 0u);
  daemons.OnHello(HelloOf(daemon_role::kEntry, 1, 1, 2), kNow);
  daemons.OnShareApplied({1, 8});
  BOOST_TEST(daemons.AppliedShare() == 8u);
  daemons.OnShareApplied({1, 3});
  BOOST_TEST(daemons.AppliedShare() == 8u);
}

// A dispatch dies. After a silence others are not told of it any more.
BOOST_AUTO_TEST_CASE(SilentTaskIsLeftOut) {
  local_daemons daemons;
  BOOST_TEST(daemons.AllGone(kNow));
  daemons.OnHello(HelloOf(daemon_role::kDispatch, 0, 1), kNow);
  BOOST_TEST(!daemons.AllGone(kNow));
  BOOST_TEST(Described(daemons, kNow).dispatches.size() == 1u);
  BOOST_TEST(daemons.LowestRevision(kNow) == 5u);
  BOOST_TEST(daemons.AllGone(kNow + kLongSilence));
  BOOST_TEST(Described(daemons, kNow + kLongSilence).dispatches.empty());
  BOOST_TEST(daemons.LowestRevision(kNow + kLongSilence) == UINT64_MAX);
}

BOOST_AUTO_TEST_CASE(LeavingDispatchIsNotOffered) {
  local_daemons daemons;
  hello said = HelloOf(daemon_role::kDispatch, 0, 1);
  said.leaving = true;
  daemons.OnHello(said, kNow);
  BOOST_TEST(Described(daemons, kNow).dispatches.empty());
  BOOST_TEST(!Described(daemons, kNow).leaving);
  said = HelloOf(daemon_role::kEntry, 0, 1);
  said.leaving = true;
  daemons.OnHello(said, kNow);
  BOOST_TEST(Described(daemons, kNow).leaving);
}

// A dispatch runs two loops with upstreams of their own. Were their queues told
// as one, an entry would send to a loop that owns none.
BOOST_AUTO_TEST_CASE(LoadsAreToldForEachLoop) {
  local_daemons daemons;
  for (int loop = 0; loop < 2; ++loop) {
    daemons.OnHello(HelloOf(daemon_role::kDispatch, loop, 1, 2), kNow);
    dispatch_report report;
    report.loop = loop;
    service_load load;
    load.service = service_id("desk");
    load.load.slots = 4 + loop;
    load.load.in_flight = loop;
    report.services.push_back(load);
    daemons.OnReport(report);
  }
  const vm_view view = Described(daemons, kNow);
  BOOST_REQUIRE(view.loads.size() == 2u);
  for (int loop = 0; loop < 2; ++loop) {
    const service_load& load = view.loads[static_cast<std::size_t>(loop)];
    BOOST_TEST(load.loop == loop);
    BOOST_TEST(load.service.Str() == "desk");
    BOOST_TEST(load.load.slots == 4 + loop);
    BOOST_TEST(load.load.in_flight == loop);
  }
}

BOOST_AUTO_TEST_CASE(ReportOfAnUnknownTaskIsDropped) {
  local_daemons daemons;
  daemons.OnReport({3, {}});
  daemons.OnShareApplied({3, 1});
  BOOST_TEST(daemons.Peers().empty());
  BOOST_TEST(daemons.EntryPeers().empty());
}

// A VM is stopped whose dispatch owns all of its zone's upstreams. Until it has
// given them away nobody else may send to them; if the others no longer heard
// of it, every caller of the zone would be refused for that time.
BOOST_AUTO_TEST_CASE(LeavingDispatchIsShownWhileItHasSlots) {
  local_daemons daemons;
  hello said = HelloOf(daemon_role::kDispatch, 0, 1);
  daemons.OnHello(said, kNow);
  service_load load;
  load.service = service_id("desk");
  load.load.usable_slots = 8;
  daemons.OnReport({0, {load}});
  said.leaving = true;
  daemons.OnHello(said, kNow);
  BOOST_TEST(Described(daemons, kNow).dispatches.size() == 1u);
  BOOST_TEST(Described(daemons, kNow).loads.size() == 1u);
  load.load.usable_slots = 0;
  daemons.OnReport({0, {load}});
  BOOST_TEST(Described(daemons, kNow).dispatches.empty());
  BOOST_TEST(Described(daemons, kNow).loads.empty());
}

}  // namespace
}  // namespace citron
