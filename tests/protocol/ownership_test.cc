#include "citron/protocol/ownership.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <queue>

namespace citron {

using ownership_action::arm_timer;
using ownership_action::left;
using ownership_action::notify_owner;
using ownership_action::ownership_changed;
using ownership_action::read_table;
using ownership_action::send_promise;
using ownership_action::send_promise_request;
using ownership_action::write_table;

namespace {

constexpr double kStep = 0.02;
constexpr int kUpstreams = 5;
constexpr int kSlots = 4;

constexpr const char* kEpochsOutOfOrder =
    R"({"epoch":1,"members":{"a":{"incarnation":1,"address":"1.2.3.4:5",)"
    R"("counter":1,"joined":2,"seen":1}}})";

upstream_id Upstream(int n) { return upstream_id("u" + std::to_string(n)); }

std::set<upstream_id> AllUpstreams() {
  std::set<upstream_id> all;
  for (int n = 0; n < kUpstreams; ++n) all.insert(Upstream(n));
  return all;
}

ownership_options TestOptions() {
  ownership_options options;
  options.ttl = FromSeconds(1);
  options.renew_interval = FromSeconds(0.3);
  options.horizon = FromSeconds(12);
  options.margin = FromSeconds(0.05);
  options.store_timeout = FromSeconds(0.4);
  options.handover_drain_limit = FromSeconds(0.5);
  return options;
}

// Simulates the dispatches of one zone, a store and a network. The dispatches
// read only their local clocks, not the true time.
class fake_zone {
 public:
  struct vm {
    std::unique_ptr<ownership> machine;
    double offset = 0;
    double rate = 1;
    double frozen_until = 0;
    bool up = false;
    bool leaving = false;  // Gets no new requests.
    bool store_up = true;
    incarnation_number incarnation = 0;
    std::uint16_t port = 9000;
    monotonic_time timer;
    std::vector<std::function<void()>> waiting;  // Arrived while frozen.
    std::map<upstream_id, int> in_flight;
  };

  fake_zone(int vm_count, std::uint64_t seed) : random(seed) {
    vms.resize(static_cast<std::size_t>(vm_count));
    for (vm& v : vms) {
      v.offset = 1000.0 * random(100);
      v.rate = 1 + (static_cast<int>(random(2001)) - 1000) * 1e-6;
    }
    cut.assign(vms.size(), std::vector<bool>(vms.size(), false));
  }

  static vm_id Name(int n) { return vm_id("vm" + std::to_string(n)); }
  monotonic_time LocalNow(const vm& v) const {
    return monotonic_time() + FromSeconds(v.offset + v.rate * time);
  }
  void Start(int n) {
    vm& v = vms[n];
    ownership_options options = TestOptions();
    options.vm = Name(n);
    options.incarnation = ++v.incarnation;
    options.address = {"127.0.0.1", v.port};
    v.machine = std::make_unique<ownership>(options, random());
    v.up = true;
    v.leaving = false;
    v.frozen_until = 0;
    v.in_flight.clear();
    v.timer = LocalNow(v);
    Execute(n, v.machine->OnUpstreams(AllUpstreams(), LocalNow(v)));
  }
  void Kill(int n) {
    vms[n].up = false;
    vms[n].waiting.clear();
    vms[n].machine.reset();
  }
  void Leave(int n) {
    vm& v = vms[n];
    v.leaving = true;
    Execute(n, v.machine->OnLeave(LocalNow(v)));
  }
  bool Frozen(int n) const { return time < vms[n].frozen_until; }

