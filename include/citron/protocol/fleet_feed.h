#ifndef CITRON_PROTOCOL_FLEET_FEED_H_
#define CITRON_PROTOCOL_FLEET_FEED_H_

#include <cstdint>
#include <optional>

#include "citron/base/time.h"

namespace citron {

// Waits of a fleet_feed for a bound of 2.5 s; ForBound scales them.
struct feed_options {
  // Returns the options with which a change is in force within `bound` of its
  // acknowledgement by the store, if the store answers reads.
  static feed_options ForBound(duration bound);

  // Age of the proof of the local copy at which the store is read, whatever
  // other call is pending: any call that waits for changes may go silent. What
  // is left of the bound is for reads that fail or are slow.
  duration refresh_age = FromMilliseconds(1600);
  // The same on a VM that other VMs read from, which gets the changes for them
  // before each of them reads the store.
  duration shared_refresh_age = FromMilliseconds(1200);
  // Time from one such read to the next, while none is answered.
  duration refresh_interval = FromMilliseconds(400);
  // Least time from the start of an answered call to the next call: changes
  // come in bursts, and each call is paid for. In a small fleet a change
  // reaches all VMs after a third of a second. With more VMs each change costs
  // more calls, so the interval grows.
  duration min_interval = FromMilliseconds(300);
  duration max_interval = FromMilliseconds(1100);
  // Number of VMs up to which min_interval applies.
  int small_fleet = 12;
  // Time that a watch waits in the store while nothing changes. Each watch is
  // a call, and its answer proves up to which moment the local copy was
  // current.
  duration watch_wait = FromMilliseconds(800);
  // Time that a request to another VM waits there for changes or a newer proof.
  duration relay_wait = FromMilliseconds(900);
  // Step of the proof with which such a request is answered.
  duration proof_step = FromMilliseconds(400);
  // A watch that ends with a change proves only its start. The next watch
  // waits less, at least min_wait, to keep the proof younger than this.
  duration max_proof_age = FromMilliseconds(1000);
  duration min_wait = FromMilliseconds(100);
  // Time after which a VM that watches the store reads a full copy all the
  // same: bounds the age of a change that no watch told.
  duration audit_interval = FromMilliseconds(10000);
  duration retry_interval = FromMilliseconds(300);
  // Time after an outage for which missing entries of the store are kept, as
  // their owners may still write them again.
  duration expiry_grace = FromMilliseconds(2100);
};

// Keeps a VM's local copy of the store current: selects the next call and
// tracks up to which moment the local copy is proved current. Revisions are the
// store's.
//
// Load pattern: the store is priced by the call, loses answers, compacts its
// history and is unreachable for seconds. Without the intervals each write of
// an upstream is a call by each VM. Without the proof a VM that lost the store
// would go on with withdrawn keys, seen only by requests that run for callers
// without access. Without the refresh the time-outs of silent calls add up
// along the VMs that read from each other, and a change comes after its bound.
class fleet_feed {
 public:
  enum class call { kRange, kWatch };
  enum class refresh_reason { kOldProof, kAudit };
  struct feed_call {
    call what = call::kRange;
    // Revision after which a watch or relayed request reports changes.
    std::uint64_t after = 0;
    // Longest wait for changes.
    duration wait{};
    bool relayed = false;  // The call goes to another VM, not to the store.
  };

  explicit fleet_feed(const feed_options& options);
  void SetOptions(const feed_options& options);
  const feed_options& Options() const { return options_; }

  // Sets the number of VMs that make calls to the store like this VM.
  void SetFleetSize(int vms);
  // Sets whether other VMs read changes from this VM.
  void SetServesOthers(bool shared) { is_shared_ = shared; }
  // Returns the call to make now, if any, and counts it as sent. With
  // `may_relay` the call goes to another VM if there is a local copy that the
  // answer can add to.
  std::optional<feed_call> NextCall(monotonic_time now, bool may_relay = false);
  // Returns why to read a full copy from the store now, if at all, beside any
  // call that is pending, and counts it as started.
  std::optional<refresh_reason> StartRefresh(monotonic_time now);
  // Returns when Next may return a call if none is in flight.
  monotonic_time NextAt() const { return next_at_; }

