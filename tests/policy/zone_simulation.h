#ifndef CITRON_TESTS_POLICY_ZONE_SIMULATION_H_
#define CITRON_TESTS_POLICY_ZONE_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "citron/policy/service_scheduler.h"
#include "policy/event_loop.h"

namespace citron {

// Decides which upstream gets each request: the scheduler, or a baseline that
// it is compared with.
class dispatch_policy {
 public:
  using actions = service_scheduler::actions;
  virtual ~dispatch_policy() = default;
  virtual actions OnRequest(const scheduler_request&, monotonic_time now) = 0;
  virtual actions OnOutcome(const request_id&, upstream_outcome,
                            monotonic_time now) = 0;
  virtual actions OnReport(const upstream_id&, const upstream_report&,
                           monotonic_time) {
    return {};
  }
  virtual actions OnTimer(monotonic_time) { return {}; }
  virtual std::optional<monotonic_time> NextTimer() const { return {}; }
};

class scheduler_policy : public dispatch_policy {
 public:
  scheduler_policy(scheduler_options options,
                   const std::vector<upstream_capacity>& upstreams,
                   std::uint64_t seed)
      : scheduler_(std::move(options), seed) {
    scheduler_.SetUpstreams(upstreams, monotonic_time());
  }
  actions OnRequest(const scheduler_request& r, monotonic_time now) override {
    return scheduler_.OnRequest(r, now);
  }
  actions OnOutcome(const request_id& id, upstream_outcome outcome,
                    monotonic_time now) override {
    return scheduler_.OnOutcome(id, outcome, now);
  }
  actions OnReport(const upstream_id& id, const upstream_report& report,
                   monotonic_time now) override {
    return scheduler_.OnReport(id, report, now);
  }
  actions OnTimer(monotonic_time now) override {
    return scheduler_.OnTimer(now);
  }
  std::optional<monotonic_time> NextTimer() const override {
    return scheduler_.NextTimer();
  }
  service_scheduler& Scheduler() { return scheduler_; }

 private:
  service_scheduler scheduler_;
};

// Requests of one workspace and class that arrive as a Poisson process.
struct simulated_load {
  workspace_id workspace;
  double weight = 1;
  std::string request_class = "lookup";
  duration service_time{};  // Mean.
  bool long_running = false;
  bool idempotent = true;
  duration request_timeout{};
  double rate_per_s = 0;
  double burst_factor = 1;  // Multiplies the rate during the burst.
  duration burst_from{};
  duration burst_to{};
  int max_attempts = 1;  // Most attempts of a caller whose request is rejected.
  duration ask_again{};  // Pause between attempts; 0: until the refusal's time.
  bool crashes_upstream =
      false;  // Identical requests; each crashes its upstream.
};

struct simulated_upstream {
  upstream_capacity capacity;
  double slowness = 1;
  bool fails_fast = false;        // Returns errors after 1 ms.
  bool queues_when_full = false;  // If false, refuses requests when full.
  int foreign_work = 0;           // Slots taken by other callers.
  bool says_idle = false;  // Reports itself idle and ready, whatever its state.
};

struct workspace_result {
  int offered = 0;           // Callers.
  int answered_in_time = 0;  // Answered in time.
  int callers_rejected = 0;  // Callers that gave up after a rejection.
  int callers_failed = 0;  // Callers with a request timed out, failed or lost.
  std::vector<double> latency_ms;
};

struct simulation_result {
  std::map<workspace_id, workspace_result> workspaces;
  std::map<std::string, std::vector<double>> latency_ms;  // By class.
  std::map<refusal_reason, int> refusals;
  std::map<upstream_id, int> good_by_upstream;
  int requests_to_owners =
      0;  // Requests to the owners, including repeated attempts.
  int sends = 0;
  int sheds = 0;
  int crashes = 0;
  int refused_after_deadline = 0;
  // Most requests over the slots of an upstream, before shedding.
  int most_over_slots = 0;

