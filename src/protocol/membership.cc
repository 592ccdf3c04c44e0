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

// Limits the interval that a heartbeat may announce: with a longer one, its
// sender would appear alive for as long after its death.
constexpr duration kMaxInterval = std::chrono::seconds(30);
// Retention of a VM that is neither listed nor live: the list lags, and a
// cut-off zone may vanish from it and come back.
constexpr duration kRetention = std::chrono::minutes(30);
// One differing hash is usual while a change is in flight; two in a row mean
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

// A relay reports a VM as silent if no heartbeats arrive from it or if
// operators have declared it dead. Draining makes no difference: EvaluateState
// checks for silence first.
bool CountsAsSilent(member_state state) {
  return state == member_state::kSilent || state == member_state::kGone;
}

}  // namespace

membership::membership(membership_options options)
    : options_(std::move(options)) {}

membership::actions membership::OnPlatformList(
    const std::vector<listed_vm>& list, monotonic_time now) {
  actions out;
  for (auto& [vm, r] : members_) r.listed = false;
  for (const listed_vm& listing : list) {
    if (IsSelf(listing.vm)) continue;
    member_info info;
    info.vm = listing.vm;
    info.zone = listing.zone;
    info.region = listing.region;
    info.control = listing.control;
    record& r = Add(info);
    r.listed = true;
    r.listed_leaving = listing.leaving;
    r.remove_at = now + kRetention;
    // Reports are newer than the lagging list and set the control endpoint.
    if (!r.reported) r.info.control = listing.control;
  }
  UpdateAllStates(now, out);
  return out;
}

membership::actions membership::OnOperatorSettings(
    const std::set<vm_id>& drained, const std::set<vm_id>& gone,
    monotonic_time now) {
  actions out;
  drained_ = drained;
  dead_vms_ = gone;
  UpdateAllStates(now, out);
  return out;
}

membership::actions membership::OnHeartbeat(const heartbeat& message,
                                            monotonic_time now) {
  const member_info& from = message.member;
  if (IsSelf(from.vm) || from.vm.IsEmpty()) return {};
  const auto known = members_.find(from.vm);
  if (known != members_.end() && known->second.reported) {
    const record& r = known->second;
    const bool is_late = from.incarnation < r.info.incarnation ||
                         (from.incarnation == r.info.incarnation &&
                          message.sequence <= r.sequence);
    if (is_late) return {};
  }
  actions out;
  const bool changed = UpdateInfo(from, true, now);
  record& r = members_.at(from.vm);
  r.sequence = message.sequence;
  r.silent_at = now + SilenceLimit(message.interval);
  if (UpdateState(r, changed, now, out)) SendChange(r, out);
  out.emplace_back(
      peer_revision{from.vm, message.revision, message.config_age});
  const bool is_local_relay =
      IsLocalZone(from.zone) && !IsRelay() && RelayOf(from.zone) == from.vm;
  if (!is_local_relay || message.remote_zones_hash == 0) return out;
  if (message.remote_zones_hash == RemoteZonesHash()) {
    remote_hash_mismatches_ = 0;
  } else if (++remote_hash_mismatches_ >= kMismatchesBeforePull) {
    remote_hash_mismatches_ = 0;
    out.emplace_back(send_zone_pull{from.vm, from.control, MakeZonePull()});
  }
  return out;
}

membership::actions membership::OnZoneDigest(const zone_digest& message,
                                             monotonic_time now) {
  if (IsLocalZone(message.zone) || IsSelf(message.relay)) return {};
  relay_contact& contact = relay_contacts_[message.zone];
  // While two members of a zone both act as its relay, the sequence of one
  // isn't compared with that of the other. A digest of either is accepted, and
  // a differing hash leads to a pull.
  const bool is_same = contact.relay == message.relay;
  const bool is_late =
      is_same && (message.incarnation < contact.incarnation ||
                  (message.incarnation == contact.incarnation &&
                   message.sequence <= contact.sequence));
  if (is_late) return {};
  contact = {now + SilenceLimit(message.interval), message.relay,
             message.incarnation, message.sequence};
  actions out;
  // Members of a zone that was cut off become live again with its digest.
  for (const vm_id& vm : zones_[message.zone]) {
    record& r = members_.at(vm);
    if (UpdateState(r, false, now, out)) SendChange(r, out);
  }
  out.emplace_back(
      peer_revision{message.relay, message.revision, message.config_age});
  if (message.hash != ZoneHash(message.zone, false)) {
    out.emplace_back(
        send_zone_pull{message.relay, message.control, MakeZonePull()});
  }
  return out;
}

