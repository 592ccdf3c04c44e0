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
  duration ttl = FromSeconds(3);
  duration renew_interval = FromSeconds(1);
  // How long a member goes on without the store, by its own clock.
  duration horizon = FromSeconds(3600);
  duration margin = FromMilliseconds(500);
  // How much faster one clock may run than another.
  double max_rate_error = 2e-3;
  // A call of the store without an answer after this counts as unknown.
  duration store_timeout = FromSeconds(1);
  duration conflict_backoff = FromMilliseconds(20);
  // How long a hand-over waits for requests in flight before it counts them.
  duration handover_patience = FromSeconds(2);
  // So many dispatches of a zone share its upstreams; the others stand by.
  std::size_t max_members = 4;
};

// "Don't take over from me."
struct promise_ask {
  vm_id from;
  incarnation_number from_incarnation = 0;
  incarnation_number to_incarnation = 0;  // The process that is asked.
  std::uint64_t joined = 0;               // The asker's row's.
  std::uint64_t number = 0;
};

// "I won't before ttl and margin from now." With `predecessor_gone`: the
// process that you asked has ended, and I have its address.
struct promise {
  vm_id from;
  incarnation_number from_incarnation = 0;  // The process that was asked.
  incarnation_number to_incarnation = 0;
  std::uint64_t number = 0;
  bool predecessor_gone = false;
  endpoint address;  // The sender's.
};

enum class cas_outcome { kOk, kConflict, kUnknown };

namespace ownership_action {

// `via` names the zone fellow that passes the call on; empty: this VM's own
// control. `call` is handed back with the answer.
struct read_table {
  std::uint64_t call = 0;
  vm_id via;
};
// Must be sent once only. A transport that sends again by itself must report
// kUnknown.
struct write_table {
  std::uint64_t call = 0;
  vm_id via;
  std::string json;
  std::uint64_t expected_revision = 0;  // 0: the key doesn't exist.
};
struct send_promise_ask {
  vm_id to;
  promise_ask message;
};
struct send_promise {
  vm_id to;
  promise message;
};
// For steering and metrics; what may be sent is asked of MaySend.
struct ownership_changed {
  std::set<upstream_id> owned;
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
  using action =
      std::variant<ownership_action::read_table, ownership_action::write_table,
                   ownership_action::send_promise_ask,
                   ownership_action::send_promise,
                   ownership_action::ownership_changed, ownership_action::left,
                   ownership_action::arm_timer>;
  using actions = std::vector<action>;

  ownership(ownership_options options, std::uint64_t seed);

  actions OnTimer(monotonic_time now);
  // `json` is empty for "no such key".
  actions OnTableRead(std::uint64_t call, const std::string& json,
                      std::uint64_t revision, monotonic_time now);
  // `revision` is the new one when ok.
  actions OnCasResult(std::uint64_t call, cas_outcome outcome,
                      std::uint64_t revision, monotonic_time now);
  // The call can't have had an effect.
  actions OnStoreUnreachable(std::uint64_t call, monotonic_time now);
  actions OnPromiseAsk(const promise_ask& message, monotonic_time now);
  actions OnPromise(const promise& message, monotonic_time now);
  // The upstreams of this zone.
  actions OnUpstreams(const std::set<upstream_id>& upstreams,
                      monotonic_time now);
  // Requests sent to the upstream and not finished, told before each send;
  // while this process leaves, also those that wait for the upstream.
  actions OnInFlight(const upstream_id& upstream, int count,
                     monotonic_time now);
  actions OnLeave(monotonic_time now);
  // All VMs that operators say are dead.
  actions OnGone(const std::set<vm_id>& gone, monotonic_time now);

  // To be asked right before each send, with the time read right before.
  bool MaySend(const upstream_id& upstream, monotonic_time now) const;
  // Slots that the owner before still fills.
  int ReservedSlots(const upstream_id& upstream) const;
  // Until when this process may send; may be in the past.
  monotonic_time Until() const;
  std::set<upstream_id> Owned() const;
  // Whom requests for the upstream go to, as last read; empty if unknown.
  vm_id OwnerOf(const upstream_id& upstream) const;
  const ownership_table& Table() const { return table_; }
  // Tables that didn't parse.
  std::uint64_t BadTables() const { return bad_tables_; }

