#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "citron/policy/service_scheduler.h"

namespace citron {
namespace {

constexpr duration kServiceTime = std::chrono::milliseconds(40);

scheduler_options Options() {
  scheduler_options options;
  options.expected_times["lookup"] = kServiceTime;
  return options;
}

std::vector<upstream_capacity> Upstreams(int count) {
  std::vector<upstream_capacity> upstreams;
  for (int i = 0; i < count; ++i) {
    upstreams.push_back({upstream_id("upstream-" + std::to_string(i)), 4});
  }
  return upstreams;
}

std::vector<workspace_id> Workspaces(int count) {
  std::vector<workspace_id> workspaces;
  for (int i = 0; i < count; ++i) {
    workspaces.emplace_back("workspace-" + std::to_string(i));
  }
  return workspaces;
}

// One step is a request and the outcome of the oldest one in flight; `queued`
// requests wait all the time.
void RunSteps(benchmark::State& state, int upstreams, int workspaces,
              int queued) {
  const std::vector<workspace_id> names = Workspaces(workspaces);
  service_scheduler scheduler(Options(), 1);
  monotonic_time now{std::chrono::seconds(1)};
  scheduler.SetUpstreams(Upstreams(upstreams), now);
  std::vector<request_id> sent;
  std::size_t oldest = 0;
  std::uint64_t number = 0;
  const auto note = [&](const service_scheduler::actions& actions) {
    for (const scheduler_action& action : actions) {
      if (const auto* s = std::get_if<send_action>(&action)) {
        sent.push_back(s->id);
      }
    }
  };
  const auto ask = [&] {
    scheduler_request request;
    request.id = request_id("request-" + std::to_string(number));
    request.workspace = names[number % names.size()];
    request.fingerprint = number++;
    request.request_class = "lookup";
    request.deadline = now + std::chrono::hours(1);
    note(scheduler.OnRequest(request, now));
  };
  for (int i = 0; i < upstreams * 4 + queued; ++i) ask();
  for (auto _ : state) {
    now += std::chrono::microseconds(10);
    ask();
    note(scheduler.OnOutcome(sent[oldest++], upstream_outcome::kAnswered, now));
  }
  state.SetItemsProcessed(state.iterations());
}

void SchedulerByUpstreams(benchmark::State& state) {
  RunSteps(state, static_cast<int>(state.range(0)), 8, 0);
}
BENCHMARK(SchedulerByUpstreams)->Arg(2)->Arg(4)->Arg(20)->Arg(100);

void SchedulerByWorkspaces(benchmark::State& state) {
  const int workspaces = static_cast<int>(state.range(0));
  RunSteps(state, 4, workspaces, workspaces * 2);
}
BENCHMARK(SchedulerByWorkspaces)->Arg(8)->Arg(64)->Arg(512);

// The refusal of what can't end in time, with a full queue.
void SchedulerRefusal(benchmark::State& state) {
  const int workspaces = static_cast<int>(state.range(0));
  const std::vector<workspace_id> names = Workspaces(workspaces);
  service_scheduler scheduler(Options(), 1);
  const monotonic_time now{std::chrono::seconds(1)};
  scheduler.SetUpstreams(Upstreams(4), now);
  std::uint64_t number = 0;
  std::uint64_t refused = 0;
  for (auto _ : state) {
    scheduler_request request;
    request.id = request_id("request-" + std::to_string(number));
    request.workspace = names[number % names.size()];
    request.fingerprint = number++;
    request.request_class = "lookup";
    request.deadline = now + std::chrono::milliseconds(500);
    const auto actions = scheduler.OnRequest(request, now);
    refused += std::holds_alternative<refuse_action>(
        actions.empty() ? scheduler_action() : actions.front());
  }
  state.SetItemsProcessed(state.iterations());
  state.counters["refused"] =
      static_cast<double>(refused) / static_cast<double>(state.iterations());
}
BENCHMARK(SchedulerRefusal)->Arg(8)->Arg(64);

}  // namespace
}  // namespace citron

BENCHMARK_MAIN();