  void OnRange(std::uint64_t revision, monotonic_time now);
  // Takes the answer of a watch. `any` is set if there were changes, so that
  // the watch ended before its wait was over.
  void OnEvents(std::uint64_t revision, bool any, monotonic_time now);
  // Takes the answer of another VM. `held` is the time that VM held the
  // request, `proof_age` the age of its proof when it answered, and
  // `expiry_grace_left` the time for which that VM keeps missing entries after
  // an outage.
  void OnRelayed(std::uint64_t revision, duration held, duration proof_age,
                 duration expiry_grace_left, monotonic_time now);
  // The other VM gave no answer.
  void OnRelayFailed(monotonic_time now);
  // The other VM has lost the store.
  void OnRelayRefused(monotonic_time now);
  void OnCompacted(monotonic_time now);
  void OnFailed(monotonic_time now);
  // Take the end of a read that StartRefresh ordered at `sent_at`.
  void OnRefreshed(std::uint64_t revision, monotonic_time sent_at,
                   monotonic_time now);
  void OnRefreshFailed(monotonic_time sent_at);

  // Returns whether a full copy was ever read.
  bool HasCopy() const { return has_copy_; }
  // Returns the moment up to which the local copy has every write that the
  // store acknowledged.
  std::optional<monotonic_time> ProvenAt() const { return proven_at_; }
  bool IsProvenWithin(duration age, monotonic_time now) const;
  // Returns whether other VMs may read from this one: its copy is current, and
  // it has not lost the store. They look for another one while their own copies
  // are current.
  bool CanServeOthers(monotonic_time now) const;
  // Returns whether there is a local copy and no call to the store failed since
  // the last answer.
  bool IsConnected() const { return failures_ == 0 && has_copy_; }
  // Returns until when entries that are missing in the store are kept, since
  // they may have expired in an outage and be written again.
  monotonic_time ExpiryGraceUntil() const { return expiry_grace_until_; }
  std::uint64_t Revision() const { return revision_; }

 private:
  void RecordAnswer(std::uint64_t revision, monotonic_time proven_at,
                    monotonic_time now);
  void RecordCopy(monotonic_time sent_at, monotonic_time now);
  // The store answered this VM, or another VM that has not lost it.
  void EndFailures(monotonic_time now);
  bool NeedsRefresh(monotonic_time now) const;
  // Returns the wait after a call to the store until the next one if it fails:
  // `least`, or more while other VMs have lost the store, too.
  duration RetryWait(duration least) const;

  feed_options options_;
  int fleet_size_ = 1;
  duration interval_;
  bool in_flight_ = false;
  bool has_copy_ = false;
  bool needs_range_ = true;
  // Set when only a full copy from the store helps, not a relayed answer.
  bool needs_store_copy_ = true;
  // Only a full copy that was requested since then helps.
  monotonic_time copy_needed_since_{};
  bool watches_store_ = false;  // The last call was to the store.
  bool is_shared_ = false;
  bool others_lost_store_ = false;  // As they said since the last answer.
  int failures_ = 0;
  int pending_refreshes_ = 0;
  monotonic_time next_refresh_at_{};
  std::uint64_t revision_ = 0;
  monotonic_time next_at_{};
  monotonic_time sent_at_{};
  monotonic_time copy_sent_at_{};  // The last full copy that was read.
  duration wait_{};                // Wait of the last watch sent to the store.
  // Time that the store last took to answer, beside the wait.
  duration answer_delay_{};
  monotonic_time expiry_grace_until_{};
  std::optional<monotonic_time> proven_at_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_FLEET_FEED_H_
