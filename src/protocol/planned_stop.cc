#include "citron/protocol/planned_stop.h"

namespace citron {

namespace {

// Parts of the grace period. Callers use what they were told for three times
// the lifetime of a look-up, and requests that came in then need the rest.
constexpr double kListenPart = 0.55;
constexpr double kEndPart = 0.95;
// A signal is seen, and a request is read, some time after it was sent.
constexpr duration kArrivalMargin = std::chrono::milliseconds(250);
// The answer at a deadline has to be written before the process ends.
constexpr duration kWriteMargin = std::chrono::milliseconds(100);

}  // namespace

void planned_stop::Begin(const planned_stop_options& options,
                         monotonic_time now) {
  if (has_begun_) return;
  has_begun_ = true;
  const double grace_s = ToSeconds(options.grace_period);
  began_at_ = now;
  passes_all_until_ = now + options.late_arrival - kArrivalMargin;
  listens_until_ = now + FromSeconds(kListenPart * grace_s);
  ends_at_ = now + FromSeconds(kEndPart * grace_s);
  due_until_ = ends_at_ - kWriteMargin;
}

}  // namespace citron
