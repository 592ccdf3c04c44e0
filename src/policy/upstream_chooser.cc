#include "citron/policy/upstream_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citron {
namespace {

// Load pattern: upstreams that are slow, fail, return errors at once, send
// wrong reports or have just started.
//
// A reported load lags by up to seconds and reaches all senders at once, so a
// choice by reported load sends all traffic to the server that was idle a
// moment ago. The in-flight count of this process is exact, as only the owner
// sends new requests to an upstream. A report may therefore only lower the
// slots of a server, because other callers may still have requests there after
// a change of owner. A reported load leaves at least one slot: a server that
// always reports itself full would otherwise never be used again, and a full
// server refuses anyway.

// Longest lag of a report. Requests of this process that ended within this time
// may still be in the report and must not count as load of other callers.
constexpr duration kReportLag = std::chrono::seconds(2);

// After a refusal as full, the slots of the server are limited to the requests
// of this process that were in flight there, plus one slot for each step since.
// A step is about the time of a few look-ups, so a full server receives a few
// trial requests a second.
constexpr duration kShedRecoveryStep = std::chrono::milliseconds(250);

// Time for which a server is not used after it refused as leaving. The list of
// leaving VMs and the health reports lag by seconds and must not bring the
// server back earlier.
constexpr duration kLeavingHold = std::chrono::seconds(10);

// A process that is gone fails each attempt, so two failures in a row suffice.
// A single failure may be a connection that was closed while idle.
constexpr int kHardFailuresToEject = 2;

// Bounds of the ejection time after hard failures. An attempt at a server that
// is gone costs one refused connection and runs nothing, so the next attempt
// follows soon: a restart takes seconds, and in a zone with three servers each
// second counts.
constexpr duration kFirstHardFailureEjection = std::chrono::seconds(1);
constexpr duration kLongestHardFailureEjection = std::chrono::seconds(10);

// Errors return faster than work is done, so a server that returns only errors
// looks the least loaded and attracts all traffic. A server is ejected if it
// fails at least half of its requests and at least at twice the rate of its
// peers. When all servers fail alike, the requests are at fault, and ejections
// would make it worse.
constexpr double kFailureRateToEject = 0.5;
constexpr double kFailureRateOverPeersToEject = 2.0;

// A slow server occupies a slot longer for each request, so the queue gets
// fewer slots and callers miss their deadlines. A server below four times the
// slowness of its peers is not ejected for slowness and only gets less traffic
// by its score. In probation the limit applies to the slowness of each single
// outcome, without the peers.
constexpr double kSlownessOverPeersToEject = 4.0;
// Means of a few short and long requests of one class differ by more than four
// times by chance, and an ejected server takes its slots with it. So the means
// must differ by that and this number of standard errors, and cover at least
// this number of outcomes each.
constexpr double kStandardErrorsToEject = 2.0;
constexpr int kMinSamplesOfMean = 9;
// Smallest weight of a new outcome in the smoothed failure rate and slowness.
constexpr double kSmoothingGain = 0.2;
// Outcomes of a server before it may be ejected for errors, or counts as a
// peer.
constexpr int kMinSamplesToEject = 5;

// Outcomes in a row, neither failed nor slow, that reinstate a server in
// probation.
constexpr int kProbationSuccesses = 2;

// Slowness above which the score of a server gets worse, so that the server
// gets less traffic than its slots allow.
constexpr double kSlownessToPenalize = 1.5;

// A request that ended without an answer counts as slow only if it ran for
// clearly more than the time expected for its class.
constexpr double kMinSlownessWithoutAnswer = 3.0;

double Median(std::vector<double> values) {
  const auto middle = values.begin() + (values.size() - 1) / 2;
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool IsHardFailure(upstream_outcome outcome) {
  return outcome == upstream_outcome::kConnectFailedNotRun ||
         outcome == upstream_outcome::kConnectionLost;
}

bool IsFailure(upstream_outcome outcome, double slowness) {
  if (IsHardFailure(outcome)) return true;
  if (outcome == upstream_outcome::kServerError) return true;
  return outcome == upstream_outcome::kTimedOut &&
         slowness >= kMinSlownessWithoutAnswer;
}

// Returns true if the outcome tells nothing about the quality of the server.
bool IsNeutral(upstream_outcome outcome, double slowness) {
  if (outcome == upstream_outcome::kShedNotRun) return true;
  if (outcome == upstream_outcome::kLeavingNotRun) return true;
  if (outcome == upstream_outcome::kNotOwnedNotRun) return true;
  const bool without_answer = outcome == upstream_outcome::kCancelled ||
                              outcome == upstream_outcome::kTimedOut;
  return without_answer && slowness < kMinSlownessWithoutAnswer;
}

}  // namespace

std::string_view EjectionReasonName(ejection_reason reason) {
  switch (reason) {
    case ejection_reason::kConnectionFailures:
      return "connections fail";
    case ejection_reason::kSlowness:
      return "slower than its peers";
    case ejection_reason::kErrors:
      return "more errors than its peers";
  }
  return "";
}

bool IsNotRun(upstream_outcome outcome) {
  return outcome == upstream_outcome::kShedNotRun ||
         outcome == upstream_outcome::kLeavingNotRun ||
         outcome == upstream_outcome::kNotOwnedNotRun ||
         outcome == upstream_outcome::kConnectFailedNotRun;
}

upstream_chooser::upstream_chooser(upstream_chooser_options options)
    : options_(options) {}

void upstream_chooser::SetUpstreams(
    const std::vector<upstream_capacity>& upstreams, monotonic_time now) {
  for (auto& [id, s] : upstreams_) s.owned = false;
  for (const upstream_capacity& u : upstreams) {
    const auto [at, added] = upstreams_.try_emplace(u.id);
    state& s = at->second;
    s.capacity = u;
    s.owned = true;
    if (added && u.cold) {
      s.ramping = true;
      s.ramp_start = now;
    }
  }
  std::erase_if(upstreams_, [](const auto& entry) {
    return !entry.second.owned && entry.second.in_flight == 0;
  });
}

void upstream_chooser::SetDraining(const upstream_id& id, bool draining) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) found->second.draining = draining;
}

