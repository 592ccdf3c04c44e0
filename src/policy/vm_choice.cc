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

// Load: VMs of different sizes in one zone. Callers go to the VMs with wide
// links. With fewer VMs in use, each VM also sees more of the load and fewer
// connections are kept.
std::vector<vm_candidate> PreferWideLinks(std::vector<vm_candidate> vms) {
  double widest = 0;
  for (const vm_candidate& vm : vms) widest = std::max(widest, vm.link_mbps);
  std::vector<vm_candidate> wide;
  std::copy_if(vms.begin(), vms.end(), std::back_inserter(wide),
               [widest](const vm_candidate& vm) {
                 return vm.link_mbps >= kMinWideLinkFraction * widest;
               });
  const bool any_near_capacity = std::any_of(
      wide.begin(), wide.end(), [](const auto& vm) { return vm.strained; });
  return any_near_capacity || wide.size() < kMinWideVms ? std::move(vms) : wide;
}

}  // namespace

// Load: VMs crash, freeze or lose the store. Leaves out VMs that are known to
// fail while any other VM is available, and distant VMs while a nearer VM is
// ready.
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
    return vm.ready && vm.heard;
  };
  const filter ready = [](const vm_candidate& vm) { return vm.ready; };
  for (const filter& health :
       std::array{ready_and_reporting, ready, anywhere}) {
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
