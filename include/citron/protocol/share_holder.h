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
  int floor_ppm = 950'000;  // Part of a VM's share that is its floor.
  duration lease = std::chrono::seconds(9);
  // What clocks of two VMs may drift apart during one lease.
  duration margin = std::chrono::seconds(1);
  duration renew_interval = std::chrono::seconds(3);
  duration reply_timeout = std::chrono::seconds(1);
  // Silence after which a floor is given on.
  duration floor_horizon = std::chrono::hours(6);
  // How long a loan granted under an earlier share may still be in use.
  duration loan_settle = std::chrono::milliseconds(2500);
};

// What the entries of this VM may use. Entries apply it at once and report it
// applied; the parts end by themselves at their deadlines.
struct vm_share {
  int floor_ppm = 0;
  int leased_ppm = 0;
  monotonic_time leased_until{};
  monotonic_time floor_until{};
  std::uint64_t sequence = 0;  // Grows with each grant; over restarts too.
};

// Actions for the driver.
struct read_table {};
struct write_table {
  std::string json;
  // The revision at which the table must still stand; 0: must not exist.
  std::uint64_t expected_revision = 0;
  // Names this write in OnCasResult, so that a late result of an earlier one
  // isn't taken for its own.
  std::uint64_t id = 0;
};
struct grant_changed {
  vm_share share;
};
struct arm_timer {
  monotonic_time at{};  // Replaces the timer armed before.
};
// A graceful release has reached the table; the process may go.
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

// Holds this VM's share of the fleet's limits by way of the table in the
// store: renews it, makes room for others, takes over what has lapsed. One for
// each control process. Every event returns the actions to carry out, in
// order. At most one read or write is out at a time.
//
// Reading the table renews the lease, for a time counted from before the read,
// unless the VM's entry is marked as suspect. A VM that wants the leased part
// of another marks its entry, waits for a lease and a margin by its own clock,
// and takes the part if the mark still stands. The store must not answer reads
// from a copy that lags.
class share_holder {
 public:
  share_holder(vm_id vm, zone_id zone, std::uint64_t incarnation,
               const share_settings& settings, std::uint64_t seed);

  share_actions Start(monotonic_time now);
  share_actions OnTimer(monotonic_time now);
  // `json` is "" and `revision` 0 when the store has no table.
  share_actions OnTableRead(const std::string& json, std::uint64_t revision,
                            monotonic_time now);
  share_actions OnReadFailed(monotonic_time now);
  // VMs that seem alive, by heartbeats or the platform's list. It may be
  // wrong: another VM in the table is marked as suspect, and clears that.
  void OnMembership(const std::set<vm_id>& live);
  share_actions OnCasResult(std::uint64_t write_id, const cas_result& result,
                            monotonic_time now);
  // VMs that an operator has declared dead; their parts are given on.
  share_actions OnGoneVms(const std::set<vm_id>& gone, monotonic_time now);
  // All entry processes of this VM have applied the grant of this sequence, or
  // a later one. A part is lowered in the table only after this.
  share_actions OnGrantApplied(std::uint64_t sequence, monotonic_time now);
  // A graceful leave: stops the entries, then gives the share back.
  share_actions OnRelease(monotonic_time now);

  const vm_share& Share() const { return share_; }
  // The table as last seen, for status pages.
  const share_table& Table() const { return table_; }
  bool IsReleased() const { return released_; }

 private:
  enum class phase { kIdle, kReading, kWriting };

  struct parts {
    int floor_ppm = 0;
    int leased_ppm = 0;

    friend bool operator==(const parts&, const parts&) = default;
    int Sum() const { return floor_ppm + leased_ppm; }
    // Needs nothing that `held` doesn't have, through an outage too.
    bool IsWithin(const parts& held) const {
      return floor_ppm <= held.floor_ppm && Sum() <= held.Sum();
    }
  };

  // Since when this VM has seen another's entry as it stands.
  struct sighting {
    share_entry entry;
    monotonic_time since{};
  };

  // The entries were told to use less; the table follows when they do.
  struct lowering {
    parts target;
    std::uint64_t sequence = 0;         // Of the grant that told them.
    monotonic_time leased_parts_end{};  // Of the grants before it.
    std::optional<monotonic_time> applied_at;
  };

  bool TakeTable(const std::string& json, std::uint64_t revision,
                 monotonic_time now);
  void RecordSightings(monotonic_time now);
  duration UnchangedFor(const share_entry& entry, monotonic_time now) const;
  bool IsLapsed(const share_entry& entry, monotonic_time now) const;
  void ReclaimLapsed(share_table& next, monotonic_time now) const;
  void MarkSuspects(share_table& next, monotonic_time now) const;
  static parts Least(const parts& a, const parts& b);
  parts FairParts(const share_table& next, monotonic_time now) const;
  parts NextParts(const share_table& next, monotonic_time now,
                  share_actions& actions);
  void Lower(const parts& target, share_actions& actions);
  bool MayLowerTable(const parts& held, monotonic_time now) const;
  void Read(monotonic_time now, share_actions& actions);
  void OnTable(monotonic_time now, share_actions& actions);
  void Renew(share_actions& actions);
  share_table NextTable(monotonic_time now, share_actions& actions);
  void Write(share_table next, monotonic_time now, share_actions& actions);
  bool CheckOwnEntry(share_actions& actions);
  void GiveUpShare(share_actions& actions);
  void Grant(const parts& granted, share_actions& actions);
  void OnFailure(monotonic_time now, share_actions& actions);
  void FinishRound(monotonic_time now, share_actions& actions);
  void ReadWithin(duration d, monotonic_time now, share_actions& actions);
  void Arm(monotonic_time at, share_actions& actions);
  duration Jittered(duration around);

  const vm_id vm_;
  const zone_id zone_;
  const std::uint64_t incarnation_;
  const share_settings settings_;
  pcg32 random_;

  phase phase_ = phase::kIdle;
  monotonic_time asked_at_{};  // When the read or write that is out began.
  monotonic_time next_read_at_{};
  int failures_ = 0;   // Reads and writes without a result, in a row.
  int conflicts_ = 0;  // Writes that lost, in a row.

  share_table table_;
  std::uint64_t revision_ = 0;
  std::map<vm_id, sighting> sightings_;
  std::optional<std::set<vm_id>> live_;
  std::map<vm_id, monotonic_time> gone_;  // Since when we know.
  share_table written_;                   // What the write that is out holds.
  std::uint64_t write_id_ = 0;

  vm_share share_;
  // The end of every leased part that this VM's entries were ever granted, by
  // an earlier process too.
  monotonic_time leased_parts_end_{};
  std::optional<lowering> lowering_;
  bool joined_ = false;  // The table has had an entry of this incarnation.
  bool releasing_ = false;
  bool released_ = false;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_SHARE_HOLDER_H_
