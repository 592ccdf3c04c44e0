#ifndef CITRON_POLICY_REGION_BALANCE_H_
#define CITRON_POLICY_REGION_BALANCE_H_

#include "citron/base/time.h"
#include "citron/policy/working_set.h"

namespace citron {

struct region_balance_options {
  // Weight of the own region's upstreams while nothing speaks for more.
  double base_weight = 4;
  double max_weight = 64;
  // Objects that an upstream is trusted to keep warm. With more slots than
  // this it is trusted to keep the objects of the requests that it runs at
  // once.
  double objects_per_upstream = 4;
  // The weight grows only if at least this part of the requests comes home:
  // each object that moves is run cold once more.
  double min_gain = 0.1;
  // Requests per slot of the own region: below `low_load` the weight may grow,
  // above `high_load` it falls back towards the base.
  double low_load = 0.6;
  double high_load = 0.9;
  // Part of the own region's slots whose load must be known for a change.
  double min_heard_part = 0.25;
  // The weight falls only once the region holds this part of its requests more
  // than its upstreams are trusted to keep, as each VM's estimate differs.
  double keep_margin = 0.1;
  // Largest change of the part of the requests that stay in the region, per
  // second: below the bound on shifts, which other changes share.
  double max_shift_per_s = 0.04;
  // The estimates must be this old before the weight grows.
  duration settle = std::chrono::milliseconds(500);
};

// The usable upstreams of a service in one region, or in all others together.
struct region_room {
  int upstreams = 0;
  double slots = 0;
  double heard_slots = 0;  // Of the upstreams whose load is known.
  double load = 0;         // Requests there, as this VM and others reported.
};

// Decides how strongly the VMs of a region prefer its own upstreams. Load
// pattern: regions with uneven room and demand. Requests stay at home as far as
// the region can keep their objects warm and has free slots, and the rest is
// spread over all regions.
class region_balance {
 public:
  explicit region_balance(const region_balance_options& options = {});

  void OnRequest(std::uint64_t object, monotonic_time now);
  // Takes the present room and moves the weight.
  void Update(const region_room& own, const region_room& others,
              monotonic_time now);
  double SameRegionWeight() const { return weight_; }
  // Returns the part of the requests that stays at home by the weight.
  double HomePart() const { return home_part_; }
  double Objects(monotonic_time now) const { return objects_.Objects(now); }
  // The room of the last update.
  const region_room& OwnRoom() const { return own_; }
  const region_room& OtherRoom() const { return others_; }

 private:
  bool IsLoaded(const region_room& own, const region_room& others) const;
  bool HasFreeSlots(const region_room& own) const;
  bool IsSettled(monotonic_time now);
  // Returns the home part to move to; `home_part_` to stay.
  double Goal(const region_room& own, const region_room& others,
              monotonic_time now);

  region_balance_options options_;
  working_set objects_;
  double weight_;
  double home_part_ = 0;
  region_room own_;
  region_room others_;
  monotonic_time updated_at_{};
  monotonic_time known_since_ = monotonic_time::max();
};

}  // namespace citron

#endif  // CITRON_POLICY_REGION_BALANCE_H_
