#include "citron/policy/vm_ranker.h"

#include <algorithm>
#include <cmath>

#include "citron/base/digest.h"

namespace citron {
namespace {

// Answers: no balancer stands before the entry VMs, so the look-up's answers
// are the balance, and callers cache them. If all callers of a zone had the
// same list, the first VM would carry them all, and when it dies its callers
// would all go to the second one together; one notices by entry VMs that fail
// in the order of the list. Weighted rendezvous hashing gives each caller its
// own order: a VM is first for its weight's part of the callers, and the second
// choices of its callers are spread over the others by their weights. A VM that
// comes or goes changes only the lists that it is in.

// The last place of an answer goes to another zone, so that a caller whose
// whole zone is gone has somewhere to go before its answer expires.
constexpr std::size_t kPlacesElsewhere = 1;

std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9u;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

double Score(std::uint64_t vm_hash, std::uint64_t spread, double weight) {
  const std::uint64_t mixed = Mix(vm_hash ^ Mix(spread + 0x9e3779b97f4a7c15u));
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
  Reindex();
}

void vm_ranker::Remove(const vm_id& id) {
  vms_.erase(id);
  Reindex();
}

void vm_ranker::Reindex() {
  by_region_.clear();
  usable_.clear();
  for (const auto& [id, stored] : vms_) {
    if (stored.vm.leaving || stored.vm.weight <= 0) continue;
    usable_.push_back(&stored);
    by_region_[stored.vm.region].push_back(&stored);
  }
}

vm_answer vm_ranker::Rank(const client_site* site, std::uint64_t spread,
                          monotonic_time now) const {
  const std::vector<const stored_vm*>* from = &usable_;
  zone_id zone;
  if (site != nullptr) {
    const auto region = by_region_.find(site->region);
    if (region != by_region_.end()) from = &region->second;
    zone = site->zone;
  }
  std::vector<scored_vm> near;
  std::vector<scored_vm> elsewhere;
  near.reserve(from->size());
  for (const stored_vm* stored : *from) {
    const entry_vm& vm = stored->vm;
    const bool is_near = zone.IsEmpty() || vm.zone == zone;
    const double score = Score(stored->hash, spread, vm.weight);
    (is_near ? near : elsewhere).push_back({&vm, score});
  }
  const std::size_t size = options_.answer_size;
  const std::size_t kept = std::min({elsewhere.size(), kPlacesElsewhere, size});
  KeepBest(near, size - kept);
  KeepBest(elsewhere, size - near.size());
  near.insert(near.end(), elsewhere.begin(), elsewhere.end());

  vm_answer answer;
  answer.expires_at = now + options_.lifetime;
  double sum = 0;
  for (const scored_vm& s : near) sum += s.vm->weight;
  for (const scored_vm& s : near) {
    answer.vms.push_back({s.vm->id, s.vm->address, s.vm->weight / sum});
  }
  return answer;
}

}  // namespace citron
