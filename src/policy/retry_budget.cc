#include "citron/policy/retry_budget.h"

#include <algorithm>

namespace citron {

// Load pattern: an outage in which most first attempts fail. A fixed number of
// retries for each request multiplies the load by that number just when the
// capacity is lowest, which prolongs the outage after its cause is gone;
// upstreams then get more requests than callers sent. A retry share of the
// traffic bounds the excess at that share. A tenth is enough for one server of
// ten to fail without callers noticing; the saved retries let a service with
// little traffic retry at all.

retry_budget::retry_budget(double share, double max_saved)
    : share_(share), max_saved_(max_saved), tokens_(max_saved) {}

void retry_budget::OnRequest() {
  tokens_ = std::min(max_saved_, tokens_ + share_);
}

bool retry_budget::TryTake() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace citron
