#ifndef CITRON_TOOLS_LIMITS_EXPERIMENT_SIMULATED_FLEET_H_
#define CITRON_TOOLS_LIMITS_EXPERIMENT_SIMULATED_FLEET_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "citron/protocol/admission.h"
#include "citron/protocol/rate_limiter.h"
#include "citron/protocol/share_holder.h"

namespace citron {

struct fleet_options {
  int vms = 10;
  int zones = 6;
  int zones_per_region = 2;
  int loops = 1;
  bool loans = true;
  bool homes = false;  // Of small workspaces.
  // How long a request without a token waits for one; 0: it is refused.
  duration longest_wait{};
  token_home_settings home;
  // What views lag behind, at most.
  duration view_lag{};
  share_settings shares;
  loan_settings loan;
  double loss = 0;    // Of messages between entries.
  double repeat = 0;  // Of the same.
  double lost_store_answers = 0;
  double clock_drift = 1e-4;
  duration zone_latency = FromMilliseconds(0.5);
  duration region_latency = FromMilliseconds(35);
  std::uint64_t seed = 1;
};

// What a workspace got, against a single bucket for the whole fleet.
struct workspace_record {
  double rate = 0;
  double burst = 0;
  std::uint64_t arrivals = 0;
  std::uint64_t admitted = 0;
  // Refused though a single bucket that sees every request would have had a
  // token.
  std::uint64_t refused_in_rate = 0;
  std::uint64_t in_rate = 0;  // Admitted by the single bucket.
  std::map<int, std::uint64_t> arrivals_by_second;
  std::map<int, std::uint64_t> refused_by_second;
  // The least of burst + rate * t - admitted over all windows so far;
  // negative: the limit was broken.
  double least_slack = 1e18;

 private:
  friend class simulated_fleet;
  double bound_tokens_ = 0;
  double ideal_tokens_ = 0;
  duration at_{};
};

// Many VMs of the limits' protocols in one process, with a simulated clock for
// each VM, messages that are late, lost and repeated, and a store that can be
// away. Time runs only in Run.
class simulated_fleet {
 public:
  explicit simulated_fleet(const fleet_options& options)
      : options_(options), random_(options.seed) {
    for (int i = 0; i < options.vms; ++i) AddVm();
  }

