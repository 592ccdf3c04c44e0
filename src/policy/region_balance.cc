#include "citron/policy/region_balance.h"

#include <algorithm>

namespace citron {

namespace {

// A change after a longer pause is as large as after this one.
constexpr duration kMaxStep = std::chrono::milliseconds(500);

double LoadPerSlot(const region_room& room) {
  return room.load / std::max(1.0, room.heard_slots);
}

double HomePartOf(double weight, const region_room& own,
                  const region_room& others) {
  return weight * own.slots / (weight * own.slots + others.slots);
}

}  // namespace

region_balance::region_balance(const region_balance_options& options)
    : options_(options), weight_(options.base_weight) {}

void region_balance::OnRequest(std::uint64_t object, monotonic_time now) {
  objects_.OnRequest(object, now);
}

// The state is the weight: an upstream that comes or goes changes the home part
// at once, as with a fixed weight, and only the rest is moved step by step.
void region_balance::Update(const region_room& own, const region_room& others,
                            monotonic_time now) {
  const duration elapsed = std::min<duration>(now - updated_at_, kMaxStep);
  updated_at_ = now;
  own_ = own;
  others_ = others;
  if (own.slots <= 0 || others.slots <= 0) {
    home_part_ = own.slots > 0 ? 1 : 0;
    return;
  }
  home_part_ = HomePartOf(weight_, own, others);
  const double step = options_.max_shift_per_s * ToSeconds(elapsed);
  const double change =
      std::clamp(Goal(own, others, now) - home_part_, -step, step);
  if (change == 0) return;
  const double part = home_part_ + change;
  const double weight = part < 1
                            ? part * others.slots / ((1 - part) * own.slots)
                            : options_.max_weight;
  weight_ = std::clamp(weight, options_.base_weight, options_.max_weight);
  home_part_ = HomePartOf(weight_, own, others);
}

double region_balance::Goal(const region_room& own, const region_room& others,
                            monotonic_time now) {
  const double base = HomePartOf(options_.base_weight, own, others);
  const bool settled = IsSettled(now);
  if (IsLoaded(own, others)) return base;
  if (!settled) return home_part_;
  const double kept =
      std::max(options_.objects_per_upstream * own.upstreams, own.slots) /
      std::max(1.0, objects_.Objects(now));
  const bool gains = std::min(kept, 1.0) >= base + options_.min_gain;
  const double target = gains ? std::min(kept, 1.0) : base;
  if (home_part_ > target + options_.keep_margin) return target;
  if (home_part_ < target && HasFreeSlots(own)) return target;
  return home_part_;
}

// Where the other regions are as full, moving there serves nobody.
bool region_balance::IsLoaded(const region_room& own,
                              const region_room& others) const {
  if (own.heard_slots <= 0 || others.heard_slots <= 0) return false;
  const double load = LoadPerSlot(own);
  return load > options_.high_load && LoadPerSlot(others) < load;
}

// A load that is not known is no room.
bool region_balance::HasFreeSlots(const region_room& own) const {
  return own.heard_slots >= options_.min_heard_part * own.slots &&
         LoadPerSlot(own) < options_.low_load;
}

bool region_balance::IsSettled(monotonic_time now) {
  if (!objects_.IsKnown(now)) {
    known_since_ = monotonic_time::max();
    return false;
  }
  known_since_ = std::min(known_since_, now);
  return now - known_since_ >= options_.settle;
}

}  // namespace citron