void upstream_chooser::OnReport(const upstream_id& id,
                                const upstream_report& report,
                                monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  state& s = found->second;
  UpdatePeakInFlight(s, now);
  const bool turned_ready = s.reported_at && !s.report.ready && report.ready;
  if (turned_ready) {
    s.ramping = true;
    s.ramp_start = now;
  }
  s.report = report;
  s.reported_at = now;
  // The load of other callers is computed on receipt: requests sent later can't
  // be in this report.
  const int own_peak = std::max(s.peak_in_flight, s.previous_peak_in_flight);
  s.other_callers_load =
      std::max(0, report.in_flight + report.queued - own_peak);
}

void upstream_chooser::UpdatePeakInFlight(state& s, monotonic_time now) {
  if (now - s.peak_period_start >= kReportLag) {
    const bool no_events_in_last_period =
        now - s.peak_period_start >= 2 * kReportLag;
    s.previous_peak_in_flight =
        no_events_in_last_period ? s.in_flight : s.peak_in_flight;
    s.peak_in_flight = 0;
    s.peak_period_start = now;
  }
  s.peak_in_flight = std::max(s.peak_in_flight, s.in_flight);
}

bool upstream_chooser::HasFreshReport(const state& s,
                                      monotonic_time now) const {
  return s.reported_at && now - *s.reported_at <= options_.report_lifetime;
}

bool upstream_chooser::IsUsable(const state& s, monotonic_time now) const {
  if (!s.owned || s.draining || now < s.leaving_until) return false;
  // The leaving mark stays until a later report clears it, also when reports
  // stop.
  if (s.reported_at && s.report.leaving) return false;
  if (HasFreshReport(s, now) && !s.report.ready) return false;
  return !s.ejected || now >= s.ejected_until;
}

