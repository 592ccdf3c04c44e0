#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citron/node/fleet_state.h"

namespace citron {
namespace {

constexpr int kZones = 9;
constexpr int kUpstreams = 1000;
constexpr int kWorkspaces = 200;
constexpr int kServices = 3;

// Workspaces that callers use, each at a tenth of the VMs.
constexpr int kBusyWorkspaces = 40;

zone_id ZoneOf(int number) {
  return zone_id(fmt::format("zone-{}", number % kZones));
}

vm_id VmOf(int number) { return vm_id(fmt::format("vm-{}", number)); }

workspace_id WorkspaceOf(int number) {
  return workspace_id(fmt::format("workspace-{}", number));
}

// Keys "routing", "upstreams/NUMBER" and "vms/ID".
class bench_codec : public fleet_codec {
 public:
  store_key ReadKey(std::string_view key) const override {
    if (key == "routing") return {store_key_kind::kRouting, ""};
    const std::size_t slash = key.find('/');
    const bool is_vm = key.starts_with("vms/");
    return {is_vm ? store_key_kind::kVm : store_key_kind::kUpstream,
            std::string(key.substr(slash + 1))};
  }
  std::string VmKey(const vm_id& vm) const override {
    return "vms/" + vm.Str();
  }
  result<routing_config> ReadRouting(std::string_view) const override {
    routing_config config;
    config.version = 1;
    for (int i = 0; i < kServices; ++i) {
      const service_id id(fmt::format("service-{}", i));
      config.services[id] = {id, "/health", 100, FromSeconds(3), 5};
    }
    for (int i = 0; i < kWorkspaces; ++i) {
      config.workspaces.push_back(
          {WorkspaceOf(i), {fmt::format("key-{}", i)}, 0, 100, 50, {}});
    }
    config.Index();
    return config;
  }
  result<upstream_record> ReadUpstream(const upstream_id& id,
                                       std::string_view value) const override {
    const int number = std::stoi(std::string(value));
    upstream_record record;
    record.id = id;
    record.service = service_id(fmt::format("service-{}", number % kServices));
    record.zone = ZoneOf(number);
    record.address = {"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
    record.slots = 4;
    return record;
  }
};

// One VM's state in a fleet of `vms`, as after its first copy of the store and
// one report of each other VM.
class bench_fleet {
 public:
  explicit bench_fleet(int vms)
      : log_([](std::string_view) { return true; }),
        fleet_(Settings(), codec_, log_) {
    std::vector<key_change> changes{Written("routing", "")};
    for (int i = 0; i < kUpstreams; ++i) {
      changes.push_back(
          Written(fmt::format("upstreams/{}", i), std::to_string(i)));
    }
    for (int i = 0; i < vms; ++i) changes.push_back(Listed(i));
    fleet_.ApplyCopy(changes, now_, now_);
    for (int i = 1; i < vms; ++i) Report(i);
  }

  fleet_state& Fleet() { return fleet_; }
  monotonic_time Now() const { return now_; }

  key_change Listed(int number) {
    vm_listing listing;
    listing.vm = VmOf(number);
    listing.zone = ZoneOf(number);
    listing.region = region_id("region");
    listing.callers = listing.peer = {"10.0.0.1", 80};
    listing.secret = std::to_string(revision_);
    return Written("vms/" + listing.vm.Str(), EncodeVmListing(listing));
  }

  // As the exchange takes one.
  void Report(int from) {
    now_ += std::chrono::milliseconds(1);
    const contact_id vm = fleet_.Contacts().OnReport(
        VmOf(from), {now_, now_ + FromSeconds(1)}, now_);
    int number = 0;
    for (auto& [workspace, quota] : fleet_.Quotas()) {
      const bool busy = number < kBusyWorkspaces && (number + from) % 10 == 0;
      ++number;
      quota.OnReport(vm, busy ? quota_report{10, 50} : quota_report{}, now_);
    }
  }

