#ifndef CITRON_POLICY_REGION_BALANCE_H_
#define CITRON_POLICY_REGION_BALANCE_H_

#include "citron/base/time.h"
#include "citron/policy/working_set.h"

namespace citron {

struct region_balance_options {
  // Weight of the own region's upstreams while nothing speaks for more.
  double base_weight = 4;
  double max_weight = 64;
  // Objects that an upstream is trusted to keep warm.
  double objects_per_upstream = 4;
  // Requests per slot of the own region: below `low_load` the weight may grow,
  // above `high_load` it falls back towards the base.
  double low_load = 0.6;
  double high_load = 0.9;
  // Largest change of the part of the requests that stay in the region, per
  // second: below the bound on shifts, which other changes share.
  double max_shift_per_s = 0.04;
  // The estimates must be this old before the weight moves.
  duration settle = std::chrono::milliseconds(500);
};

// The usable upstreams of a service in one region, or in all others together.
struct region_room {
  int upstreams = 0;
  double slots = 0;
  double load = 0;  // Requests there, as this VM and others reported.
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

 private:
  region_balance_options options_;
  working_set objects_;
  double weight_;
  double home_part_ = 0;
  monotonic_time updated_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_REGION_BALANCE_H_
