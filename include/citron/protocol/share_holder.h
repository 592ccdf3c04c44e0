#ifndef CITRON_PROTOCOL_SHARE_HOLDER_H_
#define CITRON_PROTOCOL_SHARE_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/protocol/share_table.h"

namespace citron {

struct share_settings {
  int floor_ppm = 950'000;  // Floor, as a fraction of a VM's share.
  duration lease = std::chrono::seconds(9);
  // Maximum drift between the clocks of two VMs during one lease; also added to
  // the floor horizon.
  duration margin = std::chrono::seconds(1);
  duration renew_interval = std::chrono::seconds(3);
  duration reply_timeout = std::chrono::seconds(1);
  // Time without a change of a suspect's entry after which its floor is
  // released.
  duration floor_horizon = std::chrono::hours(6);
  // How long a loan granted under an earlier share may still be in use.
  duration loan_settle_time = std::chrono::milliseconds(2500);
};

// Share that the entry processes of this VM may use. They apply a change at
// once and acknowledge it; floor and leased part expire at their deadlines.
struct vm_share {
  int floor_ppm = 0;
  int leased_ppm = 0;
  monotonic_time leased_until{};
  monotonic_time floor_until{};
  // Increases with each grant, across restarts too.
  std::uint64_t sequence = 0;
};

// Actions for the driver.
struct read_table {};
struct write_table {
  std::string json;
  // Revision that the table must still have; 0 if the table must not exist.
  std::uint64_t expected_revision = 0;
  // Identifies this write in OnCasResult, so that a late result of an earlier
  // write isn't mistaken for the result of this one.
  std::uint64_t id = 0;
};
struct grant_changed {
  vm_share share;
};
struct arm_timer {
  monotonic_time at{};  // Replaces the timer armed before.
};
// A graceful release has reached the table; the process may exit.
struct release_done {};

using share_action = std::variant<read_table, write_table, grant_changed,
                                  arm_timer, release_done>;
using share_actions = std::vector<share_action>;

// Results of a compare-and-swap.
struct cas_ok {
  std::uint64_t revision = 0;
};
struct cas_conflict {
  std::string json;  // The value that stands; "" when there is none.
  std::uint64_t revision = 0;
};
// No answer, or an error after which the write may have taken effect.
struct cas_unknown {};
using cas_result = std::variant<cas_ok, cas_conflict, cas_unknown>;

// Manages this VM's share of the fleet's limits through the share table in the
// store: renews the share, lowers it for joining VMs, and reclaims expired
// parts. Each control process has one share_holder. Every event returns the
// actions to carry out, in order. The share_holder awaits at most one read or
// write at a time.
//
// Reading or writing the table renews the lease, counted from the start of the
// request, unless the VM's entry is marked as suspect. A VM marks the entry of
// another VM that seems dead and whose entry has not changed for a lease, waits
// for a lease and a margin according to its local clock, and takes the leased
// part if the mark still stands. The store must not answer reads from a stale
// replica.
class share_holder {
 public:
  share_holder(vm_id vm, zone_id zone, std::uint64_t incarnation,
               const share_settings& settings, std::uint64_t seed);

  share_actions Start(monotonic_time now);
  share_actions OnTimer(monotonic_time now);
  // `json` is "" and `revision` is 0 when the store has no table.
  share_actions OnTableRead(const std::string& json, std::uint64_t revision,
                            monotonic_time now);
  share_actions OnReadFailed(monotonic_time now);
  // Sets the VMs that seem alive, by heartbeats or the platform's list. The set
  // may be wrong: other VMs in the table are marked as suspect once their entry
  // has not changed for a lease, and a live VM clears its mark.
  void OnMembership(const std::set<vm_id>& live);
  share_actions OnCasResult(std::uint64_t write_id, const cas_result& result,
                            monotonic_time now);
  // Sets the VMs that an operator has declared dead; their shares are released
  // to the others.
  share_actions OnVmsDeclaredDead(const std::set<vm_id>& gone,
                                  monotonic_time now);
  // All entry processes of this VM have applied the grant with this sequence or
  // a later one. A floor is lowered in the table only `loan_settle_time` after
  // this; a leased part also after it has expired.
  share_actions OnGrantApplied(std::uint64_t sequence, monotonic_time now);
  // Starts a graceful release: stops the entry processes, then frees the share
  // in the table.
  share_actions OnRelease(monotonic_time now);

