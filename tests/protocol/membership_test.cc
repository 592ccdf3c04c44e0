#include "citron/protocol/membership.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <pcg_random.hpp>

namespace citron {

using membership_action::send_heartbeat;
using membership_action::send_zone_digest;
using membership_action::send_zone_members;
using membership_action::send_zone_pull;

namespace {

monotonic_time At(double seconds) {
  return monotonic_time() + FromSeconds(seconds);
}

member_info Vm(int zone, int number, incarnation_number incarnation = 1) {
  member_info info;
  info.vm = vm_id("vm-" + std::to_string(100 * zone + number));
  info.zone = zone_id("z" + std::to_string(zone));
  info.region = region_id("r");
  info.incarnation = incarnation;
  return info;
}

heartbeat MakeHeartbeat(const member_info& from, std::uint64_t sequence) {
  heartbeat message;
  message.member = from;
  message.sequence = sequence;
  message.interval = FromSeconds(1);
  return message;
}

membership MakeMembership(const member_info& self) {
  membership_options options;
  options.self = self;
  return membership(options);
}

// Simulates a fleet of VMs in steps of half a second. Messages of a step's
// timers arrive in the same step, answers to them in the next.
class fake_fleet {
 public:
  fake_fleet(int zones, int vms_per_zone) {
    std::vector<listed_vm> list;
    for (int z = 1; z <= zones; ++z) {
      for (int n = 1; n <= vms_per_zone; ++n) {
        const member_info info = Vm(z, n);
        vms_.emplace(info.vm, MakeMembership(info));
        list.push_back({info.vm, info.zone, info.region, {}, false});
      }
    }
    for (auto& [vm, m] : vms_) Execute(vm, m.OnPlatformList(list, At(time_)));
  }

  void Kill(const vm_id& vm) { vms_.erase(vm); }
  void Run(double seconds, int loss_percent = 0) {
    for (const double end = time_ + seconds; time_ < end; time_ += 0.5) {
      for (auto& [vm, m] : vms_) Execute(vm, m.OnTimer(At(time_)));
      for (std::size_t left = network_.size(); left > 0; --left) {
        const auto [to, a] = network_.front();
        network_.pop_front();
        const auto found = vms_.find(to);
        const bool lost = static_cast<int>(random_(100)) < loss_percent;
        if (found != vms_.end() && !lost) Deliver(to, found->second, a);
      }
    }
  }
  std::map<vm_id, membership>& Vms() { return vms_; }
  std::map<vm_id, int> sent;

 private:
  void Execute(const vm_id& from, const membership::actions& list) {
    for (const membership::action& a : list) {
      std::visit(
          [&](const auto& sending) {
            if constexpr (requires { sending.to; }) {
              ++sent[from];
              network_.emplace_back(sending.to, std::make_pair(from, a));
            }
          },
          a);
    }
  }
  void Deliver(const vm_id& to, membership& m,
               const std::pair<vm_id, membership::action>& sender_and_action) {
    const auto& [from, a] = sender_and_action;
    if (const auto* sent_heartbeat = std::get_if<send_heartbeat>(&a)) {
      Execute(to, m.OnHeartbeat(sent_heartbeat->message, At(time_)));
    } else if (const auto* digest = std::get_if<send_zone_digest>(&a)) {
      Execute(to, m.OnZoneDigest(digest->message, At(time_)));
    } else if (const auto* pull = std::get_if<send_zone_pull>(&a)) {
      Execute(to, m.OnZonePull(pull->message));
    } else if (const auto* update = std::get_if<send_zone_members>(&a)) {
      Execute(to, m.OnZoneMembers(from, update->message, At(time_)));
    }
  }

