#include <benchmark/benchmark.h>

#include <string>

#include "citron/protocol/admission.h"
#include "citron/protocol/loan_book.h"
#include "citron/protocol/share_table.h"

namespace citron {

namespace {

const monotonic_time kStart{std::chrono::seconds(1000)};

workspace_id NameOf(int i) {
  return workspace_id("workspace-" + std::to_string(i));
}

void Fill(admission& limits, int workspaces) {
  limits.SetShare({500'000, 500'000, kStart + std::chrono::hours(1),
                   kStart + std::chrono::hours(1), 1},
                  2, kStart);
  for (int i = 0; i < workspaces; ++i) {
    limits.SetContract(NameOf(i), 1000, 1000, kStart);
  }
}

// One decision, half of them refusals. Argument: number of workspaces.
void Admit(benchmark::State& state) {
  const int workspaces = static_cast<int>(state.range(0));
  admission limits(kStart);
  Fill(limits, workspaces);
  std::vector<workspace_id> names;
  for (int i = 0; i < workspaces; ++i) names.push_back(NameOf(i));
  monotonic_time now = kStart;
  std::size_t next = 0;
  const duration step = FromSeconds(1.0 / 1000 / workspaces);
  for (auto _ : state) {
    now += step;
    benchmark::DoNotOptimize(limits.Admit(names[next], now));
    if (++next == names.size()) next = 0;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(Admit)->Arg(8)->Arg(1000);

// The timer of one loop. Arguments: workspaces, peers.
void LoanTimer(benchmark::State& state) {
  const int workspaces = static_cast<int>(state.range(0));
  admission limits(kStart);
  Fill(limits, workspaces);
  loan_book book({vm_id("a"), 0, 1}, limits, loan_settings{}, 1);
  std::vector<entry_ref> peers;
  for (int i = 0; i < state.range(1); ++i) {
    peers.push_back({vm_id("p" + std::to_string(i)), 0, 1});
  }
  book.SetPeers(peers);
  monotonic_time now = kStart;
  for (auto _ : state) {
    now += loan_settings{}.tick;
    for (int i = 0; i < workspaces; i += 4) limits.Admit(NameOf(i), now);
    benchmark::DoNotOptimize(book.OnTimer(now));
  }
}
BENCHMARK(LoanTimer)->Args({8, 10})->Args({8, 64})->Args({1000, 64});

// Argument: number of VMs in the table.
void ParseTable(benchmark::State& state) {
  share_table table;
  for (int i = 0; i < state.range(0); ++i) {
    share_entry& entry = table.FindOrAdd(vm_id("vm" + std::to_string(i)));
    entry.zone = zone_id("zone-a");
    entry.floor_ppm = 100;
  }
  const std::string json = EncodeShareTable(table);
  for (auto _ : state) benchmark::DoNotOptimize(ParseShareTable(json));
  state.counters["bytes"] = static_cast<double>(json.size());
}
BENCHMARK(ParseTable)->Arg(2)->Arg(10)->Arg(42)->Arg(200)->Arg(2200);

}  // namespace

}  // namespace citron

BENCHMARK_MAIN();
