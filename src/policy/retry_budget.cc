#include "citron/policy/retry_budget.h"

#include <algorithm>

namespace citron {

// Answers: an outage in which most first tries fail. A fixed count of retries
// for each request multiplies the load by that count just when the least of it
// can be carried, which keeps the outage going after its cause is gone. One
// notices by upstreams that see more requests than callers sent. A share of
// the traffic bounds the excess at that share. A tenth is enough for one
// server of ten to vanish unnoticed; the few saved up let a quiet service
// retry at all.

retry_budget::retry_budget(double share, double kept)
    : share_(share), kept_(kept), tokens_(kept) {}

void retry_budget::OnRequest() { tokens_ = std::min(kept_, tokens_ + share_); }

bool retry_budget::TryTake() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace citron
