#ifndef CITRON_POLICY_UPSTREAM_CHOOSER_H_
#define CITRON_POLICY_UPSTREAM_CHOOSER_H_

#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

struct upstream_capacity {
  upstream_id id;
  int slots = 1;
  int max_connections = 300;
  bool cold = false;  // Known to have just started.
};

enum class upstream_outcome {
  kAnswered,
  kServerError,
  kShedNotRun,           // It said that it is full.
  kLeavingNotRun,        // It said that it is leaving.
  kConnectFailedNotRun,  // No byte of the request was sent.
  kTimedOut,
  kConnectionLost,  // After a byte was sent; possibly a crash.
  kCancelled,
};

// True if the outcome proves that the upstream did not run the request.
bool IsNotRun(upstream_outcome outcome);

// What an upstream says of itself; late, and not always true.
struct upstream_report {
  int in_flight = 0;
  int queued = 0;
  bool healthy = true;
  bool leaving = false;
  bool ready = true;
};

struct upstream_chooser_options {
  // How long a started or returning upstream takes to get its full part.
  duration cold_start_ramp = std::chrono::seconds(10);
  duration first_ejection = std::chrono::seconds(5);
  duration longest_ejection = std::chrono::seconds(60);
  // How long a report counts.
  duration report_lifetime = std::chrono::seconds(3);
};

// Chooses among the owned upstreams of one service, by what this process has in
// flight there and what became of it.
class upstream_chooser {
 public:
  explicit upstream_chooser(upstream_chooser_options options);

  void SetUpstreams(const std::vector<upstream_capacity>& upstreams,
                    monotonic_time now);
  void SetDraining(const upstream_id& id, bool draining);
  void OnReport(const upstream_id& id, const upstream_report& report,
                monotonic_time now);

  using filter = std::function<bool(const upstream_id&)>;
  // The best upstream with a free slot that the filter lets pass.
  std::optional<upstream_id> Choose(monotonic_time now, pcg32& random,
                                    const filter& allowed = {}) const;

  void OnSent(const upstream_id& id, monotonic_time now);
  // `slowness` is the time taken over the time expected; only used for
  // outcomes that took a slot.
  void OnDone(const upstream_id& id, upstream_outcome outcome, double slowness,
              monotonic_time now);

  int Slots() const;
  int UsableSlots(monotonic_time now) const;
  int FreeSlots(monotonic_time now) const;
  int UsableUpstreams(monotonic_time now) const;
  int InFlight(const upstream_id& id) const;
  // Whether an operator, its own health answer or its refusal says that it is
  // leaving. A removed one keeps its signs while work is in flight there.
  bool IsLeaving(const upstream_id& id, monotonic_time now) const;
  // When an upstream may next take more than now, without any event.
  std::optional<monotonic_time> NextChange(monotonic_time now) const;

 private:
  struct state {
    upstream_capacity capacity;
    bool owned = true;
    bool draining = false;
    int in_flight = 0;

    upstream_report report;
    std::optional<monotonic_time> reported_at;
    // The most that was in flight from here in this period and the last one.
    monotonic_time peak_period_start;
    int peak = 0;
    int last_peak = 0;
    int foreign_work = 0;  // Not ours, by the last report.

    monotonic_time ramp_start;
    bool ramping = false;
    monotonic_time ejected_until;
    bool ejected = false;  // Until probation is passed.
    int probation_passed = 0;
    int ejections = 0;  // In a row, without a good spell between.
    monotonic_time forgiven_at;
    monotonic_time leaving_until;

    std::optional<monotonic_time> shed_at;
    int shed_level = 0;

    int hard_failures_in_row = 0;
    double failure_rate = 0;
    double slowness = 1;
    int samples = 0;
  };

  int Allowed(const state& s, monotonic_time now) const;
  int RampedSlots(const state& s, monotonic_time now) const;
  bool HasFreshReport(const state& s, monotonic_time now) const;
  double Score(const state& s, int allowed) const;
  void NotePeak(state& s, monotonic_time now);
  bool TakesWork(const state& s, monotonic_time now) const;
  void Eject(state& s, duration first, duration longest, monotonic_time now);
  void Judge(state& s, upstream_outcome outcome, double slowness,
             monotonic_time now);
  void JudgeProbation(state& s, upstream_outcome outcome, double slowness,
                      monotonic_time now);
  void Measure(state& s, upstream_outcome outcome, double slowness);
  bool IsWorseThanPeers(const state& s) const;
  bool MayEjectForQuality() const;
  void Forgive(state& s, monotonic_time now);

  upstream_chooser_options options_;
  std::map<upstream_id, state> upstreams_;
};

}  // namespace citron

#endif  // CITRON_POLICY_UPSTREAM_CHOOSER_H_
