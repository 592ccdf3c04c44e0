#include "citron/policy/upstream_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citron {
namespace {

// Answers: a slow upstream, one that fails, one that answers errors at once,
// one whose reports are wrong, and one that has just started.
//
// A reported load lags by up to seconds and reaches all senders at once, so a
// choice by it sends everything to the server that was idle a moment ago. What
// this process itself has in flight is exact, as nobody else sends there. So a
// report may only lower what a server gets (others may still have work there
// after a change of owner), and never below one slot: a server that reports
// itself full for good would otherwise be lost, and if it is full it says so.

// How far a report may lag. Work of ours that ended within this time may still
// be in the report and must not count as somebody else's.
constexpr duration kReportLag = std::chrono::seconds(2);

// A server that refused as full knows better than our count. It gets nothing
// more than it had then, and one slot more each time this passes; about the
// time of a few look-ups, so a full server is asked a few times a second.
constexpr duration kShedStep = std::chrono::milliseconds(250);

// The list of leaving VMs lags by seconds and so do health answers; they must
// not call back a server that itself said that it is leaving.
constexpr duration kLeavingHold = std::chrono::seconds(10);

// A process that is gone fails each try, so two in a row are enough; one alone
// may be a connection that was closed while idle.
constexpr int kHardFailuresToEject = 2;

// Trying a server that is gone costs one refused connection and runs nothing,
// so it is tried again soon: a restart takes seconds, and in a zone with three
// servers each second counts.
constexpr duration kFirstDown = std::chrono::seconds(1);
constexpr duration kLongestDown = std::chrono::seconds(10);

// Errors are answered faster than work is done, so a server that answers only
// errors looks the least loaded and draws all traffic. It must fail half of
// its requests and twice as many as its peers do: when all fail alike, the
// requests are at fault, and ejecting servers would make it worse.
constexpr double kFailureRateToEject = 0.5;
constexpr double kFailuresOverPeers = 2.0;

// A slow server holds a slot of the queue for each request that it drags out,
// and its callers miss their deadlines. Below four times the peers' time it
// just gets less by its score; the spread of service times reaches there in
// single answers, and the mean over the last few doesn't.
constexpr double kSlowOverPeers = 4.0;
constexpr double kGain = 0.2;
constexpr int kSamplesToJudge = 5;

// Answers in a row that bring an ejected server back.
constexpr int kProbation = 2;

// Only a server this much over the expected time gets less than its slots say.
constexpr double kSlownessToScore = 1.5;

// A request that ended without an answer says that the server is slow only if
// it had clearly more than the time that the class takes.
constexpr double kSlowWithoutAnswer = 3.0;

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
         slowness >= kSlowWithoutAnswer;
}

// Says nothing of how well the server works.
bool IsNeutral(upstream_outcome outcome, double slowness) {
  if (outcome == upstream_outcome::kShedNotRun) return true;
  if (outcome == upstream_outcome::kLeavingNotRun) return true;
  const bool without_answer = outcome == upstream_outcome::kCancelled ||
                              outcome == upstream_outcome::kTimedOut;
  return without_answer && slowness < kSlowWithoutAnswer;
}

}  // namespace

bool IsNotRun(upstream_outcome outcome) {
  return outcome == upstream_outcome::kShedNotRun ||
         outcome == upstream_outcome::kLeavingNotRun ||
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
  NotePeak(s, now);
  const bool became_ready = s.reported_at && !s.report.ready && report.ready;
  if (became_ready) {
    s.ramping = true;
    s.ramp_start = now;
  }
  s.report = report;
  s.reported_at = now;
  // Reckoned now, as what is sent later can't be in this report.
  const int ours = std::max(s.peak, s.last_peak);
  s.foreign_work = std::max(0, report.in_flight + report.queued - ours);
}

void upstream_chooser::NotePeak(state& s, monotonic_time now) {
  if (now - s.peak_period_start >= kReportLag) {
    const bool idle_period = now - s.peak_period_start >= 2 * kReportLag;
    s.last_peak = idle_period ? s.in_flight : s.peak;
    s.peak = 0;
    s.peak_period_start = now;
  }
  s.peak = std::max(s.peak, s.in_flight);
}