  const vm_share& Share() const { return share_; }
  // Returns the table as last read or written, for status pages.
  const share_table& Table() const { return table_; }
  bool IsReleased() const { return released_; }

 private:
  enum class phase { kIdle, kReading, kWriting };

  struct share_split {
    int floor_ppm = 0;
    int leased_ppm = 0;

    friend bool operator==(const share_split&, const share_split&) = default;
    int Sum() const { return floor_ppm + leased_ppm; }
    // Returns whether `held` covers this share, through a store outage too.
    bool IsWithin(const share_split& held) const {
      return floor_ppm <= held.floor_ppm && Sum() <= held.Sum();
    }
  };

  // Entry of a VM, and since when this VM has seen the entry unchanged.
  struct observed_entry {
    share_entry entry;
    monotonic_time since{};
  };

  // Reduction that the entry processes have been told to apply; the table
  // follows afterwards.
  struct pending_reduction {
    share_split target;
    std::uint64_t sequence = 0;           // Of the reduced grant.
    monotonic_time earlier_leases_end{};  // Of the earlier grants.
    std::optional<monotonic_time> applied_at;
  };

  bool AdoptTable(const std::string& json, std::uint64_t revision,
                  monotonic_time now);
  void RecordObservedEntries(monotonic_time now);
  duration UnchangedFor(const share_entry& entry, monotonic_time now) const;
  bool IsExpired(const share_entry& entry, monotonic_time now) const;
  void ReclaimExpired(share_table& next, monotonic_time now) const;
  void MarkSuspects(share_table& next, monotonic_time now) const;
  static share_split Minimum(const share_split& a, const share_split& b);
  share_split FairShare(const share_table& next, monotonic_time now) const;
  share_split NextShare(const share_table& next, monotonic_time now,
                        share_actions& actions);
  void LowerShare(const share_split& target, share_actions& actions);
  bool CanLowerTable(const share_split& held, monotonic_time now) const;
  void StartRead(monotonic_time now, share_actions& actions);
  void ProcessTable(monotonic_time now, share_actions& actions);
  void Renew(share_actions& actions);
  share_table NextTable(monotonic_time now, share_actions& actions);
  void StartWrite(share_table next, monotonic_time now, share_actions& actions);
  bool CheckLocalEntry(share_actions& actions);
  void DropShare(share_actions& actions);
  void Grant(const share_split& granted, share_actions& actions);
  void OnFailure(monotonic_time now, share_actions& actions);
  void FinishRound(monotonic_time now, share_actions& actions);
  void ScheduleReadWithin(duration d, monotonic_time now,
                          share_actions& actions);
  void Arm(monotonic_time at, share_actions& actions);
  duration Jittered(duration around);

  const vm_id vm_;
  const zone_id zone_;
  const std::uint64_t incarnation_;
  const share_settings settings_;
  pcg32 random_;

  phase phase_ = phase::kIdle;
  monotonic_time requested_at_{};  // When the read or write in flight began.
  monotonic_time next_read_at_{};
  int failures_ = 0;   // Consecutive reads and writes without a usable result.
  int conflicts_ = 0;  // Consecutive writes that lost.

  share_table table_;
  std::uint64_t revision_ = 0;
  std::map<vm_id, observed_entry> observed_entries_;
  std::optional<std::set<vm_id>> live_;
  std::map<vm_id, monotonic_time> declared_dead_;  // Since when this VM knows.
  share_table pending_write_;  // Table in the write in flight.
  std::uint64_t write_id_ = 0;

  vm_share share_;
  // End of every leased part ever granted to this VM's entry processes, by an
  // earlier control process too.
  monotonic_time granted_leases_end_{};
  std::optional<pending_reduction> pending_reduction_;
  bool joined_ = false;  // The table has had an entry of this incarnation.
  bool releasing_ = false;
  bool released_ = false;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_SHARE_HOLDER_H_
