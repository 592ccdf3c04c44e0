#include "citron/policy/object_locations.h"

#include "citron/policy/rendezvous.h"

namespace citron {

// Load pattern: many cold objects at once, and VMs that weigh regions and
// loaded upstreams differently. Without a memory in common each VM would run an
// object cold where its own weights put it at that moment.

object_locations::object_locations(const object_locations_options& options)
    : options_(options) {}

std::optional<object_location> object_locations::Find(std::uint64_t object) {
  const auto found = by_object_.find(object);
  if (found == by_object_.end()) return std::nullopt;
  entries_.splice(entries_.begin(), entries_, found->second);
  return found->second->location;
}

void object_locations::OnPlaced(const object_location& placed) {
  Set({placed, true});
}

// All VMs keep the same one of two placements that crossed.
void object_locations::OnPlacedByPeer(const object_location& placed) {
  const auto found = by_object_.find(placed.object);
  if (found != by_object_.end()) {
    const object_location& known = found->second->location;
    const bool crossed =
        placed.placed_at - known.placed_at < options_.conflict_window;
    const bool known_wins = MixHashes(placed.object, known.upstream) <=
                            MixHashes(placed.object, placed.upstream);
    if (crossed && known_wins) return;
  }
  Set({placed, false});
}

std::vector<object_location> object_locations::OwnPlacements() const {
  std::vector<object_location> placements;
  for (const entry& e : entries_) {
    if (e.own) placements.push_back(e.location);
  }
  return placements;
}

void object_locations::Set(const entry& placed) {
  const auto found = by_object_.find(placed.location.object);
  if (found != by_object_.end()) {
    *found->second = placed;
    entries_.splice(entries_.begin(), entries_, found->second);
    return;
  }
  entries_.push_front(placed);
  by_object_.emplace(placed.location.object, entries_.begin());
  if (entries_.size() <= options_.max_objects) return;
  by_object_.erase(entries_.back().location.object);
  entries_.pop_back();
}

}  // namespace citron
