#include "citron/protocol/ownership.h"

#include <algorithm>
#include <cassert>
#include <string_view>

#include "citron/base/digest.h"

// Why ownership is exclusive.
//
// An owner is a process that has a row in the table and to which the table
// assigns the upstream. An upstream's owner is changed only by that owner, or
// by a member that removes the owner's row ("takes over"; in code: evicts). So
// no member may take over while the owner may still send. Two exceptions need
// no wait: operators have declared the VM dead, or a later process of the same
// VM has bound the old process's address. For each member that could take over,
// the owner keeps a bound, a time by the owner's clock before which that member
// can't, and the owner stops sending at the earliest bound:
//  - after a write that took effect, ttl from the request of the write: a
//    member takes over only after the counter of that write has stood still for
//    ttl and margin, and the member can't have read it before the request;
//  - after a promise, ttl from the request for the promise;
//  - a member that the owner has not acknowledged, because it joined after the
//    owner's last write, waits for the horizon instead. The owner doesn't know
//    that member and can't request promises from it. In turn, an owner never
//    sends past the horizon since its last write.
// A sole member has acknowledged no others: only the horizon limits it.
//
// With weaker rules, two dispatches fill the slots of the same upstream and
// overload it, and neither of them notices. The upstream then has more requests
// in flight than slots.

