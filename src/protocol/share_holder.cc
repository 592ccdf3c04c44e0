#include "citron/protocol/share_holder.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <random>
#include <utility>

namespace citron {

namespace {

// The table counts in signed 64 bits.
constexpr std::uint64_t kCountMask = std::numeric_limits<std::int64_t>::max();

// Back-off after a read or write without a result: doubled for each failure
// in a row up to the renewal interval. When the store returns after an outage
// all VMs ask within one interval, not at once.
constexpr duration kFirstRetry = std::chrono::milliseconds(200);
constexpr int kMaxDoublings = 6;

// Between attempts that lost to another writer. At fleet start and after an
// outage many VMs write at once; of each round one wins, so the rest spread
// out.
constexpr duration kConflictPause = std::chrono::milliseconds(50);
constexpr int kConflictsBeforePause = 4;

// A VM that joins first writes an empty entry and takes its part this much
// later: VMs that start together then see each other before any of them takes
// the whole, which the others would have to wait for.
constexpr duration kJoinPause = std::chrono::seconds(1);

// The two ends of the random factor on intervals.
constexpr double kLeastJitter = 0.8;
constexpr double kMostJitter = 1.2;

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
  // An earlier control process may have granted up to now.
  leased_parts_end_ = now + settings_.lease;
  // Above every number of an earlier process of this VM, by the clock that
  // they share: an entry's word that it applied a grant of that one may still
  // be under way, and must not count for a later grant of ours.
  share_.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
  share_actions actions;
  Read(now, actions);
  return actions;
}

share_actions share_holder::OnTimer(monotonic_time now) {
  share_actions actions;
  if (released_ || gone_.contains(vm_)) return actions;
  if (phase_ == phase::kIdle) {
    if (now >= next_read_at_) {
      Read(now, actions);
    } else {
      Arm(next_read_at_, actions);
    }
    return actions;
  }
  const monotonic_time reply_deadline = asked_at_ + settings_.reply_timeout;
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
  if (TakeTable(json, revision, now)) {
    OnTable(now, actions);
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

// A write whose result is lost may have taken effect, or may do so later. Both
// are found out by the next read, and neither can do harm: it asks only for
// what was ours to ask for at its revision, and we use a part only after we
// have seen it in the table.
share_actions share_holder::OnCasResult(std::uint64_t write_id,
                                        const cas_result& result,
                                        monotonic_time now) {
  share_actions actions;
  // Late, of a write that was given up.
  if (phase_ != phase::kWriting || write_id != write_id_) return actions;
  if (const auto* ok = std::get_if<cas_ok>(&result)) {
    table_ = written_;
    revision_ = ok->revision;
    RecordSightings(now);
    conflicts_ = 0;
    Renew(actions);
    FinishRound(now, actions);
    return actions;
  }
  const auto* conflict = std::get_if<cas_conflict>(&result);
  if (conflict == nullptr ||
      !TakeTable(conflict->json, conflict->revision, now)) {
    OnFailure(now, actions);
    return actions;
  }
  // As good as a read, and the quickest way to win the next time.
  ++conflicts_;
  OnTable(now, actions);
  return actions;
}

share_actions share_holder::OnGoneVms(const std::set<vm_id>& gone,
                                      monotonic_time now) {
  share_actions actions;
  const bool was_gone = gone_.contains(vm_);
  std::erase_if(gone_,
                [&](const auto& item) { return !gone.contains(item.first); });
  for (const vm_id& vm : gone) gone_.try_emplace(vm, now);
  if (released_) return actions;
  // Others give our parts on now: whatever our reasons to think that we live,
  // using them on would double them.
  if (gone_.contains(vm_)) {
    if (!was_gone) GiveUpShare(actions);
    return actions;
  }
  if (was_gone) Read(now, actions);
  return actions;
}

share_actions share_holder::OnGrantApplied(std::uint64_t sequence,
                                           monotonic_time now) {
  share_actions actions;
  if (!lowering_ || lowering_->applied_at || sequence < lowering_->sequence) {
    return actions;
  }
  lowering_->applied_at = now;
  ReadWithin(settings_.loan_settle, now, actions);
  return actions;
}

share_actions share_holder::OnRelease(monotonic_time now) {
  share_actions actions;
  if (releasing_ || released_) return actions;
  releasing_ = true;
  Lower(parts{}, actions);
  ReadWithin(settings_.loan_settle, now, actions);
  return actions;
}

// Says whether the table can be used.
bool share_holder::TakeTable(const std::string& json, std::uint64_t revision,
                             monotonic_time now) {
  result<share_table> parsed = ParseShareTable(json);
  // Somebody else wrote over the table. Our own writes would hide it, and
  // could count parts twice; the parts we have end by themselves.
  if (!IsOk(parsed)) return false;
  // Answered by a copy that lags: it may lack a mark that stands.
  if (revision < revision_) return false;
  table_ = std::move(ValueOf(parsed));
  revision_ = revision;
  RecordSightings(now);
  return true;
}

void share_holder::RecordSightings(monotonic_time now) {
  std::map<vm_id, sighting> next;
  for (const share_entry& entry : table_.entries) {
    const auto before = sightings_.find(entry.vm);
    const bool is_same =
        before != sightings_.end() && before->second.entry == entry;
    next.emplace(entry.vm,
                 sighting{entry, is_same ? before->second.since : now});
  }
  sightings_ = std::move(next);
}

duration share_holder::UnchangedFor(const share_entry& entry,
                                    monotonic_time now) const {
  const auto seen = sightings_.find(entry.vm);
  if (seen == sightings_.end()) return duration::zero();
  return now - seen->second.since;
}

// A holder that read the table before the mark was set counts its lease from
// before that read, so it has ended a lease after the mark by any clock; one
// that reads it later sees the mark and renews nothing. We count from when we
// first saw the mark, which is later still.
bool share_holder::IsLapsed(const share_entry& entry,
                            monotonic_time now) const {
  return entry.is_suspect && entry.vm != vm_ &&
         UnchangedFor(entry, now) >= settings_.lease + settings_.margin;
}

// Frees what nobody uses any more. The write that carries it is a
// compare-and-swap on the revision at which the marks stood, so a VM that
// clears its own in between makes it fail.
//
// A floor outlives a list of VMs that has lost its entry: a zone that is cut
// off vanishes from the list while it goes on serving. Taken too early, its
// workspaces would get their rate on both sides of the cut.
void share_holder::ReclaimLapsed(share_table& next, monotonic_time now) const {
  const duration horizon = settings_.floor_horizon + settings_.margin;
  std::erase_if(next.entries, [&](const share_entry& entry) {
    const auto gone = gone_.find(entry.vm);
    // The dead VM's loans may still be in use for a moment.
    if (gone != gone_.end()) {
      return now >= gone->second + settings_.loan_settle;
    }
    if (!IsLapsed(entry, now)) return false;
    return entry.floor_ppm == 0 || UnchangedFor(entry, now) >= horizon;
  });
  for (share_entry& entry : next.entries) {
    if (IsLapsed(entry, now)) entry.leased_ppm = 0;
  }
}

// An entry that was cleared a moment ago isn't marked again at once: a VM that
// is missing from our list of the living, but reads the store, would go on
// clearing and we on marking.
void share_holder::MarkSuspects(share_table& next, monotonic_time now) const {
  if (!live_) return;
  for (share_entry& entry : next.entries) {
    if (entry.vm == vm_ || entry.is_suspect || live_->contains(entry.vm)) {
      continue;
    }
    if (UnchangedFor(entry, now) >= settings_.lease) entry.is_suspect = true;
  }
}

// The least of both, floor and sum each.
share_holder::parts share_holder::Least(const parts& a, const parts& b) {
  const int floor = std::min(a.floor_ppm, b.floor_ppm);
  return parts{floor, std::min(a.Sum(), b.Sum()) - floor};
}

// Equal parts of what silent VMs' floors leave. Uneven demand is the loans'
// matter: they follow it in milliseconds, the table in seconds.
share_holder::parts share_holder::FairParts(const share_table& next,
                                            monotonic_time now) const {
  int live = 0;
  int available = kWholePpm;
  for (const share_entry& entry : next.entries) {
    if (IsLapsed(entry, now)) {
      available -= entry.floor_ppm;
    } else {
      ++live;
    }
  }
  const int sum = available / std::max(live, 1);
  const auto floor =
      static_cast<int>(std::int64_t{sum} * settings_.floor_ppm / kWholePpm);
  return parts{floor, sum - floor};
}

// The parts that this VM writes for itself: never more than it has plus what
// is free, never less than its entries may still be using.
share_holder::parts share_holder::NextParts(const share_table& next,
                                            monotonic_time now,
                                            share_actions& actions) {
  const share_entry* own = next.Find(vm_);
  const parts held =
      own != nullptr ? parts{own->floor_ppm, own->leased_ppm} : parts{};
  // What an earlier process of this VM left is taken over as it is.
  if (!joined_) return held;
  const parts fair = FairParts(next, now);
  if (lowering_ && MayLowerTable(held, now)) return lowering_->target;
  if (lowering_ || fair.floor_ppm < held.floor_ppm || fair.Sum() < held.Sum()) {
    Lower(Least(fair, held), actions);
    return MayLowerTable(held, now) ? lowering_->target : held;
  }
  const int sum = std::min(fair.Sum(), held.Sum() + next.FreePpm());
  const int floor = std::min(fair.floor_ppm, sum);
  return parts{floor, sum - floor};
}

// An entry process that is paused, or hears late, goes on using the larger
// part. If the table gave it to a joining VM already, both would use it and a
// workspace would get more than its rate. So the entries come first, and the
// table follows when they have said that they use less and the loans they
// made of the larger part have ended.
void share_holder::Lower(const parts& target, share_actions& actions) {
  if (lowering_ && lowering_->target.IsWithin(target)) return;
  const parts lowest = lowering_ ? Least(target, lowering_->target) : target;
  Grant(Least({share_.floor_ppm, share_.leased_ppm}, lowest), actions);
  lowering_ =
      lowering{lowest, share_.sequence, leased_parts_end_, std::nullopt};
}

bool share_holder::MayLowerTable(const parts& held, monotonic_time now) const {
  if (lowering_->applied_at &&
      now >= *lowering_->applied_at + settings_.loan_settle) {
    return true;
  }
  // Entries that never answered have stopped using the leased part by
  // themselves; their loans of it ended before.
  return lowering_->target.floor_ppm >= held.floor_ppm &&
         now >= lowering_->leased_parts_end;
}

void share_holder::Read(monotonic_time now, share_actions& actions) {
  actions.emplace_back(read_table{});
  phase_ = phase::kReading;
  asked_at_ = now;
  Arm(now + settings_.reply_timeout, actions);
}

// The table as it stood at some moment after asked_at_.
void share_holder::OnTable(monotonic_time now, share_actions& actions) {
  const bool lost_a_write = phase_ == phase::kWriting;
  phase_ = phase::kIdle;
  failures_ = 0;
  if (!CheckOwnEntry(actions)) return;
  Renew(actions);
  share_table next = NextTable(now, actions);
  if (next == table_) {
    conflicts_ = 0;
    FinishRound(now, actions);
    return;
  }
  // The first conflicts are the rule when many write at once. Only a crowd
  // that goes on is worth a pause, after which the table is read afresh.
  if (lost_a_write && conflicts_ >= kConflictsBeforePause) {
    const int doublings = std::min(conflicts_ - kConflictsBeforePause, 5);
    next_read_at_ = now + Jittered(kConflictPause * (1 << doublings));
    Arm(next_read_at_, actions);
    return;
  }
  Write(std::move(next), now, actions);
}

// The table held our entry at some moment after we asked, so it is ours from
// when we asked.
void share_holder::Renew(share_actions& actions) {
  const share_entry* own = table_.Find(vm_);
  if (own == nullptr || own->incarnation != incarnation_) return;
  joined_ = true;
  if (own->is_suspect) return;
  parts granted{own->floor_ppm, own->leased_ppm};
  if (lowering_) {
    if (granted.IsWithin(lowering_->target) && !releasing_) {
      lowering_.reset();
    } else {
      granted = Least(granted, lowering_->target);
    }
  }
  share_.leased_until = asked_at_ + settings_.lease;
  share_.floor_until = asked_at_ + settings_.floor_horizon;
  leased_parts_end_ = std::max(leased_parts_end_, share_.leased_until);
  Grant(granted, actions);
}

// What the table should be; the table as it is when all is well.
share_table share_holder::NextTable(monotonic_time now,
                                    share_actions& actions) {
  share_table next = table_;
  ReclaimLapsed(next, now);
  MarkSuspects(next, now);
  const parts own = NextParts(next, now, actions);
  if (releasing_ && lowering_->target == own && MayLowerTable(own, now)) {
    next.Remove(vm_);
    return next;
  }
  share_entry& entry = next.FindOrAdd(vm_);
  const share_entry before = entry;
  entry.zone = zone_;
  entry.incarnation = incarnation_;
  entry.floor_ppm = own.floor_ppm;
  entry.leased_ppm = own.leased_ppm;
  entry.is_suspect = false;
  if (entry != before) ++entry.writes;
  assert(next.FreePpm() >= 0);
  return next;
}

void share_holder::Write(share_table next, monotonic_time now,
                         share_actions& actions) {
  ++write_id_;
  actions.emplace_back(
      write_table{EncodeShareTable(next), revision_, write_id_});
  written_ = std::move(next);
  phase_ = phase::kWriting;
  asked_at_ = now;
  Arm(now + settings_.reply_timeout, actions);
}

// Says whether this process may go on writing the VM's entry.
bool share_holder::CheckOwnEntry(share_actions& actions) {
  if (!joined_) return true;
  const share_entry* own = table_.Find(vm_);
  if (own != nullptr && own->incarnation == incarnation_) return true;
  GiveUpShare(actions);
  // A newer process of this VM has the entry, so this one is a leftover.
  // Without an entry, the VM was declared dead or was silent past the horizon
  // and joins again.
  released_ = own != nullptr;
  return !released_;
}

void share_holder::GiveUpShare(share_actions& actions) {
  lowering_.reset();
  joined_ = false;
  phase_ = phase::kIdle;
  Grant(parts{}, actions);
}

void share_holder::Grant(const parts& granted, share_actions& actions) {
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
      std::min(settings_.renew_interval, kFirstRetry * (1 << doublings));
  next_read_at_ = now + Jittered(pause);
  Arm(next_read_at_, actions);
}

// All that is to be done now is done.
void share_holder::FinishRound(monotonic_time now, share_actions& actions) {
  phase_ = phase::kIdle;
  if (releasing_ && table_.Find(vm_) == nullptr) {
    released_ = true;
    actions.emplace_back(release_done{});
    return;
  }
  const bool is_waiting = share_.floor_ppm + share_.leased_ppm == 0;
  next_read_at_ =
      now + Jittered(is_waiting && !releasing_ ? kJoinPause
                                               : settings_.renew_interval);
  if (lowering_ && lowering_->applied_at) {
    const monotonic_time settled =
        *lowering_->applied_at + settings_.loan_settle;
    next_read_at_ = std::max(now, std::min(next_read_at_, settled));
  }
  Arm(next_read_at_, actions);
}

// While the store doesn't answer, the back-off stands.
void share_holder::ReadWithin(duration d, monotonic_time now,
                              share_actions& actions) {
  if (phase_ != phase::kIdle || failures_ > 0) return;
  next_read_at_ = std::min(next_read_at_, now + d);
  Arm(next_read_at_, actions);
}

void share_holder::Arm(monotonic_time at, share_actions& actions) {
  actions.emplace_back(arm_timer{at});
}

duration share_holder::Jittered(duration around) {
  std::uniform_real_distribution<double> factor(kLeastJitter, kMostJitter);
  return FromSeconds(ToSeconds(around) * factor(random_));
}

}  // namespace citron
