#include "citron/policy/shift_ramp.h"

#include <algorithm>
#include <cmath>

namespace citron {

// Load pattern: a large shift of traffic to a region with cold caches. If each
// sender applied a cap of its own, twenty senders would bring twenty times the
// cap, and the region would be overloaded right after a drain of another one.
// The receiving region therefore grants permits, and only requests with a
// permit can arrive.
//
// A permit may be used at any time of its lifetime, so the arrivals of a window
// come from the grants of that window and of one lifetime before it. Limiting
// the grants of window + lifetime to cap x window limits the arrivals of every
// sliding window to the cap. This costs the fraction lifetime / (window +
// lifetime) of the cap, a fifth at the defaults. A shorter lifetime means more
// messages between the regions and permits that expire in transit.
//
// The ramp starts at a tenth of the cap: caches fill only by misses, so they
// would stay cold without traffic. The ramp restarts after an idle time so long
// that the cached data is gone.

shift_ramp::shift_ramp(shift_ramp_options options) : options_(options) {}

void shift_ramp::SetCap(double cap_per_s) { options_.cap_per_s = cap_per_s; }

double shift_ramp::CapAt(monotonic_time now) const {
  if (!started_at_) return options_.cap_per_s * options_.start_fraction;
  const double ramp = std::max(ToSeconds(options_.ramp), 1e-9);
  const double progress = std::min(1.0, ToSeconds(now - *started_at_) / ramp);
  const double fraction =
      options_.start_fraction + (1 - options_.start_fraction) * progress;
  return options_.cap_per_s * fraction;
}

void shift_ramp::ExpireGrants(monotonic_time now) {
  const duration span = options_.window + options_.permit_lifetime;
  while (!grants_.empty() && now - grants_.front().at > span) {
    const grant& old = grants_.front();
    total_granted_ -= old.count;
    senders_[old.sender].granted -= old.count;
    grants_.pop_front();
  }
  std::erase_if(senders_, [&](const auto& s) {
    return s.second.granted == 0 && now - s.second.requested_at > 2 * span;
  });
}

// Returns an equal share of the budget plus what the other senders leave of
// theirs.
int shift_ramp::FairShare(const vm_id& sender, int budget) const {
  const double equal_share = static_cast<double>(budget) / senders_.size();
  double other_demand = 0;
  for (const auto& [id, s] : senders_) {
    if (id == sender) continue;
    other_demand += std::min(equal_share, s.demand);
  }
  return static_cast<int>(std::ceil(budget - other_demand));
}

shift_permit shift_ramp::Grant(const vm_id& sender, int wanted,
                               monotonic_time now) {
  ExpireGrants(now);
  const bool cold = started_at_ && now - last_request_at_ > options_.idle_reset;
  if (!started_at_ || cold) started_at_ = now;
  const int budget = static_cast<int>(
      std::floor(CapAt(now) * ToSeconds(options_.window) + 1e-9));
  sender_state& s = senders_[sender];
  // Permits requested within about one span, granted or not.
  const duration span = options_.window + options_.permit_lifetime;
  s.demand *= std::exp(-ToSeconds(now - s.requested_at) / ToSeconds(span));
  s.demand += std::max(0, wanted);
  s.requested_at = now;
  const int room =
      std::min(budget - total_granted_, FairShare(sender, budget) - s.granted);
  const int count = std::clamp(room, 0, std::max(0, wanted));
  last_request_at_ = now;
  if (count > 0) {
    s.granted += count;
    total_granted_ += count;
    grants_.push_back({now, sender, count});
  }
  return {count, options_.permit_lifetime};
}

}  // namespace citron
