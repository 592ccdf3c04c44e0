#include "citron/policy/vm_choice.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <utility>

namespace citron {

namespace {

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

}  // namespace

// Handles VMs that crash, freeze, or lose the store or the upstreams. Health
// goes before distance: the choice falls on VMs that are ready with a recent
// report and reach upstreams, then on VMs that are ready with a recent report,
// then on VMs that are ready, then on any VM; within each group on the nearest
// location that has any. If no VM reaches upstreams, all are named.
std::vector<vm_candidate> ChooseVms(const std::vector<vm_candidate>& all,
                                    const zone_id& zone,
                                    const region_id& region) {
  using filter = std::function<bool(const vm_candidate&)>;
  const filter in_zone = [&](const vm_candidate& vm) {
    return vm.zone == zone;
  };
  const filter in_region = [&](const vm_candidate& vm) {
    return vm.region == region;
  };
  const filter anywhere = [](const vm_candidate&) { return true; };
  const filter ready_and_reporting = [](const vm_candidate& vm) {
    return vm.ready && vm.has_recent_report;
  };
  const filter reaching = [&](const vm_candidate& vm) {
    return ready_and_reporting(vm) && vm.reaches_upstreams;
  };
  const filter ready = [](const vm_candidate& vm) { return vm.ready; };
  for (const filter& health :
       std::array{reaching, ready_and_reporting, ready, anywhere}) {
    for (const filter& location : std::array{in_zone, in_region, anywhere}) {
      std::vector<vm_candidate> chosen;
      std::copy_if(
          all.begin(), all.end(), std::back_inserter(chosen),
          [&](const vm_candidate& vm) { return health(vm) && location(vm); });
      if (!chosen.empty()) return PreferWideLinks(std::move(chosen));
    }
  }
  return {};
}

}  // namespace citron
