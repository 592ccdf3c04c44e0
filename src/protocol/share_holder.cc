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
constexpr duration kConflictPause = std::chrono::milliseconds(20);

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
  share_actions actions;
  Read(now, actions);
  return actions;
}

share_actions share_holder::OnTimer(monotonic_time now) {
  share_actions actions;
  if (released_ || gone_.contains(vm_)) return actions;
  if (phase_ != phase::kIdle) {
    if (now >= reply_deadline_) {
      OnFailure(now, actions);
    } else {
      Arm(reply_deadline_, actions);
    }
    return actions;
  }
  if (now < next_write_at_) {
    Arm(next_write_at_, actions);
  } else if (!table_known_ || pending_) {
    Read(now, actions);
  } else {
    Write(now, actions);
  }
  return actions;
}

share_actions share_holder::OnTableRead(const std::string& json,
                                        std::uint64_t revision,
                                        monotonic_time now) {
  share_actions actions;
  if (phase_ != phase::kReading || released_) return actions;
  phase_ = phase::kIdle;
  if (!TakeTable(json, revision, now)) {
    OnFailure(now, actions);
    return actions;
  }
  failures_ = 0;
  if (pending_ && PendingTookEffect()) {
    Confirm(revision, now, actions);
    return actions;
  }
  pending_.reset();
  if (CheckOwnEntry(actions)) Write(now, actions);
  return actions;
}

share_actions share_holder::OnReadFailed(monotonic_time now) {
  share_actions actions;
  if (phase_ == phase::kReading) OnFailure(now, actions);
  return actions;
}

share_actions share_holder::OnCasResult(std::uint64_t write_id,
                                        const cas_result& result,
                                        monotonic_time now) {
  share_actions actions;
  // The result of a write that was given up came late. What it says was found
  // out, or is being found out, by a read.
  if (phase_ != phase::kWriting || !pending_ || pending_->id != write_id) {
    return actions;
  }
  if (const auto* ok = std::get_if<cas_ok>(&result)) {
    phase_ = phase::kIdle;
    failures_ = 0;
    Confirm(ok->revision, now, actions);
    return actions;
  }
  const auto* conflict = std::get_if<cas_conflict>(&result);
  if (conflict == nullptr ||
      !TakeTable(conflict->json, conflict->revision, now)) {
    OnFailure(now, actions);
    return actions;
  }
  phase_ = phase::kIdle;
  failures_ = 0;
  // An earlier try of the store's client may have taken effect, and the
  // conflict then is with ourselves.
  if (PendingTookEffect()) {
    Confirm(conflict->revision, now, actions);
    return actions;
  }
  pending_.reset();
  if (!CheckOwnEntry(actions)) return actions;
  // The first conflict is the rule: others have written since our last
  // renewal. Only further ones are a crowd.
  if (conflicts_++ == 0) {
    Write(now, actions);
    return actions;
  }
  next_write_at_ = now + Jittered(kConflictPause * conflicts_);
  Arm(next_write_at_, actions);
  return actions;
}

share_actions share_holder::OnGoneVms(const std::set<vm_id>& gone,
                                      monotonic_time now) {
  share_actions actions;
  const bool was_gone = gone_.contains(vm_);
  gone_ = gone;
  if (released_) return actions;
  // Others give our parts on now: whatever our reasons to think that we live,
  // using them on would double them.
  if (gone_.contains(vm_)) {
    if (!was_gone) GiveUpShare(actions);
    return actions;
  }
  if (was_gone) Read(now, actions);
  const bool holds_parts =
      std::any_of(gone.begin(), gone.end(),
                  [&](const vm_id& vm) { return table_.Find(vm) != nullptr; });
  if (holds_parts && phase_ == phase::kIdle && failures_ == 0) {
    next_write_at_ = std::min(next_write_at_, now + Jittered(kConflictPause));
    Arm(next_write_at_, actions);
  }
  return actions;
}

share_actions share_holder::OnGrantApplied(std::uint64_t sequence,
                                           monotonic_time now) {
  share_actions actions;
  if (!lowering_ || lowering_->applied_at || sequence < lowering_->sequence) {
    return actions;
  }
  lowering_->applied_at = now;
  if (phase_ == phase::kIdle && failures_ == 0) {
    next_write_at_ = std::min(next_write_at_, now + settings_.loan_settle);
    Arm(next_write_at_, actions);
  }
  return actions;
}

share_actions share_holder::OnRelease(monotonic_time now) {
  share_actions actions;
  if (releasing_ || released_) return actions;
  releasing_ = true;
  Lower(parts{}, actions);
  if (phase_ == phase::kIdle && failures_ == 0) {
    next_write_at_ = std::min(next_write_at_, now + settings_.loan_settle);
    Arm(next_write_at_, actions);
  }
  return actions;
}

// Says whether the table can be used.
bool share_holder::TakeTable(const std::string& json, std::uint64_t revision,
                             monotonic_time now) {
  result<share_table> parsed = ParseShareTable(json);
  // Somebody else wrote over the table. Our own writes would hide it, and
  // could count parts twice; the parts we have end by themselves.
  if (!IsOk(parsed)) return false;
  // A read that was answered by a lagging copy of the store.
  if (table_known_ && revision < revision_) return true;
  table_ = std::move(ValueOf(parsed));
  revision_ = revision;
  table_known_ = true;
  RecordSightings(now);
  return true;
}

