#ifndef CITRON_POLICY_SHIFT_RAMP_H_
#define CITRON_POLICY_SHIFT_RAMP_H_

#include <deque>
#include <map>
#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

struct shift_ramp_options {
  double cap_per_s = 0;  // Arrivals of all senders together.
  duration window = std::chrono::seconds(1);
  duration ramp = std::chrono::seconds(30);
  double start_fraction = 0.1;
  // Requests may arrive on a permit until this long after its grant, including
  // the jitter of the network delay between regions.
  duration permit_lifetime = std::chrono::milliseconds(250);
  // The caches count as cold again after this long without a permit request.
  duration idle_reset = std::chrono::seconds(120);
};

struct shift_permit {
  int count = 0;
  // The sender counts the lifetime from the time of its permit request.
  duration lifetime{};
};

// Limits the cross-region requests that a service of the receiving region takes
// by granting permits to the senders.
class shift_ramp {
 public:
  explicit shift_ramp(shift_ramp_options options);

  void SetCap(double cap_per_s);
  // Grants at most `wanted` permits, limited by the rest of the cap and by the
  // sender's fair share. Grants 0 if the cap is reached.
  shift_permit Grant(const vm_id& sender, int wanted, monotonic_time now);
  // Returns the cap in force, in requests per second.
  double CapAt(monotonic_time now) const;

 private:
  struct grant {
    monotonic_time at;
    vm_id sender;
    int count = 0;
  };
  // A span is window + permit_lifetime.
  struct sender_state {
    monotonic_time requested_at;
    double demand = 0;  // Requested permits, decayed over one span.
    int granted = 0;    // Permits granted in the last span.
  };

  void ExpireGrants(monotonic_time now);
  int FairShare(const vm_id& sender, int budget) const;

  shift_ramp_options options_;
  std::optional<monotonic_time> started_at_;
  monotonic_time last_request_at_;
  std::deque<grant> grants_;
  std::map<vm_id, sender_state> senders_;
  int total_granted_ = 0;
};

}  // namespace citron

#endif  // CITRON_POLICY_SHIFT_RAMP_H_
