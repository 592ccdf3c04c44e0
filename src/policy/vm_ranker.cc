#include "citron/policy/vm_ranker.h"

#include <algorithm>
#include <cmath>

#include "citron/base/digest.h"

namespace citron {
namespace {

// Load pattern: no load balancer stands before the entry VMs, so the lookup
// answers, which callers cache, distribute the load. If all callers of a zone
// had the same list, the first VM would carry all of them, and after its
// failure they would all move to the second VM; entry VMs would fail in the
// order of the list. Weighted rendezvous hashing gives each caller its own
// order: a VM is first for a fraction of the callers given by its weight, and
// the second choices of these callers are spread over the other VMs by weight.
// Adding or removing a VM changes only the lists that contain it.

// For a caller whose zone is known, the last VM of an answer is in another zone
// if there is one. A caller whose whole zone has failed then has a VM to use
// before its answer expires.
constexpr std::size_t kMinPlacesInOtherZones = 1;

// The finalizer of SplitMix64.
std::uint64_t MixBits(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9u;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

double Score(std::uint64_t vm_hash, std::uint64_t spread, double weight) {
  const std::uint64_t mixed =
      MixBits(vm_hash ^ MixBits(spread + 0x9e3779b97f4a7c15u));
  // 53 random bits as a number in [0, 1); the lower bound below avoids log(0).
  const double unit = std::ldexp(static_cast<double>(mixed >> 11), -53);
  return -weight / std::log(std::max(unit, 1e-300));
}

struct scored_vm {
  const entry_vm* vm = nullptr;
  double score = 0;
};

void KeepBest(std::vector<scored_vm>& vms, std::size_t count) {
  const std::size_t kept = std::min(count, vms.size());
  std::partial_sort(
      vms.begin(), vms.begin() + kept, vms.end(),
      [](const scored_vm& a, const scored_vm& b) { return a.score > b.score; });
  vms.resize(kept);
}

}  // namespace

vm_ranker::vm_ranker(vm_ranker_options options) : options_(options) {}

void vm_ranker::Set(const entry_vm& vm) {
  vms_[vm.id] = stored_vm{vm, HashBytes(vm.id.Str())};
  RebuildIndex();
}

void vm_ranker::Remove(const vm_id& id) {
  vms_.erase(id);
  RebuildIndex();
}

void vm_ranker::RebuildIndex() {
  usable_by_region_.clear();
  usable_vms_.clear();
  for (const auto& [id, stored] : vms_) {
    if (stored.vm.leaving || stored.vm.weight <= 0) continue;
    usable_vms_.push_back(&stored);
    usable_by_region_[stored.vm.region].push_back(&stored);
  }
}

vm_answer vm_ranker::Rank(const client_site* site, std::uint64_t spread,
                          monotonic_time now) const {
  const std::vector<const stored_vm*>* candidates = &usable_vms_;
  zone_id zone;
  if (site != nullptr) {
    const auto region = usable_by_region_.find(site->region);
    if (region != usable_by_region_.end()) candidates = &region->second;
    zone = site->zone;
  }
  std::vector<scored_vm> in_zone;
  std::vector<scored_vm> other_zones;
  in_zone.reserve(candidates->size());
  for (const stored_vm* stored : *candidates) {
    const entry_vm& vm = stored->vm;
    const bool is_in_zone = zone.IsEmpty() || vm.zone == zone;
    const double score = Score(stored->id_hash, spread, vm.weight);
    (is_in_zone ? in_zone : other_zones).push_back({&vm, score});
  }
  const std::size_t size = options_.answer_size;
  const std::size_t reserved =
      std::min({other_zones.size(), kMinPlacesInOtherZones, size});
  KeepBest(in_zone, size - reserved);
  KeepBest(other_zones, size - in_zone.size());
  in_zone.insert(in_zone.end(), other_zones.begin(), other_zones.end());

  vm_answer answer;
  answer.expires_at = now + options_.lifetime;
  double weight_sum = 0;
  for (const scored_vm& s : in_zone) weight_sum += s.vm->weight;
  for (const scored_vm& s : in_zone) {
    answer.vms.push_back({s.vm->id, s.vm->address, s.vm->weight / weight_sum});
  }
  return answer;
}

}  // namespace citron
