#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <pcg_random.hpp>
#include <string>

#include "citron/policy/client_table.h"
#include "citron/policy/vm_ranker.h"

namespace citron {
namespace {

constexpr int kSites = 1500;

client_site Site(std::uint32_t number) {
  return {region_id("region-" + std::to_string(number % 16)),
          zone_id("zone-" + std::to_string(number % kSites))};
}

// Blocks of /20 to /24 anywhere.
client_routes Routes(int count) {
  pcg32 random(3);
  client_routes routes;
  while (static_cast<int>(routes.Size()) < count) {
    const int length = 20 + static_cast<int>(random(5));
    const std::uint32_t mask = ~std::uint32_t{0} << (32 - length);
    routes.Apply({{random() & mask, length}, Site(random(kSites))});
  }
  return routes;
}

void TableFind(benchmark::State& state) {
  const auto table = Routes(static_cast<int>(state.range(0))).Build();
  pcg32 random(4);
  for (auto _ : state) benchmark::DoNotOptimize(table->Find(random()));
  state.SetItemsProcessed(state.iterations());
  state.counters["bytes"] = static_cast<double>(table->MemoryBytes());
}
BENCHMARK(TableFind)->Arg(1'000)->Arg(18'000)->Arg(180'000);

void TableBuild(benchmark::State& state) {
  const client_routes routes = Routes(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(routes.Build());
}
BENCHMARK(TableBuild)
    ->Arg(1'000)
    ->Arg(18'000)
    ->Arg(180'000)
    ->Unit(benchmark::kMillisecond);

// What a loop's callers wait for at most while the next table is built in turns
// of 1,500 blocks.
void TableStep(benchmark::State& state) {
  client_table::route_map routes;
  pcg32 random(3);
  while (routes.size() < static_cast<std::size_t>(state.range(0))) {
    routes[{random() & 0xffffff00u, 24}] = Site(random(kSites));
  }
  double longest_ms = 0;
  for (auto _ : state) {
    client_table_builder builder(routes);
    for (bool is_done = false; !is_done;) {
      const auto began = std::chrono::steady_clock::now();
      is_done = builder.Step(1500) != nullptr;
      const std::chrono::duration<double, std::milli> took =
          std::chrono::steady_clock::now() - began;
      longest_ms = std::max(longest_ms, took.count());
    }
  }
  state.counters["longest_step_ms"] = longest_ms;
}
BENCHMARK(TableStep)->Arg(180'000)->Unit(benchmark::kMillisecond);

void TableDelta(benchmark::State& state) {
  client_routes routes = Routes(static_cast<int>(state.range(0)));
  pcg32 random(5);
  for (auto _ : state) {
    routes.Apply({{random() & 0xffffff00u, 24}, Site(random(kSites))});
  }
}
BENCHMARK(TableDelta)->Arg(180'000)->Iterations(20'000);

// A region's entry VMs in three zones; the fleet has 16 regions.
void RankVms(benchmark::State& state) {
  vm_ranker ranker({});
  for (int i = 0; i < state.range(0); ++i) {
    entry_vm vm;
    vm.id = vm_id("vm-" + std::to_string(i));
    vm.zone = zone_id("zone-" + std::to_string(i % 3));
    vm.region = region_id("region-0");
    vm.address = {"127.0.0.1", 8080};
    ranker.Set(vm);
  }
  const client_site site{region_id("region-0"), zone_id("zone-0")};
  std::uint64_t spread = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ranker.Rank(&site, spread++, monotonic_time()));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(RankVms)->Arg(8)->Arg(50)->Arg(400);

}  // namespace
}  // namespace citron

BENCHMARK_MAIN();