  void Step() {
    time += kStep;
    while (!events_.empty() && events_.top().at <= time) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    for (int n = 0; n < Count(); ++n) {
      vm& v = vms[n];
      if (!v.up || Frozen(n)) continue;
      const auto waiting = std::exchange(v.waiting, {});
      for (const auto& run : waiting) run();
      if (LocalNow(v) >= v.timer) Execute(n, v.machine->OnTimer(LocalNow(v)));
      ServeRequests(n);
    }
    CheckExclusive();
  }
  void Run(double seconds) {
    for (const double end = time + seconds; time < end;) Step();
  }
  // Returns the VMs that may send now; a frozen VM counts as if it resumed now.
  std::vector<int> Senders(const upstream_id& upstream) const {
    std::vector<int> senders;
    for (int n = 0; n < Count(); ++n) {
      const vm& v = vms[n];
      if (v.up && v.machine->MaySend(upstream, LocalNow(v))) {
        senders.push_back(n);
      }
    }
    return senders;
  }
  int OwnedCount(int n) const {
    int count = 0;
    for (const upstream_id& u : AllUpstreams()) {
      count += vms[n].machine->MaySend(u, LocalNow(vms[n])) ? 1 : 0;
    }
    return count;
  }
  bool AllOwned() const {
    for (const upstream_id& u : AllUpstreams()) {
      if (Senders(u).size() != 1) return false;
    }
    return true;
  }
  int TotalInFlight(const upstream_id& upstream) const {
    int total = 0;
    for (const vm& v : vms) {
      const auto found = v.in_flight.find(upstream);
      if (v.up && found != v.in_flight.end()) total += found->second;
    }
    return total;
  }
  int Count() const { return static_cast<int>(vms.size()); }
  // Chance in each step that a request in flight ends.
  double finish_chance = 0.05;

  std::vector<vm> vms;
  std::vector<std::vector<bool>> cut;
  pcg32 random;
  double time = 0;
  bool store_up = true;
  double loss = 0;
  double longest_delay = 0.02;
  int left_count = 0;
  int exclusive_failures = 0;
  bool check_slots = false;

 private:
  struct event {
    double at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  bool Chance(double p) { return random(1000000) < p * 1e6; }
  void DeliverLater(std::function<void()> run) {
    const double delay = longest_delay * random(1000) / 1000;
    events_.push({time + delay, ++event_number_, std::move(run)});
  }
  // Runs `run` on the VM after the network delay, unless its process ends
  // before.
  void ToVm(int n, std::function<void()> run) {
    const incarnation_number incarnation = vms[n].incarnation;
    const auto guarded = [this, n, incarnation, run = std::move(run)] {
      if (vms[n].up && vms[n].incarnation == incarnation) run();
    };
    DeliverLater([this, n, guarded] {
      if (Frozen(n)) {
        vms[n].waiting.push_back(guarded);
      } else {
        guarded();
      }
    });
  }
  bool Reaches(int n, const vm_id& via) const {
    const int at = via.IsEmpty() ? n : Number(via);
    return store_up && vms[at].store_up && vms[at].up && !Frozen(at) &&
           !cut[n][at];
  }
  static int Number(const vm_id& name) { return name.Str().back() - '0'; }

  void Execute(int n, const ownership::actions& list) {
    for (const ownership::action& a : list) {
      std::visit([&](const auto& typed) { Perform(n, typed); }, a);
    }
  }
  void Perform(int n, const read_table& a) {
    if (!Reaches(n, a.via) || Chance(loss)) return FailCall(n, a.call);
    DeliverLater([this, n, call = a.call] {
      if (Chance(loss)) return;
      ToVm(n, [this, n, call, json = json_, revision = revision_] {
        Execute(n, vms[n].machine->OnTableRead(call, json, revision,
                                               LocalNow(vms[n])));
      });
    });
  }
  void Perform(int n, const write_table& a) {
    if (!Reaches(n, a.via)) return FailCall(n, a.call);
    if (Chance(loss)) return;
    DeliverLater([this, n, a] {
      const bool ok = a.expected_revision == revision_;
      if (ok) {
        json_ = a.json;
        ++revision_;
      }
      if (Chance(loss)) return;
      ToVm(n, [this, n, ok, call = a.call, revision = revision_] {
        Execute(n, vms[n].machine->OnCasResult(
                       call, ok ? cas_outcome::kOk : cas_outcome::kConflict,
                       revision, LocalNow(vms[n])));
      });
    });
  }
  void FailCall(int n, std::uint64_t call) {
    ToVm(n, [this, n, call] {
      Execute(n, vms[n].machine->OnStoreUnreachable(call, LocalNow(vms[n])));
    });
  }
  void Perform(int n, const send_promise_request& a) {
    const int to = Number(a.to);
    if (cut[n][to] || !vms[to].up || Chance(loss)) return;
    ToVm(to, [this, to, m = a.message] {
      Execute(to, vms[to].machine->OnPromiseRequest(m, LocalNow(vms[to])));
    });
  }
  void Perform(int n, const send_promise& a) {
    const int to = Number(a.to);
    if (cut[n][to] || !vms[to].up || Chance(loss)) return;
    ToVm(to, [this, to, m = a.message] {
      Execute(to, vms[to].machine->OnPromise(m, LocalNow(vms[to])));
    });
  }
  void Perform(int n, const notify_owner& a) {
    const int to = Number(a.to);
    if (cut[n][to] || !vms[to].up || Chance(loss)) return;
    ToVm(to, [this, to] {
      Execute(to, vms[to].machine->OnTableChanged(LocalNow(vms[to])));
    });
  }
  void Perform(int, const ownership_changed&) {}
  void Perform(int n, const left&) {
    ++left_count;
    DeliverLater([this, n, incarnation = vms[n].incarnation] {
      if (vms[n].incarnation == incarnation && vms[n].up) Kill(n);
    });
  }
  void Perform(int n, const arm_timer& a) { vms[n].timer = a.at; }

