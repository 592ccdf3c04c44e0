#ifndef CITRON_POLICY_REPORT_BUDGET_H_
#define CITRON_POLICY_REPORT_BUDGET_H_

#include "citron/base/time.h"

namespace citron {

struct report_budget_options {
  double datagrams_per_s = 1000;
  // Reports to all readers that may follow each other at once.
  int burst_reports = 4;
};

// Limits the datagrams with which a VM tells all other ones of an event at
// once, as a token bucket.
class report_budget {
 public:
  explicit report_budget(const report_budget_options& options);

  // Takes one report to so many readers, if the budget allows it.
  bool TryTake(int readers, monotonic_time now);

 private:
  report_budget_options options_;
  double used_datagrams_ = 0;
  monotonic_time updated_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_REPORT_BUDGET_H_