// Returns the slots that the ramp allows. A server that has just started has
// cold caches and few warm connections. Its full share at once makes it slow
// for all requests and may get it ejected.
int upstream_chooser::RampedSlots(const state& s, monotonic_time now) const {
  const int slots = std::min(s.capacity.slots, s.capacity.max_connections);
  if (!s.ramping) return slots;
  const duration ramp = std::max(options_.cold_start_ramp, duration(1));
  const double elapsed_fraction =
      ToSeconds(now - s.ramp_start) / ToSeconds(ramp);
  if (elapsed_fraction >= 1) return slots;
  return std::max(1, static_cast<int>(slots * std::max(elapsed_fraction, 0.0)));
}

int upstream_chooser::AllowedSlots(const state& s, monotonic_time now) const {
  if (!IsUsable(s, now)) return 0;
  int allowed = RampedSlots(s, now);
  if (s.ejected) allowed = std::min(allowed, 1);
  if (HasFreshReport(s, now)) {
    if (!s.report.healthy) allowed = std::min(allowed, 1);
    allowed = std::max(std::min(allowed, 1), allowed - s.other_callers_load);
  }
  if (s.shed_at) {
    const auto steps = (now - *s.shed_at) / kShedRecoveryStep;
    const auto most =
        s.in_flight_at_shed + std::min<std::int64_t>(steps, allowed);
    allowed = std::min(allowed, static_cast<int>(most));
  }
  return allowed;
}

// Returns the fraction of the allowed slots in use with one more request,
// scaled up for a slow server. Lower is better.
double upstream_chooser::Score(const state& s, int allowed) const {
  const double used_fraction = (s.in_flight + 1.0) / allowed;
  return used_fraction *
         std::max(1.0, s.smoothed_slowness / kSlownessToPenalize);
}

