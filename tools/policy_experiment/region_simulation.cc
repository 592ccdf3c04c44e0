#include "region_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntriesOfZone = 4;
constexpr duration kReportEvery = std::chrono::seconds(1);
constexpr duration kReportLag = std::chrono::milliseconds(200);
constexpr duration kServiceTime = std::chrono::milliseconds(40);
constexpr duration kPatience = std::chrono::milliseconds(500);

const service_id& Service() {
  static const service_id kId("yard-desk");
  return kId;
}

const region_id& Region() {
  static const region_id kId("santiago");
  return kId;
}

class placement_choice : public zone_choice {
 public:
  placement_choice(placement_options options, std::uint64_t seed)
      : placement_(std::move(options), seed) {}
  std::optional<zone_id> Choose(const placement_request& request,
                                monotonic_time now) override {
    const placement_result result = placement_.Choose(request, now);
    const auto* choice = std::get_if<placement_decision>(&result);
    if (choice == nullptr) return std::nullopt;
    return choice->zone;
  }
  void OnReport(const zone_report& report) override {
    placement_.OnReport(report);
  }
  void OnSent(const zone_id& zone, monotonic_time now) override {
    placement_.OnSent(Service(), zone, now);
  }
  void OnDone(const zone_id& zone, monotonic_time now) override {
    placement_.OnDone(Service(), zone, now);
  }
  void OnRefused(const zone_id& zone, monotonic_time now) override {
    placement_.OnRefused(Service(), zone, now);
  }

 private:
  placement placement_;
};

class own_zone_choice : public zone_choice {
 public:
  explicit own_zone_choice(zone_id own) : own_(std::move(own)) {}
  std::optional<zone_id> Choose(const placement_request& request,
                                monotonic_time) override {
    if (!request.excluded.empty()) return std::nullopt;
    return own_;
  }

 private:
  zone_id own_;
};

class best_report_choice : public zone_choice {
 public:
  std::optional<zone_id> Choose(const placement_request& request,
                                monotonic_time) override {
    std::optional<zone_id> best;
    double best_load = 0;
    for (const auto& [zone, report] : reports_) {
      const auto& tried = request.excluded;
      const bool is_tried =
          std::find(tried.begin(), tried.end(), zone) != tried.end();
      const double load =
          1.0 * (report.in_flight + report.queued) / std::max(1, report.slots);
      if (is_tried || (best && load >= best_load)) continue;
      best = zone;
      best_load = load;
    }
    return best;
  }
  void OnReport(const zone_report& report) override {
    reports_[report.zone] = report;
  }

 private:
  std::map<zone_id, zone_report> reports_;
};

}  // namespace

std::unique_ptr<zone_choice> MakePlacement(const zone_id& own,
                                           std::uint64_t seed) {
  placement_options options;
  options.zone = own;
  options.region = Region();
  return std::make_unique<placement_choice>(options, seed);
}

std::unique_ptr<zone_choice> MakeOwnZoneOnly(const zone_id& own,
                                             std::uint64_t) {
  return std::make_unique<own_zone_choice>(own);
}

std::unique_ptr<zone_choice> MakeBestReport(const zone_id&, std::uint64_t) {
  return std::make_unique<best_report_choice>();
}

region_simulation::region_simulation(const std::vector<zone_load>& zones,
                                     const zone_choice_maker& maker,
                                     std::uint64_t seed)
    : random_(seed) {
  scheduler_options options;
  options.expected_times["lookup"] = kServiceTime;
  for (const zone_load& load : zones) {
    const zone_id id("zone-" + std::to_string(zones_.size()));
    zones_.push_back({id, load, service_scheduler(options, seed + 1)});
    std::vector<upstream_capacity> servers;
    for (int i = 0; i < load.servers; ++i) {
      servers.push_back({upstream_id("server-" + std::to_string(i)), 4});
    }
    zones_.back().scheduler.SetUpstreams(servers, Now());
    for (std::size_t i = 0; i < kEntriesOfZone; ++i) {
      entries_.push_back({maker(id, seed + 100 + entries_.size())});
    }
  }
  result_.offered.resize(zones.size());
  result_.good.resize(zones.size());
}

double region_simulation::Exponential() {
  return -std::log(std::ldexp(random_() + 0.5, -32));
}

region_result region_simulation::Run(duration time, duration skip) {
  end_ = time;
  skip_ = skip;
  Report();
  loop_.At(kReportLag, [this] {
    for (std::size_t z = 0; z < zones_.size(); ++z) NextArrival(z);
  });
  loop_.Run();
  return std::move(result_);
}

void region_simulation::NextArrival(std::size_t zone) {
  const double rate = zones_[zone].load.rate_per_s;
  const duration at = loop_.Elapsed() + FromSeconds(Exponential() / rate);
  if (at > end_) return;
  loop_.At(at, [this, zone] {
    Arrive(zone);
    NextArrival(zone);
  });
}

