#include "citron/protocol/membership.h"

#include <fmt/format.h>

#include <algorithm>

#include "citron/base/digest.h"

namespace citron {

namespace {

using membership_action::arm_timer;
using membership_action::member_changed;
using membership_action::peer_revision;
using membership_action::send_heartbeat;
using membership_action::send_zone_digest;
using membership_action::send_zone_members;
using membership_action::send_zone_pull;

// A heartbeat may not claim that the next one is due next week: its sender
// would look alive for as long after its death.
constexpr duration kLongestInterval = std::chrono::seconds(30);
// A VM that is neither on the list nor heard is kept so long, as the list lags
// and a cut-off zone may vanish from it and come back.
constexpr duration kForgetAfter = std::chrono::minutes(30);
// One differing hash is usual while a change is on its way; two in a row mean
// that a message was lost.
constexpr int kMismatchesBeforePull = 2;

std::string HashText(const member_info& m, bool silent) {
  return fmt::format("{}|{}|{}|{}|{}|{}|{}|{}|{};", m.vm.Str(), m.zone.Str(),
                     m.region.Str(), m.incarnation, m.control.Str(),
                     m.entry.Str(), m.dispatch.Str(), m.leaving, silent);
}

bool IsUsable(member_state state) {
  return state == member_state::kLive || state == member_state::kListed;
}

// A member that a relay's list has is told as silent when nobody hears it,
// also if an operator drains it.
bool IsSilentNow(member_state state) {
  return state == member_state::kSilent || state == member_state::kGone;
}

}  // namespace

membership::membership(membership_options options)
    : options_(std::move(options)) {}

membership::actions membership::OnPlatformList(
    const std::vector<listed_vm>& list, monotonic_time now) {
  actions out;
  for (auto& [vm, r] : members_) r.listed = false;
  for (const listed_vm& line : list) {
    if (IsSelf(line.vm)) continue;
    member_info info;
    info.vm = line.vm;
    info.zone = line.zone;
    info.region = line.region;
    info.control = line.control;
    record& r = Add(info);
    r.listed = true;
    r.listed_leaving = line.leaving;
    r.forget_at = now + kForgetAfter;
    // What the VM says of itself is newer than the lagging list.
    if (!r.heard) r.info.control = line.control;
  }
  RefreshAll(now, out);
  return out;
}

membership::actions membership::OnOperatorWords(const std::set<vm_id>& drained,
                                                const std::set<vm_id>& gone,
                                                monotonic_time now) {
  actions out;
  drained_ = drained;
  gone_ = gone;
  RefreshAll(now, out);
  return out;
}

membership::actions membership::OnHeartbeat(const heartbeat& message,
                                            monotonic_time now) {
  const member_info& from = message.member;
  if (IsSelf(from.vm) || from.vm.IsEmpty()) return {};
  const auto known = members_.find(from.vm);
  if (known != members_.end() && known->second.heard) {
    const record& r = known->second;
    const bool is_late = from.incarnation < r.info.incarnation ||
                         (from.incarnation == r.info.incarnation &&
                          message.sequence <= r.sequence);
    if (is_late) return {};
  }
  actions out;
  const bool changed = TakeInfo(from, true, now);
  record& r = members_.at(from.vm);
  r.sequence = message.sequence;
  r.silent_at = now + SilentAfter(message.interval);
  if (Refresh(r, changed, now, out)) TellChange(r, out);
  out.emplace_back(
      peer_revision{from.vm, message.revision, message.config_age});
  const bool is_my_relay =
      IsOwnZone(from.zone) && !IsRelay() && RelayOf(from.zone) == from.vm;
  if (!is_my_relay || message.world_hash == 0) return out;
  if (message.world_hash == WorldHash()) {
    world_mismatches_ = 0;
  } else if (++world_mismatches_ >= kMismatchesBeforePull) {
    world_mismatches_ = 0;
    out.emplace_back(send_zone_pull{from.vm, from.control, MakePull()});
  }
  return out;
}

membership::actions membership::OnZoneDigest(const zone_digest& message,
                                             monotonic_time now) {
  if (IsOwnZone(message.zone) || IsSelf(message.relay)) return {};
  zone_contact& contact = contacts_[message.zone];
  // While two members of a zone both take themselves for its relay, each is
  // counted by itself; what they send is the same in the end.
  const bool is_same = contact.relay == message.relay;
  const bool is_late =
      is_same && (message.incarnation < contact.incarnation ||
                  (message.incarnation == contact.incarnation &&
                   message.sequence <= contact.sequence));
  if (is_late) return {};
  contact = {now + SilentAfter(message.interval), message.relay,
             message.incarnation, message.sequence};
  actions out;
  // Members of a zone that was cut off come back with its digest.
  for (const vm_id& vm : zones_[message.zone]) {
    record& r = members_.at(vm);
    if (Refresh(r, false, now, out)) TellChange(r, out);
  }
  out.emplace_back(
      peer_revision{message.relay, message.revision, message.config_age});
  if (message.hash != HashOf(message.zone, false)) {
    out.emplace_back(
        send_zone_pull{message.relay, message.control, MakePull()});
  }
  return out;
}

membership::actions membership::OnZonePull(const zone_pull& message) const {
  actions out;
  const auto answer = [&](const zone_id& zone) {
    const auto theirs = message.hashes.find(zone);
    const bool is_same =
        theirs != message.hashes.end() && theirs->second == HashOf(zone, true);
    if (is_same) return;
    out.emplace_back(send_zone_members{message.from, message.control,
                                       MembersOf(zone, true)});
  };
  // Another zone is told of this zone only: each zone speaks for itself.
  if (!IsOwnZone(message.zone)) {
    answer(options_.self.zone);
    return out;
  }
  for (const auto& [zone, vms] : zones_) {
    if (!IsOwnZone(zone)) answer(zone);
  }
  return out;
}

membership::actions membership::OnZoneMembers(const vm_id& from,
                                              const zone_members& message,
                                              monotonic_time now) {
  actions out;
  if (IsOwnZone(message.zone) || AllToAll()) return out;
  zone_members news{message.zone, false, {}};
  for (const member_info& info : message.members) {
    if (info.zone != message.zone || info.vm.IsEmpty()) continue;
    if (!TakeInfo(info, false, now)) continue;
    news.members.push_back(info);
    Refresh(members_.at(info.vm), true, now, out);
  }
  if (message.complete) DropAbsent(message);
  // Who is told by another zone passes it on; who is told by a fellow doesn't,
  // so that a message makes at most one round.
  const auto sender = members_.find(from);
  const bool from_fellow =
      sender != members_.end() && IsOwnZone(sender->second.info.zone);
  if (from_fellow) return out;
  if (!news.members.empty()) TellZone(news, out);
  return out;
}

membership::actions membership::OnTimer(monotonic_time now) {
  actions out;
  RefreshContacts(now);
  RefreshAll(now, out);
  if (now >= next_at_) {
    ++sequence_;
    SendHeartbeats(out);
    if (!AllToAll() && IsRelay()) SendDigests(out);
    next_at_ = now + Interval();
  }
  out.emplace_back(arm_timer{next_at_});
  return out;
}

membership::actions membership::OnLeave(monotonic_time now) {
  actions out;
  const bool was_relay = !AllToAll() && IsRelay();
  options_.self.leaving = true;
  hashes_.erase(options_.self.zone);
  if (was_relay) {
    TellRelays({options_.self.zone, false, {options_.self}}, out);
  }
  ++sequence_;
  SendHeartbeats(out);
  next_at_ = now + Interval();
  out.emplace_back(arm_timer{next_at_});
  return out;
}

void membership::SetConfig(config_revision revision, duration age) {
  revision_ = revision;
  config_age_ = age;
}

void membership::SetEndpoints(const endpoint& entry, const endpoint& dispatch) {
  options_.self.entry = entry;
  options_.self.dispatch = dispatch;
  hashes_.erase(options_.self.zone);
}

std::optional<member_state> membership::StateOf(const vm_id& vm) const {
  const auto found = members_.find(vm);
  if (found == members_.end()) return std::nullopt;
  return found->second.shown;
}

const member_info* membership::Find(const vm_id& vm) const {
  if (IsSelf(vm)) return &options_.self;
  const auto found = members_.find(vm);
  return found == members_.end() ? nullptr : &found->second.info;
}

std::vector<member_info> membership::Usable() const {
  std::vector<member_info> usable;
  for (const auto& [vm, r] : members_) {
    if (IsUsable(r.shown)) usable.push_back(r.info);
  }
  if (!options_.self.leaving && !drained_.contains(options_.self.vm)) {
    usable.push_back(options_.self);
  }
  return usable;
}

vm_id membership::RelayOf(const zone_id& zone) const {
  vm_id relay;
  const auto found = zones_.find(zone);
  if (found != zones_.end()) {
    for (const vm_id& vm : found->second) {
      const record& r = members_.at(vm);
      const bool speaks = r.shown == member_state::kLive ||
                          (r.heard && r.shown == member_state::kDraining);
      if (!speaks) continue;
      relay = vm;
      break;
    }
  }
  const bool self_may = IsOwnZone(zone) && !options_.self.leaving;
  if (self_may && (relay.IsEmpty() || options_.self.vm < relay)) {
    return options_.self.vm;
  }
  return relay;
}

bool membership::IsRelay() const { return IsSelf(RelayOf(options_.self.zone)); }

// With few VMs a heartbeat to each costs less than relays do, and a death is
// seen without a detour. 24 VMs at one heartbeat a second and 130 bytes are
// 3 KB/s, which the interval stretches to 1 KB/s.
bool membership::AllToAll() const {
  return members_.size() < options_.all_to_all_limit;
}

// A daemon may spend 2 KB/s on control. In a zone of 52 VMs a heartbeat to each
// every second would take 6.6 KB/s by itself; with the interval stretched it is
// 1 KB/s at 6.6 s, and the rest is left for digests, changes and renewals.
duration membership::Interval() const {
  std::size_t receivers = members_.size();
  if (!AllToAll()) {
    const auto own = zones_.find(options_.self.zone);
    receivers = own == zones_.end() ? 0 : own->second.size();
  }
  const double bytes =
      static_cast<double>(receivers) * options_.heartbeat_bytes;
  return std::max(options_.min_interval,
                  FromSeconds(bytes / options_.bytes_per_s));
}

// One lost heartbeat or a pause of a second is usual on small VMs. Four in a
// row hardly are, and a caller that is sent to a dead VM meanwhile has others
// in its answer.
duration membership::SilentAfter(duration interval) const {
  const duration bounded =
      std::clamp(interval, options_.min_interval, kLongestInterval);
  return bounded * options_.missed_limit;
}

member_state membership::Judge(const record& r, monotonic_time now) const {
  if (gone_.contains(r.info.vm)) return member_state::kGone;
  if (r.info.leaving || r.listed_leaving) return member_state::kLeaving;
  if (!r.heard) {
    return drained_.contains(r.info.vm) ? member_state::kDraining
                                        : member_state::kListed;
  }
  const bool silent = r.heard_direct
                          ? now >= r.silent_at
                          : r.info.silent || ZoneIsSilent(r.info.zone, now);
  if (silent) return member_state::kSilent;
  if (drained_.contains(r.info.vm)) return member_state::kDraining;
  return member_state::kLive;
}

bool membership::Refresh(record& r, bool changed, monotonic_time now,
                         actions& out) {
  const member_state state = Judge(r, now);
  if (r.is_shown && state == r.shown && !changed) return false;
  r.shown = state;
  r.is_shown = true;
  hashes_.erase(r.info.zone);
  out.emplace_back(member_changed{r.info, state});
  return true;
}

void membership::RefreshAll(monotonic_time now, actions& out) {
  std::vector<vm_id> forgotten;
  for (auto& [vm, r] : members_) {
    if (Refresh(r, false, now, out)) TellChange(r, out);
    if (r.listed || r.shown == member_state::kLive) {
      r.forget_at = now + kForgetAfter;
    }
    if (now >= r.forget_at) forgotten.push_back(vm);
  }
  for (const vm_id& vm : forgotten) Forget(vm);
}

// Only a relay hears other zones. A new one gives each zone the time to speak
// up before it takes the zone for cut off.
void membership::RefreshContacts(monotonic_time now) {
  if (AllToAll() || !IsRelay()) {
    contacts_.clear();
    return;
  }
  for (const auto& [zone, vms] : zones_) {
    if (IsOwnZone(zone) || contacts_.contains(zone)) continue;
    contacts_[zone].silent_at = now + SilentAfter(Interval());
  }
}

void membership::TellChange(const record& r, actions& out) {
  if (AllToAll() || !r.heard || !IsRelay()) return;
  zone_members news{r.info.zone, false, {r.info}};
  news.members.front().silent = IsSilentNow(r.shown);
  if (IsOwnZone(r.info.zone)) {
    TellRelays(news, out);
  } else {
    TellZone(news, out);
  }
}

membership::record& membership::Add(const member_info& info) {
  const auto [at, is_new] = members_.try_emplace(info.vm);
  record& r = at->second;
  if (is_new) {
    r.info = info;
    zones_[info.zone].insert(info.vm);
  } else if (r.info.zone != info.zone) {
    zones_[r.info.zone].erase(info.vm);
    hashes_.erase(r.info.zone);
    zones_[info.zone].insert(info.vm);
    r.info.zone = info.zone;
  }
  hashes_.erase(info.zone);
  return r;
}

void membership::Forget(const vm_id& vm) {
  const auto found = members_.find(vm);
  const zone_id zone = found->second.info.zone;
  zones_[zone].erase(vm);
  if (zones_[zone].empty()) zones_.erase(zone);
  hashes_.erase(zone);
  members_.erase(found);
}

bool membership::TakeInfo(const member_info& info, bool direct,
                          monotonic_time now) {
  if (IsSelf(info.vm)) return false;
  record& r = Add(info);
  const bool is_old = r.heard && info.incarnation < r.info.incarnation;
  if (is_old) return false;
  const bool same_process = r.heard && info.incarnation == r.info.incarnation;
  member_info taken = info;
  // A process that leaves doesn't come back; a late message that says it is
  // live was sent before.
  if (same_process && r.info.leaving) taken.leaving = true;
  if (!same_process) r.sequence = 0;
  const bool changed = !r.heard || taken != r.info || r.heard_direct != direct;
  r.info = taken;
  r.heard = true;
  r.heard_direct = direct;
  r.forget_at = now + kForgetAfter;
  return changed;
}

// A complete list from a zone's relay takes out members that it forgot.
void membership::DropAbsent(const zone_members& message) {
  std::set<vm_id> present;
  for (const member_info& info : message.members) present.insert(info.vm);
  std::vector<vm_id> absent;
  for (const vm_id& vm : zones_[message.zone]) {
    const record& r = members_.at(vm);
    if (r.heard && !present.contains(vm)) absent.push_back(vm);
  }
  for (const vm_id& vm : absent) {
    record& r = members_.at(vm);
    r.heard = false;
    hashes_.erase(message.zone);
    if (!r.listed) Forget(vm);
  }
}

void membership::SendHeartbeats(actions& out) {
  heartbeat message;
  message.member = options_.self;
  message.sequence = sequence_;
  message.revision = revision_;
  message.config_age = config_age_;
  message.interval = Interval();
  if (!AllToAll()) message.world_hash = WorldHash();
  for (const auto& [vm, r] : members_) {
    if (r.shown == member_state::kGone) continue;
    if (!AllToAll() && !IsOwnZone(r.info.zone)) continue;
    out.emplace_back(send_heartbeat{vm, r.info.control, message});
  }
}

void membership::SendDigests(actions& out) {
  zone_digest message;
  message.zone = options_.self.zone;
  message.relay = options_.self.vm;
  message.control = options_.self.control;
  message.incarnation = options_.self.incarnation;
  message.sequence = sequence_;
  message.hash = HashOf(options_.self.zone, true);
  message.revision = revision_;
  message.config_age = config_age_;
  message.interval = Interval();
  for (const auto& [zone, vms] : zones_) {
    if (IsOwnZone(zone)) continue;
    const member_info* to = Target(zone);
    if (to == nullptr) continue;
    out.emplace_back(send_zone_digest{to->vm, to->control, message});
  }
}

void membership::TellRelays(const zone_members& message, actions& out) {
  for (const auto& [zone, vms] : zones_) {
    if (IsOwnZone(zone)) continue;
    const member_info* to = Target(zone);
    if (to == nullptr) continue;
    out.emplace_back(send_zone_members{to->vm, to->control, message});
  }
}

void membership::TellZone(const zone_members& message, actions& out) {
  const auto own = zones_.find(options_.self.zone);
  if (own == zones_.end()) return;
  for (const vm_id& vm : own->second) {
    const record& r = members_.at(vm);
    if (!r.heard || IsSilentNow(r.shown)) continue;
    out.emplace_back(send_zone_members{vm, r.info.control, message});
  }
}

// Whom to send to in another zone: its relay as far as known. When two zones'
// relays die at once, each zone's new relay would write to the other's dead one
// for ever; so when nobody there is known to speak, the members are tried in
// turn. Any of them passes on what it gets.
const member_info* membership::Target(const zone_id& zone) const {
  const vm_id relay = RelayOf(zone);
  if (!relay.IsEmpty()) return &members_.at(relay).info;
  std::vector<const member_info*> candidates;
  for (const vm_id& vm : zones_.at(zone)) {
    const record& r = members_.at(vm);
    if (r.shown != member_state::kGone) candidates.push_back(&r.info);
  }
  if (candidates.empty()) return nullptr;
  return candidates[sequence_ % candidates.size()];
}

bool membership::ZoneIsSilent(const zone_id& zone, monotonic_time now) const {
  const auto found = contacts_.find(zone);
  return found != contacts_.end() && now >= found->second.silent_at;
}

zone_members membership::MembersOf(const zone_id& zone, bool judged) const {
  zone_members all{zone, true, {}};
  if (IsOwnZone(zone)) all.members.push_back(options_.self);
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return all;
  for (const vm_id& vm : found->second) {
    const record& r = members_.at(vm);
    if (!r.heard) continue;
    all.members.push_back(r.info);
    if (judged) all.members.back().silent = IsSilentNow(r.shown);
  }
  std::sort(
      all.members.begin(), all.members.end(),
      [](const member_info& a, const member_info& b) { return a.vm < b.vm; });
  return all;
}

std::uint64_t membership::HashOf(const zone_id& zone, bool judged) const {
  cached_hashes& cached = hashes_[zone];
  std::optional<std::uint64_t>& hash = judged ? cached.judged : cached.told;
  if (!hash) {
    std::string text;
    for (const member_info& m : MembersOf(zone, judged).members) {
      text += HashText(m, m.silent);
    }
    hash = HashBytes(text);
  }
  return *hash;
}

zone_hashes membership::ToldHashes() const {
  zone_hashes hashes;
  for (const auto& [zone, vms] : zones_) {
    if (!IsOwnZone(zone)) hashes[zone] = HashOf(zone, false);
  }
  return hashes;
}

// A relay says what it judges; its fellows have that as told.
std::uint64_t membership::WorldHash() const {
  const bool judged = IsRelay();
  std::uint64_t hash = 1;
  for (const auto& [zone, vms] : zones_) {
    if (IsOwnZone(zone)) continue;
    const auto heard = [&](const vm_id& vm) { return members_.at(vm).heard; };
    if (std::none_of(vms.begin(), vms.end(), heard)) continue;
    hash = HashBytes(zone.Str(), hash ^ HashOf(zone, judged));
  }
  return hash == 0 ? 1 : hash;
}

zone_pull membership::MakePull() const {
  return {options_.self.vm, options_.self.zone, options_.self.control,
          ToldHashes()};
}

}  // namespace citron
