#ifndef CITRON_WIRE_MESSAGES_H_
#define CITRON_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citron/policy/service_scheduler.h"
#include "citron/protocol/config_replica.h"
#include "citron/protocol/loan_book.h"
#include "citron/protocol/membership.h"
#include "citron/protocol/ownership.h"
#include "citron/protocol/share_holder.h"
#include "citron/protocol/token_home.h"
#include "citron/wire/fields.h"

namespace citron {

// The messages between daemons, each with its type in the envelope. None is
// answered by the transport; what must arrive is repeated by its protocol.
enum class message_type : std::uint32_t {
  // Daemons of one VM.
  kHello = 1,
  kShareUpdate,
  kShareApplied,
  kFleetView,
  kDispatchReport,
  kStoreCall,
  kStoreAnswer,
  // Controls of different VMs.
  kHeartbeat = 20,
  kZoneDigest,
  kZonePull,
  kZoneMembers,
  kConfigPull,
  kConfigDelta,
  kVmView,
  // Entries of different VMs.
  kLoanAsk = 40,
  kLoanGrant,
  kLoanReturn,
  kTokenAsk,
  kTokenGrant,
  // Dispatches of different VMs, and entries to dispatches.
  kPromiseAsk = 60,
  kPromise,
  kPoison,
  kPermitAsk,
  kPermitGrant,
  kSuspect,
  kSuspectQuery,
  kSuspectReply,
  kTableChanged,
};

enum class daemon_role : std::uint8_t { kEntry = 1, kDispatch = 2 };

// One event loop of an entry or dispatch, as others reach it.
struct task_address {
  int loop = 0;
  std::uint64_t incarnation = 0;
  endpoint http;
  endpoint peer;
  endpoint forward;  // Where an entry takes requests from other entries.
};

// From an entry's or dispatch's loop to its control, again and again: "I am
// here, and this is what I know".
struct hello {
  daemon_role role = daemon_role::kEntry;
  task_address address;
  int loops = 1;
  config_revision revision = 0;
  bool leaving = false;
};

struct share_update {
  vm_share share;
  int divisor = 1;
  // This VM's part of the links from its region, 0 to 1.
  double link_fraction = 0;
};

struct share_applied {
  int loop = 0;
  std::uint64_t sequence = 0;
};

// The queue of one service at one loop of a dispatch.
struct service_load {
  service_id service;
  scheduler_load load;
  int loop = 0;
};

// From a dispatch's loop to its control.
struct dispatch_report {
  int loop = 0;
  std::vector<service_load> services;
};

// One VM's tasks and queues. Between VMs it is sent by the control.
struct vm_view {
  vm_id vm;
  zone_id zone;
  region_id region;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool leaving = false;
  endpoint control;
  endpoint status;  // Where /status and /metrics are served.
  config_revision revision = 0;
  duration config_age{};
  std::vector<task_address> entries;
  std::vector<task_address> dispatches;
  std::vector<service_load> loads;
  // When the next one is due at the latest, so that the receiver knows what is
  // late; 0 for the own VM's.
  duration interval{};
};

// A VM as the control shows it to its daemons.
struct vm_seen {
  vm_view view;
  member_state state = member_state::kListed;
  monotonic_time received_at;
};

// From a control to its daemons, again and again. Only VMs whose view changed
// since the last one, unless `full`.
struct fleet_view {
  bool full = false;
  config_revision revision = 0;
  duration config_age{};
  std::vector<vm_seen> vms;
  std::vector<vm_id> removed;
};

enum class store_call_kind : std::uint8_t { kRead = 1, kWrite = 2 };

// A dispatch's call of the store, made by a control of its zone.
struct store_call_message {
  std::uint64_t call = 0;
  store_call_kind kind = store_call_kind::kRead;
  std::string key;
  std::string value;
  std::uint64_t expected_revision = 0;
  endpoint reply_to;
};

enum class store_answer_kind : std::uint8_t {
  kValue = 1,
  kWritten,
  kConflict,
  kUnknown,
  kUnreachable,
};

struct store_answer_message {
  std::uint64_t call = 0;
  store_answer_kind kind = store_answer_kind::kUnreachable;
  std::string value;
  std::uint64_t revision = 0;
};

struct config_pull_message {
  vm_id from;
  endpoint reply_to;
  pull_request request;
  monotonic_time asked;  // The asker's clock, handed back.
};

struct config_delta_message {
  vm_id from;
  config_delta delta;
  monotonic_time asked;
};

// A message of the loan protocol or between an entry and a home, with its ends.
template <class T>
struct loan_message {
  entry_ref from;
  entry_ref to;
  T message;
};

// A fingerprint that was in flight at two upstream crashes.
struct poison_message {
  std::uint64_t fingerprint = 0;
  duration lifetime{};
};

// A fingerprint that was in flight at one upstream crash.
struct suspect_message {
  std::uint64_t fingerprint = 0;
  upstream_id upstream;
  duration crash_age{};  // When the message was sent.
};

// The sender has assigned upstreams to the receiver in the zone's table.
struct table_changed {
  vm_id from;
};

// The sender has lost a suspect in a crash and waits for a reply from each
// other dispatch before it answers the request or sends it again. Sent after
// the report of the crash. `number` is the sender's.
struct suspect_query {
  std::uint64_t fingerprint = 0;
  std::uint64_t number = 0;
  endpoint reply_to;
};

// What the replying dispatch has learned of crashes leaves before its reply.
struct suspect_reply {
  std::uint64_t fingerprint = 0;
  std::uint64_t number = 0;
  endpoint from;
  duration convicted_for{};  // Zero if it isn't convicted.
};

// An entry asks the receiving zone's dispatch for permits to send requests
// from another region.
struct permit_ask {
  service_id service;
  vm_id sender;
  zone_id zone;
  int count = 0;
  monotonic_time asked;  // The asker's clock, handed back.
  endpoint reply_to;
};

struct permit_grant {
  service_id service;
  region_id region;
  int count = 0;
  duration lifetime{};
  monotonic_time asked;
};

inline auto WireFields(task_address& m) {
  return std::tie(m.loop, m.incarnation, m.http, m.peer, m.forward);
}
inline auto WireFields(hello& m) {
  return std::tie(m.role, m.address, m.loops, m.revision, m.leaving);
}
inline auto WireFields(config_item& m) {
  return std::tie(m.key, m.value, m.revision, m.removed);
}
inline auto WireFields(vm_share& m) {
  return std::tie(m.floor_ppm, m.leased_ppm, m.leased_until, m.floor_until,
                  m.sequence);
}
inline auto WireFields(share_update& m) {
  return std::tie(m.share, m.divisor, m.link_fraction);
}
inline auto WireFields(share_applied& m) {
  return std::tie(m.loop, m.sequence);
}
inline auto WireFields(scheduler_load& m) {
  return std::tie(m.slots, m.usable_slots, m.in_flight, m.queued,
                  m.expected_wait, m.mean_service_time, m.usable_upstreams);
}
inline auto WireFields(service_load& m) {
  return std::tie(m.service, m.load, m.loop);
}
inline auto WireFields(dispatch_report& m) {
  return std::tie(m.loop, m.services);
}
inline auto WireFields(vm_view& m) {
  return std::tie(m.vm, m.zone, m.region, m.incarnation, m.sequence, m.leaving,
                  m.control, m.status, m.revision, m.config_age, m.entries,
                  m.dispatches, m.loads, m.interval);
}
inline auto WireFields(vm_seen& m) {
  return std::tie(m.view, m.state, m.received_at);
}
inline auto WireFields(fleet_view& m) {
  return std::tie(m.full, m.revision, m.config_age, m.vms, m.removed);
}
inline auto WireFields(store_call_message& m) {
  return std::tie(m.call, m.kind, m.key, m.value, m.expected_revision,
                  m.reply_to);
}
inline auto WireFields(store_answer_message& m) {
  return std::tie(m.call, m.kind, m.value, m.revision);
}
inline auto WireFields(pull_request& m) {
  return std::tie(m.after_revision, m.full);
}
inline auto WireFields(config_pull_message& m) {
  return std::tie(m.from, m.reply_to, m.request, m.asked);
}
inline auto WireFields(config_delta& m) {
  return std::tie(m.from, m.to, m.head, m.floor, m.items, m.full, m.complete,
                  m.age);
}
inline auto WireFields(config_delta_message& m) {
  return std::tie(m.from, m.delta, m.asked);
}
inline auto WireFields(member_info& m) {
  return std::tie(m.vm, m.zone, m.region, m.control, m.entry, m.dispatch,
                  m.incarnation, m.leaving, m.silent);
}
inline auto WireFields(heartbeat& m) {
  return std::tie(m.member, m.sequence, m.revision, m.config_age, m.interval,
                  m.remote_zones_hash);
}
inline auto WireFields(zone_digest& m) {
  return std::tie(m.zone, m.relay, m.control, m.incarnation, m.sequence, m.hash,
                  m.revision, m.config_age, m.interval);
}
inline auto WireFields(zone_pull& m) {
  return std::tie(m.from, m.zone, m.control, m.hashes);
}
inline auto WireFields(zone_members& m) {
  return std::tie(m.zone, m.complete, m.members);
}
inline auto WireFields(entry_ref& m) {
  return std::tie(m.vm, m.loop, m.incarnation);
}
inline auto WireFields(loan_request& m) {
  return std::tie(m.workspace, m.number, m.ppb, m.tokens, m.duration_ms);
}
inline auto WireFields(loan_grant& m) {
  return std::tie(m.workspace, m.number, m.ppb, m.tokens, m.duration_ms);
}
inline auto WireFields(loan_return& m) {
  return std::tie(m.workspace, m.number, m.kept_ppb, m.tokens);
}
inline auto WireFields(token_request& m) {
  return std::tie(m.workspace, m.number);
}
inline auto WireFields(token_grant& m) {
  return std::tie(m.workspace, m.number, m.granted, m.retry_ms, m.burst);
}
template <class T>
auto WireFields(loan_message<T>& m) {
  return std::tie(m.from, m.to, m.message);
}
inline auto WireFields(promise_request& m) {
  return std::tie(m.from, m.from_incarnation, m.to_incarnation, m.number);
}
inline auto WireFields(promise& m) {
  return std::tie(m.from, m.from_incarnation, m.to_incarnation, m.number,
                  m.predecessor_ended);
}
inline auto WireFields(poison_message& m) {
  return std::tie(m.fingerprint, m.lifetime);
}
inline auto WireFields(suspect_message& m) {
  return std::tie(m.fingerprint, m.upstream, m.crash_age);
}
inline auto WireFields(table_changed& m) { return std::tie(m.from); }
inline auto WireFields(suspect_query& m) {
  return std::tie(m.fingerprint, m.number, m.reply_to);
}
inline auto WireFields(suspect_reply& m) {
  return std::tie(m.fingerprint, m.number, m.from, m.convicted_for);
}
inline auto WireFields(permit_ask& m) {
  return std::tie(m.service, m.sender, m.zone, m.count, m.asked, m.reply_to);
}
inline auto WireFields(permit_grant& m) {
  return std::tie(m.service, m.region, m.count, m.lifetime, m.asked);
}

}  // namespace citron

MSGPACK_ADD_ENUM(citron::daemon_role);
MSGPACK_ADD_ENUM(citron::member_state);
MSGPACK_ADD_ENUM(citron::store_call_kind);
MSGPACK_ADD_ENUM(citron::store_answer_kind);

#endif  // CITRON_WIRE_MESSAGES_H_