// Leases are free of clock skew: a holder counts from before it asked, and we
// count from when we first saw the result of that, which is later whatever the
// clocks show. So each sighting keeps the moment of the first view.
void share_holder::RecordSightings(monotonic_time now) {
  std::map<vm_id, sighting> next;
  for (const share_entry& entry : table_.entries) {
    sighting seen{entry.incarnation, entry.renewals, now};
    const auto before = sightings_.find(entry.vm);
    if (before != sightings_.end() &&
        before->second.incarnation == seen.incarnation &&
        before->second.renewals == seen.renewals) {
      seen.since = before->second.since;
    }
    next.emplace(entry.vm, seen);
  }
  sightings_ = std::move(next);
}

bool share_holder::IsSilentFor(const share_entry& entry, duration silence,
                               monotonic_time now) const {
  if (entry.vm == vm_) return false;
  const auto seen = sightings_.find(entry.vm);
  return seen != sightings_.end() && now - seen->second.since >= silence;
}

bool share_holder::IsLapsed(const share_entry& entry,
                            monotonic_time now) const {
  return IsSilentFor(entry, settings_.lease + settings_.margin, now);
}

// Frees what nobody uses any more. The write that carries it is a
// compare-and-swap on the revision at which the entries were silent, so a
// renewal in between makes it fail.
//
// A floor outlives a list of VMs that has lost its entry: a zone that is cut
// off vanishes from the list while it goes on serving. Taken too early, its
// workspaces would get their rate on both sides of the cut.
void share_holder::ReclaimLapsed(share_table& next, monotonic_time now) const {
  std::erase_if(next.entries, [&](const share_entry& entry) {
    return gone_.contains(entry.vm) ||
           IsSilentFor(entry, settings_.floor_horizon + settings_.margin, now);
  });
  for (share_entry& entry : next.entries) {
    if (IsLapsed(entry, now)) entry.leased_ppm = 0;
  }
  std::erase_if(next.entries, [&](const share_entry& entry) {
    return entry.floor_ppm + entry.leased_ppm == 0 && IsLapsed(entry, now);
  });
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

void share_holder::Write(monotonic_time now, share_actions& actions) {
  pending_write write{table_, 0, now};
  share_table& next = write.table;
  ReclaimLapsed(next, now);
  const parts own = NextParts(next, now, actions);
  const share_entry* before = next.Find(vm_);
  // Unique among all writes of this VM, also those whose result was lost, so
  // that a read tells which of them stands.
  write.id = std::max(last_write_id_, before ? before->renewals : 0) + 1;
  last_write_id_ = write.id;
  if (releasing_ && MayLowerTable(own, now)) {
    next.Remove(vm_);
  } else {
    share_entry& entry = next.FindOrAdd(vm_);
    entry.zone = zone_;
    entry.incarnation = incarnation_;
    entry.renewals = write.id;
    entry.floor_ppm = own.floor_ppm;
    entry.leased_ppm = own.leased_ppm;
  }
  assert(next.FreePpm() >= 0);
  actions.emplace_back(
      write_table{EncodeShareTable(next), revision_, write.id});
  pending_ = std::move(write);
  phase_ = phase::kWriting;
  reply_deadline_ = now + settings_.reply_timeout;
  Arm(reply_deadline_, actions);
}

void share_holder::Read(monotonic_time now, share_actions& actions) {
  actions.emplace_back(read_table{});
  phase_ = phase::kReading;
  reply_deadline_ = now + settings_.reply_timeout;
  Arm(reply_deadline_, actions);
}

// The store's answer to a write may be lost after the write took effect. The
// entry that stands then bears the write's number.
bool share_holder::PendingTookEffect() const {
  const share_entry* stands = table_.Find(vm_);
  const share_entry* meant = pending_->table.Find(vm_);
  if (meant == nullptr) return stands == nullptr;
  return stands != nullptr && stands->incarnation == incarnation_ &&
         stands->renewals == pending_->id;
}

// Our write stands: what it gives us counts from before it was sent.
void share_holder::Confirm(std::uint64_t revision, monotonic_time now,
                           share_actions& actions) {
  const pending_write written = std::move(*pending_);
  pending_.reset();
  conflicts_ = 0;
  const share_entry* own = written.table.Find(vm_);
  if (revision > revision_) {
    table_ = written.table;
    revision_ = revision;
    RecordSightings(now);
  }
  if (own == nullptr) {
    released_ = true;
    actions.emplace_back(release_done{});
    return;
  }
  parts granted{own->floor_ppm, own->leased_ppm};
  if (lowering_) {
    if (granted.IsWithin(lowering_->target) && !releasing_) {
      lowering_.reset();
    } else {
      granted = Least(granted, lowering_->target);
    }
  }
  share_.leased_until = written.asked_at + settings_.lease;
  share_.floor_until = written.asked_at + settings_.floor_horizon;
  leased_parts_end_ = std::max(leased_parts_end_, share_.leased_until);
  Grant(granted, actions);
  const bool first = !joined_;
  joined_ = true;
  next_write_at_ =
      now + Jittered(first && granted.Sum() == 0 ? kJoinPause
                                                 : settings_.renew_interval);
  ArmNext(now, actions);
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
  pending_.reset();
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
  next_write_at_ = now + Jittered(pause);
  Arm(next_write_at_, actions);
}

void share_holder::ArmNext(monotonic_time now, share_actions& actions) {
  if (lowering_ && lowering_->applied_at) {
    const monotonic_time settled =
        *lowering_->applied_at + settings_.loan_settle;
    next_write_at_ = std::max(now, std::min(next_write_at_, settled));
  }
  Arm(next_write_at_, actions);
}

void share_holder::Arm(monotonic_time at, share_actions& actions) {
  actions.emplace_back(arm_timer{at});
}

duration share_holder::Jittered(duration around) {
  std::uniform_real_distribution<double> factor(kLeastJitter, kMostJitter);
  return FromSeconds(ToSeconds(around) * factor(random_));
}

}  // namespace citron
