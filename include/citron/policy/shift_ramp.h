#ifndef CITRON_POLICY_SHIFT_RAMP_H_
#define CITRON_POLICY_SHIFT_RAMP_H_

#include <deque>
#include <map>
#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

struct shift_ramp_options {
  double cap_per_s = 0;  // Arrivals from all senders together.
  duration window = std::chrono::seconds(1);
  duration ramp = std::chrono::seconds(30);
  double start_fraction = 0.1;
  // Granted permits may arrive from their grant until this long after it, the
  // crossing's jitter included.
  duration permit_lifetime = std::chrono::milliseconds(250);
  // After this long without a grant the caches count as cold again.
  duration idle_reset = std::chrono::seconds(120);
};

struct shift_permit {
  int count = 0;
  // The sender counts the lifetime from the moment at which it asked.
  duration lifetime{};
};

// Kept by the receiving region for each service: how many requests may come in
// from other regions.
class shift_ramp {
 public:
  explicit shift_ramp(shift_ramp_options options);

  void SetCap(double cap_per_s);
  // Grants at most `wanted` permits; 0 when the cap is reached.
  shift_permit Grant(const vm_id& sender, int wanted, monotonic_time now);
  // The cap in force, in requests a second.
  double CapAt(monotonic_time now) const;

 private:
  struct grant {
    monotonic_time at;
    vm_id sender;
    int count = 0;
  };
  struct sender_state {
    monotonic_time asked_at;
    double demand = 0;  // Asked for lately, decayed.
    int granted = 0;    // In the window.
  };

  void Forget(monotonic_time now);
  int FairPart(const vm_id& sender, int budget) const;

  shift_ramp_options options_;
  std::optional<monotonic_time> started_at_;
  monotonic_time granted_at_;
  std::deque<grant> grants_;
  std::map<vm_id, sender_state> senders_;
  int granted_ = 0;
};

}  // namespace citron

#endif  // CITRON_POLICY_SHIFT_RAMP_H_
