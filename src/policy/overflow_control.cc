#include "citron/policy/overflow_control.h"

#include <algorithm>

namespace citron {
namespace {

// Answers: a zone with more work than its servers carry, beside others that
// have room. A report shows one moment. If all entries acted on it in full, a
// queue of a few milliseconds would send the whole zone's traffic elsewhere
// until the next report, and that zone's the other way; one notices by waits at
// loads that every zone could carry by itself. So what is moved is a part that
// grows and shrinks step by step.

// At 0.8 of the capacity a queue of a few milliseconds comes and goes by
// itself; this one is half of a look-up's time and doesn't.
constexpr duration kWaitToMove = std::chrono::milliseconds(20);
constexpr duration kWaitToHurry = std::chrono::milliseconds(200);

// Steps twice as large swing past what is needed and leave the own servers idle
// in turn; a step back of less than this keeps work away that they could do.
constexpr double kStep = 0.05;
constexpr double kHurriedStep = 0.1;
constexpr double kStepBack = 0.05;

// Reports come too late for a sudden burst, but refusals come at once. At
// 80 refusals a second the half is moved within 1.3 s.
constexpr double kStepOfRefusal = 0.005;

}  // namespace

void overflow_control::Raise(double step) {
  part_ = std::clamp(part_ + step, 0.0, 1.0);
}

void overflow_control::OnReport(duration expected_wait) {
  if (expected_wait > kWaitToHurry) {
    Raise(kHurriedStep);
  } else if (expected_wait > kWaitToMove) {
    Raise(kStep);
  } else {
    Raise(-kStepBack);
  }
}

void overflow_control::OnRefused() { Raise(kStepOfRefusal); }

bool overflow_control::TakesMove() {
  credit_ += part_;
  if (credit_ < 1) return false;
  credit_ -= 1;
  return true;
}

}  // namespace citron
