#ifndef CITRON_POLICY_EXPERIMENT_BASELINES_H_
#define CITRON_POLICY_EXPERIMENT_BASELINES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "policy/zone_simulation.h"

namespace citron {

// A bounded queue by arrival for the whole service; no deadlines, no shares, no
// classes, no ejection. Takes the least loaded upstream.
class plain_queue_policy : public dispatch_policy {
 public:
  plain_queue_policy(const std::vector<upstream_capacity>& upstreams,
                     std::size_t bound);

  actions OnRequest(const scheduler_request& request,
                    monotonic_time now) override;
  actions OnOutcome(const request_id& id, upstream_outcome outcome,
                    monotonic_time now) override;

 private:
  struct upstream_use {
    upstream_capacity capacity;
    int in_flight = 0;
  };

  void Dispatch(actions& out);

  std::vector<upstream_use> upstreams_;
  std::size_t bound_;
  std::deque<request_id> queue_;
  std::unordered_map<request_id, std::size_t> sent_to_;
};

// A scheduler for each upstream alone; a request joins the queue of the one
// that has the least in flight and queued when it arrives.
class split_queue_policy : public dispatch_policy {
 public:
  split_queue_policy(const scheduler_options& options,
                     const std::vector<upstream_capacity>& upstreams,
                     std::uint64_t seed);

  actions OnRequest(const scheduler_request& request,
                    monotonic_time now) override;
  actions OnOutcome(const request_id& id, upstream_outcome outcome,
                    monotonic_time now) override;
  actions OnTimer(monotonic_time now) override;
  std::optional<monotonic_time> NextTimer() const override;

 private:
  std::vector<service_scheduler> schedulers_;
  std::unordered_map<request_id, std::size_t> joined_;
};

// Sends at once to the upstream that its last report shows least loaded, with
// others that do the same; asks one more when it sheds.
class lagging_report_policy : public dispatch_policy {
 public:
  lagging_report_policy(const std::vector<upstream_capacity>& upstreams,
                        std::uint64_t seed);

  actions OnRequest(const scheduler_request& request,
                    monotonic_time now) override;
  actions OnOutcome(const request_id& id, upstream_outcome outcome,
                    monotonic_time now) override;
  actions OnReport(const upstream_id& id, const upstream_report& report,
                   monotonic_time now) override;

 private:
  upstream_id Least(const upstream_id& except);

  std::map<upstream_id, int> reported_;
  std::unordered_map<request_id, upstream_id> first_try_;
  pcg32 random_;
};

}  // namespace citron

#endif  // CITRON_POLICY_EXPERIMENT_BASELINES_H_
