#include "citron/protocol/config_replica.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

namespace citron {

using config_replica_action::apply;
using config_replica_action::pull_from_peer;
using config_replica_action::read_store_snapshot;

namespace {

const vm_id kPeer("vm-b");

monotonic_time At(double seconds) {
  return monotonic_time() + FromSeconds(seconds);
}

config_item Item(const std::string& key, config_revision revision,
                 const std::string& value = "{}") {
  return {"config/" + key, value, revision, false};
}

config_item Removed(const std::string& key, config_revision revision) {
  return {"config/" + key, "", revision, true};
}

template <class T>
const T* Find(const config_replica::actions& list) {
  for (const auto& a : list) {
    if (const T* found = std::get_if<T>(&a)) return found;
  }
  return nullptr;
}

// Exchanges pages until the puller sends no further pull.
void PullAll(config_replica& puller, const config_replica& peer,
             monotonic_time now) {
  auto todo = puller.OnPeerRevision(kPeer, peer.Revision(), peer.Age(now), now);
  while (const auto* pull = Find<pull_from_peer>(todo)) {
    const config_delta page = peer.OnPullRequest(pull->request, now);
    todo = puller.OnPeerDelta(kPeer, page, now, now);
  }
}

// Store of the operators' configuration with the log that a watch reads.
struct fake_store {
  std::map<std::string, config_item> items;
  std::vector<config_item> log;
  config_revision revision = 0;