  std::map<vm_id, membership> vms_;
  std::deque<std::pair<vm_id, std::pair<vm_id, membership::action>>> network_;
  double time_ = 1;
  pcg32 random_{7};
};

// Checks that every VM of the fleet sees the others as live, and none of
// `silent` as live.
void CheckAllSee(fake_fleet& fleet, const std::set<vm_id>& silent) {
  for (auto& [vm, m] : fleet.Vms()) {
    for (const auto& [other, unused] : fleet.Vms()) {
      if (other == vm) continue;
      BOOST_TEST_INFO(vm.Str() << " about " << other.Str());
      BOOST_REQUIRE((m.StateOf(other) == member_state::kLive));
    }
    for (const vm_id& other : silent) {
      BOOST_TEST_INFO(vm.Str() << " about " << other.Str());
      BOOST_REQUIRE((m.StateOf(other) != member_state::kLive));
    }
  }
}

}  // namespace

// After a restart of a VM, a heartbeat of its old process arrives after the new
// process's. Accepting it would send callers to the old process's ports.
BOOST_AUTO_TEST_CASE(LateHeartbeatOfOldProcessIsDropped) {
  membership m = MakeMembership(Vm(1, 1));
  member_info old = Vm(1, 2, 5);
  member_info renewed = Vm(1, 2, 6);
  renewed.entry = {"127.0.0.9", 80};
  m.OnHeartbeat(MakeHeartbeat(old, 90), At(0));
  m.OnHeartbeat(MakeHeartbeat(renewed, 1), At(1));
  BOOST_TEST(m.OnHeartbeat(MakeHeartbeat(old, 91), At(2)).empty());
  BOOST_TEST((m.Find(old.vm)->entry == renewed.entry));
  BOOST_TEST(m.OnHeartbeat(MakeHeartbeat(renewed, 1), At(2)).empty());
}

// A VM leaves gracefully, and a heartbeat without `leaving` arrives after that.
// From the first report of leaving on, callers must not be sent to the VM.
BOOST_AUTO_TEST_CASE(LeavingVmIsOutAtOnceAndForGood) {
  membership m = MakeMembership(Vm(1, 1));
  member_info other = Vm(1, 2);
  m.OnHeartbeat(MakeHeartbeat(other, 1), At(0));
  BOOST_TEST(m.Usable().size() == 2u);
  other.leaving = true;
  m.OnHeartbeat(MakeHeartbeat(other, 3), At(1));
  BOOST_TEST(m.Usable().size() == 1u);
  other.leaving = false;
  m.OnHeartbeat(MakeHeartbeat(other, 4), At(2));
  BOOST_TEST((m.StateOf(other.vm) == member_state::kLeaving));
}

// A VM hangs for some seconds. Three missed heartbeats change nothing; after
// the fourth, callers are sent elsewhere until the VM reports again.
BOOST_AUTO_TEST_CASE(SilentVmLeavesLookUpsUntilItReports) {
  membership m = MakeMembership(Vm(1, 1));
  const member_info other = Vm(1, 2);
  m.OnHeartbeat(MakeHeartbeat(other, 1), At(0));
  m.OnTimer(At(3.9));
  BOOST_TEST((m.StateOf(other.vm) == member_state::kLive));
  m.OnTimer(At(4));
  BOOST_TEST((m.StateOf(other.vm) == member_state::kSilent));
  m.OnHeartbeat(MakeHeartbeat(other, 2), At(5));
  BOOST_TEST((m.StateOf(other.vm) == member_state::kLive));
}

// Operators' settings take precedence over heartbeats.
BOOST_AUTO_TEST_CASE(OperatorSettingsTakePrecedence) {
  membership m = MakeMembership(Vm(1, 1));
  const member_info other = Vm(1, 2);
  m.OnHeartbeat(MakeHeartbeat(other, 1), At(0));
  m.OnOperatorSettings({other.vm}, {}, At(1));
  BOOST_TEST((m.StateOf(other.vm) == member_state::kDraining));
  m.OnOperatorSettings({}, {other.vm}, At(1));
  BOOST_TEST((m.StateOf(other.vm) == member_state::kGone));
  BOOST_TEST(m.Usable().size() == 1u);
}

// Callers may be sent to a VM on the platform's list before its first heartbeat
// arrives, but not to a VM that the list marks as leaving.
BOOST_AUTO_TEST_CASE(ListedVmsAreUsableBeforeFirstHeartbeat) {
  membership m = MakeMembership(Vm(1, 1));
  const member_info a = Vm(1, 2);
  const member_info b = Vm(1, 3);
  m.OnPlatformList(
      {{a.vm, a.zone, a.region, {}, false}, {b.vm, b.zone, b.region, {}, true}},
      At(0));
  BOOST_TEST(m.Usable().size() == 2u);
  BOOST_TEST((m.StateOf(b.vm) == member_state::kLeaving));
}

// The number of messages of a daemon per interval must grow with its zone and
// the number of zones, not with the fleet.
BOOST_AUTO_TEST_CASE(MessagesGrowWithZoneAndZonesOnly) {
  struct size {
    int zones;
    int vms;
  };
  for (const size s : {size{2, 5}, size{6, 6}, size{12, 6}, size{6, 12}}) {
    fake_fleet fleet(s.zones, s.vms);
    fleet.Run(120);
    CheckAllSee(fleet, {});
    fleet.sent.clear();
    const double interval = ToSeconds(fleet.Vms().begin()->second.Interval());
    fleet.Run(100 * interval);
    int most = 0;
    for (const auto& [vm, count] : fleet.sent) most = std::max(most, count);
    const int all_to_all = s.zones * s.vms - 1;
    const int relayed = s.vms - 1 + s.zones - 1;
    const int expected = all_to_all < 24 ? all_to_all : relayed;
    // The simulated clock moves in steps of half a second.
    const double effective = std::ceil(interval / 0.5) * 0.5;
    const double rounds = 100 * interval / effective;
    BOOST_TEST(most <= (rounds + 1) * expected);
    BOOST_TEST(most >= (rounds - 1) * expected);
  }
}

// The relays of all zones fail at once, as in the loss of a rack. Each zone's
// new relay knows only dead relays of the other zones; the new relays must find
// each other, and callers must not be sent to the dead VMs.
BOOST_AUTO_TEST_CASE(AllRelaysDieAtOnce) {
  fake_fleet fleet(6, 6);
  fleet.Run(60);
  std::set<vm_id> dead;
  for (int z = 1; z <= 6; ++z) dead.insert(Vm(z, 1).vm);
  for (const vm_id& vm : dead) fleet.Kill(vm);
  fleet.Run(120);
  CheckAllSee(fleet, dead);
}

// A fifth of all messages is lost for minutes. Once messages arrive again, all
// VMs must agree, although most changes are sent only once.
BOOST_AUTO_TEST_CASE(LostMessagesAreMadeUpFor) {
  fake_fleet fleet(5, 7);
  fleet.Run(100, 20);
  fleet.Kill(Vm(3, 4).vm);
  fleet.Run(100, 20);
  fleet.Run(60);
  CheckAllSee(fleet, {Vm(3, 4).vm});
}

// All VMs of a zone are lost at once, as when the zone is cut off. The other
// zones must count them as silent.
BOOST_AUTO_TEST_CASE(CutOffZoneIsSilent) {
  fake_fleet fleet(6, 6);
  fleet.Run(60);
  std::set<vm_id> dead;
  for (int n = 1; n <= 6; ++n) dead.insert(Vm(2, n).vm);
  for (const vm_id& vm : dead) fleet.Kill(vm);
  fleet.Run(60);
  CheckAllSee(fleet, dead);
}

}  // namespace citron