std::optional<upstream_id> upstream_chooser::Choose(
    monotonic_time now, pcg32& random, const filter& allowed) const {
  const upstream_id* best = nullptr;
  double best_score = 0;
  std::uint32_t ties = 0;
  for (const auto& [id, s] : upstreams_) {
    const int slots = AllowedSlots(s, now);
    if (s.in_flight >= slots) continue;
    if (allowed && !allowed(id)) continue;
    const double score = Score(s, slots);
    if (best != nullptr && score > best_score) continue;
    ties = best != nullptr && score == best_score ? ties + 1 : 1;
    // Ties are broken at random with equal probability; otherwise the first
    // upstream by name would always get the first request and be the warmest.
    if (ties == 1 || random(ties) == 0) best = &id;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

void upstream_chooser::OnSent(const upstream_id& id, monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  UpdatePeakInFlight(found->second, now);
  ++found->second.in_flight;
  UpdatePeakInFlight(found->second, now);
}

void upstream_chooser::OnDone(const upstream_id& id, upstream_outcome outcome,
                              double slowness, monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  state& s = found->second;
  UpdatePeakInFlight(s, now);
  --s.in_flight;
  ProcessOutcome(s, outcome, slowness, now);
  if (!s.owned && s.in_flight == 0) upstreams_.erase(found);
}

void upstream_chooser::ProcessOutcome(state& s, upstream_outcome outcome,
                                      double slowness, monotonic_time now) {
  if (outcome == upstream_outcome::kShedNotRun) {
    s.shed_at = now;
    s.in_flight_at_shed = s.in_flight;
  }
  if (outcome == upstream_outcome::kLeavingNotRun) {
    s.leaving_until = now + kLeavingHold;
  }
  if (now - s.ramp_start >= options_.cold_start_ramp) s.ramping = false;
  if (IsNeutral(outcome, slowness)) return;
  if (s.ejected) {
    ProcessProbationOutcome(s, outcome, slowness, now);
    return;
  }
  UpdateStatistics(s, outcome, slowness);
  // Crashes and refused connections are certain signs, and further requests to
  // the server would be lost work, so they eject without a comparison. Slowness
  // and errors are compared with the peers.
  if (s.hard_failures_in_row >= kHardFailuresToEject) {
    Eject(s, ejection_reason::kConnectionFailures, now);
  } else if (!MayEjectForQuality()) {
    return;
  } else if (IsSlowerThanPeers(s)) {
    Eject(s, ejection_reason::kSlowness, now);
  } else if (FailsMoreThanPeers(s)) {
    Eject(s, ejection_reason::kErrors, now);
  }
}

void upstream_chooser::UpdateStatistics(state& s, upstream_outcome outcome,
                                        double slowness) {
  const bool failed = IsFailure(outcome, slowness);
  s.hard_failures_in_row =
      IsHardFailure(outcome) ? s.hard_failures_in_row + 1 : 0;
  ++s.samples;
  const double gain = std::max(kSmoothingGain, 1.0 / s.samples);
  s.failure_rate += gain * ((failed ? 1.0 : 0.0) - s.failure_rate);
  // The time of an error tells nothing about the time that work takes.
  const bool has_work_time =
      !IsHardFailure(outcome) && outcome != upstream_outcome::kServerError;
  if (!has_work_time) return;
  s.smoothed_slowness += gain * (slowness - s.smoothed_slowness);
  s.mean_slowness.Add(slowness);
}

// Handles an outcome of an ejected server. In probation the server gets one
// request at a time.
void upstream_chooser::ProcessProbationOutcome(state& s,
                                               upstream_outcome outcome,
                                               double slowness,
                                               monotonic_time now) {
  // The request was sent before the ejection.
  if (now < s.ejected_until) return;
  const bool slow = slowness >= kSlownessOverPeersToEject;
  if (IsHardFailure(outcome)) {
    Eject(s, ejection_reason::kConnectionFailures, now);
    return;
  }
  if (IsFailure(outcome, slowness) || slow) {
    Eject(s, slow ? ejection_reason::kSlowness : ejection_reason::kErrors, now);
    return;
  }
  if (++s.probation_successes >= kProbationSuccesses) Reinstate(s, now);
}

std::vector<const upstream_chooser::state*> upstream_chooser::PeersOf(
    const state& s) const {
  std::vector<const state*> peers;
  for (const auto& [id, peer] : upstreams_) {
    if (&peer != &s && peer.owned && !peer.ejected) peers.push_back(&peer);
  }
  return peers;
}

bool upstream_chooser::IsSlowerThanPeers(const state& s) const {
  // A ramping server is expected to be slow and is not ejected for it.
  if (s.ramping || s.mean_slowness.Samples() < kMinSamplesOfMean) return false;
  std::vector<const state*> peers = PeersOf(s);
  std::erase_if(peers, [](const state* peer) {
    return peer->mean_slowness.Samples() < kMinSamplesOfMean;
  });
  if (peers.empty()) return false;
  const auto middle = peers.begin() + (peers.size() - 1) / 2;
  std::nth_element(peers.begin(), middle, peers.end(),
                   [](const state* a, const state* b) {
                     return a->mean_slowness.Mean() < b->mean_slowness.Mean();
                   });
  return IsAboveMultiple(s.mean_slowness, kSlownessOverPeersToEject,
                         (*middle)->mean_slowness, kStandardErrorsToEject);
}

bool upstream_chooser::FailsMoreThanPeers(const state& s) const {
  const bool fails_often =
      s.samples >= kMinSamplesToEject && s.failure_rate >= kFailureRateToEject;
  if (!fails_often) return false;
  std::vector<double> failures;
  for (const state* peer : PeersOf(s)) {
    if (peer->samples >= kMinSamplesToEject)
      failures.push_back(peer->failure_rate);
  }
  if (failures.empty()) return false;
  return s.failure_rate >=
         kFailureRateOverPeersToEject * Median(std::move(failures));
}

// Returns whether one more server may be ejected for slowness or errors. Such
// ejections leave half of the servers in use, whatever their outcomes, or the
// load of the ejected servers would overload the rest. Ejections for hard
// failures are not limited.
bool upstream_chooser::MayEjectForQuality() const {
  int owned = 0;
  int ejected = 0;
  for (const auto& [id, s] : upstreams_) {
    if (!s.owned) continue;
    ++owned;
    if (s.ejected) ++ejected;
  }
  return 2 * (ejected + 1) <= owned;
}

void upstream_chooser::Eject(state& s, ejection_reason reason,
                             monotonic_time now) {
  const bool had_stable_period =
      !s.ejected && now - s.reinstated_at > options_.longest_ejection;
  if (had_stable_period) s.consecutive_ejections = 0;
  const bool unreachable = reason == ejection_reason::kConnectionFailures;
  const duration first =
      unreachable ? kFirstHardFailureEjection : options_.first_ejection;
  const duration longest =
      unreachable ? kLongestHardFailureEjection : options_.longest_ejection;
  // The time doubles with each consecutive ejection, up to `longest`.
  const double factor = std::exp2(std::min(s.consecutive_ejections, 16));
  const duration time = FromSeconds(ToSeconds(first) * factor);
  s.ejected = true;
  s.ejected_until = now + std::min(time, longest);
  s.probation_successes = 0;
  ++s.consecutive_ejections;
  last_ejection_ = {s.capacity.id, reason, s.ejected_until,
                    s.mean_slowness.Mean(), s.failure_rate};
}

std::optional<upstream_ejection> upstream_chooser::TakeEjection() {
  return std::exchange(last_ejection_, std::nullopt);
}

void upstream_chooser::Reinstate(state& s, monotonic_time now) {
  s.ejected = false;
  s.reinstated_at = now;
  s.ramping = true;
  s.ramp_start = now;
  s.hard_failures_in_row = 0;
  s.failure_rate = 0;
  s.smoothed_slowness = 1;
  s.mean_slowness = smoothed_mean(kMeanSlownessGain);
  s.samples = 0;
}

int upstream_chooser::Slots() const {
  int slots = 0;
  for (const auto& [id, s] : upstreams_) {
    if (s.owned) slots += s.capacity.slots;
  }
  return slots;
}

int upstream_chooser::UsableSlots(monotonic_time now) const {
  int slots = 0;
  for (const auto& [id, s] : upstreams_) slots += AllowedSlots(s, now);
  return slots;
}

int upstream_chooser::FreeSlots(monotonic_time now) const {
  int slots = 0;
  for (const auto& [id, s] : upstreams_) {
    slots += std::max(0, AllowedSlots(s, now) - s.in_flight);
  }
  return slots;
}

int upstream_chooser::UsableUpstreams(monotonic_time now) const {
  int usable = 0;
  for (const auto& [id, s] : upstreams_) {
    if (IsUsable(s, now)) ++usable;
  }
  return usable;
}

int upstream_chooser::InFlight(const upstream_id& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? 0 : found->second.in_flight;
}

bool upstream_chooser::IsLeaving(const upstream_id& id,
                                 monotonic_time now) const {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return false;
  const state& s = found->second;
  const bool reports_leaving = s.reported_at && s.report.leaving;
  return s.draining || reports_leaving || now < s.leaving_until;
}

std::optional<monotonic_time> upstream_chooser::NextChange(
    monotonic_time now) const {
  std::optional<monotonic_time> next;
  const auto consider = [&](monotonic_time at) {
    if (at > now && (!next || at < *next)) next = at;
  };
  for (const auto& [id, s] : upstreams_) {
    if (!s.owned || s.draining) continue;
    consider(s.leaving_until);
    if (s.ejected) consider(s.ejected_until);
    // While a server ramps up or recovers from a refusal as full, its slots
    // grow step by step, and one check for each step suffices.
    const bool growing = s.ramping || s.shed_at;
    if (growing && AllowedSlots(s, now) < s.capacity.slots) {
      consider(now + kShedRecoveryStep);
    }
    if (s.reported_at) consider(*s.reported_at + options_.report_lifetime);
  }
  return next;
}

}  // namespace citron