  int AnsweredInTime() const {
    int sum = 0;
    for (const auto& [id, w] : workspaces) sum += w.answered_in_time;
    return sum;
  }
  int Offered() const {
    int sum = 0;
    for (const auto& [id, w] : workspaces) sum += w.offered;
    return sum;
  }
};

inline double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(fraction * (values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[at];
}

// Returns the weighted fair shares of a capacity. Workspaces that want less
// than their share leave the rest to the others.
inline std::map<workspace_id, double> FairShares(
    const std::map<workspace_id, std::pair<double, double>>& want_and_weight,
    double capacity) {
  std::map<workspace_id, double> shares;
  auto unsatisfied = want_and_weight;
  while (!unsatisfied.empty()) {
    double weights = 0;
    for (const auto& [id, w] : unsatisfied) weights += w.second;
    const double remaining = capacity;
    const auto before = unsatisfied.size();
    for (auto at = unsatisfied.begin(); at != unsatisfied.end();) {
      const auto& [want, weight] = at->second;
      if (want > remaining * weight / weights) {
        ++at;
        continue;
      }
      shares[at->first] = want;
      capacity -= want;
      at = unsatisfied.erase(at);
    }
    if (unsatisfied.size() < before) continue;
    for (const auto& [id, w] : unsatisfied)
      shares[id] = remaining * w.second / weights;
    break;
  }
  return shares;
}

// Discrete-event simulation of one service of one zone: its callers, owners and
// upstreams. Each attempt of a caller goes to a random owner.
class zone_simulation {
 public:
  zone_simulation(std::vector<std::unique_ptr<dispatch_policy>> owners,
                  const std::vector<simulated_upstream>& upstreams,
                  std::uint64_t seed)
      : owners_(std::move(owners)), random_(seed) {
    for (const simulated_upstream& u : upstreams) {
      upstreams_[u.capacity.id].model = u;
    }
  }

  void SetReports(duration every, duration lag) {
    loop_.At(every, [this, every, lag] { Report(every, lag); });
  }
  void AddLoad(const simulated_load& load) {
    loads_.push_back(std::make_unique<simulated_load>(load));
    NextArrival(*loads_.back(), random_());
  }
  // Callers that arrive before `skip` are simulated but counted only in
  // `crashes`, `refused_after_deadline` and `most_over_slots`.
  simulation_result Run(duration time, duration skip = {}) {
    skip_ = skip;
    end_ = time;
    loop_.Run();
    return std::move(result_);
  }

 private:
  struct caller {
    const simulated_load* load = nullptr;
    scheduler_request request;
    duration arrived{};
    duration service{};
    std::size_t owner = 0;
    int attempts = 0;
    int generation = 0;  // End events of earlier generations are ignored.
    upstream_id upstream;
  };
  struct upstream_state {
    simulated_upstream model;
    std::vector<request_id> running;
    std::vector<request_id> queued;
    duration down_until{};
  };

  monotonic_time Now() const { return loop_.Now(); }
  double UniformVariate() { return std::ldexp(random_() + 0.5, -32); }
  double ExponentialVariate() { return -std::log(UniformVariate()); }

  void NextArrival(const simulated_load& load, std::uint32_t salt) {
    // Arrivals are drawn at the highest rate and dropped at random while the
    // rate is lower, so that the rate changes at once when a burst starts.
    const double peak = load.rate_per_s * std::max(1.0, load.burst_factor);
    const duration at =
        loop_.Elapsed() + FromSeconds(ExponentialVariate() / peak);
    if (end_ != duration() && at > end_) return;
    loop_.At(at, [this, &load, salt] {
      if (loop_.Elapsed() > end_) return;
      const bool burst =
          load.burst_from <= loop_.Elapsed() && loop_.Elapsed() < load.burst_to;
      const double top = std::max(1.0, load.burst_factor);
      const double fraction = (burst ? load.burst_factor : 1.0) / top;
      if (UniformVariate() < fraction) Arrive(load);
      NextArrival(load, salt);
    });
  }

  void Arrive(const simulated_load& load) {
    caller c;
    c.load = &load;
    c.arrived = loop_.Elapsed();
    c.service = FromSeconds(ToSeconds(load.service_time) *
                            (0.5 + 0.5 * ExponentialVariate()));
    c.request = {.workspace = load.workspace,
                 .weight = load.weight,
                 .fingerprint = load.crashes_upstream ? 666 : random_(),
                 .request_class = load.request_class,
                 .long_running = load.long_running,
                 .idempotent = load.idempotent,
                 .deadline = Now() + load.request_timeout};
    if (IsCounted(c)) ++result_.workspaces[load.workspace].offered;
    SendToOwner(std::move(c));
  }

  bool IsCounted(const caller& c) const { return c.arrived >= skip_; }

  void SendToOwner(caller c) {
    ++c.attempts;
    if (IsCounted(c)) ++result_.requests_to_owners;
    c.request.id = request_id(std::to_string(next_request_++));
    c.request.arrived_at = Now();
    c.owner = random_(static_cast<std::uint32_t>(owners_.size()));
    const scheduler_request request = c.request;
    const std::size_t owner = c.owner;
    callers_[request.id] = std::move(c);
    Apply(owner, owners_[owner]->OnRequest(request, Now()));
  }

  void Apply(std::size_t owner, const dispatch_policy::actions& actions) {
    for (const scheduler_action& action : actions) {
      if (const auto* send = std::get_if<send_action>(&action)) Send(*send);
      if (const auto* r = std::get_if<refuse_action>(&action))
        HandleRefusal(*r);
    }
    const auto timer = owners_[owner]->NextTimer();
    if (!timer) return;
    loop_.At(timer->time_since_epoch(), [this, owner, at = *timer] {
      const auto still = owners_[owner]->NextTimer();
      if (still && *still == at) Apply(owner, owners_[owner]->OnTimer(Now()));
    });
  }

  void HandleRefusal(const refuse_action& refusal) {
    const auto found = callers_.find(refusal.id);
    caller c = std::move(found->second);
    callers_.erase(found);
    if (Now() > c.request.deadline) ++result_.refused_after_deadline;
    if (IsCounted(c)) ++result_.refusals[refusal.reason];
    duration again = refusal.retry_at.time_since_epoch();
    if (c.load->ask_again > duration())
      again = loop_.Elapsed() + c.load->ask_again;
    const bool in_time = monotonic_time(again) < c.request.deadline;
    if (c.attempts < c.load->max_attempts && in_time) {
      loop_.At(again, [this, c] { SendToOwner(c); });
    } else if (IsCounted(c)) {
      ++result_.workspaces[c.load->workspace].callers_rejected;
    }
  }

  void Send(const send_action& send) {
    caller& c = callers_.at(send.id);
    if (IsCounted(c)) ++result_.sends;
    upstream_state& u = upstreams_.at(send.upstream);
    c.upstream = send.upstream;
    ++c.generation;
    if (loop_.Elapsed() < u.down_until) {
      FinishAt(loop_.Elapsed(), send.id,
               upstream_outcome::kConnectFailedNotRun);
      return;
    }
    const int busy = static_cast<int>(u.running.size()) + u.model.foreign_work;
    const bool full = busy >= u.model.capacity.slots;
    result_.most_over_slots =
        std::max(result_.most_over_slots, busy + 1 - u.model.capacity.slots);
    if (full && !u.model.queues_when_full) {
      if (IsCounted(c)) ++result_.sheds;
      FinishAt(loop_.Elapsed(), send.id, upstream_outcome::kShedNotRun);
      return;
    }
    const duration deadline = c.request.deadline.time_since_epoch();
    if (full) {
      u.queued.push_back(send.id);
      FinishAt(deadline, send.id, upstream_outcome::kTimedOut);
      return;
    }
    Start(u, send.id);
  }

  void Start(upstream_state& u, const request_id& id) {
    caller& c = callers_.at(id);
    u.running.push_back(id);
    if (c.load->crashes_upstream) {
      loop_.At(loop_.Elapsed() + std::chrono::milliseconds(20),
               [this, &u, id] { Crash(u, id); });
      return;
    }
    if (u.model.fails_fast) {
      FinishAt(loop_.Elapsed() + std::chrono::milliseconds(1), id,
               upstream_outcome::kServerError);
      return;
    }
    const duration end =
        loop_.Elapsed() + FromSeconds(ToSeconds(c.service) * u.model.slowness);
    const duration deadline = c.request.deadline.time_since_epoch();
    const bool in_time = end <= deadline;
    FinishAt(
        std::min(end, deadline), id,
        in_time ? upstream_outcome::kAnswered : upstream_outcome::kTimedOut);
  }

  void Crash(upstream_state& u, const request_id& id) {
    const auto& r = u.running;
    if (std::find(r.begin(), r.end(), id) == r.end()) return;
    ++result_.crashes;
    u.down_until = loop_.Elapsed() + std::chrono::seconds(3);
    const std::vector<request_id> lost = u.running;
    for (const request_id& l : lost) {
      FinishAt(loop_.Elapsed(), l, upstream_outcome::kConnectionLost);
    }
  }

  void FinishAt(duration at, const request_id& id, upstream_outcome outcome) {
    loop_.At(at, [this, id, outcome, generation = callers_.at(id).generation] {
      const auto found = callers_.find(id);
      if (found != callers_.end() && found->second.generation == generation) {
        Finish(id, outcome);
      }
    });
  }

  void Finish(const request_id& id, upstream_outcome outcome) {
    caller& c = callers_.at(id);
    upstream_state& u = upstreams_.at(c.upstream);
    std::erase(u.running, id);
    std::erase(u.queued, id);
    ++c.generation;
    const std::size_t owner = c.owner;
    const int generation = c.generation;
    if (outcome == upstream_outcome::kAnswered) RecordAnswer(c);
    const auto actions = owners_[owner]->OnOutcome(id, outcome, Now());
    Apply(owner, actions);
    const auto left = callers_.find(id);
    const bool final = left != callers_.end() &&
                       left->second.generation == generation &&
                       !IsNotRun(outcome);
    if (final) {
      const caller& done = left->second;
      const bool failed = outcome != upstream_outcome::kAnswered;
      if (failed && IsCounted(done))
        ++result_.workspaces[done.load->workspace].callers_failed;
      callers_.erase(left);
    }
    StartQueued(u);
  }

  void StartQueued(upstream_state& u) {
    while (!u.queued.empty() &&
           static_cast<int>(u.running.size()) + u.model.foreign_work <
               u.model.capacity.slots) {
      const request_id next = u.queued.front();
      u.queued.erase(u.queued.begin());
      ++callers_.at(next).generation;
      Start(u, next);
    }
  }

  void RecordAnswer(const caller& c) {
    if (!IsCounted(c)) return;
    workspace_result& w = result_.workspaces[c.load->workspace];
    ++w.answered_in_time;
    ++result_.good_by_upstream[c.upstream];
    const double ms = ToMilliseconds(loop_.Elapsed() - c.arrived);
    w.latency_ms.push_back(ms);
    result_.latency_ms[c.load->request_class].push_back(ms);
  }

  void Report(duration every, duration lag) {
    for (const auto& [id, u] : upstreams_) {
      upstream_report report;
      if (!u.model.says_idle) {
        report.in_flight =
            static_cast<int>(u.running.size()) + u.model.foreign_work;
        report.queued = static_cast<int>(u.queued.size());
      }
      report.ready = loop_.Elapsed() >= u.down_until || u.model.says_idle;
      loop_.At(loop_.Elapsed() + lag, [this, id = id, report] {
        for (std::size_t o = 0; o < owners_.size(); ++o) {
          Apply(o, owners_[o]->OnReport(id, report, Now()));
        }
      });
    }
    if (loop_.Elapsed() + every > end_) return;
    loop_.At(loop_.Elapsed() + every,
             [this, every, lag] { Report(every, lag); });
  }

  std::vector<std::unique_ptr<dispatch_policy>> owners_;
  std::map<upstream_id, upstream_state> upstreams_;
  std::vector<std::unique_ptr<simulated_load>> loads_;
  std::unordered_map<request_id, caller> callers_;
  event_loop loop_;
  std::uint64_t next_request_ = 0;
  pcg32 random_;
  duration end_{};
  duration skip_{};
  simulation_result result_;
};

// Upstreams of Tarimas' yard-desk service in one of its larger zones: servers
// with 4 slots each.
inline std::vector<simulated_upstream> YardDeskUpstreams(int servers = 4) {
  std::vector<simulated_upstream> upstreams;
  for (int i = 0; i < servers; ++i) {
    simulated_upstream u;
    u.capacity.id = upstream_id("yard-" + std::to_string(i));
    u.capacity.slots = 4;
    u.capacity.max_connections = 350;
    upstreams.push_back(u);
  }
  return upstreams;
}

inline std::vector<upstream_capacity> Capacities(
    const std::vector<simulated_upstream>& upstreams) {
  std::vector<upstream_capacity> capacities;
  for (const auto& u : upstreams) capacities.push_back(u.capacity);
  return capacities;
}

// Loads of eight workspaces, a few of them large, that together send
// `rate_per_s` look-ups of pallet lots. Weights are proportional to the rates.
inline std::vector<simulated_load> LookupLoads(double rate_per_s,
                                               duration patience) {
  std::vector<simulated_load> loads;
  // The sum is 23.
  const std::vector<double> relative_rates = {8, 6, 4, 1, 1, 1, 1, 1};
  for (std::size_t i = 0; i < relative_rates.size(); ++i) {
    simulated_load load;
    load.workspace = workspace_id("depot-" + std::to_string(i));
    load.weight = relative_rates[i];
    load.service_time = std::chrono::milliseconds(40);
    load.request_timeout = patience;
    load.rate_per_s = rate_per_s * relative_rates[i] / 23;
    loads.push_back(load);
  }
  return loads;
}

}  // namespace citron

#endif  // CITRON_TESTS_POLICY_ZONE_SIMULATION_H_