 private:
  const node_settings& Settings() {
    settings_.vm = VmOf(0);
    settings_.zone = ZoneOf(0);
    settings_.region = region_id("region");
    for (int i = 0; i < kZones; ++i) {
      settings_.zones[ZoneOf(i)] = region_id("region");
    }
    return settings_;
  }
  key_change Written(std::string key, std::string value) {
    return {key_change::kind::kWritten,
            {std::move(key), std::move(value), ++revision_, ""}};
  }

  node_settings settings_;
  bench_codec codec_;
  event_log log_;
  store_revision revision_ = 0;
  monotonic_time now_{std::chrono::hours(1)};
  fleet_state fleet_;
};

// Records of VMs that come together, as many as the second argument.
void VmsListed(benchmark::State& state) {
  bench_fleet bench(static_cast<int>(state.range(0)));
  int number = 1;
  for (auto _ : state) {
    for (int i = 0; i < state.range(1); ++i) {
      const key_change change = bench.Listed(1 + number++ % 8);
      bench.Fleet().ApplyEvent({change.item, false}, bench.Now(), bench.Now());
    }
    bench.Fleet().RemoveMissing(bench.Now());
  }
}
BENCHMARK(VmsListed)->ArgsProduct({{10, 84, 295, 1000}, {1}})->Args({295, 100});

void ReportTaken(benchmark::State& state) {
  const int vms = static_cast<int>(state.range(0));
  bench_fleet bench(vms);
  int from = 0;
  for (auto _ : state) bench.Report(1 + from++ % (vms - 1));
}
BENCHMARK(ReportTaken)->Arg(10)->Arg(84)->Arg(295)->Arg(1000);

void ReportMade(benchmark::State& state) {
  bench_fleet bench(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    for (auto& [workspace, quota] : bench.Fleet().Quotas()) {
      benchmark::DoNotOptimize(quota.Report(bench.Now()));
    }
  }
}
BENCHMARK(ReportMade)->Arg(10)->Arg(84)->Arg(295)->Arg(1000);

void Admission(benchmark::State& state) {
  bench_fleet bench(static_cast<int>(state.range(0)));
  workspace_quota& quota = *bench.Fleet().QuotaOf(WorkspaceOf(0));
  monotonic_time now = bench.Now();
  for (auto _ : state) {
    now += std::chrono::milliseconds(20);
    benchmark::DoNotOptimize(quota.TryAdmit(now));
  }
}
BENCHMARK(Admission)->Arg(10)->Arg(84)->Arg(295)->Arg(1000);

void Choice(benchmark::State& state) {
  bench_fleet bench(static_cast<int>(state.range(0)));
  affinity_selector& selector =
      *bench.Fleet().SelectorOf(service_id("service-0"));
  selection_request request;
  for (auto _ : state) {
    ++request.object;
    benchmark::DoNotOptimize(selector.Choose(request, bench.Now()));
  }
}
BENCHMARK(Choice)->Arg(295);

// An upstream wrote again with nothing new.
void ConfirmationTaken(benchmark::State& state) {
  bench_fleet bench(295);
  change_index index(1);
  store_revision revision = 1;
  for (int i = 0; i < kUpstreams; ++i) {
    index.OnWritten({fmt::format("upstreams/{}", i), std::string(300, 'a'),
                     ++revision, ""});
  }
  int number = 0;
  for (auto _ : state) {
    const std::string key = fmt::format("upstreams/{}", number++ % kUpstreams);
    if (index.OnConfirmed(key, ++revision)) {
      bench.Fleet().Confirm(key, bench.Now());
    }
  }
}
BENCHMARK(ConfirmationTaken);

void Memory(benchmark::State& state) {
  const std::size_t before = mallinfo2().uordblks;
  const bench_fleet bench(static_cast<int>(state.range(0)));
  state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before);
  for (auto _ : state) benchmark::DoNotOptimize(bench.Now());
}
BENCHMARK(Memory)->Arg(10)->Arg(84)->Arg(295)->Arg(1000);

}  // namespace
}  // namespace citron

BENCHMARK_MAIN();
