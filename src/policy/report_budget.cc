#include "citron/policy/report_budget.h"

#include <algorithm>

namespace citron {

// Load pattern: answers are lost at many upstreams at the same time, each loss
// is news for all VMs, and the datagrams grow as the VMs that serve callers
// times all VMs. A single event is told at once; in a flood the events share
// reports.

report_budget::report_budget(const report_budget_options& options)
    : options_(options) {}

bool report_budget::TryTake(int readers, monotonic_time now) {
  const double refilled =
      options_.datagrams_per_s * ToSeconds(now - updated_at_);
  used_datagrams_ = std::max(0.0, used_datagrams_ - refilled);
  updated_at_ = now;
  const double limit = static_cast<double>(options_.burst_reports) * readers;
  // Half a datagram of tolerance, as times are rounded.
  if (used_datagrams_ + readers > limit + 0.5) return false;
  used_datagrams_ += readers;
  return true;
}

}  // namespace citron
