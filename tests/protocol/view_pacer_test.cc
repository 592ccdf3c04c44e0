#include "citron/protocol/view_pacer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <pcg_random.hpp>
#include <string>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kBytes = 340;  // A view with two tasks and a load.
constexpr duration kTick = milliseconds(200);
const service_id kDesk("desk");

// A VM that sends its view to peers by a scripted clock.
struct view_sender {
  explicit view_sender(int zone, int region = 0, int far = 0) {
    Add(view_distance::kZone, zone);
    Add(view_distance::kRegion, region);
    Add(view_distance::kRemoteRegion, far);
    pacer.SetPeers(peers);
    scheduler_load load;
    load.slots = 40;
    load.usable_slots = 40;
    view.bytes = kBytes;
    view.loads[{kDesk, 0}] = load;
  }

  void Add(view_distance distance, int count) {
    for (int i = 0; i < count; ++i) {
      view_peer peer;
      peer.vm = vm_id(std::to_string(peers.size()));
      peer.distance = distance;
      peer.incarnation = 1;
      peers.push_back(peer);
    }
  }

  scheduler_load& Load() { return view.loads.at({kDesk, 0}); }

  // Advances the clock by a tick and returns the messages sent.
  view_pacer::actions Tick() {
    now += kTick;
    return Send();
  }
  view_pacer::actions Send() {
    const view_pacer::actions sent = pacer.OnView(view, now);
    for (const view_pacer::action& action : sent) {
      const auto& one = std::get<view_pacer_action::send_view>(action);
      last_sent[one.to] = now;
      announced[one.to] = one.next_within;
    }
    return sent;
  }

  // Returns the bytes per second over `time`, with `change` before each tick.
  template <class F>
  double BytesPerSecond(duration time, F change) {
    const monotonic_time begin = now;
    double bytes = 0;
    while (now < begin + time) {
      change();
      bytes += kBytes * static_cast<double>(Tick().size());
    }
    return bytes / ToSeconds(now - begin);
  }
  // Runs until the first messages and their repeats are sent.
  void Settle() {
    BytesPerSecond(seconds(120), [] {});
  }

  // Returns the ticks until the peer gets a message; `limit` + 1 if none comes
  // within `limit` ticks.
  int TicksUntilSent(const vm_id& vm, int limit) {
    for (int tick = 1; tick <= limit; ++tick) {
      Tick();
      if (last_sent[vm] == now) return tick;
    }
    return limit + 1;
  }

  view_pacer pacer{view_pacer_options{}};
  std::vector<view_peer> peers;
  paced_view view;
  monotonic_time now = monotonic_time(std::chrono::hours(1));
  std::map<vm_id, monotonic_time> last_sent;
  std::map<vm_id, duration> announced;
};

view_sender MakeSender(int vms) {
  switch (vms) {
    case 2:
      return view_sender(1);
    case 10:
      return view_sender(1, 8);
    case 24:
      return view_sender(3, 8, 12);
    default:
      return view_sender(11, 48, 140);
  }
}

// At a fixed interval each VM's traffic grows with the number of VMs. With 24
// VMs each would send 20 KB a second, which delays the daemons' own calls on a
// busy machine.
BOOST_AUTO_TEST_CASE(BytesStayBelowTheBudgetAtEverySize) {
  for (const int vms : {2, 10, 24, 200}) {
    view_sender sender = MakeSender(vms);
    sender.Settle();
    // An hour, since a repeat to all peers takes minutes at 200 VMs.
    const double idle = sender.BytesPerSecond(seconds(3600), [] {});
    pcg32 random(7);
    const double busy = sender.BytesPerSecond(seconds(600), [&] {
      sender.Load().in_flight = static_cast<int>(random(40));
      sender.Load().expected_wait = milliseconds(random(400));
    });
    BOOST_TEST_MESSAGE(vms << " VMs: " << idle << " B/s idle, " << busy
                           << " B/s while loads change");
    BOOST_TEST(idle <= 610);
    BOOST_TEST(busy <= 1520);
    BOOST_TEST(busy > idle);
  }
}

// A VM that leaves, or whose dispatch has no slot left, gets requests until the
// peers receive the update; each costs its caller a second try.
BOOST_AUTO_TEST_CASE(UrgentChangesAreSentBeyondTheBudget) {
  for (const int vms : {2, 10, 24, 200}) {
    view_sender sender = MakeSender(vms);
    sender.Settle();
    // Loads have used up the budget, and one urgent change follows another.
    sender.BytesPerSecond(seconds(20), [&] {
      sender.Load().in_flight = 40 - sender.Load().in_flight;
    });
    for (int change = 0; change < 5; ++change) {
      ++sender.view.urgent;
      BOOST_TEST(sender.Send().size() == sender.peers.size());
    }
  }
}

// The network loses a message with changes. Views are not acknowledged, so
// without a repeat the receiver would act on the old view until the next
// change.
BOOST_AUTO_TEST_CASE(LostMessageIsRepeated) {
  for (const int vms : {2, 10, 24, 200}) {
    view_sender sender = MakeSender(vms);
    sender.Settle();
    ++sender.view.urgent;
    sender.Send();  // All of these messages are lost.
    const monotonic_time lost = sender.now;
    const auto all_sent_again = [&] {
      return std::all_of(sender.last_sent.begin(), sender.last_sent.end(),
                         [&](const auto& one) { return one.second > lost; });
    };
    while (!all_sent_again() && sender.now < lost + seconds(300)) sender.Tick();
    BOOST_TEST_MESSAGE(vms << " VMs: repeat sent to all peers after "
                           << ToSeconds(sender.now - lost) << " s");
    BOOST_TEST(all_sent_again());
    // One round of all peers at the other zones' share of the budget, after the
    // allowance that the urgent round took in advance.
    const double round =
        static_cast<double>(sender.peers.size()) * kBytes / 600;
    BOOST_TEST(ToSeconds(sender.now - lost) <= round + 3);
  }
}

