#ifndef CITRON_POLICY_OVERFLOW_CONTROL_H_
#define CITRON_POLICY_OVERFLOW_CONTROL_H_

#include "citron/base/time.h"

namespace citron {

// How much of a service's traffic an entry sends past its own zone.
class overflow_control {
 public:
  // The own zone's owner reports its expected wait.
  void OnReport(duration expected_wait);
  // The own zone's owner refused a request as not run.
  void OnRefused();

  // True for the part of the calls that go elsewhere, evenly spread.
  bool TakesMove();
  double Part() const { return part_; }

 private:
  void Raise(double step);

  double part_ = 0;
  double credit_ = 0;
};

}  // namespace citron

#endif  // CITRON_POLICY_OVERFLOW_CONTROL_H_
