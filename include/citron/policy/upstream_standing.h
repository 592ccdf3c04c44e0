#ifndef CITRON_POLICY_UPSTREAM_STANDING_H_
#define CITRON_POLICY_UPSTREAM_STANDING_H_

#include <cstdint>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/config/routing_config.h"
#include "citron/policy/upstream_chooser.h"
#include "citron/policy/weight_control.h"

namespace citron {

// What an upstream said of its load with an answer.
struct load_report {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// What a cold upstream may be sent by this VM; the parts of all VMs add up to
// what it bears.
struct cold_allowance {
  double rate_per_s = 0;
  double burst = 0;  // 0: this VM sends it nothing while it is cold.
};

struct standing_options {
  // How long a report of load counts, and a failure keeps an upstream out.
  duration report_lifetime = FromMilliseconds(1500);
  duration first_avoidance = FromMilliseconds(400);
  duration longest_avoidance = FromMilliseconds(4000);
  // Failed answers among the last ones that eject, and the least of them.
  double ejection_rate = 0.35;
  int ejection_samples = 6;
  duration ejection = FromMilliseconds(3000);
  // After the first answer of an upstream that could not be connected to: until
  // then it would have announced a new start, and this VM have read it.
  duration restart_news = FromMilliseconds(2500);
};

// One upstream as this VM knows it: what it announced, what is in flight from
// here, what it said with its answers and what became of requests.
class upstream_standing {
 public:
  upstream_standing(const upstream_record& record, const region_id& region,
                    monotonic_time now,
                    const weight_control_options& weights = {});

  const upstream_record& Record() const { return record_; }
  // It announced that it leaves, or told a request so since its last word.
  bool IsLeaving() const { return record_.draining || told_leaving_; }
  const region_id& Region() const { return region_; }
  std::uint64_t Hash() const { return hash_; }

  // A new announcement. Another start of the same upstream begins anew.
  void OnRecord(const upstream_record& record, monotonic_time now);
  void SetColdAllowance(const cold_allowance& allowance);
  // It is cold for that long, whatever it announced.
  void OnCold(duration left, monotonic_time now);

  void OnSent(monotonic_time now);
  void OnReport(const load_report& report, monotonic_time now);
  // Another VM heard that so many requests are there.
  void OnHeardLoad(int requests, monotonic_time now);
  void OnDone(upstream_outcome outcome, monotonic_time now);
  int InFlight() const { return in_flight_; }
  // Requests there, from here and from others, by its last report.
  int Load(monotonic_time now) const;
  // The part of its full weight in the choice, by the load that it reports.
  double LoadWeight() const { return weight_.Weight(); }
  // It failed lately, so that only single requests may try it.
  bool IsOnTrial() const { return failures_in_row_ > 0; }
  bool IsAvoided(monotonic_time now) const { return now < avoided_until_; }
  bool IsEjected(monotonic_time now) const { return now < ejected_until_; }
  // It has just started, or may have.
  bool IsCold(monotonic_time now) const;
  // Whether one more request would stay within the allowance of a cold one.
  bool HasColdRoom(monotonic_time now) const;
  double FailureRate() const { return failure_rate_; }

 private:
  void SetLoad(int requests, int own, int slots, monotonic_time now);
  double ColdTokens(monotonic_time now) const;
  void OnConnectFailure(monotonic_time now);

  standing_options options_;
  upstream_record record_;
  region_id region_;
  std::uint64_t hash_;
  bool told_leaving_ = false;
  int in_flight_ = 0;

  int foreign_load_ = 0;
  monotonic_time reported_at_{};
  weight_control weight_;

  int failures_in_row_ = 0;
  monotonic_time avoided_until_{};
  double failure_rate_ = 0;
  int samples_ = 0;
  monotonic_time ejected_until_{};

  monotonic_time cold_until_{};
  bool may_have_restarted_ = false;
  monotonic_time no_restart_at_{};  // When that is known to be false.
  cold_allowance allowance_;
  double cold_tokens_ = 0;
  monotonic_time cold_tokens_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_UPSTREAM_STANDING_H_