membership::actions membership::OnZonePull(const zone_pull& message) const {
  actions out;
  const auto answer = [&](const zone_id& zone) {
    const auto sender_hash = message.hashes.find(zone);
    const bool is_same = sender_hash != message.hashes.end() &&
                         sender_hash->second == ZoneHash(zone, true);
    if (is_same) return;
    out.emplace_back(send_zone_members{message.from, message.control,
                                       MembersOf(zone, true)});
  };
  // A remote zone gets the members of this zone only: each zone reports its own
  // members.
  if (!IsLocalZone(message.zone)) {
    answer(options_.self.zone);
    return out;
  }
  for (const auto& [zone, vms] : zones_) {
    if (!IsLocalZone(zone)) answer(zone);
  }
  return out;
}

membership::actions membership::OnZoneMembers(const vm_id& from,
                                              const zone_members& message,
                                              monotonic_time now) {
  actions out;
  if (IsLocalZone(message.zone) || AllToAll()) return out;
  zone_members update{message.zone, false, {}};
  for (const member_info& info : message.members) {
    if (info.zone != message.zone || info.vm.IsEmpty()) continue;
    if (!UpdateInfo(info, false, now)) continue;
    update.members.push_back(info);
    UpdateState(members_.at(info.vm), true, now, out);
  }
  if (message.complete) RemoveAbsent(message);
  // A report from another zone is forwarded within this zone; a report from
  // this zone isn't, so that each message is forwarded at most once.
  const auto sender = members_.find(from);
  const bool from_local_zone =
      sender != members_.end() && IsLocalZone(sender->second.info.zone);
  if (from_local_zone) return out;
  if (!update.members.empty()) SendToLocalZone(update, out);
  return out;
}

membership::actions membership::OnTimer(monotonic_time now) {
  actions out;
  UpdateContacts(now);
  UpdateAllStates(now, out);
  if (now >= next_heartbeat_at_) {
    ++sequence_;
    SendHeartbeats(out);
    if (!AllToAll() && IsRelay()) SendDigests(out);
    next_heartbeat_at_ = now + Interval();
  }
  out.emplace_back(arm_timer{next_heartbeat_at_});
  return out;
}

membership::actions membership::OnLeave(monotonic_time now) {
  actions out;
  const bool was_relay = !AllToAll() && IsRelay();
  options_.self.leaving = true;
  hashes_.erase(options_.self.zone);
  if (was_relay) {
    SendToRelays({options_.self.zone, false, {options_.self}}, out);
  }
  ++sequence_;
  SendHeartbeats(out);
  next_heartbeat_at_ = now + Interval();
  out.emplace_back(arm_timer{next_heartbeat_at_});
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
  return found->second.emitted_state;
}

const member_info* membership::Find(const vm_id& vm) const {
  if (IsSelf(vm)) return &options_.self;
  const auto found = members_.find(vm);
  return found == members_.end() ? nullptr : &found->second.info;
}

std::vector<member_info> membership::Usable() const {
  std::vector<member_info> usable;
  for (const auto& [vm, r] : members_) {
    if (IsUsable(r.emitted_state)) usable.push_back(r.info);
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
      const bool can_relay =
          r.emitted_state == member_state::kLive ||
          (r.reported && r.emitted_state == member_state::kDraining);
      if (!can_relay) continue;
      relay = vm;
      break;
    }
  }
  const bool self_can_relay = IsLocalZone(zone) && !options_.self.leaving;
  if (self_can_relay && (relay.IsEmpty() || options_.self.vm < relay)) {
    return options_.self.vm;
  }
  return relay;
}

bool membership::IsRelay() const { return IsSelf(RelayOf(options_.self.zone)); }

// With few VMs, all-to-all heartbeats cost less than relays and show a death
// directly. 24 VMs at one heartbeat of 130 bytes a second take 3 KB/s, which
// the longer interval reduces to 1 KB/s.
bool membership::AllToAll() const {
  return members_.size() < options_.all_to_all_limit;
}

// A daemon may spend 2 KB/s on control traffic. In a zone of 52 VMs a heartbeat
// to each every second would take 6.6 KB/s; an interval of 6.6 s takes 1 KB/s,
// and leaves the rest for digests, changes and renewals.
duration membership::Interval() const {
  std::size_t receivers = members_.size();
  if (!AllToAll()) {
    const auto local_zone = zones_.find(options_.self.zone);
    receivers = local_zone == zones_.end() ? 0 : local_zone->second.size();
  }
  const double bytes =
      static_cast<double>(receivers) * options_.bytes_per_heartbeat;
  return std::max(options_.min_interval,
                  FromSeconds(bytes / options_.bytes_per_s));
}

