#ifndef CITRON_POLICY_WEIGHT_CONTROL_H_
#define CITRON_POLICY_WEIGHT_CONTROL_H_

#include "citron/base/time.h"

namespace citron {

struct weight_control_options {
  // Requests at an upstream for each of its slots. Above the first it gives
  // objects away: all slots are busy, and half as many wait. Below the second
  // it takes some back; between them nothing changes.
  double high_load = 1.5;
  double low_load = 0.6;
  // The mean is over about so long, and over two reports at the least.
  duration horizon = FromMilliseconds(1000);
  double most_report_weight = 0.5;
  // Change of the weight a second, as a part of it. Down: of a region's
  // requests at most a quarter of this part moves to other regions in a second,
  // a tenth in two. Up: the load jumps where an upstream holds more objects
  // than it keeps warm, so that the way back is felt for slowly.
  double down_per_s = 0.2;
  double up_per_s = 0.02;
  // An upstream that is overloaded for long keeps some objects, or nothing
  // would tell when it is well again.
  double least = 0.1;
  // A report counts for no more time than this since the one before.
  duration longest_step = FromMilliseconds(1000);
};

// The part of its full weight that an upstream has where objects are placed,
// stepped by each report of its load.
class weight_control {
 public:
  explicit weight_control(const weight_control_options& options = {});

  // `load`: requests there, running and waiting, for each slot.
  void OnLoad(double load, monotonic_time now);
  // It has just started: nothing that was reported before holds.
  void Reset();
  double Weight() const { return weight_; }

 private:
  weight_control_options options_;
  double weight_ = 1;
  double mean_load_ = 0;
  monotonic_time stepped_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_WEIGHT_CONTROL_H_
