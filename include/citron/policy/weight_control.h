#ifndef CITRON_POLICY_WEIGHT_CONTROL_H_
#define CITRON_POLICY_WEIGHT_CONTROL_H_

#include "citron/base/time.h"

namespace citron {

struct weight_control_options {
  // Requests at an upstream per slot. Above `high_load` the upstream loses
  // objects: all slots are busy, and half as many requests wait. Below
  // `low_load` it regains objects; between the limits its weight is unchanged.
  double high_load = 1.5;
  double low_load = 0.6;
  // Averaging time of the load. A single report has a weight of at most
  // `max_report_weight`, so that the mean covers at least two reports.
  duration averaging_time = FromMilliseconds(1000);
  double max_report_weight = 0.5;
  // Exponential rates of the change of the weight. Decrease: at most a quarter
  // of this fraction of the requests of a region moves to other regions per
  // second, so that at most a tenth moves in two seconds. Increase: slow, since
  // the load rises suddenly at an upstream that gets more objects than it keeps
  // warm.
  double decrease_per_s = 0.2;
  double increase_per_s = 0.02;
  // An upstream that stays overloaded keeps some objects; otherwise no report
  // would show its recovery.
  double min_weight = 0.1;
  // Upper bound of the time step of a weight change, however long ago the
  // previous report arrived.
  duration max_step = FromMilliseconds(1000);
};

// Fraction of its full weight that an upstream has in the placement of objects.
// Each load report adjusts the fraction.
class weight_control {
 public:
  explicit weight_control(const weight_control_options& options = {});

  // `load`: running and waiting requests at the upstream per slot.
  void OnLoadReport(double load, monotonic_time now);
  // Restores the full weight after a restart of the upstream, as earlier
  // reports no longer apply.
  void Reset();
  double Weight() const { return weight_; }

 private:
  weight_control_options options_;
  double weight_ = 1;
  double mean_load_ = 0;
  monotonic_time last_report_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_WEIGHT_CONTROL_H_
