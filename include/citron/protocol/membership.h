#ifndef CITRON_PROTOCOL_MEMBERSHIP_H_
#define CITRON_PROTOCOL_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/config/fleet_config.h"
#include "citron/protocol/incarnation.h"

namespace citron {

enum class member_state {
  kListed,    // On the platform's list, not heard yet.
  kLive,      // Heard lately, or its zone's relay heard it.
  kSilent,    // Not heard for some heartbeats. No proof of death.
  kDraining,  // An operator drains it.
  kLeaving,   // Said so itself, or the platform's list says so.
  kGone,      // An operator says that it is dead.
};

// What is told of a VM; endpoints may be empty when not known.
struct member_info {
  vm_id vm;
  zone_id zone;
  region_id region;
  endpoint control;
  endpoint entry;
  endpoint dispatch;
  incarnation_number incarnation = 0;
  bool leaving = false;
  // Not heard by its own zone. Only in what a relay says.
  bool silent = false;

  friend bool operator==(const member_info&, const member_info&) = default;
};

// A line of the platform's lagging list.
struct listed_vm {
  vm_id vm;
  zone_id zone;
  region_id region;
  endpoint control;
  bool leaving = false;
};

using zone_hashes = std::map<zone_id, std::uint64_t>;

// From one VM's control to another's.
struct heartbeat {
  member_info member;
  std::uint64_t sequence = 0;
  config_revision revision = 0;
  duration config_age{};
  // When the next one is due, so that the receiver knows what is late.
  duration interval{};
  // Digest of what the sender knows of the other zones; 0 if all-to-all.
  std::uint64_t world_hash = 0;
};

// From a zone's relay to the other zones' relays.
struct zone_digest {
  zone_id zone;
  vm_id relay;
  endpoint control;  // The relay's.
  incarnation_number incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t hash = 0;
  config_revision revision = 0;
  duration config_age{};
  duration interval{};
};

// Asks for the zones where the sender's hash differs from the receiver's.
struct zone_pull {
  vm_id from;
  zone_id zone;
  endpoint control;
  zone_hashes hashes;
};

// Members of a zone, as its relay knows them: all, or only the changed ones.
struct zone_members {
  zone_id zone;
  bool complete = false;
  std::vector<member_info> members;
};

struct membership_options {
  member_info self;
  // Up to so many VMs each sends to all.
  std::size_t all_to_all_limit = 24;
  duration min_interval = FromMilliseconds(1000);
  // The interval grows with the zone so that heartbeats stay below this.
  double bytes_per_s = 1000;
  double heartbeat_bytes = 130;
  // A member is silent after so many intervals.
  int missed_limit = 4;
};

namespace membership_action {

struct send_heartbeat {
  vm_id to;
  endpoint control;
  heartbeat message;
};
struct send_zone_digest {
  vm_id to;
  endpoint control;
  zone_digest message;
};
struct send_zone_pull {
  vm_id to;
  endpoint control;
  zone_pull message;
};
struct send_zone_members {
  vm_id to;
  endpoint control;
  zone_members message;
};
struct member_changed {
  member_info member;
  member_state state = member_state::kListed;
};
// A peer's configuration, for config_replica::OnPeerRevision.
struct peer_revision {
  vm_id vm;
  config_revision revision = 0;
  duration age{};
};
struct arm_timer {
  monotonic_time at;
};

}  // namespace membership_action

// Which VMs there are and which of them to send callers to. What it says
// steers look-ups only; it is no proof of death for ownership or shares.
class membership {
 public:
  using action = std::variant<
      membership_action::send_heartbeat, membership_action::send_zone_digest,
      membership_action::send_zone_pull, membership_action::send_zone_members,
      membership_action::member_changed, membership_action::peer_revision,
      membership_action::arm_timer>;
  using actions = std::vector<action>;

  explicit membership(membership_options options);

