#ifndef CITRON_PROTOCOL_OWNERSHIP_H_
#define CITRON_PROTOCOL_OWNERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/protocol/incarnation.h"
#include "citron/protocol/ownership_table.h"

namespace citron {

struct ownership_options {
  vm_id vm;
  incarnation_number incarnation = 0;
  endpoint address;  // Bound by this process already.
  // An acknowledged member may take over after ttl without a renewal.
  duration ttl = FromSeconds(3);
  duration renew_interval = FromSeconds(1);
  // Longest ownership without a successful write to the store, by the local
  // clock.
  duration horizon = FromSeconds(3600);
  // Added to each wait of an observer.
  duration margin = FromMilliseconds(500);
  // Largest relative difference between the rates of two VMs' clocks.
  double max_rate_error = 2e-3;
  // A store call without an answer within this time has an unknown outcome.
  duration store_timeout = FromSeconds(1);
  // Longest random wait after a write conflict, for each member of the table.
  duration conflict_backoff = FromMilliseconds(20);
  // Longest wait of a hand-over for requests in flight; after it, the table
  // records their count.
  duration handover_drain_limit = FromSeconds(2);
  // Largest number of dispatches of a zone that share its upstreams; further
  // dispatches stand by.
  std::size_t max_members = 4;
};

// Asks the receiver not to take over from the sender.
struct promise_request {
  vm_id from;
  incarnation_number from_incarnation = 0;
  incarnation_number to_incarnation = 0;  // The process addressed.
  std::uint64_t joined = 0;               // From the sender's row.
  std::uint64_t number = 0;
};

// The sender promises not to take over from the receiver until ttl, the clock
// rate error and margin have passed since the request arrived. With
// `predecessor_ended` it promises nothing: it is a later process of the VM, and
// if `address` is that of the addressed process's row, that process has ended.
struct promise {
  vm_id from;
  incarnation_number from_incarnation = 0;  // The process addressed.
  incarnation_number to_incarnation = 0;
  std::uint64_t number = 0;
  bool predecessor_ended = false;
  endpoint address;  // The sender's.
};

enum class cas_outcome { kOk, kConflict, kUnknown };

namespace ownership_action {

// `via` names the zone member that relays the call; empty for this VM's
// control. The answer carries the same `call`.
struct read_table {
  std::uint64_t call = 0;
  vm_id via;
};
// Must be sent only once. A transport that resends by itself must report
// kUnknown.
struct write_table {
  std::uint64_t call = 0;
  vm_id via;
  std::string json;
  std::uint64_t expected_revision = 0;  // 0: the key doesn't exist.
};
struct send_promise_request {
  vm_id to;
  promise_request message;
};
struct send_promise {
  vm_id to;
  promise message;
};
// Tells the member that this process has assigned upstreams to it, so that it
// reads the table now and not with its next renewal.
struct notify_owner {
  vm_id to;
};
// For routing and metrics only; MaySend decides whether a request may be sent.
struct ownership_changed {
  std::set<upstream_id> owned;
  // Send deadline at the time of this action; renewals don't update it.
  monotonic_time until;
};
// The row is out of the table; the process may end.
struct left {};
struct arm_timer {
  monotonic_time at;
};

}  // namespace ownership_action

// Exclusive ownership of a zone's upstreams by one dispatch process.
class ownership {
 public:
  using action = std::variant<
      ownership_action::read_table, ownership_action::write_table,
      ownership_action::send_promise_request, ownership_action::send_promise,
      ownership_action::notify_owner, ownership_action::ownership_changed,
      ownership_action::left, ownership_action::arm_timer>;
  using actions = std::vector<action>;

  ownership(ownership_options options, std::uint64_t seed);

  actions OnTimer(monotonic_time now);
  // `json` is empty if the key doesn't exist.
  actions OnTableRead(std::uint64_t call, const std::string& json,
                      std::uint64_t revision, monotonic_time now);
  // `revision` is the new revision if `outcome` is kOk.
  actions OnCasResult(std::uint64_t call, cas_outcome outcome,
                      std::uint64_t revision, monotonic_time now);
  // The store call had no effect.
  actions OnStoreUnreachable(std::uint64_t call, monotonic_time now);
  actions OnPromiseRequest(const promise_request& message, monotonic_time now);
  actions OnPromise(const promise& message, monotonic_time now);
  // Another member has assigned upstreams to this one.
  actions OnTableChanged(monotonic_time now);
  // Sets the upstreams of this zone.
  actions OnUpstreams(const std::set<upstream_id>& upstreams,
                      monotonic_time now);
  // Sets the number of requests in flight at the upstream; must be called
  // before each send and after each request that ends. While this process
  // leaves, the count includes requests queued for the upstream.
  actions OnInFlight(const upstream_id& upstream, int count,
                     monotonic_time now);
  actions OnLeave(monotonic_time now);
  // Sets the VMs that operators have declared dead.
  actions OnDeclaredDead(const std::set<vm_id>& gone, monotonic_time now);

