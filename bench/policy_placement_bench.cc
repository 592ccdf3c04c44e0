#include <benchmark/benchmark.h>

#include <string>

#include "citron/policy/placement.h"

namespace citron {
namespace {

const service_id kDesk("yard-desk");

// `zones` zones, three to a region; the own one is busy or not.
placement Make(int zones, bool busy, monotonic_time now) {
  placement_options options;
  options.zone = zone_id("zone-0");
  options.region = region_id("region-0");
  placement place(options, 1);
  place.SetLinkShare(1, now - std::chrono::seconds(10));
  for (int i = 0; i < zones; ++i) {
    zone_report report;
    report.zone = zone_id("zone-" + std::to_string(i));
    report.region = region_id("region-" + std::to_string(i / 3));
    report.service = kDesk;
    report.slots = 16;
    report.in_flight = busy && i < 3 ? 16 : 4;
    report.mean_service_time = std::chrono::milliseconds(40);
    if (busy && i < 3) report.expected_wait = std::chrono::seconds(9);
    report.received_at = now;
    // Often enough for the own zone's queue to push everything out.
    for (int times = 0; times < 40; ++times) place.OnReport(report);
  }
  return place;
}

void RunChoices(benchmark::State& state, bool busy) {
  const monotonic_time now{std::chrono::seconds(100)};
  placement place = Make(static_cast<int>(state.range(0)), busy, now);
  for (int i = 1; i < state.range(0) / 3; ++i) {
    place.OnPermits(kDesk, region_id("region-" + std::to_string(i)),
                    1'000'000'000, now + std::chrono::hours(1));
  }
  const placement_request request{.service = kDesk,
                                  .request_class = "lookup",
                                  .deadline = now + std::chrono::seconds(1)};
  int abroad = 0;
  for (auto _ : state) {
    const placement_result result = place.Choose(request, now);
    const auto* choice = std::get_if<placement_decision>(&result);
    if (choice != nullptr && choice->region.Str() != "region-0") ++abroad;
  }
  state.counters["abroad"] = abroad / static_cast<double>(state.iterations());
  state.SetItemsProcessed(state.iterations());
}

void PlacementAtHome(benchmark::State& state) { RunChoices(state, false); }
BENCHMARK(PlacementAtHome)->Arg(6)->Arg(12)->Arg(42);

void PlacementAbroad(benchmark::State& state) { RunChoices(state, true); }
BENCHMARK(PlacementAbroad)->Arg(6)->Arg(12)->Arg(42);

}  // namespace
}  // namespace citron

BENCHMARK_MAIN();