  actions OnPlatformList(const std::vector<listed_vm>& list,
                         monotonic_time now);
  // The operators' words.
  actions OnOperatorWords(const std::set<vm_id>& drained,
                          const std::set<vm_id>& gone, monotonic_time now);
  actions OnHeartbeat(const heartbeat& message, monotonic_time now);
  actions OnZoneDigest(const zone_digest& message, monotonic_time now);
  actions OnZonePull(const zone_pull& message) const;
  actions OnZoneMembers(const vm_id& from, const zone_members& message,
                        monotonic_time now);
  // Sends what is due and finds who has become silent.
  actions OnTimer(monotonic_time now);
  actions OnLeave(monotonic_time now);

  // What heartbeats carry; kept up to date by the driver.
  void SetConfig(config_revision revision, duration age);
  void SetEndpoints(const endpoint& entry, const endpoint& dispatch);

  std::optional<member_state> StateOf(const vm_id& vm) const;
  const member_info* Find(const vm_id& vm) const;
  // VMs that look-ups may name: live, and listed ones not heard yet.
  std::vector<member_info> Usable() const;
  // Lowest id of the zone's members that are live; empty if there is none.
  vm_id RelayOf(const zone_id& zone) const;
  bool IsRelay() const;
  bool AllToAll() const;
  duration Interval() const;
  std::size_t Size() const { return members_.size(); }

 private:
  struct record {
    member_info info;
    std::uint64_t sequence = 0;
    bool listed = false;
    bool listed_leaving = false;
    bool heard = false;         // By itself or through a relay.
    bool heard_direct = false;  // By its own heartbeat, last.
    monotonic_time silent_at;   // Counts as silent from here, if heard direct.
    monotonic_time forget_at;
    member_state shown = member_state::kListed;
    bool is_shown = false;
  };
  // What a zone's relays said lately; kept by a relay only.
  struct zone_contact {
    monotonic_time silent_at;
    vm_id relay;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
  };
  struct cached_hashes {
    std::optional<std::uint64_t> told;
    std::optional<std::uint64_t> judged;
  };

  bool IsSelf(const vm_id& vm) const { return vm == options_.self.vm; }
  bool IsOwnZone(const zone_id& z) const { return z == options_.self.zone; }
  member_state Judge(const record& r, monotonic_time now) const;
  bool Refresh(record& r, bool changed, monotonic_time now, actions& out);
  void RefreshAll(monotonic_time now, actions& out);
  void RefreshContacts(monotonic_time now);
  void TellChange(const record& r, actions& out);
  record& Add(const member_info& info);
  void Forget(const vm_id& vm);
  bool TakeInfo(const member_info& info, bool direct, monotonic_time now);
  void DropAbsent(const zone_members& message);
  void SendHeartbeats(actions& out);
  void SendDigests(actions& out);
  void TellRelays(const zone_members& message, actions& out);
  void TellZone(const zone_members& message, actions& out);
  const member_info* Target(const zone_id& zone) const;
  bool ZoneIsSilent(const zone_id& zone, monotonic_time now) const;
  zone_members MembersOf(const zone_id& zone, bool judged) const;
  std::uint64_t HashOf(const zone_id& zone, bool judged) const;
  zone_hashes ToldHashes() const;
  std::uint64_t WorldHash() const;
  zone_pull MakePull() const;
  duration SilentAfter(duration interval) const;

  membership_options options_;
  std::map<vm_id, record> members_;  // Without self.
  std::map<zone_id, std::set<vm_id>> zones_;
  std::map<zone_id, zone_contact> contacts_;
  mutable std::map<zone_id, cached_hashes> hashes_;
  std::set<vm_id> drained_;
  std::set<vm_id> gone_;
  std::uint64_t sequence_ = 0;
  config_revision revision_ = 0;
  duration config_age_ = duration::max();
  monotonic_time next_at_ = monotonic_time::min();
  int world_mismatches_ = 0;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_MEMBERSHIP_H_
