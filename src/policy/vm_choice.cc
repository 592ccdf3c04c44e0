#include "citron/policy/vm_choice.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <utility>

namespace citron {

namespace {

// Of the widest link, what counts as wide.
constexpr double kWidePart = 0.5;
// One alone would be missed by all callers of its zone at once.
constexpr std::size_t kLeastWide = 2;

// Load pattern: VMs of different sizes in one zone. Callers go to those with
// wide links; fewer VMs in use also see more of the load each and keep fewer
// connections.
std::vector<vm_candidate> KeepWide(std::vector<vm_candidate> vms) {
  double widest = 0;
  for (const vm_candidate& vm : vms) widest = std::max(widest, vm.link_mbps);
  std::vector<vm_candidate> wide;
  std::copy_if(vms.begin(), vms.end(), std::back_inserter(wide),
               [widest](const vm_candidate& vm) {
                 return vm.link_mbps >= kWidePart * widest;
               });
  const bool strained = std::any_of(wide.begin(), wide.end(),
                                    [](const auto& vm) { return vm.strained; });
  return strained || wide.size() < kLeastWide ? std::move(vms) : wide;
}

}  // namespace

// Load pattern: VMs that die, freeze or lose the store. Leaves out what is
// known to fail while anything else is there, and what is far while something
// near is ready.
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
  const filter sound = [](const vm_candidate& vm) {
    return vm.ready && vm.heard;
  };
  const filter ready = [](const vm_candidate& vm) { return vm.ready; };
  for (const filter& health : std::array{sound, ready, anywhere}) {
    for (const filter& place : std::array{in_zone, in_region, anywhere}) {
      std::vector<vm_candidate> chosen;
      std::copy_if(
          all.begin(), all.end(), std::back_inserter(chosen),
          [&](const vm_candidate& vm) { return health(vm) && place(vm); });
      if (!chosen.empty()) return KeepWide(std::move(chosen));
    }
  }
  return {};
}

}  // namespace citron