void region_simulation::Arrive(std::size_t zone) {
  request_state r;
  r.home = zone;
  r.entry = zone * kEntriesOfZone + random_(kEntriesOfZone);
  r.arrived = loop_.Elapsed();
  r.service =
      FromSeconds(ToSeconds(kServiceTime) * (0.5 + 0.5 * Exponential()));
  r.place.service = Service();
  r.place.request_class = "lookup";
  r.place.deadline = Now() + kPatience;
  entries_[r.entry].retries.OnRequest();
  if (Counts(r)) ++result_.offered[zone];
  Ask(std::move(r));
}

void region_simulation::Ask(request_state r) {
  entry_state& entry = entries_[r.entry];
  const auto zone = entry.choice->Choose(r.place, Now());
  if (!zone) {
    if (Counts(r)) ++result_.refused;
    return;
  }
  const auto found =
      std::find_if(zones_.begin(), zones_.end(),
                   [&](const zone_state& z) { return z.id == *zone; });
  r.zone = found - zones_.begin();
  if (Counts(r)) ++result_.asked;
  entry.choice->OnSent(*zone, Now());
  scheduler_request request;
  request.id = request_id(std::to_string(next_request_++));
  request.workspace = workspace_id("depot-" + std::to_string(r.home));
  request.fingerprint = next_request_;
  request.request_class = "lookup";
  request.idempotent = true;
  request.deadline = r.place.deadline;
  const std::size_t index = r.zone;
  requests_[request.id] = std::move(r);
  Do(index, found->scheduler.OnRequest(request, Now()));
}

void region_simulation::Do(std::size_t zone,
                           const service_scheduler::actions& actions) {
  for (const scheduler_action& action : actions) {
    if (const auto* s = std::get_if<send_action>(&action)) Start(zone, s->id);
    if (const auto* r = std::get_if<refuse_action>(&action)) Refused(r->id);
  }
  const auto timer = zones_[zone].scheduler.NextTimer();
  if (!timer) return;
  loop_.At(timer->time_since_epoch(), [this, zone, at = *timer] {
    service_scheduler& scheduler = zones_[zone].scheduler;
    if (scheduler.NextTimer() == at) Do(zone, scheduler.OnTimer(Now()));
  });
}

void region_simulation::Start(std::size_t, const request_id& id) {
  const request_state& r = requests_.at(id);
  const duration end = loop_.Elapsed() + r.service;
  const duration deadline = r.place.deadline.time_since_epoch();
  const bool in_time = end <= deadline;
  loop_.At(std::min(end, deadline), [this, id, in_time] { End(id, in_time); });
}

void region_simulation::End(const request_id& id, bool in_time) {
  const request_state r = requests_.at(id);
  requests_.erase(id);
  entries_[r.entry].choice->OnDone(zones_[r.zone].id, Now());
  if (Counts(r) && in_time) {
    ++result_.good[r.home];
    result_.latency_ms.push_back(ToMilliseconds(loop_.Elapsed() - r.arrived));
  } else if (Counts(r)) {
    ++result_.late;
  }
  const auto outcome =
      in_time ? upstream_outcome::kAnswered : upstream_outcome::kTimedOut;
  Do(r.zone, zones_[r.zone].scheduler.OnOutcome(id, outcome, Now()));
}

void region_simulation::Refused(const request_id& id) {
  request_state r = std::move(requests_.at(id));
  requests_.erase(id);
  entry_state& entry = entries_[r.entry];
  const zone_id& zone = zones_[r.zone].id;
  entry.choice->OnRefused(zone, Now());
  r.place.excluded.push_back(zone);
  if (r.place.excluded.size() > 1 || !entry.retries.TryTake()) {
    if (Counts(r)) ++result_.refused;
    return;
  }
  loop_.At(loop_.Elapsed(), [this, r] { Ask(r); });
}

void region_simulation::Report() {
  for (const zone_state& z : zones_) {
    const scheduler_load load = z.scheduler.Load(Now());
    zone_report report;
    report.zone = z.id;
    report.region = Region();
    report.service = Service();
    report.slots = load.usable_slots;
    report.in_flight = load.in_flight;
    report.queued = load.queued;
    report.expected_wait = load.expected_wait;
    report.mean_service_time = load.mean_service_time;
    report.received_at = Now() + kReportLag;
    loop_.At(loop_.Elapsed() + kReportLag, [this, report] {
      for (entry_state& entry : entries_) entry.choice->OnReport(report);
    });
  }
  if (loop_.Elapsed() + kReportEvery > end_) return;
  loop_.At(loop_.Elapsed() + kReportEvery, [this] { Report(); });
}

}  // namespace citron
