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
  kListed,    // Known from the platform's list, without a valid report.
  kLive,      // Reported recently, itself or through its zone's relay.
  kSilent,    // No reports for several heartbeat intervals. No proof of death.
  kDraining,  // Drained by an operator.
  kLeaving,   // By its own report or the platform's list.
  kGone,      // Declared dead by an operator.
};

// Description of a VM in reports; unknown endpoints are empty.
struct member_info {
  vm_id vm;
  zone_id zone;
  region_id region;
  endpoint control;
  endpoint entry;
  endpoint dispatch;
  incarnation_number incarnation = 0;
  bool leaving = false;
  // The relay evaluates the VM as silent or declared dead. Set only in reports
  // of a relay.
  bool silent = false;

  friend bool operator==(const member_info&, const member_info&) = default;
};

// An entry of the platform's list of VMs, which lags behind.
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
  // Time until the next heartbeat, which lets the receiver detect a missed one.
  duration interval{};
  // Hash of the sender's view of the other zones; 0 if all-to-all.
  std::uint64_t remote_zones_hash = 0;
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

// Requests the members of the zones whose hash differs at the receiver.
struct zone_pull {
  vm_id from;
  zone_id zone;
  endpoint control;
  zone_hashes hashes;
};

// Members of a zone in its relay's view: all, or only the changed ones.
struct zone_members {
  zone_id zone;
  bool complete = false;
  std::vector<member_info> members;
};

struct membership_options {
  member_info self;
  // Fleets of at most this many VMs send heartbeats all-to-all.
  std::size_t all_to_all_limit = 24;
  duration min_interval = FromMilliseconds(1000);
  // The interval grows with the zone to keep heartbeats below this rate.
  double bytes_per_s = 1000;
  double bytes_per_heartbeat = 130;
  // A member is silent after this many intervals without a heartbeat.
  int missed_heartbeats_limit = 4;
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
// A peer's configuration revision, for config_replica::OnPeerRevision.
struct peer_revision {
  vm_id vm;
  config_revision revision = 0;
  duration age{};
};
struct arm_timer {
  monotonic_time at;
};

}  // namespace membership_action

// Tracks which VMs exist and which of them callers may be sent to. Its states
// affect look-ups only; they are no proof of death for ownership or shares.
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
  // Sets the VMs that operators drain and those that they have declared dead.
  actions OnOperatorSettings(const std::set<vm_id>& drained,
                             const std::set<vm_id>& gone, monotonic_time now);
  actions OnHeartbeat(const heartbeat& message, monotonic_time now);
  actions OnZoneDigest(const zone_digest& message, monotonic_time now);
  actions OnZonePull(const zone_pull& message) const;
  actions OnZoneMembers(const vm_id& from, const zone_members& message,
                        monotonic_time now);
  // Sends due messages and detects members that have become silent.
  actions OnTimer(monotonic_time now);
  actions OnLeave(monotonic_time now);

  // Sets what heartbeats carry; the driver keeps it up to date.
  void SetConfig(config_revision revision, duration age);
  void SetEndpoints(const endpoint& entry, const endpoint& dispatch);

  std::optional<member_state> StateOf(const vm_id& vm) const;
  const member_info* Find(const vm_id& vm) const;
  // Returns the VMs that look-ups may name: live ones, and listed ones without
  // a report yet.
  std::vector<member_info> Usable() const;
  // Returns the member with the lowest id that can relay for the zone, live or
  // draining; empty if there is none.
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
    bool reported = false;           // Directly or through a relay.
    bool reported_directly = false;  // The last report was its heartbeat.
    monotonic_time silent_at;  // Silent from then on if it reports directly.
    monotonic_time remove_at;
    // State in the last member_changed action.
    member_state emitted_state = member_state::kListed;
    bool has_emitted_state = false;
  };
  // Last contact with a remote zone's relay; a VM that is not a relay clears it
  // at each timer.
  struct relay_contact {
    monotonic_time silent_at;
    vm_id relay;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
  };
  // Hashes of a zone's members with `silent` as received in reports and as
  // evaluated by this VM.
  struct zone_hash_cache {
    std::optional<std::uint64_t> received;
    std::optional<std::uint64_t> evaluated;
  };

  bool IsSelf(const vm_id& vm) const { return vm == options_.self.vm; }
  bool IsLocalZone(const zone_id& z) const { return z == options_.self.zone; }
  member_state EvaluateState(const record& r, monotonic_time now) const;
  bool UpdateState(record& r, bool changed, monotonic_time now, actions& out);
  void UpdateAllStates(monotonic_time now, actions& out);
  void UpdateContacts(monotonic_time now);
  void SendChange(const record& r, actions& out);
  record& Add(const member_info& info);
  void Remove(const vm_id& vm);
  bool UpdateInfo(const member_info& info, bool direct, monotonic_time now);
  void RemoveAbsent(const zone_members& message);
  void SendHeartbeats(actions& out);
  void SendDigests(actions& out);
  void SendToRelays(const zone_members& message, actions& out);
  void SendToLocalZone(const zone_members& message, actions& out);
  const member_info* ZoneReceiver(const zone_id& zone) const;
  bool ZoneIsSilent(const zone_id& zone, monotonic_time now) const;
  zone_members MembersOf(const zone_id& zone, bool evaluated) const;
  std::uint64_t ZoneHash(const zone_id& zone, bool evaluated) const;
  zone_hashes ReceivedHashes() const;
  std::uint64_t RemoteZonesHash() const;
  zone_pull MakeZonePull() const;
  duration SilenceLimit(duration interval) const;

  membership_options options_;
  std::map<vm_id, record> members_;  // Without self.
  std::map<zone_id, std::set<vm_id>> zones_;
  std::map<zone_id, relay_contact> relay_contacts_;
  mutable std::map<zone_id, zone_hash_cache> hashes_;
  std::set<vm_id> drained_;
  std::set<vm_id> dead_vms_;
  std::uint64_t sequence_ = 0;
  config_revision revision_ = 0;
  duration config_age_ = duration::max();
  monotonic_time next_heartbeat_at_ = monotonic_time::min();
  int remote_hash_mismatches_ = 0;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_MEMBERSHIP_H_