namespace citron {

namespace {

using ownership_action::arm_timer;
using ownership_action::left;
using ownership_action::notify_owner;
using ownership_action::ownership_changed;
using ownership_action::read_table;
using ownership_action::send_promise;
using ownership_action::send_promise_request;
using ownership_action::write_table;

// Promise requests are half a renew interval apart. With the default options,
// the ttl of older ones has passed, and promises for them are of no use.
constexpr std::size_t kMaxOpenRequests = 8;
// Longest wait after failed store calls, in renew intervals. Without backoff,
// members would call a failed store every second for as long as an hour-long
// outage; random waits keep them from calling a recovered store all at once.
constexpr int kMaxBackoffIntervals = 5;
// Renew intervals between the reads of a dispatch that stands by. It has no
// ownership to renew, so it looks for a free place less often.
constexpr int kStandbyFactor = 5;
// Renew intervals between attempts to use the local control while calls go
// through another VM.
constexpr int kLocalRouteFactor = 10;

vm_id RendezvousWinner(const upstream_id& upstream,
                       const std::set<vm_id>& candidates) {
  vm_id winner;
  std::uint64_t best = 0;
  for (const vm_id& vm : candidates) {
    const std::uint64_t weight = HashBytes(vm.Str(), HashBytes(upstream.Str()));
    if (!winner.IsEmpty() && weight <= best) continue;
    winner = vm;
    best = weight;
  }
  return winner;
}

void RemoveMember(ownership_table& table, const vm_id& vm) {
  table.members.erase(vm);
  std::erase_if(table.assignments,
                [&](const auto& item) { return item.second.owner == vm; });
  for (auto& [upstream, assignment] : table.assignments) {
    if (assignment.draining_at != vm) continue;
    assignment.draining_at = vm_id();
    assignment.draining_count = 0;
  }
}

}  // namespace

ownership::ownership(ownership_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {
  assert(options_.renew_interval < options_.ttl);
  assert(options_.ttl < options_.horizon);
}

ownership::actions ownership::OnTimer(monotonic_time now) {
  actions out;
  if (call_ && now >= call_->requested_at + options_.store_timeout) {
    call_.reset();
    ScheduleRetry(now);
  }
  if (!call_ && !left_ && now >= next_store_at_) StartStoreCall(now, out);
  RequestPromises(now, out);
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnTableRead(std::uint64_t call,
                                          const std::string& json,
                                          std::uint64_t revision,
                                          monotonic_time now) {
  actions out;
  if (!CompletesCall(call)) return out;
  store_failures_ = 0;
  next_store_at_ = now + options_.renew_interval;
  if (json.empty()) {
    AdoptTable(ownership_table{}, 0, now);
    PlanWrite(now, out);
    EmitChangeAndTimer(now, out);
    return out;
  }
  const result<ownership_table> parsed = ParseOwnershipTable(json);
  if (!IsOk(parsed)) {
    // Without a valid table this process writes nothing until an operator has
    // repaired the table, so it neither takes over nor renews. Ownership from
    // an earlier table goes on by promises, or without other members, and ends
    // at the horizon at the latest.
    ++malformed_tables_;
    EmitChangeAndTimer(now, out);
    return out;
  }
  AdoptTable(ValueOf(parsed), revision, now);
  PlanWrite(now, out);
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnCasResult(std::uint64_t call,
                                          cas_outcome outcome,
                                          std::uint64_t revision,
                                          monotonic_time now) {
  actions out;
  if (!CompletesCall(call)) return out;
  if (outcome == cas_outcome::kOk) {
    assert(!pending_writes_.empty() && pending_writes_.back().call == call);
    const pending_write written = pending_writes_.back();
    pending_writes_.clear();
    store_failures_ = 0;
    next_store_at_ =
        now + options_.renew_interval - RandomUpTo(options_.renew_interval / 5);
    RecordWrite(written);
    const ownership_table before = std::move(table_);
    AdoptTable(written.table, revision, now);
    NotifyNewOwners(before, out);
    if (leaving_ && !IsMember()) FinishLeaving(out);
  } else if (outcome == cas_outcome::kConflict) {
    // Several members write to one value; a short random wait avoids repeated
    // conflicts.
    const auto members = static_cast<int>(table_.members.size() + 1);
    next_store_at_ = now + RandomUpTo(options_.conflict_backoff * members);
  } else {
    ScheduleRetry(now);
  }
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnStoreUnreachable(std::uint64_t call,
                                                 monotonic_time now) {
  actions out;
  if (!CompletesCall(call)) return out;
  std::erase_if(pending_writes_,
                [&](const pending_write& a) { return a.call == call; });
  UpdateBounds();
  ScheduleRetry(now);
  RequestPromises(now, out);
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnPromiseRequest(const promise_request& message,
                                               monotonic_time now) {
  promise answer;
  answer.from = options_.vm;
  answer.from_incarnation = message.to_incarnation;
  answer.to_incarnation = message.from_incarnation;
  answer.number = message.number;
  answer.address = options_.address;
  if (message.to_incarnation != options_.incarnation) {
    // The request addresses an earlier process of this VM. The receiver accepts
    // this report only if this process's address is in the earlier process's
    // row: a frozen process keeps its port, and a leaving one closes its port
    // last, so the earlier process has then ended.
    if (message.to_incarnation > options_.incarnation) return {};
    answer.predecessor_ended = true;
    return {send_promise{message.from, answer}};
  }
  if (!has_table_ || left_) return {};
  // A sender that was taken over gets no promise, or it would go on sending
  // beside its successor. A sender that joined after this table was read is
  // missing from the table only for that reason, and gets a promise.
  const auto row = table_.members.find(message.from);
  const bool is_member = row != table_.members.end() &&
                         row->second.incarnation == message.from_incarnation;
  if (!is_member && message.joined <= table_.epoch) return {};
  // A write that takes over may still take effect, even if its answer was
  // lost; a promise can't revoke it.
  for (const pending_write& a : pending_writes_) {
    const auto kept = a.table.members.find(message.from);
    const bool evicts =
        is_member && (kept == a.table.members.end() ||
                      kept->second.incarnation != message.from_incarnation);
    if (evicts) return {};
  }
  monotonic_time& until =
      promised_until_[{message.from, message.from_incarnation}];
  until = std::max(until, now + ObserverWait(options_.ttl));
  return {send_promise{message.from, answer}};
}

ownership::actions ownership::OnPromise(const promise& message,
                                        monotonic_time now) {
  actions out;
  const auto request = requests_.find(message.number);
  if (request == requests_.end()) return out;
  if (message.to_incarnation != options_.incarnation) return out;
  const auto bound = bounds_.find({message.from, message.from_incarnation});
  if (bound == bounds_.end()) return out;
  if (!message.predecessor_ended) {
    bound->second = std::max(bound->second, request->second + options_.ttl);
    EmitChangeAndTimer(now, out);
    return out;
  }
  // The address of the earlier process's row shows that this process has ended.
  // It can't take over any more, but a write that it sent before may still
  // arrive. Before its bound it can't have sent such a write.
  const auto row = table_.members.find(message.from);
  const bool same_address =
      row != table_.members.end() && row->second.address == message.address;
  if (same_address && now < bound->second) {
    bound->second = monotonic_time::max();
  }
  EmitChangeAndTimer(now, out);
  return out;
}

// Without the notice an upstream that was handed over stays idle until the new
// owner's next renewal, while its callers are refused.
void ownership::NotifyNewOwners(const ownership_table& before,
                                actions& out) const {
  std::set<vm_id> new_owners;
  for (const auto& [upstream, assignment] : table_.assignments) {
    if (assignment.owner == options_.vm) continue;
    const auto old = before.assignments.find(upstream);
    const bool is_new = old == before.assignments.end() ||
                        old->second.owner != assignment.owner;
    if (is_new) new_owners.insert(assignment.owner);
  }
  for (const vm_id& owner : new_owners) out.emplace_back(notify_owner{owner});
}

ownership::actions ownership::OnTableChanged(monotonic_time now) {
  actions out;
  if (call_) {
    reads_again_ = true;
  } else {
    next_store_at_ = std::min(next_store_at_, now);
  }
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnUpstreams(
    const std::set<upstream_id>& upstreams, monotonic_time now) {
  actions out;
  if (has_upstreams_ && upstreams == upstreams_) return out;
  upstreams_ = upstreams;
  has_upstreams_ = true;
  next_store_at_ = std::min(next_store_at_, now);
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnInFlight(const upstream_id& upstream, int count,
                                         monotonic_time now) {
  actions out;
  if (count > 0) {
    in_flight_[upstream] = count;
    return out;
  }
  in_flight_.erase(upstream);
  const auto assignment = table_.assignments.find(upstream);
  const bool is_draining = assignment != table_.assignments.end() &&
                           assignment->second.draining_at == options_.vm;
  if (!leaving_ && !is_draining && !handovers_.contains(upstream)) return out;
  next_store_at_ = std::min(next_store_at_, now);
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnLeave(monotonic_time now) {
  actions out;
  leaving_ = true;
  next_store_at_ = std::min(next_store_at_, now);
  if (!IsMember() && pending_writes_.empty()) FinishLeaving(out);
  EmitChangeAndTimer(now, out);
  return out;
}

ownership::actions ownership::OnDeclaredDead(const std::set<vm_id>& gone,
                                             monotonic_time now) {
  actions out;
  if (gone == dead_vms_) return out;
  dead_vms_ = gone;
  next_store_at_ = std::min(next_store_at_, now);
  EmitChangeAndTimer(now, out);
  return out;
}

// A frozen process may resume at any instruction, so no earlier result is
// reused: the time is read right before the send and compared with bounds that
// don't depend on the current time, so a pause can't make them stale.
bool ownership::MaySend(const upstream_id& upstream, monotonic_time now) const {
  if (now >= SendDeadline()) return false;
  if (handovers_.contains(upstream)) return false;
  if (!IsAssignedToThisVm(table_, upstream)) return false;
  return std::all_of(pending_writes_.begin(), pending_writes_.end(),
                     [&](const pending_write& a) {
                       return IsAssignedToThisVm(a.table, upstream);
                     });
}

int ownership::ReservedSlots(const upstream_id& upstream) const {
  const auto assignment = table_.assignments.find(upstream);
  if (assignment == table_.assignments.end()) return 0;
  if (assignment->second.draining_at == options_.vm) return 0;
  return assignment->second.draining_count;
}

monotonic_time ownership::SendDeadline() const {
  const bool may_own =
      IsMember() && last_written_ && !left_ && !dead_vms_.contains(options_.vm);
  if (!may_own) return monotonic_time::min();
  monotonic_time until = *last_written_ + options_.horizon;
  for (const auto& [member, bound] : bounds_) until = std::min(until, bound);
  return until;
}

std::set<upstream_id> ownership::AssignedUpstreams() const {
  std::set<upstream_id> owned;
  for (const auto& [upstream, assignment] : table_.assignments) {
    if (IsAssignedToThisVm(table_, upstream)) owned.insert(upstream);
  }
  return owned;
}

std::set<upstream_id> ownership::SendableUpstreams(monotonic_time now) const {
  std::set<upstream_id> sendable;
  for (const auto& [upstream, assignment] : table_.assignments) {
    if (MaySend(upstream, now)) sendable.insert(upstream);
  }
  return sendable;
}

vm_id ownership::OwnerOf(const upstream_id& upstream) const {
  const auto assignment = table_.assignments.find(upstream);
  return assignment == table_.assignments.end() ? vm_id()
                                                : assignment->second.owner;
}

bool ownership::IsMember() const {
  const auto row = table_.members.find(options_.vm);
  return row != table_.members.end() &&
         row->second.incarnation == options_.incarnation;
}

bool ownership::IsAssignedToThisVm(const ownership_table& table,
                                   const upstream_id& u) const {
  const auto assignment = table.assignments.find(u);
  return assignment != table.assignments.end() &&
         assignment->second.owner == options_.vm;
}

bool ownership::CompletesCall(std::uint64_t call) {
  if (!call_ || call_->number != call) return false;
  call_.reset();
  return true;
}

// Returns how long an observer must wait until `period` has surely passed by
// the other side's clock, which may run at a different rate.
duration ownership::ObserverWait(duration period) const {
  return period + FromSeconds(ToSeconds(period) * options_.max_rate_error) +
         options_.margin;
}

int ownership::InFlight(const upstream_id& upstream) const {
  const auto found = in_flight_.find(upstream);
  return found == in_flight_.end() ? 0 : found->second;
}

duration ownership::RandomUpTo(duration most) {
  return duration(static_cast<duration::rep>(static_cast<double>(most.count()) *
                                             (random_() / 4294967296.0)));
}

void ownership::AdoptTable(ownership_table table, std::uint64_t revision,
                           monotonic_time now) {
  table_ = std::move(table);
  revision_ = revision;
  has_table_ = true;
  ResolvePendingWrites();
  ObserveRows(now);
  UpdateBounds();
  std::erase_if(handovers_, [&](const auto& item) {
    return !IsAssignedToThisVm(table_, item.first);
  });
  std::erase_if(promised_until_,
                [&](const auto& item) { return item.second < now; });
}

// Settles pending writes by the table just read: once its revision differs from
// the one that a write expected, the write can't take effect any more; if the
// write took effect before, this VM's row has its counter.
void ownership::ResolvePendingWrites() {
  const auto row = table_.members.find(options_.vm);
  for (const pending_write& a : pending_writes_) {
    const bool took_effect = a.expected_revision != revision_ && IsMember() &&
                             row->second.counter == a.counter;
    if (took_effect) RecordWrite(a);
  }
  std::erase_if(pending_writes_, [&](const pending_write& a) {
    return a.expected_revision != revision_;
  });
}

// Bounds count from the request of the write: by the time of the answer, other
// members may have watched the counter for as long as the answer took.
void ownership::RecordWrite(const pending_write& written) {
  last_written_ = std::max(last_written_.value_or(monotonic_time::min()),
                           written.requested_at);
  for (const auto& [vm, row] : written.table.members) {
    if (vm == options_.vm) continue;
    monotonic_time& bound = bounds_[{vm, row.incarnation}];
    bound = std::max(bound, written.requested_at + options_.ttl);
  }
}

void ownership::ObserveRows(monotonic_time now) {
  std::erase_if(row_observations_, [&](const auto& item) {
    return !table_.members.contains(item.first);
  });
  for (const auto& [vm, row] : table_.members) {
    const auto [at, is_new] = row_observations_.try_emplace(vm);
    row_observation& seen = at->second;
    const bool same = !is_new && seen.incarnation == row.incarnation &&
                      seen.counter == row.counter;
    if (!same) seen = {row.incarnation, row.counter, now};
  }
}

// While a write is pending, the members that it acknowledges may have seen it
// already, so no bound is removed.
void ownership::UpdateBounds() {
  if (!pending_writes_.empty()) return;
  std::erase_if(bounds_, [&](const auto& item) {
    const auto& [vm, incarnation] = item.first;
    const auto row = table_.members.find(vm);
    return !IsMember() || row == table_.members.end() ||
           row->second.incarnation != incarnation ||
           !table_.Acknowledged(options_.vm, vm);
  });
  if (!IsMember()) return;
  for (const auto& [vm, row] : table_.members) {
    if (vm == options_.vm || !table_.Acknowledged(options_.vm, vm)) continue;
    bounds_.try_emplace({vm, row.incarnation}, monotonic_time::min());
  }
}

void ownership::ScheduleRetry(monotonic_time now) {
  ++store_failures_;
  ++route_;
  const duration most =
      options_.renew_interval * std::min(store_failures_, kMaxBackoffIntervals);
  next_store_at_ = now + most / 2 + RandomUpTo(most / 2);
}

void ownership::PlanWrite(monotonic_time now, actions& out) {
  // If an operator has declared this VM dead, it stops writing: the other
  // members take over at once.
  if (left_ || dead_vms_.contains(options_.vm)) return;
  ownership_table next = table_;
  if (!IsMember()) {
    if (leaving_) {
      FinishLeaving(out);
      return;
    }
    if (!has_upstreams_ || !Join(next, now)) {
      next_store_at_ = now + options_.renew_interval;
      if (next.members.size() >= options_.max_members) {
        next_store_at_ = now + options_.renew_interval * kStandbyFactor;
      }
      return;
    }
  }
  Evict(next, now);
  next.members.at(options_.vm).leaving = leaving_;
  DropUnknownUpstreams(next);
  ClearDrained(next);
  HandOver(next, now);
  TakeUnassigned(next, now);
  if (leaving_ && HoldsNoUpstream(next)) RemoveMember(next, options_.vm);
  Write(std::move(next), now, out);
}

void ownership::FinishLeaving(actions& out) {
  if (left_) return;
  left_ = true;
  out.emplace_back(left{});
}

bool ownership::Join(ownership_table& next, monotonic_time now) const {
  const auto row = next.members.find(options_.vm);
  if (row != next.members.end()) {
    const ownership_member& old = row->second;
    // A later process of this VM has joined and replaced this one.
    if (old.incarnation > options_.incarnation) return false;
    // At the same address, the previous process has ended: the kernel frees a
    // port only when all threads have ended, also those of a frozen process,
    // and a leaving process closes its port only after its row is removed. So
    // this process replaces the row and keeps the VM's assignments. At another
    // address it waits like any other observer.
    const bool is_replaced = old.address == options_.address;
    if (!is_replaced && !MayEvict(options_.vm, old, now)) return false;
  } else {
    Evict(next, now);
    if (next.members.size() >= options_.max_members) return false;
  }
  ownership_member& self = next.members[options_.vm];
  self = ownership_member{};
  self.incarnation = options_.incarnation;
  self.address = options_.address;
  self.joined = ++next.epoch;
  self.seen = next.epoch;
  return true;
}

bool ownership::MayEvict(const vm_id& vm, const ownership_member& row,
                         monotonic_time now) const {
  if (dead_vms_.contains(vm)) return true;
  const auto seen = row_observations_.find(vm);
  if (seen == row_observations_.end()) return false;
  const bool is_acknowledged =
      IsMember() && table_.Acknowledged(vm, options_.vm);
  const duration wait =
      ObserverWait(is_acknowledged ? options_.ttl : options_.horizon);
  if (now - seen->second.since < wait) return false;
  const auto promised = promised_until_.find({vm, row.incarnation});
  return promised == promised_until_.end() || now >= promised->second;
}

void ownership::Evict(ownership_table& next, monotonic_time now) const {
  std::vector<vm_id> evicted;
  for (const auto& [vm, row] : next.members) {
    if (vm != options_.vm && MayEvict(vm, row, now)) evicted.push_back(vm);
  }
  for (const vm_id& vm : evicted) RemoveMember(next, vm);
}

void ownership::DropUnknownUpstreams(ownership_table& next) const {
  if (!has_upstreams_) return;
  std::erase_if(next.assignments, [&](const auto& item) {
    return item.second.owner == options_.vm &&
           !upstreams_.contains(item.first) && InFlight(item.first) == 0;
  });
}

void ownership::ClearDrained(ownership_table& next) const {
  for (auto& [id, assignment] : next.assignments) {
    if (assignment.draining_at != options_.vm || InFlight(id) > 0) continue;
    assignment.draining_at = vm_id();
    assignment.draining_count = 0;
  }
}

// Hands over one upstream at a time, as each has no owner for a moment. A
// leaving process hands over all at once, as it has no time to spare.
void ownership::HandOver(ownership_table& next, monotonic_time now) {
  const std::set<vm_id> candidates = Candidates(next, now);
  std::vector<upstream_id> released;
  for (auto& [upstream, assignment] : next.assignments) {
    if (assignment.owner != options_.vm) continue;
    const vm_id to = RendezvousWinner(upstream, candidates);
    if (to == options_.vm) {
      handovers_.erase(upstream);
      continue;
    }
    if (to.IsEmpty()) {
      handovers_.erase(upstream);
      if (leaving_ && InFlight(upstream) == 0) released.push_back(upstream);
      continue;
    }
    const bool may_begin = leaving_ || handovers_.empty();
    if (!handovers_.contains(upstream) && !may_begin) continue;
    // An assignment records the slots of only one previous owner.
    if (!assignment.draining_at.IsEmpty()) continue;
    HandOverUpstream(upstream, assignment, to, now);
  }
  for (const upstream_id& upstream : released) next.assignments.erase(upstream);
}

// Long requests may be in flight for minutes, and waiting for them would leave
// the upstream's other slots idle. After `handover_drain_limit` the assignment
// records their count, and the new owner doesn't use their slots.
void ownership::HandOverUpstream(const upstream_id& upstream,
                                 ownership_assignment& assignment,
                                 const vm_id& to, monotonic_time now) {
  const auto [at, is_new] =
      handovers_.try_emplace(upstream, now + options_.handover_drain_limit);
  const int count = InFlight(upstream);
  if (count == 0) {
    assignment = {to, vm_id(), 0};
  } else if (now >= at->second) {
    assignment = {to, options_.vm, count};
  }
}

void ownership::TakeUnassigned(ownership_table& next,
                               monotonic_time now) const {
  if (leaving_) return;
  const std::set<vm_id> candidates = Candidates(next, now);
  for (const upstream_id& upstream : upstreams_) {
    if (next.assignments.contains(upstream)) continue;
    if (RendezvousWinner(upstream, candidates) != options_.vm) continue;
    next.assignments[upstream] = {options_.vm, vm_id(), 0};
  }
}

bool ownership::HoldsNoUpstream(const ownership_table& table) const {
  return std::none_of(table.assignments.begin(), table.assignments.end(),
                      [&](const auto& item) {
                        return item.second.owner == options_.vm ||
                               item.second.draining_at == options_.vm;
                      });
}

// Returns the members that appear alive. The result only guides assignments; a
// wrong one costs a hand-over.
std::set<vm_id> ownership::Candidates(const ownership_table& table,
                                      monotonic_time now) const {
  std::set<vm_id> candidates;
  for (const auto& [vm, row] : table.members) {
    if (row.leaving || dead_vms_.contains(vm)) continue;
    const auto seen = row_observations_.find(vm);
    const bool is_alive =
        vm == options_.vm ||
        (seen != row_observations_.end() &&
         now - seen->second.since < ObserverWait(options_.ttl));
    if (is_alive) candidates.insert(vm);
  }
  return candidates;
}

// Writes without a read only if this process is the sole row of the table and
// no write is pending: a write conflict then shows a new member. Otherwise
// reads first, to observe the other members' counters.
void ownership::StartStoreCall(monotonic_time now, actions& out) {
  const bool is_alone = IsMember() && table_.members.size() == 1;
  if (is_alone && pending_writes_.empty()) {
    PlanWrite(now, out);
    return;
  }
  Read(now, out);
}

void ownership::Read(monotonic_time now, actions& out) {
  call_ = store_call{++last_call_, now};
  out.emplace_back(read_table{last_call_, Route(true, now)});
}

void ownership::Write(ownership_table next, monotonic_time now, actions& out) {
  const auto self = next.members.find(options_.vm);
  if (self != next.members.end()) {
    self->second.counter = ++counter_;
    self->second.seen = next.epoch;
  }
  // From now on the other members may learn that they are acknowledged, and
  // take over ttl later; this shortens ownership that was valid up to the
  // horizon.
  for (const auto& [vm, row] : next.members) {
    if (vm == options_.vm || !IsMember()) continue;
    bounds_.try_emplace({vm, row.incarnation}, now + options_.ttl);
  }
  call_ = store_call{++last_call_, now};
  out.emplace_back(write_table{last_call_, Route(false, now),
                               WriteOwnershipTable(next), revision_});
  pending_writes_.push_back(
      {last_call_, counter_, revision_, now, std::move(next)});
}

// If no write has taken effect for 1.5 renew intervals, requests a promise from
// every member that could take over. All of them must answer: a member that
// doesn't may be cut off from this process but not from the store.
void ownership::RequestPromises(monotonic_time now, actions& out) {
  if (bounds_.empty() || left_ || !IsMember() || now < next_request_at_) return;
  const bool renewed =
      last_written_ && now < *last_written_ + options_.renew_interval * 3 / 2;
  if (renewed) return;
  // Past the horizon a promise doesn't extend ownership, and would only keep
  // the other members from taking over.
  if (!last_written_ || now >= *last_written_ + options_.horizon) return;
  next_request_at_ = now + options_.renew_interval / 2;
  requests_[++last_request_] = now;
  if (requests_.size() > kMaxOpenRequests) requests_.erase(requests_.begin());
  for (const auto& [member, bound] : bounds_) {
    promise_request message;
    message.from = options_.vm;
    message.from_incarnation = options_.incarnation;
    message.to_incarnation = member.second;
    message.joined = table_.members.at(options_.vm).joined;
    message.number = last_request_;
    out.emplace_back(send_promise_request{member.first, message});
  }
}

// After a failure, tries the zone's other members in turn: their controls may
// reach the store. A route that worked is kept, as a renewal takes two calls;
// the local control is retried after `kLocalRouteFactor` renew intervals.
vm_id ownership::Route(bool is_read, monotonic_time now) {
  std::vector<vm_id> routes = {vm_id()};
  for (const auto& [vm, row] : table_.members) {
    if (vm != options_.vm) routes.push_back(vm);
  }
  if (is_read && now >= local_route_retry_at_) route_ = 0;
  if (route_ % routes.size() == 0) {
    local_route_retry_at_ = now + options_.renew_interval * kLocalRouteFactor;
  }
  return routes[route_ % routes.size()];
}

void ownership::EmitChangeAndTimer(monotonic_time now, actions& out) {
  const monotonic_time until = SendDeadline();
  std::set<upstream_id> owned = SendableUpstreams(now);
  if (owned != reported_owned_) {
    reported_owned_ = owned;
    out.emplace_back(ownership_changed{std::move(owned), until});
  }
  if (left_) return;
  if (reads_again_ && !call_) {
    reads_again_ = false;
    next_store_at_ = std::min(next_store_at_, now);
  }
  monotonic_time at = now + options_.renew_interval;
  const auto arm_by = [&](monotonic_time t) {
    if (t > now) at = std::min(at, t);
  };
  if (call_) {
    arm_by(call_->requested_at + options_.store_timeout);
  } else {
    at = std::min(at, std::max(now, next_store_at_));
  }
  arm_by(next_request_at_);
  arm_by(until);
  out.emplace_back(arm_timer{at});
}

}  // namespace citron
