#include "soak/soak_ledger.h"

#include <fmt/format.h>

#include <algorithm>

namespace citron {

namespace {

// The workspace with a rate.
constexpr int kLimitedWorkspace = 0;

bool PromisesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

void soak_ledger::Break(const char* rule, const std::string& id,
                        const std::string& what) {
  broken_.push_back(fmt::format("{}: {} {}", rule, id, what));
}

bool soak_ledger::IsUndisturbed(int vm, monotonic_time at) const {
  return IsQuiet(troubles_, vm, at);
}

bool soak_ledger::IsCalm(int vm, monotonic_time at) const {
  return IsUndisturbed(vm, at) && IsQuiet(planned_, vm, at);
}

bool soak_ledger::IsQuiet(const std::map<int, trouble>& troubles, int vm,
                          monotonic_time at) const {
  const auto found = troubles.find(vm);
  if (found == troubles.end()) return true;
  return found->second.open == 0 &&
         at > found->second.last_end + bounds_.stable;
}

void soak_ledger::OnDisturbed(int vm, monotonic_time at) {
  ++troubles_[vm].open;
  troubles_[vm].last_end = at;
}

void soak_ledger::OnCalmAgain(int vm, monotonic_time at) {
  --troubles_[vm].open;
  troubles_[vm].last_end = at;
}

void soak_ledger::OnPlanned(int vm, monotonic_time at) {
  ++planned_[vm].open;
  planned_[vm].last_end = at;
}

void soak_ledger::OnPlannedEnd(int vm, monotonic_time at) {
  --planned_[vm].open;
  planned_[vm].last_end = at;
}

const soak_attempt* soak_ledger::Find(const std::string& id) const {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

void soak_ledger::OnSent(const soak_attempt& attempt) {
  attempts_[attempt.id] = attempt;
}

void soak_ledger::OnEnded(const soak_attempt& attempt) {
  attempts_[attempt.id] = attempt;
  ++statuses_[attempt.status];
  if (attempt.status == 200) ++served_;
  if (attempt.status == 200 && !attempt.is_own_answer) {
    Break("MIXED", attempt.id, "got a success that isn't its own whole answer");
  }
  const bool refused_for_good =
      attempt.status == 401 || attempt.status == 403 || attempt.status == 404;
  const bool always_allowed =
      !attempt.route_is_new && !withdrawing_.contains(attempt.key);
  if (refused_for_good && always_allowed) {
    Break("DENIED", attempt.id,
          fmt::format("got {} though it is allowed", attempt.status));
  }
  const bool in_force = attempt.route_is_new && route_added_ &&
                        attempt.sent > *route_added_ + bounds_.config;
  if (attempt.status == 404 && in_force && IsCalm(attempt.vm, attempt.sent) &&
      IsCalm(kStore, attempt.sent)) {
    Break("CONFIG", attempt.id, "got 404 on a route that is in force");
  }
  CheckLost(attempt);
  const auto leaving = leaving_answers_.find(attempt.id);
  if (leaving != leaving_answers_.end() && attempt.is_own_answer) {
    word& said = words_[leaving->second][attempt.vm];
    if (!said.leaving_since) said.leaving_since = attempt.ended;
  }
  if (attempt.once && PromisesNotRun(attempt.status) &&
      runs_.contains(attempt.id)) {
    Break("REFUSED", attempt.id,
          fmt::format("got {} and has run", attempt.status));
  }
}

// The upstream's whole answer was there, and the caller's connection ended well
// before its deadline.
void soak_ledger::CheckLost(const soak_attempt& attempt) {
  constexpr duration kEarly = std::chrono::milliseconds(1500);
  if (attempt.status != 0 || !attempt.was_sent) return;
  if (!answered_.contains(attempt.id)) return;
  if (*attempt.ended - attempt.sent > kEarly) return;
  for (const int part : {attempt.vm, kWays}) {
    if (!IsUndisturbed(part, attempt.sent)) return;
  }
  Break("LOST", attempt.id,
        fmt::format("was cut at VM {} after it was answered", attempt.vm));
}

void soak_ledger::OnRun(const soak_run& run) {
  std::vector<soak_run>& runs = runs_[run.id];
  runs.push_back(run);
  const soak_attempt* attempt = Find(run.id);
  if (attempt == nullptr) {
    return Break("UNASKED", run.id, "ran though no caller sent it");
  }
  if (run.path != attempt->path || !run.body_is_whole) {
    Break("UNASKED", run.id, "ran with another path or body: " + run.path);
  }
  if (run.has_key) Break("UNASKED", run.id, "brought the key to an upstream");
  if (run.workspace != fmt::format("w{}", attempt->workspace)) {
    Break("UNASKED", run.id, "ran for workspace " + run.workspace);
  }
  if (attempt->once && runs.size() > 1) Break("TWICE", run.id, "ran twice");
  if (static_cast<int>(runs.size()) > bounds_.attempts) {
    Break("BUDGET", run.id, fmt::format("ran {} times", runs.size()));
  }
  if (attempt->once && attempt->ended && PromisesNotRun(attempt->status)) {
    Break("REFUSED", run.id, "ran after it was answered as not run");
  }
  const auto withdrawn = withdrawn_.find(attempt->key);
  if (withdrawn != withdrawn_.end() &&
      attempt->sent > withdrawn->second + bounds_.revocation) {
    Break("CONFIG", run.id, "ran with a key that was withdrawn");
  }
  if (attempt->workspace == kLimitedWorkspace) limited_runs_.push_back(run.at);
  const bool calm = IsCalm(attempt->vm, run.at) && IsCalm(kStore, run.at);
  const auto leaving = leaving_.find(run.upstream);
  if (calm && leaving != leaving_.end() &&
      run.at > leaving->second + bounds_.drain &&
      attempt->sent > leaving->second + bounds_.drain) {
    Break("DRAIN", run.id, "reached " + run.upstream + ", which leaves");
  }
  const auto closed = closed_.find(run.zone);
  if (calm && closed != closed_.end() &&
      run.at > closed->second + bounds_.evacuation) {
    Break("EVAC", run.id, "reached a closed zone");
  }
}

soak_ledger::word* soak_ledger::WordTo(const std::string& upstream,
                                       const std::string& id) {
  const soak_attempt* attempt = Find(id);
  return attempt == nullptr ? nullptr : &words_[upstream][attempt->vm];
}

void soak_ledger::OnPauseAsked(const std::string& upstream,
                               const std::string& id, monotonic_time at,
                               duration length) {
  word* said = WordTo(upstream, id);
  if (said != nullptr) said->pauses.push_back({at, at + length});
}

void soak_ledger::OnSaidLeaving(const std::string& upstream,
                                const std::string& id) {
  leaving_answers_[id] = upstream;
}

void soak_ledger::OnUpstreamEnded(const std::string& upstream) {
  words_.erase(upstream);
  std::erase_if(leaving_answers_, [&upstream](const auto& answer) {
    return answer.second == upstream;
  });
}

void soak_ledger::OnVmInterrupted(int vm) {
  for (auto& [upstream, words] : words_) words.erase(vm);
}

void soak_ledger::OnReached(const std::string& upstream, const std::string& id,
                            monotonic_time at) {
  word* said = WordTo(upstream, id);
  if (said == nullptr) return;
  const soak_attempt& attempt = *Find(id);
  std::erase_if(said->pauses, [at](const pause& p) { return at >= p.until; });
  const bool is_calm = IsCalm(attempt.vm, at) && IsUndisturbed(kWays, at);
  for (pause& p : said->pauses) {
    if (!is_calm || at < p.asked_at + bounds_.pause_settling) continue;
    if (++p.reached != bounds_.in_a_pause + 1) continue;
    Break("BUDGET", id,
          fmt::format("reached {} from VM {} in its pause", upstream,
                      attempt.vm));
  }
  if (said->leaving_since &&
      attempt.sent > *said->leaving_since + bounds_.drain) {
    Break("DRAIN", id,
          fmt::format("reached {}, which told VM {} that it leaves", upstream,
                      attempt.vm));
  }
}

void soak_ledger::OnKeyWithdrawn(const std::string& key, monotonic_time at) {
  withdrawn_.emplace(key, at);
}

// The first word of it counts; later versions hold the route as well.
void soak_ledger::OnRouteAdded(monotonic_time at) {
  if (!route_added_) route_added_ = at;
}

void soak_ledger::OnLeaving(const std::string& upstream, monotonic_time at) {
  leaving_[upstream] = at;
}

void soak_ledger::CheckQuota() {
  const duration window = FromSeconds(5);
  const double allowed = (bounds_.rate_per_s * 5 + bounds_.burst) * 1.1 + 20;
  std::size_t first = 0;
  std::size_t most = 0;
  for (std::size_t i = 0; i < limited_runs_.size(); ++i) {
    while (limited_runs_[i] - limited_runs_[first] >= window) ++first;
    most = std::max(most, i - first + 1);
  }
  if (static_cast<double>(most) > allowed) {
    Break("QUOTA", "w0",
          fmt::format("ran {} in 5 s, {:.0f} are allowed", most, allowed));
  }
}

void soak_ledger::CheckRecovery(monotonic_time calm_from) {
  int asked = 0;
  int served = 0;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.sent < calm_from) continue;
    if (attempt.workspace == kLimitedWorkspace) continue;
    if (withdrawing_.contains(attempt.key)) continue;
    ++asked;
    if (attempt.status == 200) ++served;
  }
  if (served * 10 < asked * 9) {
    Break("RECOVER", "end",
          fmt::format("{} of {} served after all is calm", served, asked));
  }
}

void soak_ledger::CheckAll(monotonic_time calm_from) {
  CheckQuota();
  CheckRecovery(calm_from);
}

std::string soak_ledger::Summary() const {
  std::string text = fmt::format("{} requests", attempts_.size());
  for (const auto& [status, count] : statuses_) {
    text += fmt::format(", {} {}", count,
                        status == 0 ? std::string("without an answer")
                                    : std::to_string(status));
  }
  return text;
}

}  // namespace citron
