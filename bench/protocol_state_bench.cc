// CPU and bytes of the control protocols' state machines by size; the slopes of
// docs/CAPACITY.md. Bytes of messages are those of their fields in msgpack.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <nlohmann/json.hpp>

#include "citron/base/digest.h"
#include "citron/protocol/config_replica.h"
#include "citron/protocol/membership.h"
#include "citron/protocol/ownership.h"
#include "citron/protocol/request_registry.h"

namespace citron {
namespace {

using nlohmann::json;

monotonic_time At(double seconds) {
  return monotonic_time() + FromSeconds(1000 + seconds);
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double PackedBytes(const json& fields) {
  return static_cast<double>(json::to_msgpack(fields).size());
}

json Fields(const member_info& m) {
  return {m.vm.Str(),      m.zone.Str(),  m.region.Str(),
          m.control.Str(), m.entry.Str(), m.dispatch.Str(),
          m.incarnation,   m.leaving,     m.silent};
}

json Fields(const heartbeat& h) {
  return {Fields(h.member),     h.sequence,         h.revision,
          h.config_age.count(), h.interval.count(), h.remote_zones_hash};
}

json Fields(const config_delta& d) {
  json items = json::array();
  for (const config_item& i : d.items) {
    items.push_back({i.key, i.value, i.revision, i.removed});
  }
  return {d.from, d.to,   d.head,     d.floor,
          items,  d.full, d.complete, d.age.count()};
}

member_info Vm(int zone, int number) {
  member_info info;
  info.vm = vm_id(fmt::format("entry-vm-{:05}", zone * 1000 + number));
  info.zone = zone_id(fmt::format("zone-{:02}", zone));
  info.region = region_id(fmt::format("region-{:02}", zone / 3));
  info.control = {"10.123.210.117", 7001};
  info.entry = {"10.123.210.117", 8443};
  info.dispatch = {"10.123.210.117", 7002};
  info.incarnation = 1765000000000000000u;
  return info;
}

heartbeat Beat(const member_info& from, std::uint64_t sequence) {
  heartbeat message;
  message.member = from;
  message.sequence = sequence;
  message.revision = 12345678;
  message.config_age = FromSeconds(1);
  message.interval = FromSeconds(1);
  return message;
}

// One that has heard from so many members of its own zone.
membership MakeMembership(int peers) {
  membership_options options;
  options.self = Vm(0, 0);
  membership m(options);
  std::vector<listed_vm> list;
  for (int n = 1; n <= peers; ++n) {
    const member_info vm = Vm(0, n);
    list.push_back({vm.vm, vm.zone, vm.region, vm.control, false});
    m.OnHeartbeat(Beat(vm, 1), At(0));
  }
  m.OnPlatformList(list, At(0));
  return m;
}

void HeartbeatReceived(benchmark::State& state) {
  const int peers = static_cast<int>(state.range(0));
  membership m = MakeMembership(peers);
  std::vector<member_info> infos;
  for (int n = 1; n <= peers; ++n) infos.push_back(Vm(0, n));
  std::uint64_t sequence = 1;
  std::size_t next = 0;
  for (auto unused : state) {
    if (next == 0) ++sequence;
    benchmark::DoNotOptimize(m.OnHeartbeat(Beat(infos[next], sequence), At(0)));
    next = (next + 1) % infos.size();
  }
  state.counters["bytes"] = PackedBytes(Fields(Beat(Vm(0, 1), 1000)));
}
BENCHMARK(HeartbeatReceived)->Arg(2)->Arg(9)->Arg(23)->Arg(51)->Arg(200);

void HeartbeatRound(benchmark::State& state) {
  const int peers = static_cast<int>(state.range(0));
  membership m = MakeMembership(peers);
  double time = 0;
  std::size_t sent = 0;
  for (auto unused : state) {
    time += ToSeconds(m.Interval());
    membership::actions out = m.OnTimer(At(time));
    benchmark::DoNotOptimize(out);
    sent = std::max(sent, out.size());
  }
  state.counters["interval_s"] = ToSeconds(m.Interval());
}
BENCHMARK(HeartbeatRound)->Arg(2)->Arg(9)->Arg(23)->Arg(51)->Arg(200);

// 42 zones of so many VMs: what the view of the whole fleet costs.
void FleetView(benchmark::State& state) {
  const int zones = 42;
  const int vms = static_cast<int>(state.range(0));
  double heap = 0;
  for (auto unused : state) {
    const double before = HeapBytes();
    membership m = MakeMembership(vms - 1);
    for (int z = 1; z < zones; ++z) {
      zone_members news{Vm(z, 0).zone, true, {}};
      for (int n = 0; n < vms; ++n) news.members.push_back(Vm(z, n));
      m.OnZoneMembers(Vm(z, 0).vm, news, At(0));
    }
    heap = HeapBytes() - before;
  }
  json all = json::array();
  for (int n = 0; n < vms; ++n) all.push_back(Fields(Vm(1, n)));
  state.counters["heap_bytes"] = heap;
  state.counters["zone_list_bytes"] = PackedBytes(all);
}
BENCHMARK(FleetView)->Arg(26)->Arg(52)->Unit(benchmark::kMillisecond);

// What is sent for one VM's change, and one digest.
void ChangeOfOneMember(benchmark::State& state) {
  membership m = MakeMembership(51);
  for (int z = 1; z < 42; ++z) {
    zone_members news{Vm(z, 0).zone, true, {}};
    for (int n = 0; n < 52; ++n) news.members.push_back(Vm(z, n));
    m.OnZoneMembers(Vm(z, 0).vm, news, At(0));
  }
  member_info changed = Vm(1, 7);
  for (auto unused : state) {
    ++changed.incarnation;
    zone_members news{changed.zone, false, {changed}};
    benchmark::DoNotOptimize(m.OnZoneMembers(Vm(1, 0).vm, news, At(0)));
  }
  state.counters["bytes"] = PackedBytes(Fields(changed));
}
BENCHMARK(ChangeOfOneMember);

// One read, plan, write and answer with so many members and as many upstreams
// as one zone of the planned size has.
void OwnershipRenewal(benchmark::State& state) {
  const int members = static_cast<int>(state.range(0));
  const int upstreams = 36;
  ownership_table table;
  table.epoch = static_cast<std::uint64_t>(members);
  std::set<upstream_id> ids;
  for (int n = 0; n < members; ++n) {
    const std::uint64_t joined = static_cast<std::uint64_t>(n) + 1;
    table.members[Vm(0, n).vm] = {7,      Vm(0, n).dispatch, 100,
                                  joined, table.epoch,       false};
  }
  for (int n = 0; n < upstreams; ++n) {
    const upstream_id id(fmt::format("yard-desk-{:04}", n));
    ids.insert(id);
    table.assignments[id] = {Vm(0, n % members).vm, vm_id(), 0};
  }
  ownership_options options;
  options.vm = Vm(0, 0).vm;
  options.incarnation = 7;
  options.address = Vm(0, 0).dispatch;
  options.max_members = 1000;
  ownership machine(options, 1);
  machine.OnUpstreams(ids, At(0));
  std::string json_text = WriteOwnershipTable(table);
  std::uint64_t revision = 1;
  double time = 0;
  for (auto unused : state) {
    state.PauseTiming();
    time += 1;
    std::uint64_t call = 0;
    // The others renew as well.
    const auto parsed = ParseOwnershipTable(json_text);
    table = ValueOf(parsed);
    for (auto& [vm, row] : table.members) {
      if (vm != options.vm) ++row.counter;
    }
    json_text = WriteOwnershipTable(table);
    ++revision;
    state.ResumeTiming();
    const auto follow = [&](const ownership::actions& list) {
      for (const auto& a : list) {
        if (const auto* read = std::get_if<ownership_action::read_table>(&a)) {
          call = read->call;
        }
        const auto* write = std::get_if<ownership_action::write_table>(&a);
        if (write == nullptr) continue;
        call = write->call;
        json_text = write->json;
      }
    };
    follow(machine.OnTimer(At(time)));
    follow(machine.OnTableRead(call, json_text, revision, At(time)));
    follow(machine.OnCasResult(call, cas_outcome::kOk, ++revision, At(time)));
  }
  state.counters["table_bytes"] = static_cast<double>(json_text.size());
}
BENCHMARK(OwnershipRenewal)
    ->Arg(1)
    ->Arg(2)
    ->Arg(4)
    ->Arg(50)
    ->Arg(200)
    ->Unit(benchmark::kMicrosecond);

void MaySend(benchmark::State& state) {
  ownership_options options;
  options.vm = Vm(0, 0).vm;
  options.incarnation = 7;
  ownership machine(options, 1);
  const upstream_id id("yard-desk-0001");
  machine.OnUpstreams({id}, At(0));
  machine.OnTimer(At(0));
  machine.OnTableRead(1, "", 0, At(0));
  machine.OnCasResult(2, cas_outcome::kOk, 1, At(0));
  for (auto unused : state) {
    benchmark::DoNotOptimize(machine.MaySend(id, At(1)));
  }
}
BENCHMARK(MaySend);

std::vector<config_item> Keys(int count) {
  std::vector<config_item> items;
  for (int n = 0; n < count; ++n) {
    const std::string digest = Sha256Hex(std::to_string(n));
    items.push_back({"config/key/" + digest,
                     R"({"workspace":"depot-042","label":"yard clerk"})",
                     static_cast<config_revision>(n + 1), false});
  }
  return items;
}

void ReplicaFromSnapshot(benchmark::State& state) {
  const int keys = static_cast<int>(state.range(0));
  const std::vector<config_item> items = Keys(keys);
  double heap = 0;
  for (auto unused : state) {
    const double before = HeapBytes();
    config_replica replica;
    {
      const auto out = replica.OnStoreSnapshot(
          items, static_cast<config_revision>(keys), At(0), At(0));
      benchmark::DoNotOptimize(out.size());
    }
    heap = HeapBytes() - before;
  }
  state.counters["heap_bytes_per_key"] = heap / keys;
  state.counters["heap_bytes"] = heap;
}
BENCHMARK(ReplicaFromSnapshot)
    ->Arg(100)
    ->Arg(10000)
    ->Arg(180000)
    ->Unit(benchmark::kMillisecond);

// A new VM takes everything from a peer, page by page.
void ReplicaFromPeer(benchmark::State& state) {
  const int keys = static_cast<int>(state.range(0));
  config_replica peer;
  peer.OnStoreSnapshot(Keys(keys), static_cast<config_revision>(keys), At(0),
                       At(0));
  double bytes = 0;
  double pages = 0;
  for (auto unused : state) {
    config_replica fresh;
    bytes = pages = 0;
    auto todo = fresh.OnPeerRevision(vm_id("b"), peer.Revision(),
                                     peer.Age(At(1)), At(1));
    while (!todo.empty()) {
      const auto* pull =
          std::get_if<config_replica_action::pull_from_peer>(&todo.front());
      if (pull == nullptr) break;
      const config_delta page = peer.OnPullRequest(pull->request, At(1));
      state.PauseTiming();
      bytes += PackedBytes(Fields(page));
      ++pages;
      state.ResumeTiming();
      todo = fresh.OnPeerDelta(vm_id("b"), page, At(1), At(1));
    }
  }
  state.counters["bytes"] = bytes;
  state.counters["pages"] = pages;
}
BENCHMARK(ReplicaFromPeer)
    ->Arg(100)
    ->Arg(10000)
    ->Arg(180000)
    ->Unit(benchmark::kMillisecond);

// One change: taken from the store, asked for by a peer, taken there.
void OneChange(benchmark::State& state) {
  const int keys = static_cast<int>(state.range(0));
  const std::vector<config_item> items = Keys(keys);
  auto revision = static_cast<config_revision>(keys);
  config_replica a;
  config_replica b;
  a.OnStoreSnapshot(items, revision, At(0), At(0));
  b.OnStoreSnapshot(items, revision, At(0), At(0));
  std::size_t next = 0;
  double bytes = 0;
  for (auto unused : state) {
    config_item changed = items[next++ % items.size()];
    changed.revision = ++revision;
    a.OnStoreEvents(revision - 1, {changed}, revision, At(1), At(1));
    const config_delta page =
        a.OnPullRequest(pull_request{b.Revision(), false}, At(1));
    benchmark::DoNotOptimize(b.OnPeerDelta(vm_id("a"), page, At(1), At(1)));
    bytes = static_cast<double>(page.items.size());
  }
  config_item changed = items[0];
  changed.revision = ++revision;
  a.OnStoreEvents(revision - 1, {changed}, revision, At(1), At(1));
  bytes = PackedBytes(
      Fields(a.OnPullRequest(pull_request{b.Revision(), false}, At(1))));
  state.counters["bytes"] = bytes;
}
BENCHMARK(OneChange)->Arg(100)->Arg(10000)->Arg(180000);

class fleet_mac : public request_id_mac {
 public:
  std::string Compute(std::string_view text) const override {
    return HmacSha256Hex("secret", text);
  }
};

void RequestOnce(benchmark::State& state) {
  const fleet_mac mac;
  request_registry_options options;
  options.vm = Vm(0, 0).vm;
  options.incarnation = 7;
  options.max_ids = 10000000;
  request_registry registry(options, mac);
  const double before = HeapBytes();
  std::size_t id_bytes = 0;
  for (auto unused : state) {
    const result<request_id> id = registry.IssueId(At(0));
    registry.Begin(ValueOf(id), 1, At(0));
    registry.OnOutcome(ValueOf(id), verdict::kRan, 201);
    id_bytes = ValueOf(id).Str().size();
  }
  state.counters["heap_bytes_per_id"] =
      (HeapBytes() - before) / static_cast<double>(registry.Size());
  state.counters["id_bytes"] = static_cast<double>(id_bytes);
}
BENCHMARK(RequestOnce);

}  // namespace
}  // namespace citron

BENCHMARK_MAIN();