 private:
  using member_key = std::pair<vm_id, incarnation_number>;

  // A write without a final answer: it may have taken effect, or still may.
  struct attempt {
    std::uint64_t call = 0;
    std::uint64_t counter = 0;
    std::uint64_t expected_revision = 0;
    monotonic_time asked;
    ownership_table table;
  };
  struct sighting {
    incarnation_number incarnation = 0;
    std::uint64_t counter = 0;
    monotonic_time since;
  };
  struct store_call {
    std::uint64_t number = 0;
    monotonic_time asked;
  };

  bool IsMember() const;
  bool IsMine(const ownership_table& table, const upstream_id& u) const;
  bool TakesCall(std::uint64_t call);
  duration WaitFor(duration period) const;
  int InFlight(const upstream_id& upstream) const;
  duration Jittered(duration most);

  void TakeTable(ownership_table table, std::uint64_t revision,
                 monotonic_time now);
  void ResolveAttempts();
  void NoteWritten(const attempt& written);
  void NoteSightings(monotonic_time now);
  void KeepBounds();
  void AfterFailure(monotonic_time now);

  void Plan(monotonic_time now, actions& out);
  void EndLeaving(actions& out);
  bool Join(ownership_table& next, monotonic_time now) const;
  bool MayEvict(const vm_id& vm, const ownership_member& row,
                monotonic_time now) const;
  void Evict(ownership_table& next, monotonic_time now) const;
  void DropUnknown(ownership_table& next) const;
  void ClearDrained(ownership_table& next) const;
  void HandOver(ownership_table& next, monotonic_time now);
  void HandOverOne(const upstream_id& upstream, ownership_assignment& entry,
                   const vm_id& to, monotonic_time now);
  void TakeUnassigned(ownership_table& next, monotonic_time now) const;
  bool HoldsNothing(const ownership_table& table) const;
  std::set<vm_id> Candidates(const ownership_table& table,
                             monotonic_time now) const;

  void UseStore(monotonic_time now, actions& out);
  void Read(monotonic_time now, actions& out);
  void Write(ownership_table next, monotonic_time now, actions& out);
  void AskPromises(monotonic_time now, actions& out);
  vm_id Route(bool is_read, monotonic_time now);
  void Finish(monotonic_time now, actions& out);

  ownership_options options_;
  pcg32 random_;
  ownership_table table_;  // As last confirmed by a read or an ok write.
  std::uint64_t revision_ = 0;
  bool has_table_ = false;
  std::vector<attempt> attempts_;
  std::optional<store_call> call_;
  std::uint64_t last_call_ = 0;
  std::uint64_t counter_ = 0;
  // Ask time of the last write that is known to have taken effect.
  std::optional<monotonic_time> last_written_;
  // Each member that may take over from this one, and until when it can't.
  std::map<member_key, monotonic_time> bounds_;
  // Whom this process has promised not to take over from, and until when.
  std::map<member_key, monotonic_time> promised_;
  std::map<vm_id, sighting> sightings_;
  std::map<std::uint64_t, monotonic_time> asks_;
  std::uint64_t last_ask_ = 0;
  monotonic_time next_ask_at_ = monotonic_time::min();
  monotonic_time next_store_at_ = monotonic_time::min();
  int store_failures_ = 0;
  std::size_t route_ = 0;  // 0: this VM's control; else another member's.
  monotonic_time own_route_at_ = monotonic_time::min();
  std::set<upstream_id> upstreams_;
  bool has_upstreams_ = false;
  std::map<upstream_id, int> in_flight_;
  // Upstreams that get no new requests, as they are about to be handed over;
  // from the time given, the requests in flight are counted instead.
  std::map<upstream_id, monotonic_time> handovers_;
  std::set<vm_id> gone_;
  bool leaving_ = false;
  bool left_ = false;
  std::set<upstream_id> shown_owned_;
  std::uint64_t bad_tables_ = 0;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_OWNERSHIP_H_
