#include "citron/protocol/ownership.h"

#include <algorithm>
#include <cassert>
#include <string_view>

#include "citron/base/digest.h"

// How exclusiveness comes about.
//
// An owner is a process whose row is in the table and to which the table
// assigns the upstream. An assignment is changed by the owner itself, or by a
// member that takes the owner's row out ("takes over"). So it is enough that no
// member takes over while the owner may still send. For each member that could,
// the owner keeps a bound, a time by its own clock before which that member
// can't, and it stops sending at the earliest of them:
//  - after a write that took effect, ttl from when the write was asked for: a
//    member takes over only after it saw the counter of that write stand still
//    for ttl and margin, and it can't have seen it before it was asked for;
//  - after a promise, ttl from when the promise was asked for;
//  - a member that the owner has not acknowledged, which is one that joined
//    since the owner last wrote, waits for the horizon instead. The owner can't
//    ask it for promises, as it doesn't know it. In turn an owner never sends
//    past the horizon since its last write.
// A sole member is one without acknowledged others: only the horizon binds it.
//
// What would go wrong with less: two dispatches fill the slots of the same
// upstream, and it is overloaded without any of them noticing. One would see
// more requests in flight at the upstream than it has slots.

namespace citron {

namespace {

using ownership_action::arm_timer;
using ownership_action::left;
using ownership_action::ownership_changed;
using ownership_action::read_table;
using ownership_action::send_promise;
using ownership_action::send_promise_ask;
using ownership_action::write_table;

// Answers to older questions are of no use: their ttl has passed.
constexpr std::size_t kMaxAsks = 8;
// A store that comes back is not to be met by all at once, and one that is down
// for an hour not to be asked every second.
constexpr int kMaxBackoff = 5;
// Those who stand by look for a free place at leisure.
constexpr int kStandbyFactor = 5;
// How many renewals go through another VM before the own control is tried.
constexpr int kOwnRouteFactor = 10;

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
  for (auto& [upstream, entry] : table.assignments) {
    if (entry.draining_at != vm) continue;
    entry.draining_at = vm_id();
    entry.draining_count = 0;
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
  if (call_ && now >= call_->asked + options_.store_timeout) {
    call_.reset();
    AfterFailure(now);
  }
  if (!call_ && !left_ && now >= next_store_at_) UseStore(now, out);
  AskPromises(now, out);
  Finish(now, out);
  return out;
}

ownership::actions ownership::OnTableRead(std::uint64_t call,
                                          const std::string& json,
                                          std::uint64_t revision,
                                          monotonic_time now) {
  actions out;
  if (!TakesCall(call)) return out;
  store_failures_ = 0;
  next_store_at_ = now + options_.renew_interval;
  if (json.empty()) {
    TakeTable(ownership_table{}, 0, now);
    Plan(now, out);
    Finish(now, out);
    return out;
  }
  const result<ownership_table> parsed = ParseOwnershipTable(json);
  if (!IsOk(parsed)) {
    // Nothing is known, so nothing is taken over or renewed; ownership lapses
    // by itself until an operator has mended the table.
    ++bad_tables_;
    Finish(now, out);
    return out;
  }
  TakeTable(ValueOf(parsed), revision, now);
  Plan(now, out);
  Finish(now, out);
  return out;
}

ownership::actions ownership::OnCasResult(std::uint64_t call,
                                          cas_outcome outcome,
                                          std::uint64_t revision,
                                          monotonic_time now) {
  actions out;
  if (!TakesCall(call)) return out;
  if (outcome == cas_outcome::kOk) {
    assert(!attempts_.empty() && attempts_.back().call == call);
    const attempt written = attempts_.back();
    attempts_.clear();
    store_failures_ = 0;
    next_store_at_ =
        now + options_.renew_interval - Jittered(options_.renew_interval / 5);
    NoteWritten(written);
    TakeTable(written.table, revision, now);
    if (leaving_ && !IsMember()) EndLeaving(out);
  } else if (outcome == cas_outcome::kConflict) {
    // Several members write to one value; a short random wait keeps them from
    // meeting again.
    const auto members = static_cast<int>(table_.members.size() + 1);
    next_store_at_ = now + Jittered(options_.conflict_backoff * members);
  } else {
    AfterFailure(now);
  }
  Finish(now, out);
  return out;
}

ownership::actions ownership::OnStoreUnreachable(std::uint64_t call,
                                                 monotonic_time now) {
  actions out;
  if (!TakesCall(call)) return out;
  std::erase_if(attempts_, [&](const attempt& a) { return a.call == call; });
  KeepBounds();
  AfterFailure(now);
  AskPromises(now, out);
  Finish(now, out);
  return out;
}

ownership::actions ownership::OnPromiseAsk(const promise_ask& message,
                                           monotonic_time now) {
  promise answer;
  answer.from = options_.vm;
  answer.from_incarnation = message.to_incarnation;
  answer.to_incarnation = message.from_incarnation;
  answer.number = message.number;
  answer.address = options_.address;
  if (message.to_incarnation != options_.incarnation) {
    // The process that is asked was this VM's before this one. A process that
    // is frozen keeps its port, and one that leaves gives it back last; so this
    // one has its address only because the other has ended.
    if (message.to_incarnation > options_.incarnation) return {};
    answer.predecessor_gone = true;
    return {send_promise{message.from, answer}};
  }
  if (!has_table_ || left_) return {};
  // One that was taken over is told nothing, or it would go on beside its
  // successor. One that joined after this table was read is simply unknown yet.
  const auto row = table_.members.find(message.from);
  const bool is_member = row != table_.members.end() &&
                         row->second.incarnation == message.from_incarnation;
  if (!is_member && message.joined <= table_.epoch) return {};
  // A write that takes over may still take effect, also when its answer was
  // lost; a promise can't call it back.
  for (const attempt& a : attempts_) {
    const auto kept = a.table.members.find(message.from);
    const bool evicts =
        is_member && (kept == a.table.members.end() ||
                      kept->second.incarnation != message.from_incarnation);
    if (evicts) return {};
  }
  monotonic_time& until = promised_[{message.from, message.from_incarnation}];
  until = std::max(until, now + WaitFor(options_.ttl));
  return {send_promise{message.from, answer}};
}

ownership::actions ownership::OnPromise(const promise& message,
                                        monotonic_time now) {
  actions out;
  const auto ask = asks_.find(message.number);
  if (ask == asks_.end()) return out;
  if (message.to_incarnation != options_.incarnation) return out;
  const auto bound = bounds_.find({message.from, message.from_incarnation});
  if (bound == bounds_.end()) return out;
  if (!message.predecessor_gone) {
    bound->second = std::max(bound->second, ask->second + options_.ttl);
    Finish(now, out);
    return out;
  }
  // The dead can't take over any more, but a write that it sent before may
  // still arrive. While the bound stands it can't have sent one.
  const auto row = table_.members.find(message.from);
  const bool same_address =
      row != table_.members.end() && row->second.address == message.address;
  if (same_address && now < bound->second) {
    bound->second = monotonic_time::max();
  }
  Finish(now, out);
  return out;
}

ownership::actions ownership::OnUpstreams(
    const std::set<upstream_id>& upstreams, monotonic_time now) {
  actions out;
  if (has_upstreams_ && upstreams == upstreams_) return out;
  upstreams_ = upstreams;
  has_upstreams_ = true;
  next_store_at_ = std::min(next_store_at_, now);
  Finish(now, out);
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
  const auto entry = table_.assignments.find(upstream);
  const bool is_draining = entry != table_.assignments.end() &&
                           entry->second.draining_at == options_.vm;
  if (!leaving_ && !is_draining && !handovers_.contains(upstream)) return out;
  next_store_at_ = std::min(next_store_at_, now);
  Finish(now, out);
  return out;
}

ownership::actions ownership::OnLeave(monotonic_time now) {
  actions out;
  leaving_ = true;
  next_store_at_ = std::min(next_store_at_, now);
  if (!IsMember() && attempts_.empty()) EndLeaving(out);
  Finish(now, out);
  return out;
}

ownership::actions ownership::OnGone(const std::set<vm_id>& gone,
                                     monotonic_time now) {
  actions out;
  if (gone == gone_) return out;
  gone_ = gone;
  next_store_at_ = std::min(next_store_at_, now);
  Finish(now, out);
  return out;
}

// A process that was frozen wakes anywhere, so nothing here is remembered from
// before: the time is read right before the send, and compared with bounds that
// only messages move.
bool ownership::MaySend(const upstream_id& upstream, monotonic_time now) const {
  if (now >= Until()) return false;
  if (handovers_.contains(upstream)) return false;
  if (!IsMine(table_, upstream)) return false;
  return std::all_of(attempts_.begin(), attempts_.end(), [&](const attempt& a) {
    return IsMine(a.table, upstream);
  });
}

int ownership::ReservedSlots(const upstream_id& upstream) const {
  const auto entry = table_.assignments.find(upstream);
  if (entry == table_.assignments.end()) return 0;
  if (entry->second.draining_at == options_.vm) return 0;
  return entry->second.draining_count;
}

monotonic_time ownership::Until() const {
  const bool may_own =
      IsMember() && last_written_ && !left_ && !gone_.contains(options_.vm);
  if (!may_own) return monotonic_time::min();
  monotonic_time until = *last_written_ + options_.horizon;
  for (const auto& [member, bound] : bounds_) until = std::min(until, bound);
  return until;
}

std::set<upstream_id> ownership::Owned() const {
  std::set<upstream_id> owned;
  for (const auto& [upstream, entry] : table_.assignments) {
    if (IsMine(table_, upstream)) owned.insert(upstream);
  }
  return owned;
}

vm_id ownership::OwnerOf(const upstream_id& upstream) const {
  const auto entry = table_.assignments.find(upstream);
  return entry == table_.assignments.end() ? vm_id() : entry->second.owner;
}

bool ownership::IsMember() const {
  const auto row = table_.members.find(options_.vm);
  return row != table_.members.end() &&
         row->second.incarnation == options_.incarnation;
}

bool ownership::IsMine(const ownership_table& table,
                       const upstream_id& u) const {
  const auto entry = table.assignments.find(u);
  return entry != table.assignments.end() && entry->second.owner == options_.vm;
}

bool ownership::TakesCall(std::uint64_t call) {
  if (!call_ || call_->number != call) return false;
  call_.reset();
  return true;
}

// How long an observer waits for what the other side counts as `period`, by
// clocks that may run at different rates.
duration ownership::WaitFor(duration period) const {
  return period + FromSeconds(ToSeconds(period) * options_.max_rate_error) +
         options_.margin;
}

int ownership::InFlight(const upstream_id& upstream) const {
  const auto found = in_flight_.find(upstream);
  return found == in_flight_.end() ? 0 : found->second;
}

duration ownership::Jittered(duration most) {
  return duration(static_cast<duration::rep>(static_cast<double>(most.count()) *
                                             (random_() / 4294967296.0)));
}

void ownership::TakeTable(ownership_table table, std::uint64_t revision,
                          monotonic_time now) {
  table_ = std::move(table);
  revision_ = revision;
  has_table_ = true;
  ResolveAttempts();
  NoteSightings(now);
  KeepBounds();
  std::erase_if(handovers_,
                [&](const auto& item) { return !IsMine(table_, item.first); });
  std::erase_if(promised_, [&](const auto& item) { return item.second < now; });
}

// A write whose answer was lost is settled by the table: with another revision
// than it expected it can't take effect any more, and if it did before, its
// counter stands in the row.
void ownership::ResolveAttempts() {
  const auto row = table_.members.find(options_.vm);
  for (const attempt& a : attempts_) {
    const bool took_effect = a.expected_revision != revision_ && IsMember() &&
                             row->second.counter == a.counter;
    if (took_effect) NoteWritten(a);
  }
  std::erase_if(attempts_, [&](const attempt& a) {
    return a.expected_revision != revision_;
  });
}

// Counted from when the write was asked for. By the time of the answer others
// may have watched the counter for as long as the answer was on its way.
void ownership::NoteWritten(const attempt& written) {
  last_written_ =
      std::max(last_written_.value_or(monotonic_time::min()), written.asked);
  for (const auto& [vm, row] : written.table.members) {
    if (vm == options_.vm) continue;
    monotonic_time& bound = bounds_[{vm, row.incarnation}];
    bound = std::max(bound, written.asked + options_.ttl);
  }
}

void ownership::NoteSightings(monotonic_time now) {
  std::erase_if(sightings_, [&](const auto& item) {
    return !table_.members.contains(item.first);
  });
  for (const auto& [vm, row] : table_.members) {
    const auto [at, is_new] = sightings_.try_emplace(vm);
    sighting& seen = at->second;
    const bool same = !is_new && seen.incarnation == row.incarnation &&
                      seen.counter == row.counter;
    if (!same) seen = {row.incarnation, row.counter, now};
  }
}

// While a write is open, whom it acknowledges may have seen it already; until
// then nobody is taken off.
void ownership::KeepBounds() {
  if (!attempts_.empty()) return;
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

void ownership::AfterFailure(monotonic_time now) {
  ++store_failures_;
  ++route_;
  const duration most =
      options_.renew_interval * std::min(store_failures_, kMaxBackoff);
  next_store_at_ = now + most / 2 + Jittered(most / 2);
}

void ownership::Plan(monotonic_time now, actions& out) {
  // An operator's word is obeyed also when it is about this VM: the others take
  // over at once.
  if (left_ || gone_.contains(options_.vm)) return;
  ownership_table next = table_;
  if (!IsMember()) {
    if (leaving_) {
      EndLeaving(out);
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
  DropUnknown(next);
  ClearDrained(next);
  HandOver(next, now);
  TakeUnassigned(next, now);
  if (leaving_ && HoldsNothing(next)) RemoveMember(next, options_.vm);
  Write(std::move(next), now, out);
}

void ownership::EndLeaving(actions& out) {
  if (left_) return;
  left_ = true;
  out.emplace_back(left{});
}

bool ownership::Join(ownership_table& next, monotonic_time now) const {
  const auto row = next.members.find(options_.vm);
  if (row != next.members.end()) {
    const ownership_member& old = row->second;
    // A later process of this VM is there; this one is what it replaced.
    if (old.incarnation > options_.incarnation) return false;
    // The port proves the end of the process before: a frozen one keeps it, the
    // kernel gives it back only when all threads have ended, and a leaving one
    // closes it only after its row is out. So its assignments, which stand
    // under the VM's name, can be gone on with. At another address there is no
    // such proof, and this process waits like any other observer.
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
  if (gone_.contains(vm)) return true;
  const auto seen = sightings_.find(vm);
  if (seen == sightings_.end()) return false;
  const bool is_acknowledged =
      IsMember() && table_.Acknowledged(vm, options_.vm);
  const duration wait =
      WaitFor(is_acknowledged ? options_.ttl : options_.horizon);
  if (now - seen->second.since < wait) return false;
  const auto promised = promised_.find({vm, row.incarnation});
  return promised == promised_.end() || now >= promised->second;
}

void ownership::Evict(ownership_table& next, monotonic_time now) const {
  std::vector<vm_id> evicted;
  for (const auto& [vm, row] : next.members) {
    if (vm != options_.vm && MayEvict(vm, row, now)) evicted.push_back(vm);
  }
  for (const vm_id& vm : evicted) RemoveMember(next, vm);
}

void ownership::DropUnknown(ownership_table& next) const {
  if (!has_upstreams_) return;
  std::erase_if(next.assignments, [&](const auto& item) {
    return item.second.owner == options_.vm &&
           !upstreams_.contains(item.first) && InFlight(item.first) == 0;
  });
}

void ownership::ClearDrained(ownership_table& next) const {
  for (auto& [upstream, entry] : next.assignments) {
    if (entry.draining_at != options_.vm || InFlight(upstream) > 0) continue;
    entry.draining_at = vm_id();
    entry.draining_count = 0;
  }
}

// One upstream after the other, as each is without an owner for a moment. A
// process that leaves has no time for that.
void ownership::HandOver(ownership_table& next, monotonic_time now) {
  const std::set<vm_id> candidates = Candidates(next, now);
  std::vector<upstream_id> released;
  for (auto& [upstream, entry] : next.assignments) {
    if (entry.owner != options_.vm) continue;
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
    // The slots of only one earlier owner can be noted.
    if (!entry.draining_at.IsEmpty()) continue;
    HandOverOne(upstream, entry, to, now);
  }
  for (const upstream_id& upstream : released) next.assignments.erase(upstream);
}

// Long requests may be in flight for minutes. Waiting for them would leave the
// upstream's other slots idle; so after a while they are counted, and the new
// owner leaves their slots alone.
void ownership::HandOverOne(const upstream_id& upstream,
                            ownership_assignment& entry, const vm_id& to,
                            monotonic_time now) {
  const auto [at, is_new] =
      handovers_.try_emplace(upstream, now + options_.handover_patience);
  const int count = InFlight(upstream);
  if (count == 0) {
    entry = {to, vm_id(), 0};
  } else if (now >= at->second) {
    entry = {to, options_.vm, count};
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

bool ownership::HoldsNothing(const ownership_table& table) const {
  return std::none_of(table.assignments.begin(), table.assignments.end(),
                      [&](const auto& item) {
                        return item.second.owner == options_.vm ||
                               item.second.draining_at == options_.vm;
                      });
}

// Members that look alive. This only proposes; a wrong guess costs a hand-over.
std::set<vm_id> ownership::Candidates(const ownership_table& table,
                                      monotonic_time now) const {
  std::set<vm_id> candidates;
  for (const auto& [vm, row] : table.members) {
    if (row.leaving || gone_.contains(vm)) continue;
    const auto seen = sightings_.find(vm);
    const bool is_alive =
        vm == options_.vm || (seen != sightings_.end() &&
                              now - seen->second.since < WaitFor(options_.ttl));
    if (is_alive) candidates.insert(vm);
  }
  return candidates;
}

// With others in the table it is read first, to see how they fare. A sole
// member learns of a newcomer by losing the write.
void ownership::UseStore(monotonic_time now, actions& out) {
  const bool is_alone = IsMember() && table_.members.size() == 1;
  if (is_alone && attempts_.empty()) {
    Plan(now, out);
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
  // From here on the others may learn that they are acknowledged, and take over
  // ttl after that; what was valid up to the horizon is cut to that.
  for (const auto& [vm, row] : next.members) {
    if (vm == options_.vm || !IsMember()) continue;
    bounds_.try_emplace({vm, row.incarnation}, now + options_.ttl);
  }
  call_ = store_call{++last_call_, now};
  out.emplace_back(write_table{last_call_, Route(false, now),
                               WriteOwnershipTable(next), revision_});
  attempts_.push_back({last_call_, counter_, revision_, now, std::move(next)});
}

// Without the store, all that could take over are asked not to. One that
// doesn't answer may be cut off from this process but not from the store.
void ownership::AskPromises(monotonic_time now, actions& out) {
  if (bounds_.empty() || left_ || !IsMember() || now < next_ask_at_) return;
  const bool renewed =
      last_written_ && now < *last_written_ + options_.renew_interval * 3 / 2;
  if (renewed) return;
  // Past the horizon a promise is of no use here, and would only keep the
  // others from taking over.
  if (!last_written_ || now >= *last_written_ + options_.horizon) return;
  next_ask_at_ = now + options_.renew_interval / 2;
  asks_[++last_ask_] = now;
  if (asks_.size() > kMaxAsks) asks_.erase(asks_.begin());
  for (const auto& [member, bound] : bounds_) {
    promise_ask message;
    message.from = options_.vm;
    message.from_incarnation = options_.incarnation;
    message.to_incarnation = member.second;
    message.joined = table_.members.at(options_.vm).joined;
    message.number = last_ask_;
    out.emplace_back(send_promise_ask{member.first, message});
  }
}

// After a failure the zone's other members are tried in turn: their controls
// may reach the store. What worked is kept, as a renewal takes two calls; the
// own control is tried again after a while.
vm_id ownership::Route(bool is_read, monotonic_time now) {
  std::vector<vm_id> routes = {vm_id()};
  for (const auto& [vm, row] : table_.members) {
    if (vm != options_.vm) routes.push_back(vm);
  }
  if (is_read && now >= own_route_at_) route_ = 0;
  if (route_ % routes.size() == 0) {
    own_route_at_ = now + options_.renew_interval * kOwnRouteFactor;
  }
  return routes[route_ % routes.size()];
}

void ownership::Finish(monotonic_time now, actions& out) {
  const monotonic_time until = Until();
  std::set<upstream_id> owned;
  if (now < until) owned = Owned();
  if (owned != shown_owned_) {
    shown_owned_ = owned;
    out.emplace_back(ownership_changed{std::move(owned), until});
  }
  if (left_) return;
  monotonic_time at = now + options_.renew_interval;
  const auto sooner = [&](monotonic_time t) {
    if (t > now) at = std::min(at, t);
  };
  if (call_) {
    sooner(call_->asked + options_.store_timeout);
  } else {
    at = std::min(at, std::max(now, next_store_at_));
  }
  sooner(next_ask_at_);
  sooner(until);
  out.emplace_back(arm_timer{at});
}

}  // namespace citron
