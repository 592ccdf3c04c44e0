#include "citron/policy/retry_budget.h"

#include <algorithm>

namespace citron {

namespace {

constexpr duration kRequestRateAveraging = std::chrono::seconds(1);

}  // namespace

std::string_view ToString(retry_decision decision) {
  switch (decision) {
    case retry_decision::kGranted:
      return "granted";
    case retry_decision::kSpent:
      return "spent";
    case retry_decision::kKeptForOtherRank:
      return "kept_for_other_rank";
  }
  return "unknown";
}

// Load pattern: an outage in which most first attempts fail. A fixed number of
// retries for each request multiplies the load by that number just when the
// capacity is lowest, which prolongs the outage after its cause is gone;
// upstreams then get more requests than callers sent. A retry share of the
// traffic bounds the excess at that share. A tenth is enough for one server of
// ten to fail without callers noticing; the saved retries let a service with
// little traffic retry at all. In such an outage the less urgent requests leave
// what there is to the more urgent ones.

retry_budget::retry_budget(double share, double max_saved)
    : share_(share),
      max_saved_(max_saved),
      tokens_(max_saved),
      request_rate_(kRequestRateAveraging) {}

void retry_budget::OnRequest() {
  tokens_ = std::min(max_saved_, tokens_ + share_);
}

bool retry_budget::TryTake() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void retry_budget::OnRequest(monotonic_time now) {
  request_rate_.Add(now);
  OnRequest();
}

retry_decision retry_budget::TryTake(const request_rank& rank,
                                     monotonic_time now) {
  reserve_.OnDemand(rank, now);
  if (tokens_ < 1) return retry_decision::kSpent;
  if (!reserve_.MayTake(rank, tokens_, RefillPerS(now), now)) {
    return retry_decision::kKeptForOtherRank;
  }
  tokens_ -= 1;
  return retry_decision::kGranted;
}

}  // namespace citron
