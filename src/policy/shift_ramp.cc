#include "citron/policy/shift_ramp.h"

#include <algorithm>
#include <cmath>

namespace citron {

// Answers: a large move of traffic that meets cold caches. If each sender kept
// a cap of its own, twenty senders would bring twenty times the cap; one
// notices by a region that falls over right after a drain elsewhere. So the
// receiving region hands out permits, and what it has handed out is all that
// can arrive.
//
// A permit may be used at any time of its life, so the arrivals of a window
// come from the grants of that window and of one lifetime before it. Holding
// the grants of window + lifetime to cap x window holds every sliding window's
// arrivals to the cap. It costs the part lifetime / (window + lifetime) of the
// cap, a fifth at the defaults; a shorter life means more messages between the
// regions and permits that expire on the way.
//
// The ramp starts at a tenth: caches fill by the misses they are given, so no
// traffic would keep them cold for ever. It starts over when nothing came for
// so long that what was cached has gone.

shift_ramp::shift_ramp(shift_ramp_options options) : options_(options) {}

void shift_ramp::SetCap(double cap_per_s) { options_.cap_per_s = cap_per_s; }

double shift_ramp::CapAt(monotonic_time now) const {
  if (!started_at_) return options_.cap_per_s * options_.start_fraction;
  const double ramp = std::max(ToSeconds(options_.ramp), 1e-9);
  const double part = std::min(1.0, ToSeconds(now - *started_at_) / ramp);
  const double fraction =
      options_.start_fraction + (1 - options_.start_fraction) * part;
  return options_.cap_per_s * fraction;
}

void shift_ramp::Forget(monotonic_time now) {
  const duration span = options_.window + options_.permit_lifetime;
  while (!grants_.empty() && now - grants_.front().at > span) {
    const grant& old = grants_.front();
    granted_ -= old.count;
    senders_[old.sender].granted -= old.count;
    grants_.pop_front();
  }
  std::erase_if(senders_, [&](const auto& s) {
    return s.second.granted == 0 && now - s.second.asked_at > 2 * span;
  });
}

// An equal part, and what the others don't want of theirs.
int shift_ramp::FairPart(const vm_id& sender, int budget) const {
  const double equal = static_cast<double>(budget) / senders_.size();
  double others = 0;
  for (const auto& [id, s] : senders_) {
    if (id == sender) continue;
    others += std::min(equal, s.demand);
  }
  return static_cast<int>(std::ceil(budget - others));
}

shift_permit shift_ramp::Grant(const vm_id& sender, int wanted,
                               monotonic_time now) {
  Forget(now);
  const bool cold = started_at_ && now - granted_at_ > options_.idle_reset;
  if (!started_at_ || cold) started_at_ = now;
  const int budget = static_cast<int>(
      std::floor(CapAt(now) * ToSeconds(options_.window) + 1e-9));
  sender_state& s = senders_[sender];
  // What it asked for within about one span, whether it was granted or not.
  const duration span = options_.window + options_.permit_lifetime;
  s.demand *= std::exp(-ToSeconds(now - s.asked_at) / ToSeconds(span));
  s.demand += std::max(0, wanted);
  s.asked_at = now;
  const int room =
      std::min(budget - granted_, FairPart(sender, budget) - s.granted);
  const int count = std::clamp(room, 0, std::max(0, wanted));
  granted_at_ = now;
  if (count > 0) {
    s.granted += count;
    granted_ += count;
    grants_.push_back({now, sender, count});
  }
  return {count, options_.permit_lifetime};
}

}  // namespace citron
