#include "citron/control/view_exchange.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const monotonic_time kNow = monotonic_time(std::chrono::hours(1));

vm_view ViewOf(const char* vm, std::uint64_t incarnation,
               std::uint64_t sequence) {
  vm_view view;
  view.vm = vm_id(vm);
  view.incarnation = incarnation;
  view.sequence = sequence;
  return view;
}

// Views of one VM arrive crossed. An old one must not hide that it is leaving.
BOOST_AUTO_TEST_CASE(LateViewIsDropped) {
  view_exchange exchange;
  vm_view leaving = ViewOf("a", 1, 5);
  leaving.leaving = true;
  exchange.OnView(leaving, kNow);
  exchange.OnView(ViewOf("a", 1, 4), kNow);
  exchange.OnView(ViewOf("a", 1, 5), kNow);
  BOOST_TEST(exchange.Vms().at(vm_id("a")).view.leaving);
  exchange.OnView(ViewOf("a", 2, 1), kNow);
  BOOST_TEST(!exchange.Vms().at(vm_id("a")).view.leaving);
  exchange.OnView(leaving, kNow);
  BOOST_TEST(!exchange.Vms().at(vm_id("a")).view.leaving);
}

BOOST_AUTO_TEST_CASE(OnlyChangesAreToldAndAllFromTimeToTime) {
  view_exchange exchange;
  exchange.OnView(ViewOf("a", 1, 1), kNow);
  exchange.OnView(ViewOf("b", 1, 1), kNow);
  BOOST_TEST(exchange.TakeUpdate().full);
  BOOST_TEST(exchange.TakeUpdate().vms.empty());
  exchange.OnView(ViewOf("b", 1, 2), kNow);
  const fleet_view changed = exchange.TakeUpdate();
  BOOST_TEST(!changed.full);
  BOOST_REQUIRE(changed.vms.size() == 1u);
  BOOST_TEST(changed.vms[0].view.vm.Str() == "b");
  exchange.SendFullNext();
  BOOST_TEST(exchange.TakeUpdate().vms.size() == 2u);
  int updates_to_full = 1;
  while (!exchange.TakeUpdate().full) ++updates_to_full;
  BOOST_TEST(updates_to_full == 10);
}

// A dispatch that leaves, restarts, loses its last slot or gets one again is
// told of at once. Taken for an ordinary change of load it would wait for the
// budget while callers are sent there.
BOOST_AUTO_TEST_CASE(UrgentIsWhatSendsCallersToTheWrongPlace) {
  vm_view view = ViewOf("a", 1, 1);
  view.dispatches.push_back({0, 1, {"127.0.0.1", 1}, {"127.0.0.1", 1}, {}});
  service_load load;
  load.service = service_id("desk");
  load.load.slots = 8;
  load.load.usable_slots = 8;
  view.loads.push_back(load);
  const std::uint64_t urgent = PacedView(view).urgent;
  const auto is_urgent = [&](auto change) {
    vm_view changed = view;
    change(changed);
    return PacedView(changed).urgent != urgent;
  };
  BOOST_TEST(!is_urgent([](vm_view& v) { v.sequence = 2; }));
  BOOST_TEST(!is_urgent([](vm_view& v) { v.config_age = FromSeconds(1); }));
  BOOST_TEST(!is_urgent([](vm_view& v) { v.loads[0].load.in_flight = 7; }));
  BOOST_TEST(!is_urgent([](vm_view& v) { v.loads[0].load.usable_slots = 1; }));
  BOOST_TEST(is_urgent([](vm_view& v) { v.loads[0].load.usable_slots = 0; }));
  BOOST_TEST(is_urgent([](vm_view& v) { v.loads.clear(); }));
  BOOST_TEST(is_urgent([](vm_view& v) { v.dispatches[0].incarnation = 2; }));
  BOOST_TEST(is_urgent([](vm_view& v) { v.dispatches.clear(); }));
  BOOST_TEST(is_urgent([](vm_view& v) { v.leaving = true; }));
  BOOST_TEST(is_urgent([](vm_view& v) { v.revision = 2; }));
}

BOOST_AUTO_TEST_CASE(MemberWithoutAViewHasItsName) {
  view_exchange exchange;
  exchange.OnMember(vm_id("a"), member_state::kListed);
  BOOST_TEST(exchange.Vms().at(vm_id("a")).view.vm.Str() == "a");
  exchange.OnMember(vm_id("a"), member_state::kGone);
  BOOST_TEST((exchange.Vms().at(vm_id("a")).state == member_state::kGone));
}

}  // namespace
}  // namespace citron