  void Change(pcg32& random) {
    const std::string key = "config/key/" + std::to_string(random(12));
    const bool remove = random(4) == 0 && items.contains(key);
    config_item item{key, std::to_string(random(1000)), ++revision, remove};
    if (remove) item.value.clear();
    items[key] = item;
    if (remove) items.erase(key);
    log.push_back(item);
  }
  std::vector<config_item> All() const {
    std::vector<config_item> all;
    for (const auto& [key, item] : items) all.push_back(item);
    return all;
  }
  std::map<std::string, std::string> Objects() const {
    std::map<std::string, std::string> objects;
    for (const auto& [key, item] : items) objects[key] = item.value;
    return objects;
  }
};

}  // namespace

// A listing of the store that was requested before a key was withdrawn arrives
// late. Applying it would make the withdrawn access key valid again.
BOOST_AUTO_TEST_CASE(LateSnapshotDoesNotRevert) {
  config_replica replica;
  replica.OnStoreSnapshot({Item("key/a", 3)}, 5, At(0), At(0));
  replica.OnStoreEvents(5, {Removed("key/a", 6)}, 6, At(1), At(1));
  const auto late =
      replica.OnStoreSnapshot({Item("key/a", 3)}, 5, At(0.5), At(2));
  BOOST_TEST(late.empty());
  BOOST_TEST(replica.Revision() == 6u);
  BOOST_TEST(replica.Objects().empty());
}

// The store dropped changes while this VM was partitioned from it. Applying
// only the later ones would keep a withdrawn access key for good.
BOOST_AUTO_TEST_CASE(GapInEventsRequestsSnapshot) {
  config_replica replica;
  replica.OnStoreSnapshot({Item("key/a", 3)}, 5, At(0), At(0));
  const auto out =
      replica.OnStoreEvents(8, {Item("key/b", 9)}, 9, At(1), At(1));
  BOOST_TEST(Find<read_store_snapshot>(out) != nullptr);
  BOOST_TEST(replica.Revision() == 5u);
  BOOST_TEST((replica.FreshAsOf() == At(0)));
}

// A VM starts while the store is down and pulls the configuration from a peer
// in pages. A partial configuration would reject callers with valid keys.
BOOST_AUTO_TEST_CASE(NewVmStartsFromPeerAllAtOnce) {
  config_replica_options small;
  small.page_bytes = 60;
  config_replica peer(small);
  std::vector<config_item> items;
  for (int i = 0; i < 20; ++i) items.push_back(Item(std::to_string(i), 1 + i));
  peer.OnStoreSnapshot(items, 30, At(0), At(0));
  config_replica fresh;
  auto todo = fresh.OnPeerRevision(kPeer, 30, peer.Age(At(2)), At(2));
  int pages = 0;
  while (const auto* pull = Find<pull_from_peer>(todo)) {
    BOOST_TEST(fresh.ObjectCount() == 0u);
    ++pages;
    todo = fresh.OnPeerDelta(kPeer, peer.OnPullRequest(pull->request, At(2)),
                             At(2), At(2));
  }
  BOOST_TEST(pages > 3);
  BOOST_TEST((fresh.Objects() == peer.Objects()));
  // The new replica is as fresh as the peer, not as the peer's answer.
  BOOST_TEST((fresh.FreshAsOf() == At(0)));
}

// A replica was partitioned until its peer dropped the tombstones of removed
// keys. The replica must still remove these keys when it pulls from the peer.
BOOST_AUTO_TEST_CASE(ForgottenTombstoneNeedsSnapshot) {
  config_replica_options few;
  few.max_tombstones = 1;
  config_replica peer(few);
  config_replica outdated;
  peer.OnStoreEvents(0, {Item("key/a", 1), Item("key/b", 2)}, 2, At(0), At(0));
  outdated.OnStoreEvents(0, {Item("key/a", 1), Item("key/b", 2)}, 2, At(0),
                         At(0));
  peer.OnStoreEvents(2, {Removed("key/a", 3), Removed("key/b", 4)}, 4, At(1),
                     At(1));
  BOOST_TEST(peer.TombstoneCount() == 1u);
  PullAll(outdated, peer, At(2));
  BOOST_TEST(outdated.Revision() == 4u);
  BOOST_TEST(outdated.Objects().empty());
}

// Two VMs that are partitioned from the store exchange heartbeats. Pulls may
// raise the freshness of either only to the latest contact of one of them with
// the store, or withdrawn access keys would be accepted for ever.
BOOST_AUTO_TEST_CASE(PartitionedPeersDoNotRefreshEachOther) {
  config_replica a;
  config_replica b;
  a.OnStoreEvents(0, {Item("x", 1)}, 1, At(0), At(0));
  b.OnStoreEvents(0, {Item("x", 1)}, 1, At(3), At(3));
  for (int second = 4; second < 60; ++second) {
    PullAll(a, b, At(second));
    PullAll(b, a, At(second));
  }
  BOOST_TEST((a.FreshAsOf() == At(3)));
  BOOST_TEST((b.FreshAsOf() == At(3)));
}

// A page reaches beyond its sender's revision, or has items outside the page's
// range.
BOOST_AUTO_TEST_CASE(MalformedDeltaIsDropped) {
  config_replica replica;
  config_delta bad;
  bad.to = 9;
  bad.head = 4;
  replica.OnPeerDelta(kPeer, bad, At(0), At(0));
  bad.head = 9;
  bad.items = {Item("a", 10)};
  replica.OnPeerDelta(kPeer, bad, At(0), At(0));
  BOOST_TEST(replica.Revision() == 0u);
}

// Messages between five VMs are lost, repeated and late, the store is
// unreachable at times, and VMs restart at random. A change that is in force on
// a running VM must not revert, and in the end all VMs have the same objects.
BOOST_AUTO_TEST_CASE(RandomFaultsNeverRevertAndConverge) {
  struct message {
    int to;
    vm_id from;
    config_delta delta;
  };
  static constexpr int kVms = 5;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    pcg32 random(seed);
    config_replica_options options;
    options.page_bytes = 40 + random(200);
    options.max_tombstones = 1 + random(6);
    fake_store store;
    std::vector<config_replica> vms(kVms, config_replica(options));
    std::vector<std::map<std::string, config_revision>> highest(kVms);
    std::vector<config_revision> applied_revision(kVms);
    std::vector<message> network;
    double time = 0;
    const auto check_applied = [&](int vm, const config_replica::actions& out) {
      const auto* applied = Find<apply>(out);
      if (applied == nullptr) return;
      BOOST_REQUIRE_GE(applied->revision, applied_revision[vm]);
      applied_revision[vm] = applied->revision;
      for (const config_item& item : applied->changed) {
        BOOST_REQUIRE_GT(item.revision, highest[vm][item.key]);
        highest[vm][item.key] = item.revision;
      }
    };
    const auto handle = [&](int vm, const config_replica::actions& out) {
      check_applied(vm, out);
      const auto* pull = Find<pull_from_peer>(out);
      if (pull == nullptr) return;
      const int peer = std::stoi(pull->vm.Str());
      message answer{vm, pull->vm,
                     vms[peer].OnPullRequest(pull->request, At(time))};
      network.push_back(answer);
      if (random(5) == 0) network.push_back(answer);
    };
    const auto step = [&](bool faulty) {
      time += 0.7;
      if (faulty && random(3) == 0) store.Change(random);
      const int vm = static_cast<int>(random(kVms));
      const int peer = static_cast<int>(random(kVms));
      const bool store_up = !faulty || static_cast<int>(time / 40) % 2 == 0;
      if (faulty && random(60) == 0) {
        vms[vm] = config_replica(options);
        highest[vm].clear();
        applied_revision[vm] = 0;
      }
      if (store_up && random(6) == 0) {
        check_applied(vm, vms[vm].OnStoreSnapshot(store.All(), store.revision,
                                                  At(time), At(time)));
      }
      if (store_up && random(4) == 0) {
        const config_revision after = vms[vm].Revision();
        std::vector<config_item> events(
            store.log.begin() + static_cast<std::ptrdiff_t>(after),
            store.log.end());
        check_applied(vm, vms[vm].OnStoreEvents(after, events, store.revision,
                                                At(time), At(time)));
      }
      handle(vm, vms[vm].OnPeerRevision(vm_id(std::to_string(peer)),
                                        vms[peer].Revision(),
                                        vms[peer].Age(At(time)), At(time)));
      while (!network.empty() && random(3) != 0) {
        const std::size_t at = random(network.size());
        const message m = network[at];
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(at));
        if (faulty && random(4) == 0) continue;
        handle(m.to,
               vms[m.to].OnPeerDelta(m.from, m.delta, At(time), At(time)));
      }
    };
    for (int i = 0; i < 400; ++i) step(true);
    for (int i = 0; i < 300; ++i) step(false);
    for (const config_replica& vm : vms) {
      BOOST_REQUIRE_EQUAL(vm.Revision(), store.revision);
      BOOST_REQUIRE(vm.Objects() == store.Objects());
    }
  }
}

}  // namespace citron