// The last message of a burst of load is lost, and nothing changes afterwards.
// The local zone's entries would leave slots idle until the next repeat.
BOOST_AUTO_TEST_CASE(LostLoadIsRepeatedAtTheChangeInterval) {
  view_sender sender(1, 8);
  sender.Settle();
  const vm_id near = sender.peers[0].vm;
  sender.Load().in_flight = 20;
  BOOST_TEST(sender.TicksUntilSent(near, 10) <= 2);  // This message is lost.
  BOOST_TEST(sender.TicksUntilSent(near, 10) <= 2);
  // Further repeats follow at the repeat interval.
  BOOST_TEST(sender.TicksUntilSent(near, 10) == 5);
}

// A receiver treats a zone as unknown when no message arrives for three times
// the announced interval. A sender that exceeds its announced interval would
// make live zones without changes look dead.
BOOST_AUTO_TEST_CASE(OneLostMessageFitsIntoTheReceiversTimeout) {
  for (const int vms : {2, 10, 24, 200}) {
    view_sender sender = MakeSender(vms);
    sender.Settle();
    pcg32 random(11);
    double worst = 0;
    sender.BytesPerSecond(seconds(240), [&] {
      if (random(50) == 0) ++sender.view.urgent;
      if (random(3) == 0) {
        sender.Load().in_flight = static_cast<int>(random(40));
      }
      for (const auto& [vm, at] : sender.last_sent) {
        const duration timeout =
            std::max<duration>(seconds(3), 3 * sender.announced[vm]);
        worst =
            std::max(worst, ToSeconds(sender.now - at) / ToSeconds(timeout));
      }
    });
    BOOST_TEST_MESSAGE(vms << " VMs: longest gap between messages " << worst
                           << " of the receiver's timeout");
    BOOST_TEST(worst <= 0.5);
  }
}

BOOST_AUTO_TEST_CASE(SmallChangesAreSentToTheLocalZoneOnly) {
  view_sender sender(1, 1, 1);
  sender.Settle();
  sender.Load().in_flight = 1;
  BOOST_TEST(sender.TicksUntilSent(sender.peers[0].vm, 5) <= 2);
  const monotonic_time changed = sender.now;
  // Small changes add up to a large one, which the other peers get.
  bool others_updated = false;
  while (!others_updated && sender.Load().in_flight < 10) {
    ++sender.Load().in_flight;
    others_updated = sender.last_sent[sender.peers[1].vm] > changed &&
                     sender.last_sent[sender.peers[2].vm] > changed;
    sender.Tick();
  }
  BOOST_TEST(others_updated);
}

BOOST_AUTO_TEST_CASE(NearerPeersGetMoreMessages) {
  view_sender sender(2, 4, 8);
  sender.Settle();
  std::map<view_distance, int> counts;
  for (int tick = 0; tick < 3000; ++tick) {
    sender.Load().in_flight = 40 - sender.Load().in_flight;
    sender.Tick();
    for (const view_peer& peer : sender.peers) {
      if (sender.last_sent[peer.vm] == sender.now) ++counts[peer.distance];
    }
  }
  const int zone = counts[view_distance::kZone] / 2;
  const int region = counts[view_distance::kRegion] / 4;
  const int far = counts[view_distance::kRemoteRegion] / 8;
  BOOST_TEST(zone > region);
  BOOST_TEST(region > far);
  BOOST_TEST(far > 0);
}

// Entries send more or less traffic past their zone by bands of the expected
// wait. With a message that is a second late they go on for too long.
BOOST_AUTO_TEST_CASE(WaitBandChangeIsSentToTheZoneAtOnce) {
  view_sender sender(3, 8, 12);
  sender.Settle();
  for (const int wait_ms : {30, 300, 0}) {
    sender.Load().expected_wait = milliseconds(wait_ms);
    sender.Tick();
    sender.Tick();
    for (int i = 0; i < 3; ++i) {
      const auto age = sender.now - sender.last_sent[sender.peers[i].vm];
      BOOST_TEST((age <= kTick));
    }
    sender.BytesPerSecond(seconds(10), [] {});
  }
}

// A peer restarts, or returns after a partition, without this VM's view. The
// peer would place requests without this VM's zone until the next repeat.
BOOST_AUTO_TEST_CASE(NewOrReturnedPeerGetsTheViewAtOnce) {
  view_sender sender(3, 8, 12);
  sender.Settle();
  sender.Tick();
  const auto gets_view_now = [&](const vm_id& vm) {
    sender.pacer.SetPeers(sender.peers);
    sender.Tick();
    return sender.last_sent[vm] == sender.now;
  };
  view_peer& last = sender.peers.back();
  last.incarnation = 2;
  BOOST_TEST(gets_view_now(last.vm));
  last.silent = true;
  gets_view_now(last.vm);
  sender.Tick();
  last.silent = false;
  BOOST_TEST(gets_view_now(last.vm));
  sender.Add(view_distance::kRemoteRegion, 1);
  BOOST_TEST(gets_view_now(sender.peers.back().vm));
}

}  // namespace
}  // namespace citron