  void AddVm() {
    const int index = static_cast<int>(vms_.size());
    auto v = std::make_unique<vm>();
    v->id = vm_id("vm" + std::to_string(1000 + index));
    v->zone = index % options_.zones;
    v->clock_offset = std::chrono::seconds(random_() % 100'000 + 1);
    v->clock_rate = 1 + options_.clock_drift * (Uniform() * 2 - 1);
    v->entries.resize(options_.loops);
    vms_.push_back(std::move(v));
    StartVm(index);
  }

  // --- Contracts ---

  // Reaches each entry after up to `spread`.
  void SetContract(const workspace_id& id, double rate, double burst,
                   duration spread = {}) {
    contracts_[id] = {rate, burst};
    records_.try_emplace(id);
    for (int i = 0; i < Size(); ++i) {
      for (int loop = 0; loop < options_.loops; ++loop) {
        PostEntry(i, loop, now_ + Scaled(spread, Uniform()),
                  [=, this] { ApplyContract(i, loop, id); });
      }
    }
    RecountBound(id);
  }

  // --- Faults ---

  void KillVm(int i) {
    KillProcess(vms_[i]->control);
    for (entry& e : vms_[i]->entries) KillProcess(e.process);
    vms_[i]->holder.reset();
    vms_[i]->last_share = vm_share{};
    for (entry& e : vms_[i]->entries) {
      Drop(e);
    }
  }
  void StartVm(int i) {
    for (int loop = 0; loop < options_.loops; ++loop) StartEntry(i, loop);
    StartControl(i);
  }
  void KillEntry(int i, int loop) {
    entry& e = vms_[i]->entries[loop];
    KillProcess(e.process);
    Drop(e);
  }
  void StartEntry(int i, int loop) {
    entry& e = vms_[i]->entries[loop];
    if (e.process.alive) return;
    e.process.alive = true;
    e.process.frozen = false;
    ++e.process.generation;
    const monotonic_time now = Local(i);
    e.ref = {vms_[i]->id, loop, ++incarnations_};
    e.limiter =
        std::make_unique<rate_limiter>(e.ref, LimiterOptions(), random_(), now);
    for (const auto& [id, contract] : contracts_) ApplyContract(i, loop, id);
    // Only control can say what the share is.
    if (vms_[i]->control.alive) {
      e.limiter->SetShare(vms_[i]->last_share, options_.loops, now);
      e.applied = vms_[i]->last_share.sequence;
      e.applied_by = vms_[i]->control.generation;
    }
    RefreshPeers();
    Tick(i, loop);
  }
  void StartControl(int i) {
    vm& v = *vms_[i];
    if (v.control.alive) return;
    v.control.alive = true;
    v.control.frozen = false;
    ++v.control.generation;
    v.holder = std::make_unique<share_holder>(
        v.id, zone_id(std::to_string(v.zone)), ++incarnations_, options_.shares,
        random_());
    Watch(i);
    Carry(i, v.holder->Start(Local(i)));
  }
  void KillControl(int i) {
    KillProcess(vms_[i]->control);
    vms_[i]->holder.reset();
  }
  void FreezeControl(int i, duration d) { Freeze(vms_[i]->control, d); }
  void FreezeEntry(int i, int loop, duration d) {
    Freeze(vms_[i]->entries[loop].process, d);
  }
  void ReleaseVm(int i) {
    vm& v = *vms_[i];
    for (int loop = 0; loop < options_.loops; ++loop) {
      entry& e = v.entries[loop];
      if (e.process.alive) Carry(i, loop, e.limiter->OnRelease(Local(i)));
    }
    if (v.holder) Carry(i, v.holder->OnRelease(Local(i)));
  }
  void SetStoreDown(bool down) { store_down_ = down; }
  void CutFromStore(int i, bool cut) { vms_[i]->cut_from_store = cut; }
  // Entries of `region` can't reach others outside of it, nor the store.
  void CutRegion(int region, bool cut) {
    cut_region_ = cut ? std::optional<int>(region) : std::nullopt;
    for (int i = 0; i < Size(); ++i) {
      if (RegionOf(i) == region) CutFromStore(i, cut);
    }
  }
  void DeclareGone(int i) {
    gone_.insert(vms_[i]->id);
    for (int k = 0; k < Size(); ++k) {
      vm& v = *vms_[k];
      if (v.holder) Carry(k, v.holder->OnVmsDeclaredDead(gone_, Local(k)));
    }
  }

  // --- Running ---

  void At(duration when, std::function<void()> action) {
    events_.push({when, ++event_count_, std::move(action)});
  }

  // A request arrives at one of the VM's entries.
  void Arrive(int i, const workspace_id& id) {
    const int loop = static_cast<int>(random_() % options_.loops);
    entry& e = vms_[i]->entries[loop];
    if (!e.process.alive) return;
    // Waits in the socket and is admitted, or not, after the wake.
    if (e.process.frozen) {
      PostEntry(i, loop, now_, [=, this] { Decide(i, loop, id); });
    } else {
      Decide(i, loop, id);
    }
  }

  void Decide(int i, int loop, const workspace_id& id) {
    entry& e = vms_[i]->entries[loop];
    const bool is_in_rate = RecordArrival(id);
    const monotonic_time now = Local(i);
    limit_actions actions;
    const limit_decision decision =
        e.limiter->OnRequest(id, now + std::chrono::hours(1), now, actions);
    if (std::holds_alternative<admitted>(decision)) {
      RecordAdmitted(id);
    } else if (const auto* awaited = std::get_if<wait_for_token>(&decision)) {
      e.waits[awaited->ticket] = {id, is_in_rate};
    } else {
      RecordRefused(id, is_in_rate);
    }
    Carry(i, loop, actions);
    ArmTokenTime(i, loop);
  }

  void Run(duration until) {
    while (!events_.empty() && events_.top().at <= until) {
      event next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      next.action();
    }
    now_ = until;
  }

  // Random arrivals from now until `until`; `choose` gives the VM or -1.
  void Demand(const workspace_id& id, double rate, duration until,
              std::function<int(pcg32&)> choose) {
    if (rate <= 0) return;
    const duration next = now_ + FromSeconds(-std::log(1 - Uniform()) / rate);
    if (next > until) return;
    At(next, [=, this] {
      const int i = choose(random_);
      if (i >= 0) Arrive(i, id);
      Demand(id, rate, until, choose);
    });
  }

  int Size() const { return static_cast<int>(vms_.size()); }
  int ZoneOf(int i) const { return vms_[i]->zone; }
  int RegionOf(int i) const {
    return vms_[i]->zone / options_.zones_per_region;
  }
  bool IsServing(int i) const {
    const process_state& p = vms_[i]->entries[0].process;
    return p.alive && !p.frozen;
  }
  // VMs of the zone that serve; -1 without one.
  int RandomInZone(int zone, pcg32& random) const {
    std::vector<int> found;
    for (int i = 0; i < Size(); ++i) {
      if (vms_[i]->zone == zone && IsServing(i)) found.push_back(i);
    }
    return found.empty() ? -1 : found[random() % found.size()];
  }
  int RandomVm(pcg32& random) const {
    for (int tries = 0; tries < 50; ++tries) {
      const int i = static_cast<int>(random() % vms_.size());
      if (IsServing(i)) return i;
    }
    return -1;
  }
  workspace_record& Of(const workspace_id& id) { return records_.at(id); }
  std::map<workspace_id, workspace_record>& Records() { return records_; }
  // Forgets the counts, not the windows; for leaving out the start.
  void ResetCounts() {
    for (auto& [id, r] : records_) {
      r.arrivals = r.admitted = r.refused_in_rate = r.in_rate = 0;
      r.arrivals_by_second.clear();
      r.refused_by_second.clear();
    }
    store_calls_ = loan_messages_ = token_asks_ = 0;
  }
  std::uint64_t StoreCalls() const { return store_calls_; }
  std::uint64_t LoanMessages() const { return loan_messages_; }
  std::uint64_t TokenAsks() const { return token_asks_; }
  std::size_t TableBytes() const { return table_.size(); }
  const std::string& TableJson() const { return table_; }
  const vm_share& ShareOf(int i) const { return vms_[i]->holder->Share(); }
  duration Now() const { return now_; }
  pcg32& Random() { return random_; }
  // What all loops together may use of a workspace's contract at this moment,
  // in parts of the whole. A frozen process could wake now.
  double UsableFraction(const workspace_id& id) const {
    std::int64_t sum = 0;
    for (int i = 0; i < Size(); ++i) {
      for (const entry& e : vms_[i]->entries) {
        const workspace_limit* w = LimitOf(e, id);
        if (w == nullptr) continue;
        token_bucket bucket = w->bucket;
        bucket.Advance(Local(i));
        sum += bucket.Ppb();
      }
    }
    return static_cast<double>(sum) / static_cast<double>(kWholePpb);
  }
  // What all VMs were granted at this moment, in parts of the whole.
  double GrantedFraction() const {
    double sum = 0;
    for (int i = 0; i < Size(); ++i) {
      const vm& v = *vms_[i];
      if (!v.holder) continue;
      const vm_share& s = v.holder->Share();
      const monotonic_time now = Local(i);
      if (now < s.floor_until) sum += s.floor_ppm;
      if (now < s.leased_until) sum += s.leased_ppm;
    }
    return sum / kWholePpm;
  }

 private:
  struct process_state {
    bool alive = false;
    bool frozen = false;
    std::uint64_t generation = 0;
    std::vector<std::function<void()>> backlog;
  };
  struct waiting {
    workspace_id workspace;
    bool is_in_rate = false;
  };
  struct entry {
    process_state process;
    entry_ref ref;
    std::unique_ptr<rate_limiter> limiter;
    std::map<wait_ticket, waiting> waits;
    monotonic_time token_time = monotonic_time::max();  // Armed for it.
    std::uint64_t applied = 0;     // Sequence of the share in use.
    std::uint64_t applied_by = 0;  // Generation of control that granted it.
  };
  struct vm {
    vm_id id;
    int zone = 0;
    duration clock_offset{};
    double clock_rate = 1;
    bool cut_from_store = false;
    process_state control;
    std::unique_ptr<share_holder> holder;
    vm_share last_share;  // What control last told; empty after a VM's death.
    std::uint64_t timer = 0;
    std::vector<entry> entries;
  };
  struct limit {
    double rate = 0;
    double burst = 0;
  };
  struct event {
    duration at{};
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  static duration Scaled(duration d, double factor) {
    return FromSeconds(ToSeconds(d) * factor);
  }
  double Uniform() { return std::ldexp(random_(), -32); }
  bool Chance(double p) { return p > 0 && Uniform() < p; }

  monotonic_time Local(int i) const {
    const vm& v = *vms_[i];
    return monotonic_time(v.clock_offset + Scaled(now_, v.clock_rate));
  }

  // When the VM's clock shows it, or now if it has.
  duration At(int i, monotonic_time local) const {
    const vm& v = *vms_[i];
    const duration at =
        Scaled(local.time_since_epoch() - v.clock_offset, 1 / v.clock_rate) +
        std::chrono::nanoseconds(100);
    return std::max(now_, at);
  }

  // Heartbeats between control processes, as late as they are in the fleet.
  void Watch(int i) {
    PostControl(i, now_ + std::chrono::seconds(1), [=, this] {
      std::set<vm_id> live;
      for (int k = 0; k < Size(); ++k) {
        const bool is_cut = cut_region_ && (RegionOf(i) == *cut_region_) !=
                                               (RegionOf(k) == *cut_region_);
        const process_state& p = vms_[k]->control;
        if (p.alive && !p.frozen && !is_cut) live.insert(vms_[k]->id);
      }
      vms_[i]->holder->OnMembership(live);
      Watch(i);
    });
  }

  // --- Processes ---

  void Post(process_state& p, duration at, std::function<void()> action) {
    const std::uint64_t generation = p.generation;
    At(at, [&p, generation, action = std::move(action)] {
      if (!p.alive || p.generation != generation) return;
      if (p.frozen) {
        p.backlog.push_back(action);
      } else {
        action();
      }
    });
  }
  void PostEntry(int i, int loop, duration at, std::function<void()> action) {
    Post(vms_[i]->entries[loop].process, at, std::move(action));
  }
  void KillProcess(process_state& p) {
    p.alive = false;
    p.frozen = false;
    p.backlog.clear();
    ++p.generation;
  }
  void Freeze(process_state& p, duration d) {
    if (!p.alive || p.frozen) return;
    p.frozen = true;
    const std::uint64_t generation = p.generation;
    At(now_ + d, [&p, generation] {
      if (p.generation != generation) return;
      p.frozen = false;
      const auto backlog = std::move(p.backlog);
      p.backlog.clear();
      for (const auto& action : backlog) action();
    });
  }

  void Drop(entry& e) {
    for (const auto& [ticket, w] : e.waits) {
      RecordRefused(w.workspace, w.is_in_rate);
    }
    e.waits.clear();
    e.limiter.reset();
  }
  static const workspace_limit* LimitOf(const entry& e,
                                        const workspace_id& id) {
    return e.limiter ? std::as_const(*e.limiter).Limits().Find(id) : nullptr;
  }
  rate_limiter_options LimiterOptions() const {
    rate_limiter_options limiter;
    limiter.loan = options_.loan;
    limiter.home = options_.home;
    limiter.wait.longest_wait = options_.longest_wait;
    limiter.has_loans = options_.loans;
    limiter.has_homes = options_.homes;
    return limiter;
  }
  waiting TakeWaiting(int i, int loop, wait_ticket ticket) {
    auto& waits = vms_[i]->entries[loop].waits;
    const auto found = waits.find(ticket);
    waiting taken = found->second;
    waits.erase(found);
    return taken;
  }
  void ArmTokenTime(int i, int loop) {
    entry& e = vms_[i]->entries[loop];
    const auto next = e.limiter->NextTokenAt(Local(i));
    if (!next || *next >= e.token_time) return;
    e.token_time = *next;
    PostEntry(i, loop, At(i, *next), [=, this] {
      entry& woken = vms_[i]->entries[loop];
      woken.token_time = monotonic_time::max();
      Carry(i, loop, woken.limiter->OnNextTokenTime(Local(i)));
      ArmTokenTime(i, loop);
    });
  }

  // --- Contracts and counts ---

  void ApplyContract(int i, int loop, const workspace_id& id) {
    entry& e = vms_[i]->entries[loop];
    const limit& c = contracts_.at(id);
    e.limiter->SetContract(id, {c.rate, c.burst}, Local(i));
    RecountBound(id);
  }

  // The limit in force is the highest that an entry still has.
  void RecountBound(const workspace_id& id) {
    workspace_record& r = records_[id];
    AdvanceRecord(r);
    limit most = contracts_.at(id);
    for (const auto& v : vms_) {
      for (entry& e : v->entries) {
        const workspace_limit* w = LimitOf(e, id);
        if (w == nullptr) continue;
        most.rate = std::max(most.rate, w->bucket.ContractRate());
        most.burst = std::max(most.burst, w->bucket.ContractBurst());
      }
    }
    if (r.rate == 0) {
      r.bound_tokens_ = r.ideal_tokens_ = most.burst;
    }
    r.rate = most.rate;
    r.burst = most.burst;
    r.bound_tokens_ = std::min(r.bound_tokens_, r.burst);
    r.ideal_tokens_ = std::min(r.ideal_tokens_, r.burst);
  }
  void AdvanceRecord(workspace_record& r) {
    const double seconds = ToSeconds(now_ - r.at_);
    r.at_ = now_;
    // A clock that runs fast by the drift allowed refills that much faster.
    const double rate = r.rate * (1 + 2 * options_.clock_drift);
    r.bound_tokens_ = std::min(r.burst, r.bound_tokens_ + rate * seconds);
    r.ideal_tokens_ = std::min(r.burst, r.ideal_tokens_ + r.rate * seconds);
  }
  // Whether a single bucket has a token for it.
  bool RecordArrival(const workspace_id& id) {
    workspace_record& r = records_.at(id);
    AdvanceRecord(r);
    ++r.arrivals;
    ++r.arrivals_by_second[static_cast<int>(ToSeconds(now_))];
    const bool is_in_rate = r.ideal_tokens_ >= 1;
    if (is_in_rate) {
      r.ideal_tokens_ -= 1;
      ++r.in_rate;
    }
    return is_in_rate;
  }
  void RecordAdmitted(const workspace_id& id) {
    workspace_record& r = records_.at(id);
    AdvanceRecord(r);
    ++r.admitted;
    r.bound_tokens_ -= 1;
    r.least_slack = std::min(r.least_slack, r.bound_tokens_);
  }
  void RecordRefused(const workspace_id& id, bool is_in_rate) {
    workspace_record& r = records_.at(id);
    if (!is_in_rate) return;
    ++r.refused_in_rate;
    ++r.refused_by_second[static_cast<int>(ToSeconds(now_))];
  }

  // --- The control process and the store ---

  duration Latency(int from_region, int to_region) {
    const duration base = from_region == to_region ? options_.zone_latency
                                                   : options_.region_latency;
    return Scaled(base, 1 + 0.5 * Uniform());
  }
  bool ReachesStore(int i) const {
    return !store_down_ && !vms_[i]->cut_from_store;
  }

  void Carry(int i, const share_actions& actions) {
    for (const share_action& action : actions) {
      std::visit([&](const auto& a) { Do(i, a); }, action);
    }
  }
  void Do(int i, const read_table&) {
    const duration way = Latency(RegionOf(i), 0);
    if (!ReachesStore(i)) {
      PostControl(i, now_ + way * 2, [=, this] { OnReadFailed(i); });
      return;
    }
    ++store_calls_;
    At(now_ + way, [=, this] {
      PostControl(i, now_ + way, [=, this, json = table_, rev = revision_] {
        Carry(i, vms_[i]->holder->OnTableRead(json, rev, Local(i)));
      });
    });
  }
  void OnReadFailed(int i) {
    Carry(i, vms_[i]->holder->OnReadFailed(Local(i)));
  }
  void Do(int i, const write_table& write) {
    const duration way = Latency(RegionOf(i), 0);
    const std::uint64_t id = write.id;
    if (!ReachesStore(i)) {
      Answer(i, id, now_ + way * 2, cas_unknown{});
      return;
    }
    ++store_calls_;
    // Now and then a write arrives long after the client gave up on it.
    const bool late = Chance(options_.lost_store_answers);
    const duration arrives =
        now_ + (late ? Scaled(std::chrono::seconds(4), Uniform()) : way);
    if (late) Answer(i, id, now_ + way * 2, cas_unknown{});
    At(arrives, [=, this] {
      const cas_result result = Swap(write);
      const bool lost = late || Chance(options_.lost_store_answers);
      if (!lost) Answer(i, id, now_ + way, result);
    });
  }
  cas_result Swap(const write_table& write) {
    if (write.expected_revision != revision_) {
      return cas_conflict{table_, revision_};
    }
    table_ = write.json;
    ++store_writes_;
    return cas_ok{++revision_};
  }
  void Answer(int i, std::uint64_t id, duration at, cas_result result) {
    PostControl(i, at, [=, this] {
      Carry(i, vms_[i]->holder->OnCasResult(id, result, Local(i)));
    });
  }
  void PostControl(int i, duration at, std::function<void()> action) {
    Post(vms_[i]->control, at, std::move(action));
  }
  void Do(int i, const arm_timer& timer) {
    vm& v = *vms_[i];
    const std::uint64_t number = ++v.timer;
    PostControl(i, At(i, timer.at), [=, this] {
      if (vms_[i]->timer != number) return;
      Carry(i, vms_[i]->holder->OnTimer(Local(i)));
    });
  }
  void Do(int i, const grant_changed& grant) {
    vm& v = *vms_[i];
    v.last_share = grant.share;
    for (int loop = 0; loop < options_.loops; ++loop) {
      PostEntry(i, loop, now_ + kLocalWay,
                [=, this, share = grant.share, by = v.control.generation] {
                  entry& e = vms_[i]->entries[loop];
                  e.limiter->SetShare(share, options_.loops, Local(i));
                  e.applied = share.sequence;
                  e.applied_by = by;
                  ReportApplied(i);
                });
    }
    PostControl(i, now_ + kLocalWay, [=, this] { ReportApplied(i); });
  }
  void Do(int i, const release_done&) {
    At(now_, [=, this] { KillVm(i); });
  }
  // To the control process that granted; a dead entry uses nothing.
  void ReportApplied(int i) {
    vm& v = *vms_[i];
    std::uint64_t least = v.last_share.sequence;
    for (const entry& e : v.entries) {
      if (!e.process.alive) continue;
      const bool is_of_this = e.applied_by == v.control.generation;
      least = std::min(least, is_of_this ? e.applied : 0);
    }
    PostControl(i, now_ + kLocalWay, [=, this] {
      Carry(i, vms_[i]->holder->OnGrantApplied(least, Local(i)));
    });
  }

  // --- Loans ---

  void RefreshPeers() {
    for (int i = 0; i < Size(); ++i) {
      for (entry& e : vms_[i]->entries) {
        if (e.limiter) ShowEntries(i, e.ref);
      }
    }
  }
  void ShowEntries(int i, const entry_ref& self) {
    std::vector<entry_ref> live = PeersOf(i, self);
    live.push_back(self);
    const duration lag = Scaled(options_.view_lag, Uniform());
    PostEntry(i, self.loop, now_ + lag, [=, this] {
      vms_[i]->entries[self.loop].limiter->SetEntries(PeersOf(i, self), live);
    });
  }
  std::vector<entry_ref> PeersOf(int i, const entry_ref& self) const {
    std::vector<std::pair<int, entry_ref>> ranked;
    for (int k = 0; k < Size(); ++k) {
      const int distance = ZoneOf(k) == ZoneOf(i)       ? 0
                           : RegionOf(k) == RegionOf(i) ? 1
                                                        : 2;
      for (const entry& e : vms_[k]->entries) {
        if (e.process.alive && e.ref != self) {
          ranked.emplace_back(distance, e.ref);
        }
      }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<entry_ref> peers;
    for (auto& [distance, ref] : ranked) peers.push_back(ref);
    return peers;
  }
  void Tick(int i, int loop) {
    PostEntry(i, loop, now_ + options_.loan.tick, [=, this] {
      entry& e = vms_[i]->entries[loop];
      Carry(i, loop, e.limiter->OnTimer(Local(i)));
      Tick(i, loop);
    });
  }
  void Carry(int i, int loop, const limit_actions& actions) {
    for (const limit_action& action : actions) {
      std::visit([&](const auto& a) { Do(i, loop, a); }, action);
    }
  }
  void Do(int i, int loop, const admit_waiting& action) {
    RecordAdmitted(TakeWaiting(i, loop, action.ticket).workspace);
  }
  void Do(int i, int loop, const reject_waiting& action) {
    const waiting refused = TakeWaiting(i, loop, action.ticket);
    RecordRefused(refused.workspace, refused.is_in_rate);
  }
  template <class Send>
  void Do(int i, int loop, const Send& send) {
    if constexpr (std::is_same_v<Send, send_token_request>) ++token_asks_;
    this->Send(i, vms_[i]->entries[loop].ref, send.to, send.message);
  }
  template <class Message>
  void Send(int i, const entry_ref& from, const entry_ref& to,
            const Message& message) {
    ++loan_messages_;
    const auto target = std::find_if(vms_.begin(), vms_.end(),
                                     [&](auto& v) { return v->id == to.vm; });
    const int k = static_cast<int>(target - vms_.begin());
    if (cut_region_ &&
        (RegionOf(i) == *cut_region_) != (RegionOf(k) == *cut_region_)) {
      return;
    }
    for (int copies = Chance(options_.repeat) ? 2 : 1; copies > 0; --copies) {
      if (Chance(options_.loss)) continue;
      duration at = now_ + Latency(RegionOf(i), RegionOf(k));
      // A few are far behind those sent after them.
      if (Chance(options_.loss)) at += FromMilliseconds(2000 * Uniform());
      PostEntry(k, to.loop, at, [=, this] {
        if (vms_[k]->entries[to.loop].ref != to) return;
        Receive(k, to.loop, from, message);
      });
    }
  }
  template <class Message>
  void Receive(int k, int loop, const entry_ref& from, const Message& message) {
    entry& e = vms_[k]->entries[loop];
    Carry(k, loop, e.limiter->OnMessage(from, message, Local(k)));
  }

  static constexpr duration kLocalWay = std::chrono::microseconds(200);

  const fleet_options options_;
  pcg32 random_;
  duration now_{};
  std::priority_queue<event> events_;
  std::uint64_t event_count_ = 0;
  std::vector<std::unique_ptr<vm>> vms_;
  std::uint64_t incarnations_ = 0;
  std::map<workspace_id, limit> contracts_;
  std::map<workspace_id, workspace_record> records_;
  std::set<vm_id> gone_;
  std::optional<int> cut_region_;
  bool store_down_ = false;
  std::string table_;
  std::uint64_t revision_ = 0;
  std::uint64_t store_calls_ = 0;
  std::uint64_t store_writes_ = 0;
  std::uint64_t loan_messages_ = 0;
  std::uint64_t token_asks_ = 0;
};

}  // namespace citron

#endif  // CITRON_TOOLS_LIMITS_EXPERIMENT_SIMULATED_FLEET_H_