  // Must be called right before each send, with the time read right before.
  bool MaySend(const upstream_id& upstream, monotonic_time now) const;
  // Returns the slots reserved for the previous owner's requests: their count
  // at the hand-over, until all of them have ended.
  int ReservedSlots(const upstream_id& upstream) const;
  // Returns the time until which this process may send; may be in the past.
  monotonic_time SendDeadline() const;
  std::set<upstream_id> AssignedUpstreams() const;
  // Returns the assigned upstreams without those that are being handed over.
  std::set<upstream_id> SendableUpstreams(monotonic_time now) const;
  // Returns the upstream's owner in the table last read; empty if unknown.
  vm_id OwnerOf(const upstream_id& upstream) const;
  const ownership_table& Table() const { return table_; }
  // Returns the number of tables that failed to parse.
  std::uint64_t MalformedTables() const { return malformed_tables_; }

 private:
  using member_key = std::pair<vm_id, incarnation_number>;

  // A write that is not settled: without an answer, or with a conflict that no
  // table read has confirmed yet. Without an answer it may have taken effect or
  // may still take effect.
  struct pending_write {
    std::uint64_t call = 0;
    std::uint64_t counter = 0;
    std::uint64_t expected_revision = 0;
    monotonic_time requested_at;
    ownership_table table;
  };
  struct row_observation {
    incarnation_number incarnation = 0;
    std::uint64_t counter = 0;
    monotonic_time since;
  };
  struct store_call {
    std::uint64_t number = 0;
    monotonic_time requested_at;
  };

  bool IsMember() const;
  bool IsAssignedToThisVm(const ownership_table& table,
                          const upstream_id& u) const;
  bool CompletesCall(std::uint64_t call);
  duration ObserverWait(duration period) const;
  int InFlight(const upstream_id& upstream) const;
  duration RandomUpTo(duration most);

  void AdoptTable(ownership_table table, std::uint64_t revision,
                  monotonic_time now);
  void ResolvePendingWrites();
  void RecordWrite(const pending_write& written);
  void ObserveRows(monotonic_time now);
  void UpdateBounds();
  void ScheduleRetry(monotonic_time now);
  void NotifyNewOwners(const ownership_table& before, actions& out) const;

  void PlanWrite(monotonic_time now, actions& out);
  void FinishLeaving(actions& out);
  bool Join(ownership_table& next, monotonic_time now) const;
  bool MayEvict(const vm_id& vm, const ownership_member& row,
                monotonic_time now) const;
  void Evict(ownership_table& next, monotonic_time now) const;
  void DropUnknownUpstreams(ownership_table& next) const;
  void ClearDrained(ownership_table& next) const;
  void HandOver(ownership_table& next, monotonic_time now);
  void HandOverUpstream(const upstream_id& upstream,
                        ownership_assignment& assignment, const vm_id& to,
                        monotonic_time now);
  void TakeUnassigned(ownership_table& next, monotonic_time now) const;
  bool HoldsNoUpstream(const ownership_table& table) const;
  std::set<vm_id> Candidates(const ownership_table& table,
                             monotonic_time now) const;

  void StartStoreCall(monotonic_time now, actions& out);
  void Read(monotonic_time now, actions& out);
  void Write(ownership_table next, monotonic_time now, actions& out);
  void RequestPromises(monotonic_time now, actions& out);
  vm_id Route(bool is_read, monotonic_time now);
  void EmitChangeAndTimer(monotonic_time now, actions& out);

  ownership_options options_;
  pcg32 random_;
  ownership_table table_;  // As confirmed by the last read or successful write.
  std::uint64_t revision_ = 0;
  bool has_table_ = false;
  std::vector<pending_write> pending_writes_;
  std::optional<store_call> call_;
  // The table changed while `call_` was open, which may have read it before.
  bool reads_again_ = false;
  std::uint64_t last_call_ = 0;
  std::uint64_t counter_ = 0;
  // Request time of the last write that is known to have taken effect.
  std::optional<monotonic_time> last_written_;
  // For each member that may take over from this one: the time before which it
  // can't.
  std::map<member_key, monotonic_time> bounds_;
  // Members that this process has promised not to take over from, and until
  // when.
  std::map<member_key, monotonic_time> promised_until_;
  std::map<vm_id, row_observation> row_observations_;
  // Send times of the latest promise requests, by number.
  std::map<std::uint64_t, monotonic_time> requests_;
  std::uint64_t last_request_ = 0;
  // Earliest time of the next promise requests.
  monotonic_time next_request_at_ = monotonic_time::min();
  monotonic_time next_store_at_ = monotonic_time::min();
  int store_failures_ = 0;
  // Index of the route, modulo the number of routes. Route 0 is this VM's
  // control, the others are the other members' controls.
  std::size_t route_ = 0;
  monotonic_time local_route_retry_at_ = monotonic_time::min();
  std::set<upstream_id> upstreams_;
  bool has_upstreams_ = false;
  std::map<upstream_id, int> in_flight_;
  // Upstreams that are being handed over and get no new requests. From the time
  // given, the hand-over records the requests in flight instead of waiting.
  std::map<upstream_id, monotonic_time> handovers_;
  std::set<vm_id> dead_vms_;
  bool leaving_ = false;
  bool left_ = false;
  std::set<upstream_id> reported_owned_;
  std::uint64_t malformed_tables_ = 0;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_OWNERSHIP_H_