bool upstream_chooser::HasFreshReport(const state& s,
                                      monotonic_time now) const {
  return s.reported_at && now - *s.reported_at <= options_.report_lifetime;
}

bool upstream_chooser::TakesWork(const state& s, monotonic_time now) const {
  if (!s.owned || s.draining || now < s.leaving_until) return false;
  // Leaving holds until a report says otherwise, also when reports stop.
  if (s.reported_at && s.report.leaving) return false;
  if (HasFreshReport(s, now) && !s.report.ready) return false;
  return !s.ejected || now >= s.ejected_until;
}

// A started server has cold caches and few warm connections; the whole of its
// part at once makes it slow for all of them, and it may be ejected for it.
int upstream_chooser::RampedSlots(const state& s, monotonic_time now) const {
  const int slots = std::min(s.capacity.slots, s.capacity.max_connections);
  if (!s.ramping) return slots;
  const duration ramp = std::max(options_.cold_start_ramp, duration(1));
  const double part = ToSeconds(now - s.ramp_start) / ToSeconds(ramp);
  if (part >= 1) return slots;
  return std::max(1, static_cast<int>(slots * std::max(part, 0.0)));
}

int upstream_chooser::Allowed(const state& s, monotonic_time now) const {
  if (!TakesWork(s, now)) return 0;
  int allowed = RampedSlots(s, now);
  if (s.ejected) allowed = std::min(allowed, 1);
  if (HasFreshReport(s, now)) {
    if (!s.report.healthy) allowed = std::min(allowed, 1);
    allowed = std::max(std::min(allowed, 1), allowed - s.foreign_work);
  }
  if (s.shed_at) {
    const auto steps = (now - *s.shed_at) / kShedStep;
    const auto most = s.shed_level + std::min<std::int64_t>(steps, allowed);
    allowed = std::min(allowed, static_cast<int>(most));
  }
  return allowed;
}

// The part of its slots that would be taken, made worse for a slow server.
double upstream_chooser::Score(const state& s, int allowed) const {
  const double part = (s.in_flight + 1.0) / allowed;
  return part * std::max(1.0, s.slowness / kSlownessToScore);
}

