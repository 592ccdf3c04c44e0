#include "citron/policy/overflow_control.h"

#include <algorithm>

namespace citron {
namespace {

// Handles a zone that has more work than its servers can process while other
// zones have free capacity. A report shows one moment. If all entries moved all
// traffic at a reported queue of a few milliseconds, the traffic would
// alternate between zones with each report, and requests would wait even at
// loads that every zone could serve by itself. The moved fraction therefore
// grows and shrinks in steps.

// Expected waits above which traffic moves, slowly or fast. At 0.8 of the
// capacity a queue of a few milliseconds forms and clears by itself; a queue of
// 20 ms, half the service time of a look-up, does not.
constexpr duration kMoveThreshold = std::chrono::milliseconds(20);
constexpr duration kFastMoveThreshold = std::chrono::milliseconds(200);

// Changes of the moved fraction per report. Doubling these steps overshoots the
// needed fraction and leaves local servers idle; a smaller return step leaves
// local capacity unused.
constexpr double kMoveStep = 0.05;
constexpr double kFastMoveStep = 0.1;
constexpr double kReturnStep = 0.05;

// Reports arrive too late for a sudden burst; refusals arrive at once. At 80
// refusals a second, half of the traffic is moved within 1.3 s.
constexpr double kRefusalStep = 0.005;

}  // namespace

void overflow_control::Adjust(double step) {
  moved_fraction_ = std::clamp(moved_fraction_ + step, 0.0, 1.0);
}

void overflow_control::OnReport(duration expected_wait) {
  if (expected_wait > kFastMoveThreshold) {
    Adjust(kFastMoveStep);
  } else if (expected_wait > kMoveThreshold) {
    Adjust(kMoveStep);
  } else {
    Adjust(-kReturnStep);
  }
}

void overflow_control::OnRefused() { Adjust(kRefusalStep); }

bool overflow_control::ShouldMoveNext() {
  credit_ += moved_fraction_;
  if (credit_ < 1) return false;
  credit_ -= 1;
  return true;
}

}  // namespace citron
