#include "citron/policy/vm_choice.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace citron {

namespace {

using vm_filter = std::function<bool(const vm_candidate&)>;

// Smallest fraction of a mean zone's capacity with which the VMs of a zone
// serve its callers alone.
constexpr double kMinZoneCapacityFraction = 0.25;
// Smallest fraction of the widest link that counts as wide.
constexpr double kMinWideLinkFraction = 0.5;
// The failure of a single wide VM would affect all callers of its zone at once.
constexpr std::size_t kMinWideVms = 2;

// Returns only the VMs with wide links, for VMs of different sizes at one
// location. With fewer VMs in use, each VM also sees more of the load and fewer
// connections are kept. Returns all VMs if fewer than two are wide or a wide VM
// is near capacity.
std::vector<vm_candidate> PreferWideLinks(std::vector<vm_candidate> vms) {
  double widest = 0;
  for (const vm_candidate& vm : vms) widest = std::max(widest, vm.link_mbps);
  std::vector<vm_candidate> wide;
  std::copy_if(vms.begin(), vms.end(), std::back_inserter(wide),
               [widest](const vm_candidate& vm) {
                 return vm.link_mbps >= kMinWideLinkFraction * widest;
               });
  const bool any_near_capacity =
      std::any_of(wide.begin(), wide.end(),
                  [](const auto& vm) { return vm.near_capacity; });
  return any_near_capacity || wide.size() < kMinWideVms ? std::move(vms) : wide;
}

// Returns the mean link capacity of a zone, over the zones of all VMs.
double MeanZoneCapacity(const std::vector<vm_candidate>& all,
                        const vm_filter& health) {
  std::set<zone_id> zones;
  double sum = 0;
  for (const vm_candidate& vm : all) {
    zones.insert(vm.zone);
    if (health(vm)) sum += vm.link_mbps;
  }
  return zones.empty() ? 0 : sum / static_cast<double>(zones.size());
}

// Load pattern: most VMs of a zone fail, and the callers of all of them come to
// the few that are left, perhaps to a single one with a narrow link.
bool HasCapacity(const std::vector<vm_candidate>& vms,
                 double mean_zone_capacity) {
  double sum = 0;
  bool all_near_capacity = true;
  for (const vm_candidate& vm : vms) {
    sum += vm.link_mbps;
    all_near_capacity = all_near_capacity && vm.near_capacity;
  }
  return !all_near_capacity &&
         sum >= kMinZoneCapacityFraction * mean_zone_capacity;
}

std::vector<vm_candidate> Select(const std::vector<vm_candidate>& all,
                                 const vm_filter& health,
                                 const vm_filter& location) {
  std::vector<vm_candidate> selected;
  std::copy_if(
      all.begin(), all.end(), std::back_inserter(selected),
      [&](const vm_candidate& vm) { return health(vm) && location(vm); });
  return selected;
}

}  // namespace

// Handles VMs that crash, freeze, or lose the store or the upstreams. Health
// goes before distance: the choice falls on VMs that are ready with a recent
// report and reach upstreams, then on VMs that are ready with a recent report,
// then on VMs that are ready, then on any VM; within each group on the nearest
// location that has any. If no VM reaches upstreams, all are named.
std::vector<vm_candidate> ChooseVms(const std::vector<vm_candidate>& all,
                                    const zone_id& zone,
                                    const region_id& region) {
  const vm_filter in_zone = [&](const vm_candidate& vm) {
    return vm.zone == zone;
  };
  const vm_filter in_region = [&](const vm_candidate& vm) {
    return vm.region == region;
  };
  const vm_filter anywhere = [](const vm_candidate&) { return true; };
  const vm_filter ready_and_reporting = [](const vm_candidate& vm) {
    return vm.ready && vm.has_recent_report;
  };
  const vm_filter reaching = [&](const vm_candidate& vm) {
    return ready_and_reporting(vm) && vm.reaches_upstreams;
  };
  const vm_filter ready = [](const vm_candidate& vm) { return vm.ready; };
  for (const vm_filter& health :
       std::array{reaching, ready_and_reporting, ready, anywhere}) {
    std::vector<vm_candidate> chosen = Select(all, health, in_zone);
    // Without capacity in the zone the region serves its callers; they don't
    // change the region for it.
    if (!chosen.empty() &&
        !HasCapacity(chosen, MeanZoneCapacity(all, health))) {
      chosen = Select(all, health, in_region);
    }
    for (const vm_filter& location : std::array{in_region, anywhere}) {
      if (chosen.empty()) chosen = Select(all, health, location);
    }
    if (!chosen.empty()) return PreferWideLinks(std::move(chosen));
  }
  return {};
}

}  // namespace citron