  void ServeRequests(int n) {
    vm& v = vms[n];
    for (const upstream_id& u : AllUpstreams()) {
      int& count = v.in_flight[u];
      const int before = count;
      if (count > 0 && Chance(finish_chance)) --count;
      const int slots = kSlots - v.machine->ReservedSlots(u);
      const bool has_request = !v.leaving && count < slots;
      if (has_request && v.machine->MaySend(u, LocalNow(v))) ++count;
      if (count != before) {
        Execute(n, v.machine->OnInFlight(u, count, LocalNow(v)));
      }
      if (check_slots) BOOST_REQUIRE_LE(TotalInFlight(u), kSlots);
    }
  }
  void CheckExclusive() {
    for (const upstream_id& u : AllUpstreams()) {
      if (Senders(u).size() > 1) ++exclusive_failures;
    }
  }

  std::priority_queue<event> events_;
  std::uint64_t event_number_ = 0;
  std::string json_;
  std::uint64_t revision_ = 0;
};

void InjectFault(fake_zone& zone) {
  const int n = static_cast<int>(zone.random(zone.vms.size()));
  const int other = static_cast<int>(zone.random(zone.vms.size()));
  fake_zone::vm& v = zone.vms[n];
  switch (zone.random(10)) {
    case 0:
    case 1:
      v.frozen_until = zone.time + 0.001 * zone.random(4000);
      break;
    case 2:
      zone.Kill(n);
      break;
    case 3:
    case 4:
      if (v.up) break;
      // One restart in five gets another address.
      if (zone.random(5) == 0) ++v.port;
      zone.Start(n);
      break;
    case 9:
      if (v.up && !zone.Frozen(n)) zone.Leave(n);
      break;
    case 5:
      v.store_up = !v.store_up;
      break;
    case 6:
      zone.store_up = !zone.store_up;
      break;
    case 7:
      zone.cut[n][other] = zone.cut[other][n] = n != other && zone.random(2);
      break;
    default:
      zone.loss = 0.01 * zone.random(40);
      zone.longest_delay = 0.01 * zone.random(60);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(TableRoundTripAndStrictParser) {
  ownership_table table;
  table.epoch = 3;
  table.members[vm_id("a")] = {7, {"127.0.0.1", 80}, 9, 1, 3, true};
  table.members[vm_id("b")] = {8, {"127.0.0.2", 80}, 2, 3, 3, false};
  table.assignments[upstream_id("u")] = {vm_id("b"), vm_id("a"), 2};
  const std::string json = WriteOwnershipTable(table);
  const auto parsed = ParseOwnershipTable(json);
  BOOST_REQUIRE(IsOk(parsed));
  BOOST_TEST((ValueOf(parsed) == table));
  BOOST_TEST(!table.IsSole(vm_id("a")));
  for (std::size_t cut = 0; cut < json.size(); ++cut) {
    BOOST_TEST(!IsOk(ParseOwnershipTable(json.substr(0, cut))));
  }
  for (const char* bad :
       {"{}", "[]", R"({"epoch":1,"more":2})", R"({"epoch":-1})",
        R"({"epoch":1,"assignments":{"u":{"owner":"nobody"}}})",
        R"({"epoch":1,"members":{"a":{"incarnation":1}}})",
        kEpochsOutOfOrder}) {
    BOOST_TEST_INFO(bad);
    BOOST_TEST(!IsOk(ParseOwnershipTable(bad)));
  }
}

// A sole member of a zone must keep its ownership up to the horizon while the
// store is down, or the zone is not served.
BOOST_AUTO_TEST_CASE(SoleMemberGoesOnWithoutStore) {
  fake_zone zone(1, 1);
  zone.Start(0);
  zone.Run(2);
  BOOST_TEST(zone.AllOwned());
  zone.store_up = false;
  zone.Run(11);
  BOOST_TEST(zone.AllOwned());
  zone.Run(2);
  BOOST_TEST(zone.OwnedCount(0) == 0);
  zone.store_up = true;
  zone.Run(3);
  BOOST_TEST(zone.AllOwned());
}

// While the store is down, each of two members keeps its ownership by the
// other's promises; when they are cut off from each other too, both must stop.
BOOST_AUTO_TEST_CASE(PromisesCarryMembersThroughStoreOutage) {
  fake_zone zone(2, 2);
  zone.Start(0);
  zone.Run(1);
  zone.Start(1);
  zone.Run(6);
  BOOST_TEST(zone.AllOwned());
  BOOST_TEST(zone.OwnedCount(1) > 0);
  zone.store_up = false;
  zone.Run(8);
  BOOST_TEST(zone.AllOwned());
  zone.cut[0][1] = zone.cut[1][0] = true;
  zone.Run(2);
  BOOST_TEST(zone.OwnedCount(0) + zone.OwnedCount(1) == 0);
}

// One VM of two can't reach the store, and the other VM relays its renewals.
BOOST_AUTO_TEST_CASE(RenewalIsRelayedByOtherMember) {
  fake_zone zone(2, 3);
  zone.Start(0);
  zone.Start(1);
  zone.Run(6);
  zone.vms[0].store_up = false;
  zone.Run(30);
  BOOST_TEST(zone.AllOwned());
  BOOST_TEST(zone.OwnedCount(0) > 0);
}

// After a member dies for good, its upstreams must soon have an owner again,
// although no operator declares it dead.
BOOST_AUTO_TEST_CASE(DeadMemberIsTakenOver) {
  fake_zone zone(3, 4);
  for (int n = 0; n < 3; ++n) zone.Start(n);
  zone.Run(8);
  zone.Kill(0);
  zone.Run(3);
  BOOST_TEST(zone.AllOwned());
}

// The zone's only VM dies and another takes its place. Unless an operator
// declares the first VM dead, the new VM must wait for the horizon, as the
// first might be cut off and still send; after the declaration it owns at once.
BOOST_AUTO_TEST_CASE(NewcomerWaitsForHorizonOrOperator) {
  for (const bool is_declared_dead : {false, true}) {
    fake_zone zone(2, 5);
    zone.Start(0);
    zone.Run(2);
    zone.Kill(0);
    zone.Start(1);
    zone.Run(3);
    BOOST_TEST(zone.OwnedCount(1) == 0);
    if (is_declared_dead) {
      zone.vms[1].machine->OnDeclaredDead({fake_zone::Name(0)},
                                          zone.LocalNow(zone.vms[1]));
      zone.Run(1);
    } else {
      zone.Run(11);
    }
    BOOST_TEST(zone.OwnedCount(1) == kUpstreams);
  }
}

// The only dispatch of the zone crashes and restarts on the same port. The new
// process must not wait for the horizon of its dead predecessor.
BOOST_AUTO_TEST_CASE(RestartedProcessOwnsAtOnce) {
  fake_zone zone(1, 6);
  zone.Start(0);
  zone.Run(2);
  zone.Kill(0);
  zone.Start(0);
  zone.Run(0.5);
  BOOST_TEST(zone.OwnedCount(0) == kUpstreams);
}

// One of two members restarts while the store is down. Its new process can't
// join but reports that the old one has ended, so the other member goes on.
BOOST_AUTO_TEST_CASE(RestartDuringStoreOutageDoesNotStopTheOther) {
  fake_zone zone(2, 7);
  zone.Start(0);
  zone.Start(1);
  zone.Run(6);
  const int before = zone.OwnedCount(0);
  zone.store_up = false;
  zone.Run(1);
  zone.Kill(1);
  zone.Start(1);
  zone.Run(4);
  BOOST_TEST(before > 0);
  BOOST_TEST(zone.OwnedCount(0) == before);
}

// VMs join, and one leaves gracefully while long requests are in flight. A new
// owner that ignored the old owner's requests would send the upstream more
// requests than it has slots.
BOOST_AUTO_TEST_CASE(HandOverKeepsToTheSlots) {
  fake_zone zone(3, 8);
  zone.check_slots = true;
  zone.finish_chance = 0.004;
  for (int n = 0; n < 3; ++n) {
    zone.Start(n);
    zone.Run(20);
    BOOST_TEST(zone.AllOwned());
  }
  zone.Leave(0);
  zone.Run(60);
  BOOST_TEST(zone.left_count == 1);
  BOOST_TEST(!zone.vms[0].up);
  BOOST_TEST(zone.AllOwned());
}

// Guards against an upstream that idles until its new owner's next renewal: a
// joining VM gets its upstreams within a few messages of the hand-over.
BOOST_AUTO_TEST_CASE(NewOwnerSendsSoonAfterTheHandOver) {
  // The answer to the write, the notice, and a read; each at most 0.02 s, and a
  // step of the simulation.
  constexpr double kLongestIdleS = 0.2;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    fake_zone zone(2, seed);
    zone.Start(0);
    zone.Run(3);
    zone.Start(1);
    std::map<upstream_id, double> idle_since;
    double longest = 0;
    for (const double end = zone.time + 10; zone.time < end;) {
      zone.Step();
      for (const upstream_id& u : AllUpstreams()) {
        const bool is_idle =
            zone.Senders(u).empty() && zone.TotalInFlight(u) == 0;
        if (!is_idle) {
          idle_since.erase(u);
          continue;
        }
        const auto [since, is_new] = idle_since.try_emplace(u, zone.time);
        longest = std::max(longest, zone.time - since->second);
      }
    }
    BOOST_TEST_INFO("seed " << seed);
    BOOST_TEST(longest <= kLongestIdleS);
    BOOST_TEST(zone.OwnedCount(1) > 0);
  }
}

// Feeds scripted events to one ownership object.
struct scripted_ownership {
  ownership machine;
  std::uint64_t call = 0;
  bool wrote = false;

  static ownership_options Options() {
    ownership_options options = TestOptions();
    options.vm = vm_id("b");
    options.incarnation = 1;
    options.address = {"127.0.0.1", 2};
    return options;
  }
  scripted_ownership() : machine(Options(), 1) {
    machine.OnUpstreams({Upstream(0)}, At(1));
  }
  static monotonic_time At(double s) {
    return monotonic_time() + FromSeconds(s);
  }
  void RecordCalls(const ownership::actions& list) {
    wrote = false;
    for (const auto& a : list) {
      if (const auto* read = std::get_if<read_table>(&a)) call = read->call;
      const auto* write = std::get_if<write_table>(&a);
      if (write == nullptr) continue;
      call = write->call;
      wrote = true;
    }
  }
  void Timer(double at) { RecordCalls(machine.OnTimer(At(at))); }
  void TableRead(const std::string& json, std::uint64_t revision, double at) {
    RecordCalls(machine.OnTableRead(call, json, revision, At(at)));
  }
  void Cas(cas_outcome outcome, std::uint64_t revision, double at) {
    RecordCalls(machine.OnCasResult(call, outcome, revision, At(at)));
  }
};

// A promise request reaches a member that may have taken over already, as the
// answer to its write was lost. If it promised, both members would send.
BOOST_AUTO_TEST_CASE(NoPromiseWhileTakeOverIsOpen) {
  ownership_table table;
  table.epoch = 2;
  table.members[vm_id("a")] = {1, {"127.0.0.1", 1}, 5, 1, 2, false};
  table.members[vm_id("b")] = {1, {"127.0.0.1", 2}, 5, 2, 2, false};
  table.assignments[Upstream(0)] = {vm_id("a"), vm_id(), 0};
  const std::string json = WriteOwnershipTable(table);
  scripted_ownership b;
  const promise_request request{vm_id("a"), 1, 1, 1, 1};
  b.Timer(1);
  b.TableRead(json, 7, 1);
  BOOST_TEST(b.wrote);
  BOOST_TEST(b.machine.OnPromiseRequest(request, b.At(1.1)).size() == 1u);
  b.machine.OnStoreUnreachable(b.call, b.At(1.2));
  b.Timer(5);
  b.TableRead(json, 7, 5);
  BOOST_TEST(b.wrote);
  b.Cas(cas_outcome::kUnknown, 0, 5.1);
  BOOST_TEST(b.machine.OnPromiseRequest(request, b.At(5.2)).empty());
}

// A leaving owner releases its upstream, and the answer to that write is lost.
// Another member may have taken the upstream since.
BOOST_AUTO_TEST_CASE(NoSendWhileReleaseIsOpen) {
  scripted_ownership b;
  b.Timer(1);
  b.TableRead("", 0, 1);
  b.Cas(cas_outcome::kOk, 1, 1);
  BOOST_TEST(b.machine.MaySend(Upstream(0), b.At(1)));
  b.machine.OnInFlight(Upstream(0), 1, b.At(1));
  b.machine.OnLeave(b.At(1.1));
  BOOST_TEST(b.machine.MaySend(Upstream(0), b.At(1.1)));
  b.machine.OnInFlight(Upstream(0), 0, b.At(1.2));
  b.Timer(1.2);
  BOOST_TEST(b.wrote);
  BOOST_TEST(!b.machine.MaySend(Upstream(0), b.At(1.2)));
  b.Cas(cas_outcome::kUnknown, 0, 1.3);
  BOOST_TEST(!b.machine.MaySend(Upstream(0), b.At(1.3)));
}

// Guards against requests for an upstream that is being handed over: each of
// them would be turned back at its send.
BOOST_AUTO_TEST_CASE(UpstreamInHandOverIsReportedAsNotOwned) {
  ownership_table table;
  table.epoch = 2;
  table.members[vm_id("a")] = {1, {"127.0.0.1", 1}, 5, 1, 2, false};
  table.members[vm_id("b")] = {1, {"127.0.0.1", 2}, 5, 2, 2, false};
  std::set<upstream_id> all;
  for (int n = 0; n < kUpstreams; ++n) {
    table.assignments[Upstream(n)] = {vm_id("b"), vm_id(), 0};
    all.insert(Upstream(n));
  }
  scripted_ownership b;
  b.machine.OnUpstreams(all, b.At(1));
  for (const upstream_id& upstream : all) {
    b.machine.OnInFlight(upstream, 1, b.At(1));
  }
  std::optional<std::set<upstream_id>> owned;
  const auto record = [&](const ownership::actions& list) {
    b.RecordCalls(list);
    for (const auto& a : list) {
      const auto* changed = std::get_if<ownership_changed>(&a);
      if (changed != nullptr) owned = changed->owned;
    }
  };
  b.Timer(1);
  // The other member has just been seen, so a hand-over to it begins.
  record(b.machine.OnTableRead(b.call, WriteOwnershipTable(table), 7, b.At(1)));
  record(b.machine.OnCasResult(b.call, cas_outcome::kOk, 8, b.At(1)));
  BOOST_TEST_REQUIRE(owned.has_value());
  BOOST_TEST((*owned == b.machine.SendableUpstreams(b.At(1))));
  BOOST_TEST(owned->size() == all.size() - 1);
  BOOST_TEST(b.machine.AssignedUpstreams().size() == all.size());
}

// A sole member reaches the store again, finds a new member and acknowledges
// it, and the answer is lost. The new member may take over ttl later, so the
// old one must not go on up to the horizon. The new member is leaving and gets
// no upstreams.
BOOST_AUTO_TEST_CASE(OpenAcknowledgementEndsTheHorizon) {
  scripted_ownership b;
  b.Timer(1);
  b.TableRead("", 0, 1);
  b.Cas(cas_outcome::kOk, 1, 1);
  ownership_table table = b.machine.Table();
  table.epoch = 2;
  table.members[vm_id("c")] = {1, {"127.0.0.1", 3}, 1, 2, 2, true};
  b.Timer(4);
  b.Cas(cas_outcome::kConflict, 0, 4);
  BOOST_TEST(b.machine.MaySend(Upstream(0), b.At(4.1)));
  b.Timer(4.2);
  b.TableRead(WriteOwnershipTable(table), 2, 4.2);
  BOOST_TEST(b.wrote);
  b.Cas(cas_outcome::kUnknown, 0, 4.3);
  BOOST_TEST(b.machine.MaySend(Upstream(0), b.At(5.1)));
  BOOST_TEST(!b.machine.MaySend(Upstream(0), b.At(5.2)));
}

// The other member's new process reports that the old one has ended. If the
// report comes before the bound, the old process can't have taken over; after
// the bound, its write may be in flight.
BOOST_AUTO_TEST_CASE(DeadMembersWriteMayStillArrive) {
  ownership_table table;
  table.epoch = 1;
  table.members[vm_id("a")] = {1, {"127.0.0.1", 1}, 5, 1, 1, true};
  for (const bool is_early : {true, false}) {
    scripted_ownership b;
    b.Timer(1);
    b.TableRead(WriteOwnershipTable(table), 7, 1);
    b.Cas(cas_outcome::kOk, 8, 1);
    BOOST_TEST(b.machine.MaySend(Upstream(0), b.At(1.9)));
    BOOST_TEST(!b.machine.MaySend(Upstream(0), b.At(2)));
    b.Timer(1.6);
    promise gone;
    gone.from = vm_id("a");
    gone.from_incarnation = gone.to_incarnation = gone.number = 1;
    gone.predecessor_ended = true;
    gone.address = {"127.0.0.1", 1};
    b.machine.OnPromise(gone, b.At(is_early ? 1.9 : 2.1));
    BOOST_TEST(b.machine.MaySend(Upstream(0), b.At(5)) == is_early);
  }
}

// The store holds a malformed table. Acting on a partly read table could give
// an upstream two owners, so a process whose first read is malformed must
// neither write nor send.
BOOST_AUTO_TEST_CASE(BadTableIsLeftAlone) {
  scripted_ownership b;
  b.Timer(1);
  b.TableRead("{\"epoch\":", 3, 1);
  BOOST_TEST(!b.wrote);
  BOOST_TEST(b.machine.MalformedTables() == 1u);
  BOOST_TEST(!b.machine.MaySend(Upstream(0), b.At(1)));
}

// Random faults: processes freeze, die and restart, VMs are cut off from each
// other and from the store, the store fails, writes take effect late or without
// an answer. Two VMs that may send to one upstream at the same time overload
// it; an upstream without an owner after all faults end is lost for its
// callers.
BOOST_AUTO_TEST_CASE(RandomFaultsNeverGiveTwoOwners) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    const int count = 1 + static_cast<int>(seed % 4);
    fake_zone zone(count, seed);
    for (int n = 0; n < count; ++n) zone.Start(n);
    for (int round = 0; round < 60; ++round) {
      zone.Run(0.01 * zone.random(200));
      InjectFault(zone);
    }
    BOOST_TEST_INFO("seed " << seed);
    BOOST_REQUIRE_EQUAL(zone.exclusive_failures, 0);
    zone.loss = 0;
    zone.longest_delay = 0.02;
    zone.store_up = true;
    for (int n = 0; n < count; ++n) {
      zone.vms[n].store_up = true;
      zone.cut[n].assign(zone.cut[n].size(), false);
    }
    // Lets leaving VMs finish first.
    zone.Run(10);
    for (int n = 0; n < count; ++n) {
      if (!zone.vms[n].up) zone.Start(n);
    }
    zone.Run(30);
    BOOST_TEST_INFO("seed " << seed);
    BOOST_REQUIRE(zone.AllOwned());
    BOOST_REQUIRE_EQUAL(zone.exclusive_failures, 0);
  }
}

}  // namespace citron