// One lost heartbeat or a pause of a second is usual on small VMs; four missed
// heartbeats in a row are rare. A caller that is sent to a dead VM until then
// has other VMs in its answer.
duration membership::SilenceLimit(duration interval) const {
  const duration bounded =
      std::clamp(interval, options_.min_interval, kMaxInterval);
  return bounded * options_.missed_heartbeats_limit;
}

member_state membership::EvaluateState(const record& r,
                                       monotonic_time now) const {
  if (dead_vms_.contains(r.info.vm)) return member_state::kGone;
  if (r.info.leaving || r.listed_leaving) return member_state::kLeaving;
  if (!r.reported) {
    return drained_.contains(r.info.vm) ? member_state::kDraining
                                        : member_state::kListed;
  }
  const bool silent = r.reported_directly
                          ? now >= r.silent_at
                          : r.info.silent || ZoneIsSilent(r.info.zone, now);
  if (silent) return member_state::kSilent;
  if (drained_.contains(r.info.vm)) return member_state::kDraining;
  return member_state::kLive;
}

bool membership::UpdateState(record& r, bool changed, monotonic_time now,
                             actions& out) {
  const member_state state = EvaluateState(r, now);
  if (r.has_emitted_state && state == r.emitted_state && !changed) return false;
  r.emitted_state = state;
  r.has_emitted_state = true;
  hashes_.erase(r.info.zone);
  out.emplace_back(member_changed{r.info, state});
  return true;
}

void membership::UpdateAllStates(monotonic_time now, actions& out) {
  std::vector<vm_id> expired;
  for (auto& [vm, r] : members_) {
    if (UpdateState(r, false, now, out)) SendChange(r, out);
    if (r.listed || r.emitted_state == member_state::kLive) {
      r.remove_at = now + kRetention;
    }
    if (now >= r.remove_at) expired.push_back(vm);
  }
  for (const vm_id& vm : expired) Remove(vm);
}

// Only a relay tracks its contact with other zones. A new relay allows each
// zone time for a first digest before it counts the zone as cut off.
void membership::UpdateContacts(monotonic_time now) {
  if (AllToAll() || !IsRelay()) {
    relay_contacts_.clear();
    return;
  }
  for (const auto& [zone, vms] : zones_) {
    if (IsLocalZone(zone) || relay_contacts_.contains(zone)) continue;
    relay_contacts_[zone].silent_at = now + SilenceLimit(Interval());
  }
}

