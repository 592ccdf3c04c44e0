#ifndef CITRON_POLICY_UPSTREAM_CHOOSER_H_
#define CITRON_POLICY_UPSTREAM_CHOOSER_H_

#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string_view>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/smoothed_mean.h"

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
  kShedNotRun,           // The upstream refused the request as full.
  kPaused,               // Refused with a time without requests; may have run.
  kLeavingNotRun,        // The upstream refused because it is leaving.
  kNotOwnedNotRun,       // Not sent: this process may no longer send there.
  kConnectFailedNotRun,  // No byte of the request was sent.
  kTimedOut,
  kConnectionLost,  // A byte was already sent; possibly a crash.
  kCancelled,
};

// Returns true if the outcome proves that the upstream did not run the request.
bool IsNotRun(upstream_outcome outcome);

// State that an upstream reports about itself. Reports lag and may be wrong.
struct upstream_report {
  int in_flight = 0;
  int queued = 0;
  bool healthy = true;
  bool leaving = false;
  bool ready = true;
};

struct upstream_chooser_options {
  // Time over which an upstream reaches its full share after a cold start, a
  // reinstatement or a report that turned ready.
  duration cold_start_ramp = std::chrono::seconds(10);
  // Bounds of the ejection time for slowness and errors; the time doubles with
  // each consecutive ejection.
  duration first_ejection = std::chrono::seconds(5);
  duration longest_ejection = std::chrono::seconds(60);
  // Time after which the load, health and readiness of a report expire. A
  // leaving mark stays until a later report clears it.
  duration report_lifetime = std::chrono::seconds(3);
};

enum class ejection_reason { kConnectionFailures, kSlowness, kErrors };

std::string_view EjectionReasonName(ejection_reason reason);

// An upstream gets no requests until the given time.
struct upstream_ejection {
  upstream_id upstream;
  ejection_reason reason = ejection_reason::kConnectionFailures;
  monotonic_time until;
  // Of its requests, relative to the time expected.
  double mean_slowness = 0;
  double failure_rate = 0;
};

// Chooses among the owned upstreams of one service by the requests that this
// process has in flight at each of them, by the outcomes of earlier requests
// and by the reports of the upstreams.
class upstream_chooser {
 public:
  explicit upstream_chooser(upstream_chooser_options options);

  void SetUpstreams(const std::vector<upstream_capacity>& upstreams,
                    monotonic_time now);
  void SetDraining(const upstream_id& id, bool draining);
  void OnReport(const upstream_id& id, const upstream_report& report,
                monotonic_time now);

  using filter = std::function<bool(const upstream_id&)>;
  // Returns the best upstream with a free slot that `allowed` accepts.
  std::optional<upstream_id> Choose(monotonic_time now, pcg32& random,
                                    const filter& allowed = {}) const;

  void OnSent(const upstream_id& id, monotonic_time now);
  // `slowness` is the ratio of the time taken to the time expected. It is used
  // only for outcomes that occupied a slot.
  void OnDone(const upstream_id& id, upstream_outcome outcome, double slowness,
              monotonic_time now);

  // Returns the ejection by the last OnDone, if any, once.
  std::optional<upstream_ejection> TakeEjection();

  int Slots() const;
  int UsableSlots(monotonic_time now) const;
  int FreeSlots(monotonic_time now) const;
  int UsableUpstreams(monotonic_time now) const;
  int InFlight(const upstream_id& id) const;
  // Returns whether the operator, a health report of the upstream or one of its
  // refusals marks the upstream as leaving. A removed upstream keeps its marks
  // while requests are in flight there.
  bool IsLeaving(const upstream_id& id, monotonic_time now) const;
  // Returns the next time at which to check for more free slots if no event
  // comes before; there may be none yet at that time.
  std::optional<monotonic_time> NextChange(monotonic_time now) const;

 private:
  // Weight of a new outcome in the mean slowness, 0 to 1.
  static constexpr double kMeanSlownessGain = 0.05;

  struct state {
    upstream_capacity capacity;
    bool owned = true;
    bool draining = false;
    int in_flight = 0;

    upstream_report report;
    std::optional<monotonic_time> reported_at;
    // Highest in-flight count of this process in the current period, which
    // lasts one report lag, and in the previous one.
    monotonic_time peak_period_start;
    int peak_in_flight = 0;
    int previous_peak_in_flight = 0;
    int other_callers_load = 0;  // In requests, by the last report.

    monotonic_time ramp_start;
    bool ramping = false;
    monotonic_time ejected_until;
    bool ejected = false;  // Ejected or in probation.
    int probation_successes = 0;
    // Set to 0 at an ejection that comes more than longest_ejection after the
    // last reinstatement.
    int consecutive_ejections = 0;
    monotonic_time reinstated_at;
    monotonic_time leaving_until;

    std::optional<monotonic_time> shed_at;
    int in_flight_at_shed = 0;

    int hard_failures_in_row = 0;
    double failure_rate = 0;
    // Follows the last few outcomes; for the score.
    double smoothed_slowness = 1;
    // Over enough outcomes to compare upstreams.
    smoothed_mean mean_slowness{kMeanSlownessGain};
    int samples = 0;  // Outcomes since the last reinstatement.
  };

  int AllowedSlots(const state& s, monotonic_time now) const;
  int RampedSlots(const state& s, monotonic_time now) const;
  bool HasFreshReport(const state& s, monotonic_time now) const;
  double Score(const state& s, int allowed) const;
  void UpdatePeakInFlight(state& s, monotonic_time now);
  bool IsUsable(const state& s, monotonic_time now) const;
  void Eject(state& s, ejection_reason reason, monotonic_time now);
  void ProcessOutcome(state& s, upstream_outcome outcome, double slowness,
                      monotonic_time now);
  void ProcessProbationOutcome(state& s, upstream_outcome outcome,
                               double slowness, monotonic_time now);
  void UpdateStatistics(state& s, upstream_outcome outcome, double slowness);
  bool IsSlowerThanPeers(const state& s) const;
  bool FailsMoreThanPeers(const state& s) const;
  std::vector<const state*> PeersOf(const state& s) const;
  bool MayEjectForQuality() const;
  void Reinstate(state& s, monotonic_time now);

  upstream_chooser_options options_;
  std::map<upstream_id, state> upstreams_;
  std::optional<upstream_ejection> last_ejection_;
};

}  // namespace citron

#endif  // CITRON_POLICY_UPSTREAM_CHOOSER_H_