std::optional<upstream_id> upstream_chooser::Choose(
    monotonic_time now, pcg32& random, const filter& allowed) const {
  const upstream_id* best = nullptr;
  double best_score = 0;
  std::uint32_t ties = 0;
  for (const auto& [id, s] : upstreams_) {
    const int slots = Allowed(s, now);
    if (s.in_flight >= slots) continue;
    if (allowed && !allowed(id)) continue;
    const double score = Score(s, slots);
    if (best != nullptr && score > best_score) continue;
    ties = best != nullptr && score == best_score ? ties + 1 : 1;
    // Among equals each is as likely, or the first by name is always warmer.
    if (ties == 1 || random(ties) == 0) best = &id;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

void upstream_chooser::OnSent(const upstream_id& id, monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  NotePeak(found->second, now);
  ++found->second.in_flight;
  NotePeak(found->second, now);
}

void upstream_chooser::OnDone(const upstream_id& id, upstream_outcome outcome,
                              double slowness, monotonic_time now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  state& s = found->second;
  NotePeak(s, now);
  --s.in_flight;
  Judge(s, outcome, slowness, now);
  if (!s.owned && s.in_flight == 0) upstreams_.erase(found);
}

void upstream_chooser::Judge(state& s, upstream_outcome outcome,
                             double slowness, monotonic_time now) {
  if (outcome == upstream_outcome::kShedNotRun) {
    s.shed_at = now;
    s.shed_level = s.in_flight;
  }
  if (outcome == upstream_outcome::kLeavingNotRun) {
    s.leaving_until = now + kLeavingHold;
  }
  if (now - s.ramp_start >= options_.cold_start_ramp) s.ramping = false;
  if (IsNeutral(outcome, slowness)) return;
  if (s.ejected) {
    JudgeProbation(s, outcome, slowness, now);
    return;
  }
  Measure(s, outcome, slowness);
  // Crashes and refused connections are certain, and sending there again is
  // lost work. Slowness and errors are judged against the peers.
  if (s.hard_failures_in_row >= kHardFailuresToEject) {
    Eject(s, kFirstDown, kLongestDown, now);
  } else if (MayEjectForQuality() && IsWorseThanPeers(s)) {
    Eject(s, options_.first_ejection, options_.longest_ejection, now);
  }
}

void upstream_chooser::Measure(state& s, upstream_outcome outcome,
                               double slowness) {
  const bool failed = IsFailure(outcome, slowness);
  s.hard_failures_in_row =
      IsHardFailure(outcome) ? s.hard_failures_in_row + 1 : 0;
  ++s.samples;
  const double gain = std::max(kGain, 1.0 / s.samples);
  s.failure_rate += gain * ((failed ? 1.0 : 0.0) - s.failure_rate);
  // The time of an error says nothing of the time that work takes.
  const bool timed =
      !IsHardFailure(outcome) && outcome != upstream_outcome::kServerError;
  if (timed) s.slowness += gain * (slowness - s.slowness);
}

// Ejected and not yet back: one request at a time tells how it does.
void upstream_chooser::JudgeProbation(state& s, upstream_outcome outcome,
                                      double slowness, monotonic_time now) {
  if (now < s.ejected_until) return;  // Sent before it was ejected.
  const bool slow = slowness >= kSlowOverPeers;
  if (IsHardFailure(outcome)) {
    Eject(s, kFirstDown, kLongestDown, now);
    return;
  }
  if (IsFailure(outcome, slowness) || slow) {
    Eject(s, options_.first_ejection, options_.longest_ejection, now);
    return;
  }
  if (++s.probation_passed >= kProbation) Forgive(s, now);
}

bool upstream_chooser::IsWorseThanPeers(const state& s) const {
  if (s.samples < kSamplesToJudge) return false;
  std::vector<double> slowness;
  std::vector<double> failures;
  for (const auto& [id, peer] : upstreams_) {
    const bool counts = &peer != &s && peer.owned && !peer.ejected &&
                        peer.samples >= kSamplesToJudge;
    if (!counts) continue;
    slowness.push_back(peer.slowness);
    failures.push_back(peer.failure_rate);
  }
  if (slowness.empty()) return false;
  // One that has just started is slow by nature.
  const bool slow = s.slowness >= kSlowOverPeers * Median(std::move(slowness));
  if (slow && !s.ramping) return true;
  return s.failure_rate >= kFailureRateToEject &&
         s.failure_rate >= kFailuresOverPeers * Median(std::move(failures));
}

// Half of the servers stay, whatever their answers are like: the rest would
// drown under the load of those taken out.
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

void upstream_chooser::Eject(state& s, duration first, duration longest,
                             monotonic_time now) {
  const bool had_good_spell =
      !s.ejected && now - s.forgiven_at > options_.longest_ejection;
  if (had_good_spell) s.ejections = 0;
  const double factor = std::exp2(std::min(s.ejections, 16));
  const duration time = FromSeconds(ToSeconds(first) * factor);
  s.ejected = true;
  s.ejected_until = now + std::min(time, longest);
  s.probation_passed = 0;
  ++s.ejections;
}

void upstream_chooser::Forgive(state& s, monotonic_time now) {
  s.ejected = false;
  s.forgiven_at = now;
  s.ramping = true;
  s.ramp_start = now;
  s.hard_failures_in_row = 0;
  s.failure_rate = 0;
  s.slowness = 1;
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
  for (const auto& [id, s] : upstreams_) slots += Allowed(s, now);
  return slots;
}

int upstream_chooser::FreeSlots(monotonic_time now) const {
  int slots = 0;
  for (const auto& [id, s] : upstreams_) {
    slots += std::max(0, Allowed(s, now) - s.in_flight);
  }
  return slots;
}

int upstream_chooser::UsableUpstreams(monotonic_time now) const {
  int usable = 0;
  for (const auto& [id, s] : upstreams_) {
    if (TakesWork(s, now)) ++usable;
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
  const bool says_so = s.reported_at && s.report.leaving;
  return s.draining || says_so || now < s.leaving_until;
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
    // Ramps and shed servers grow step by step; a look a step is enough.
    const bool growing = s.ramping || s.shed_at;
    if (growing && Allowed(s, now) < s.capacity.slots) {
      consider(now + kShedStep);
    }
    if (s.reported_at) consider(*s.reported_at + options_.report_lifetime);
  }
  return next;
}

}  // namespace citron
