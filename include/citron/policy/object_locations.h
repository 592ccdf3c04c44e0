#ifndef CITRON_POLICY_OBJECT_LOCATIONS_H_
#define CITRON_POLICY_OBJECT_LOCATIONS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "citron/base/time.h"

namespace citron {

struct object_locations_options {
  // The least recently used ones beyond this number are forgotten.
  std::size_t max_objects = 4096;
  // Two VMs that place an object within this time of each other did not know of
  // each other's choice.
  duration conflict_window = std::chrono::milliseconds(150);
};

// An object and the upstream that runs its requests, by their hashes.
struct object_location {
  std::uint64_t object = 0;
  std::uint64_t upstream = 0;
  monotonic_time placed_at{};
};

// Remembers at which upstream the objects of one service run, as this VM and
// the other VMs of its region placed them.
class object_locations {
 public:
  explicit object_locations(const object_locations_options& options = {});

  // Marks the object as used.
  std::optional<object_location> Find(std::uint64_t object);
  void OnPlaced(const object_location& placed);
  // Takes a placement by another VM, heard at `placed_at`.
  void OnPlacedByPeer(const object_location& placed);
  // Returns what this VM has placed itself.
  std::vector<object_location> OwnPlacements() const;
  std::size_t Count() const { return entries_.size(); }

 private:
  struct entry {
    object_location location;
    bool own = false;  // Placed by this VM.
  };

  void Set(const entry& placed);

  object_locations_options options_;
  std::list<entry> entries_;  // The last used first.
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> by_object_;
};

}  // namespace citron

#endif  // CITRON_POLICY_OBJECT_LOCATIONS_H_
