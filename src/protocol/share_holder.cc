#include "citron/protocol/share_holder.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <random>
#include <utility>

namespace citron {

namespace {

// The table stores counts as signed 64-bit numbers.
constexpr std::uint64_t kCountMask = std::numeric_limits<std::int64_t>::max();

// Backoff after a read or write without a result: doubled for each consecutive
// failure up to the renewal interval. When the store returns after an outage,
// the requests of all VMs spread over one interval.
constexpr duration kInitialRetryDelay = std::chrono::milliseconds(200);
constexpr int kMaxDoublings = 6;

// Delay from the fourth consecutive conflict on, doubled for each further
// conflict up to 1.6 s. At fleet start and after an outage many VMs write at
// once, and one write wins each round, so the other VMs spread out.
constexpr duration kConflictDelay = std::chrono::milliseconds(50);
constexpr int kConflictsBeforeDelay = 4;

// A joining VM first writes an empty entry and takes its share after this
// delay. VMs that start together then see each other before any of them takes
// the whole share and the others have to wait until that VM lowers it.
constexpr duration kJoinDelay = std::chrono::seconds(1);

// Bounds of the random factor on intervals.
constexpr double kMinJitterFactor = 0.8;
constexpr double kMaxJitterFactor = 1.2;

}  // namespace

share_holder::share_holder(vm_id vm, zone_id zone, std::uint64_t incarnation,
                           const share_settings& settings, std::uint64_t seed)
    : vm_(std::move(vm)),
      zone_(std::move(zone)),
      incarnation_(incarnation & kCountMask),
      settings_(settings),
      random_(seed) {
  assert(settings_.renew_interval < settings_.lease);
}

share_actions share_holder::Start(monotonic_time now) {
  // An earlier control process may have granted a lease just before `now`.
  granted_leases_end_ = now + settings_.lease;
  // Starts above every sequence of an earlier process of this VM, by the clock
  // that the processes share. An acknowledgement of a grant of the earlier
  // process may still be in flight and must not count for a later grant of this
  // process.
  share_.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
  share_actions actions;
  StartRead(now, actions);
  return actions;
}

share_actions share_holder::OnTimer(monotonic_time now) {
  share_actions actions;
  if (released_ || declared_dead_.contains(vm_)) return actions;
  if (phase_ == phase::kIdle) {
    if (now >= next_read_at_) {
      StartRead(now, actions);
    } else {
      Arm(next_read_at_, actions);
    }
    return actions;
  }
  const monotonic_time reply_deadline = requested_at_ + settings_.reply_timeout;
  if (now >= reply_deadline) {
    OnFailure(now, actions);
  } else {
    Arm(reply_deadline, actions);
  }
  return actions;
}

share_actions share_holder::OnTableRead(const std::string& json,
                                        std::uint64_t revision,
                                        monotonic_time now) {
  share_actions actions;
  if (phase_ != phase::kReading || released_) return actions;
  if (AdoptTable(json, revision, now)) {
    ProcessTable(now, actions);
  } else {
    OnFailure(now, actions);
  }
  return actions;
}

share_actions share_holder::OnReadFailed(monotonic_time now) {
  share_actions actions;
  if (phase_ == phase::kReading) OnFailure(now, actions);
  return actions;
}

void share_holder::OnMembership(const std::set<vm_id>& live) { live_ = live; }

// A write whose result is lost may have taken effect, or may take effect later.
// A later read detects either, and neither does harm: the write requests only
// what this VM could claim at its revision, and a part is used only after this
// VM has seen it in the table.
share_actions share_holder::OnCasResult(std::uint64_t write_id,
                                        const cas_result& result,
                                        monotonic_time now) {
  share_actions actions;
  // Late result of an abandoned write.
  if (phase_ != phase::kWriting || write_id != write_id_) return actions;
  if (const auto* ok = std::get_if<cas_ok>(&result)) {
    table_ = pending_write_;
    revision_ = ok->revision;
    RecordObservedEntries(now);
    conflicts_ = 0;
    Renew(actions);
    FinishRound(now, actions);
    return actions;
  }
  const auto* conflict = std::get_if<cas_conflict>(&result);
  if (conflict == nullptr ||
      !AdoptTable(conflict->json, conflict->revision, now)) {
    OnFailure(now, actions);
    return actions;
  }
  // A conflict returns the current table, which serves as a read; writing again
  // at once is the quickest way to win.
  ++conflicts_;
  ProcessTable(now, actions);
  return actions;
}

share_actions share_holder::OnVmsDeclaredDead(const std::set<vm_id>& gone,
                                              monotonic_time now) {
  share_actions actions;
  const bool was_declared_dead = declared_dead_.contains(vm_);
  std::erase_if(declared_dead_,
                [&](const auto& item) { return !gone.contains(item.first); });
  for (const vm_id& vm : gone) declared_dead_.try_emplace(vm, now);
  if (released_) return actions;
  // Other VMs now take over the share of this VM. Even if this process is
  // alive, using the share further would double it.
  if (declared_dead_.contains(vm_)) {
    if (!was_declared_dead) DropShare(actions);
    return actions;
  }
  if (was_declared_dead) StartRead(now, actions);
  return actions;
}

share_actions share_holder::OnGrantApplied(std::uint64_t sequence,
                                           monotonic_time now) {
  share_actions actions;
  if (!pending_reduction_ || pending_reduction_->applied_at ||
      sequence < pending_reduction_->sequence) {
    return actions;
  }
  pending_reduction_->applied_at = now;
  ScheduleReadWithin(settings_.loan_settle_time, now, actions);
  return actions;
}

share_actions share_holder::OnRelease(monotonic_time now) {
  share_actions actions;
  if (releasing_ || released_) return actions;
  releasing_ = true;
  LowerShare(share_split{}, actions);
  ScheduleReadWithin(settings_.loan_settle_time, now, actions);
  return actions;
}

// Returns whether the table can be used.
bool share_holder::AdoptTable(const std::string& json, std::uint64_t revision,
                              monotonic_time now) {
  result<share_table> parsed = ParseShareTable(json);
  // The table was overwritten with invalid data. A write of this VM would hide
  // that and could count parts twice; the parts held now expire by themselves.
  if (!IsOk(parsed)) return false;
  // A stale replica answered: its table may lack a suspect mark that is set.
  if (revision < revision_) return false;
  table_ = std::move(ValueOf(parsed));
  revision_ = revision;
  RecordObservedEntries(now);
  return true;
}

void share_holder::RecordObservedEntries(monotonic_time now) {
  std::map<vm_id, observed_entry> next;
  for (const share_entry& entry : table_.entries) {
    const auto before = observed_entries_.find(entry.vm);
    const bool is_same =
        before != observed_entries_.end() && before->second.entry == entry;
    next.emplace(entry.vm,
                 observed_entry{entry, is_same ? before->second.since : now});
  }
  observed_entries_ = std::move(next);
}

duration share_holder::UnchangedFor(const share_entry& entry,
                                    monotonic_time now) const {
  const auto seen = observed_entries_.find(entry.vm);
  if (seen == observed_entries_.end()) return duration::zero();
  return now - seen->second.since;
}

// A VM that read the table before the mark was set counts its lease from before
// that read, so the lease has ended one lease after the mark by any clock. A VM
// that reads the table later sees the mark and renews nothing. This VM counts
// from when it first saw the mark, which is later still.
bool share_holder::IsExpired(const share_entry& entry,
                             monotonic_time now) const {
  return entry.is_suspect && entry.vm != vm_ &&
         UnchangedFor(entry, now) >= settings_.lease + settings_.margin;
}

// Removes the entries of dead VMs, and of suspects that have not changed for
// the floor horizon and the margin; frees the expired leased parts. The
// compare-and-swap on the revision at which the marks stood fails if a suspect
// clears its mark in between. A zone that is cut off vanishes from the list of
// VMs while it goes on serving: if its floors were taken too early, its
// workspaces would get their rate on both sides of the partition.
void share_holder::ReclaimExpired(share_table& next, monotonic_time now) const {
  const duration horizon = settings_.floor_horizon + settings_.margin;
  std::erase_if(next.entries, [&](const share_entry& entry) {
    const auto gone = declared_dead_.find(entry.vm);
    // The loans of the dead VM may still be in use for a moment.
    if (gone != declared_dead_.end()) {
      return now >= gone->second + settings_.loan_settle_time;
    }
    if (!IsExpired(entry, now)) return false;
    return entry.floor_ppm == 0 || UnchangedFor(entry, now) >= horizon;
  });
  for (share_entry& entry : next.entries) {
    if (IsExpired(entry, now)) entry.leased_ppm = 0;
  }
}

// An entry is marked only when it has not changed for a lease. This limits how
// often a live VM that is missing from the list, but reads the store, must
// clear its mark.
void share_holder::MarkSuspects(share_table& next, monotonic_time now) const {
  if (!live_) return;
  for (share_entry& entry : next.entries) {
    if (entry.vm == vm_ || entry.is_suspect || live_->contains(entry.vm)) {
      continue;
    }
    if (UnchangedFor(entry, now) >= settings_.lease) entry.is_suspect = true;
  }
}

// Returns the minimum of both floors and of both sums.
share_holder::share_split share_holder::Minimum(const share_split& a,
                                                const share_split& b) {
  const int floor = std::min(a.floor_ppm, b.floor_ppm);
  return share_split{floor, std::min(a.Sum(), b.Sum()) - floor};
}

// Returns an equal share of what the floors of expired VMs leave. Loans handle
// uneven demand: they follow it in milliseconds, the table in seconds.
share_holder::share_split share_holder::FairShare(const share_table& next,
                                                  monotonic_time now) const {
  int live = 0;
  int available = kWholePpm;
  for (const share_entry& entry : next.entries) {
    if (IsExpired(entry, now)) {
      available -= entry.floor_ppm;
    } else {
      ++live;
    }
  }
  const int sum = available / std::max(live, 1);
  const auto floor =
      static_cast<int>(std::int64_t{sum} * settings_.floor_ppm / kWholePpm);
  return share_split{floor, sum - floor};
}

// Returns the share that this VM writes for itself: at most what it holds plus
// what is free, and at least what its entries may still be using.
share_holder::share_split share_holder::NextShare(const share_table& next,
                                                  monotonic_time now,
                                                  share_actions& actions) {
  const share_entry* local = next.Find(vm_);
  const share_split held =
      local != nullptr ? share_split{local->floor_ppm, local->leased_ppm}
                       : share_split{};
  // The share that an earlier process of this VM left is taken over unchanged.
  if (!joined_) return held;
  const share_split fair = FairShare(next, now);
  if (pending_reduction_ && CanLowerTable(held, now))
    return pending_reduction_->target;
  if (pending_reduction_ || fair.floor_ppm < held.floor_ppm ||
      fair.Sum() < held.Sum()) {
    LowerShare(Minimum(fair, held), actions);
    return CanLowerTable(held, now) ? pending_reduction_->target : held;
  }
  const int sum = std::min(fair.Sum(), held.Sum() + next.FreePpm());
  const int floor = std::min(fair.floor_ppm, sum);
  return share_split{floor, sum - floor};
}

// An entry process that is paused, or receives the change late, goes on using
// the larger share. If the table already gave the difference to a joining VM,
// both would use it and a workspace would get more than its rate. So the entry
// processes are lowered first. The table follows after they have acknowledged
// the change and the loans made of the larger share have ended; a leased part
// also after it has expired.
void share_holder::LowerShare(const share_split& target,
                              share_actions& actions) {
  if (pending_reduction_ && pending_reduction_->target.IsWithin(target)) return;
  const share_split lowest =
      pending_reduction_ ? Minimum(target, pending_reduction_->target) : target;
  Grant(Minimum({share_.floor_ppm, share_.leased_ppm}, lowest), actions);
  pending_reduction_ = pending_reduction{lowest, share_.sequence,
                                         granted_leases_end_, std::nullopt};
}

bool share_holder::CanLowerTable(const share_split& held,
                                 monotonic_time now) const {
  if (pending_reduction_->applied_at &&
      now >= *pending_reduction_->applied_at + settings_.loan_settle_time) {
    return true;
  }
  // Entry processes that never answered have stopped using the leased part at
  // its end, and their loans of it ended before.
  return pending_reduction_->target.floor_ppm >= held.floor_ppm &&
         now >= pending_reduction_->earlier_leases_end;
}

void share_holder::StartRead(monotonic_time now, share_actions& actions) {
  actions.emplace_back(read_table{});
  phase_ = phase::kReading;
  requested_at_ = now;
  Arm(now + settings_.reply_timeout, actions);
}

// Processes the table as it stood at some moment after requested_at_.
void share_holder::ProcessTable(monotonic_time now, share_actions& actions) {
  const bool lost_a_write = phase_ == phase::kWriting;
  phase_ = phase::kIdle;
  failures_ = 0;
  if (!CheckLocalEntry(actions)) return;
  Renew(actions);
  share_table next = NextTable(now, actions);
  if (next == table_) {
    conflicts_ = 0;
    FinishRound(now, actions);
    return;
  }
  // The first conflicts are normal when many VMs write at once. Only continued
  // contention needs a delay, after which the table is read again.
  if (lost_a_write && conflicts_ >= kConflictsBeforeDelay) {
    const int doublings = std::min(conflicts_ - kConflictsBeforeDelay, 5);
    next_read_at_ = now + Jittered(kConflictDelay * (1 << doublings));
    Arm(next_read_at_, actions);
    return;
  }
  StartWrite(std::move(next), now, actions);
}

// Renews the lease from `requested_at_`: the table held this VM's entry at some
// moment after that.
void share_holder::Renew(share_actions& actions) {
  const share_entry* local = table_.Find(vm_);
  if (local == nullptr || local->incarnation != incarnation_) return;
  joined_ = true;
  if (local->is_suspect) return;
  share_split granted{local->floor_ppm, local->leased_ppm};
  if (pending_reduction_) {
    if (granted.IsWithin(pending_reduction_->target) && !releasing_) {
      pending_reduction_.reset();
    } else {
      granted = Minimum(granted, pending_reduction_->target);
    }
  }
  share_.leased_until = requested_at_ + settings_.lease;
  share_.floor_until = requested_at_ + settings_.floor_horizon;
  granted_leases_end_ = std::max(granted_leases_end_, share_.leased_until);
  Grant(granted, actions);
}

// Returns the table that should be stored; the current table if no change is
// needed.
share_table share_holder::NextTable(monotonic_time now,
                                    share_actions& actions) {
  share_table next = table_;
  ReclaimExpired(next, now);
  MarkSuspects(next, now);
  const share_split local = NextShare(next, now, actions);
  if (releasing_ && pending_reduction_->target == local &&
      CanLowerTable(local, now)) {
    next.Remove(vm_);
    return next;
  }
  share_entry& entry = next.FindOrAdd(vm_);
  const share_entry before = entry;
  entry.zone = zone_;
  entry.incarnation = incarnation_;
  entry.floor_ppm = local.floor_ppm;
  entry.leased_ppm = local.leased_ppm;
  entry.is_suspect = false;
  if (entry != before) ++entry.writes;
  assert(next.FreePpm() >= 0);
  return next;
}

void share_holder::StartWrite(share_table next, monotonic_time now,
                              share_actions& actions) {
  ++write_id_;
  actions.emplace_back(
      write_table{EncodeShareTable(next), revision_, write_id_});
  pending_write_ = std::move(next);
  phase_ = phase::kWriting;
  requested_at_ = now;
  Arm(now + settings_.reply_timeout, actions);
}

// Returns whether this process may go on writing the VM's entry.
bool share_holder::CheckLocalEntry(share_actions& actions) {
  if (!joined_) return true;
  const share_entry* local = table_.Find(vm_);
  if (local != nullptr && local->incarnation == incarnation_) return true;
  DropShare(actions);
  // If a newer process of this VM has the entry, this process is obsolete. If
  // the entry is missing, the VM was declared dead or was silent past the
  // horizon, and joins again.
  released_ = local != nullptr;
  return !released_;
}

void share_holder::DropShare(share_actions& actions) {
  pending_reduction_.reset();
  joined_ = false;
  phase_ = phase::kIdle;
  Grant(share_split{}, actions);
}

void share_holder::Grant(const share_split& granted, share_actions& actions) {
  share_.floor_ppm = granted.floor_ppm;
  share_.leased_ppm = granted.leased_ppm;
  ++share_.sequence;
  actions.emplace_back(grant_changed{share_});
}

void share_holder::OnFailure(monotonic_time now, share_actions& actions) {
  phase_ = phase::kIdle;
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const duration pause =
      std::min(settings_.renew_interval, kInitialRetryDelay * (1 << doublings));
  next_read_at_ = now + Jittered(pause);
  Arm(next_read_at_, actions);
}

// Ends the current round and schedules the next read.
void share_holder::FinishRound(monotonic_time now, share_actions& actions) {
  phase_ = phase::kIdle;
  if (releasing_ && table_.Find(vm_) == nullptr) {
    released_ = true;
    actions.emplace_back(release_done{});
    return;
  }
  const bool has_no_share = share_.floor_ppm + share_.leased_ppm == 0;
  next_read_at_ =
      now + Jittered(has_no_share && !releasing_ ? kJoinDelay
                                                 : settings_.renew_interval);
  if (pending_reduction_ && pending_reduction_->applied_at) {
    const monotonic_time settled =
        *pending_reduction_->applied_at + settings_.loan_settle_time;
    next_read_at_ = std::max(now, std::min(next_read_at_, settled));
  }
  Arm(next_read_at_, actions);
}

// Schedules a read within `d` if no request is in flight. While the store
// doesn't answer, the backoff stays in force.
void share_holder::ScheduleReadWithin(duration d, monotonic_time now,
                                      share_actions& actions) {
  if (phase_ != phase::kIdle || failures_ > 0) return;
  next_read_at_ = std::min(next_read_at_, now + d);
  Arm(next_read_at_, actions);
}

void share_holder::Arm(monotonic_time at, share_actions& actions) {
  actions.emplace_back(arm_timer{at});
}

duration share_holder::Jittered(duration around) {
  std::uniform_real_distribution<double> factor(kMinJitterFactor,
                                                kMaxJitterFactor);
  return FromSeconds(ToSeconds(around) * factor(random_));
}

}  // namespace citron