void membership::SendChange(const record& r, actions& out) {
  if (AllToAll() || !r.reported || !IsRelay()) return;
  zone_members update{r.info.zone, false, {r.info}};
  update.members.front().silent = CountsAsSilent(r.emitted_state);
  if (IsLocalZone(r.info.zone)) {
    SendToRelays(update, out);
  } else {
    SendToLocalZone(update, out);
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

void membership::Remove(const vm_id& vm) {
  const auto found = members_.find(vm);
  const zone_id zone = found->second.info.zone;
  zones_[zone].erase(vm);
  if (zones_[zone].empty()) zones_.erase(zone);
  hashes_.erase(zone);
  members_.erase(found);
}

bool membership::UpdateInfo(const member_info& info, bool direct,
                            monotonic_time now) {
  if (IsSelf(info.vm)) return false;
  record& r = Add(info);
  const bool is_stale = r.reported && info.incarnation < r.info.incarnation;
  if (is_stale) return false;
  const bool same_process =
      r.reported && info.incarnation == r.info.incarnation;
  member_info merged = info;
  // A leaving process doesn't become live again; a late message without
  // `leaving` was sent earlier.
  if (same_process && r.info.leaving) merged.leaving = true;
  if (!same_process) r.sequence = 0;
  const bool changed =
      !r.reported || merged != r.info || r.reported_directly != direct;
  r.info = merged;
  r.reported = true;
  r.reported_directly = direct;
  r.remove_at = now + kRetention;
  return changed;
}

// Removes the zone's members that a complete list from its relay lacks. Members
// on the platform's list stay as listed.
void membership::RemoveAbsent(const zone_members& message) {
  std::set<vm_id> present;
  for (const member_info& info : message.members) present.insert(info.vm);
  std::vector<vm_id> absent;
  for (const vm_id& vm : zones_[message.zone]) {
    const record& r = members_.at(vm);
    if (r.reported && !present.contains(vm)) absent.push_back(vm);
  }
  for (const vm_id& vm : absent) {
    record& r = members_.at(vm);
    r.reported = false;
    hashes_.erase(message.zone);
    if (!r.listed) Remove(vm);
  }
}

void membership::SendHeartbeats(actions& out) {
  heartbeat message;
  message.member = options_.self;
  message.sequence = sequence_;
  message.revision = revision_;
  message.config_age = config_age_;
  message.interval = Interval();
  if (!AllToAll()) message.remote_zones_hash = RemoteZonesHash();
  for (const auto& [vm, r] : members_) {
    if (r.emitted_state == member_state::kGone) continue;
    if (!AllToAll() && !IsLocalZone(r.info.zone)) continue;
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
  message.hash = ZoneHash(options_.self.zone, true);
  message.revision = revision_;
  message.config_age = config_age_;
  message.interval = Interval();
  for (const auto& [zone, vms] : zones_) {
    if (IsLocalZone(zone)) continue;
    const member_info* to = ZoneReceiver(zone);
    if (to == nullptr) continue;
    out.emplace_back(send_zone_digest{to->vm, to->control, message});
  }
}

void membership::SendToRelays(const zone_members& message, actions& out) {
  for (const auto& [zone, vms] : zones_) {
    if (IsLocalZone(zone)) continue;
    const member_info* to = ZoneReceiver(zone);
    if (to == nullptr) continue;
    out.emplace_back(send_zone_members{to->vm, to->control, message});
  }
}

void membership::SendToLocalZone(const zone_members& message, actions& out) {
  const auto local_zone = zones_.find(options_.self.zone);
  if (local_zone == zones_.end()) return;
  for (const vm_id& vm : local_zone->second) {
    const record& r = members_.at(vm);
    if (!r.reported || CountsAsSilent(r.emitted_state)) continue;
    out.emplace_back(send_zone_members{vm, r.info.control, message});
  }
}

// Returns the receiver of messages to another zone: its relay or, if none is
// known, its members in turn. Otherwise, when the relays of two zones die at
// once, each zone's new relay would send to the other zone's dead relay for
// ever. Any member forwards received changes of members within its zone.
const member_info* membership::ZoneReceiver(const zone_id& zone) const {
  const vm_id relay = RelayOf(zone);
  if (!relay.IsEmpty()) return &members_.at(relay).info;
  std::vector<const member_info*> candidates;
  for (const vm_id& vm : zones_.at(zone)) {
    const record& r = members_.at(vm);
    if (r.emitted_state != member_state::kGone) candidates.push_back(&r.info);
  }
  if (candidates.empty()) return nullptr;
  return candidates[sequence_ % candidates.size()];
}

bool membership::ZoneIsSilent(const zone_id& zone, monotonic_time now) const {
  const auto found = relay_contacts_.find(zone);
  return found != relay_contacts_.end() && now >= found->second.silent_at;
}

zone_members membership::MembersOf(const zone_id& zone, bool evaluated) const {
  zone_members all{zone, true, {}};
  if (IsLocalZone(zone)) all.members.push_back(options_.self);
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return all;
  for (const vm_id& vm : found->second) {
    const record& r = members_.at(vm);
    if (!r.reported) continue;
    all.members.push_back(r.info);
    if (evaluated) all.members.back().silent = CountsAsSilent(r.emitted_state);
  }
  std::sort(
      all.members.begin(), all.members.end(),
      [](const member_info& a, const member_info& b) { return a.vm < b.vm; });
  return all;
}

std::uint64_t membership::ZoneHash(const zone_id& zone, bool evaluated) const {
  zone_hash_cache& cached = hashes_[zone];
  std::optional<std::uint64_t>& hash =
      evaluated ? cached.evaluated : cached.received;
  if (!hash) {
    std::string text;
    for (const member_info& m : MembersOf(zone, evaluated).members) {
      text += HashText(m, m.silent);
    }
    hash = HashBytes(text);
  }
  return *hash;
}

zone_hashes membership::ReceivedHashes() const {
  zone_hashes hashes;
  for (const auto& [zone, vms] : zones_) {
    if (!IsLocalZone(zone)) hashes[zone] = ZoneHash(zone, false);
  }
  return hashes;
}

// A relay hashes the states that it evaluates; the other members of its zone
// hash the states that they received from it.
std::uint64_t membership::RemoteZonesHash() const {
  const bool evaluated = IsRelay();
  std::uint64_t hash = 1;
  for (const auto& [zone, vms] : zones_) {
    if (IsLocalZone(zone)) continue;
    const auto reported = [&](const vm_id& vm) {
      return members_.at(vm).reported;
    };
    if (std::none_of(vms.begin(), vms.end(), reported)) continue;
    hash = HashBytes(zone.Str(), hash ^ ZoneHash(zone, evaluated));
  }
  return hash == 0 ? 1 : hash;
}

zone_pull membership::MakeZonePull() const {
  return {options_.self.vm, options_.self.zone, options_.self.control,
          ReceivedHashes()};
}

}  // namespace citron
