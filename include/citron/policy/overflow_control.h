#ifndef CITRON_POLICY_OVERFLOW_CONTROL_H_
#define CITRON_POLICY_OVERFLOW_CONTROL_H_

#include "citron/base/time.h"

namespace citron {

// Controls the fraction of a service's traffic that an entry sends to zones
// other than the local zone.
class overflow_control {
 public:
  // Raises or lowers the moved fraction by one step, depending on the expected
  // wait that the local zone's owner reported.
  void OnReport(duration expected_wait);
  // Raises the moved fraction because the local zone's owner refused a request
  // without running it.
  void OnRefused();

  // Returns true for the moved fraction of the calls, evenly spread.
  bool ShouldMoveNext();
  double MovedFraction() const { return moved_fraction_; }

 private:
  void Adjust(double step);

  double moved_fraction_ = 0;
  double credit_ = 0;
};

}  // namespace citron

#endif  // CITRON_POLICY_OVERFLOW_CONTROL_H_
