#ifndef CITRON_PROTOCOL_FLEET_FEED_H_
#define CITRON_PROTOCOL_FLEET_FEED_H_

#include <cstdint>
#include <optional>

#include "citron/base/time.h"

namespace citron {

struct feed_options {
  // A watch that was answered is not asked again sooner: changes come in rows,
  // and each call is paid for. In a small fleet a change is known everywhere
  // after a third of a second; with more VMs each change costs more calls, and
  // each VM waits longer, up to less than half of what the bounds allow.
  duration least_interval = FromMilliseconds(300);
  duration longest_interval = FromMilliseconds(1100);
  int small_fleet = 12;  // VMs.
  // How long a watch waits in the store where nothing changes. Its end is a
  // call and a proof that the copy is current; longer ones would leave a VM
  // without a proof for more than half of what revocation allows.
  duration watch_wait = FromMilliseconds(2000);
  // The same of a VM that others ask: what they know is older by their own
  // questions, and has to be young enough all the same.
  duration shared_watch_wait = FromMilliseconds(800);
  // How long a question to another VM waits there for changes.
  duration relay_wait = FromMilliseconds(500);
  // A watch that ends with a change proves only its beginning: the next one
  // waits less, so that the proof is never older than this and an answer.
  duration oldest_proof = FromMilliseconds(2400);
  duration least_wait = FromMilliseconds(100);
  duration retry_interval = FromMilliseconds(300);
  // What is missing after an outage may still come back for this long.
  duration lapse_grace = FromMilliseconds(2100);
};

// Keeps a VM's copy of the store current: says which call comes next, and how
// current the copy is proved to be. Revisions are the store's.
class fleet_feed {
 public:
  enum class call { kRange, kWatch };
  struct order {
    call what = call::kRange;
    std::uint64_t after = 0;  // For a watch, and how long it may wait.
    duration wait{};
    bool relayed = false;  // To be asked of another VM, not of the store.
  };

  explicit fleet_feed(const feed_options& options);

  // VMs that make calls to the store like this one.
  void SetFleetSize(int vms);
  // Other VMs ask this one for what it has read.
  void SetShared(bool shared) { is_shared_ = shared; }
  // The call to make now, if any; it counts as sent. `may_relay`: another VM
  // can be asked, as long as there is a copy that it can add to.
  std::optional<order> Next(monotonic_time now, bool may_relay = false);
  // When Next may have one, if nothing is under way.
  monotonic_time NextAt() const { return next_at_; }

  void OnRange(std::uint64_t revision, monotonic_time now);
  // `any`: there were changes, so that the watch ended before its wait.
  void OnEvents(std::uint64_t revision, bool any, monotonic_time now);
  // Another VM answered. `proof_age`: how old its own proof was when it did,
  // after it had held the question for `held`; `lapsed_left`: for how long what
  // is missing there may only have lapsed.
  void OnRelayed(std::uint64_t revision, duration held, duration proof_age,
                 duration lapsed_left, monotonic_time now);
  // It gave no answer, or none that is current; nothing was learnt.
  void OnRelayFailed(monotonic_time now);
  void OnCompacted(monotonic_time now);
  void OnFailed(monotonic_time now);

  // Whether a whole copy was ever read.
  bool HasCopy() const { return has_copy_; }
  // The copy has all that the store acknowledged before this moment.
  std::optional<monotonic_time> ProvenAt() const { return proven_at_; }
  bool IsProvenSince(duration age, monotonic_time now) const;
  // The store answers.
  bool IsInTouch() const { return failures_ == 0 && has_copy_; }
  // Until when entries that are missing may only have lapsed in an outage.
  monotonic_time LapsedUntil() const { return lapsed_until_; }
  std::uint64_t Revision() const { return revision_; }

 private:
  void OnAnswer(std::uint64_t revision, monotonic_time proven_at,
                monotonic_time now);

  feed_options options_;
  duration interval_;
  bool under_way_ = false;
  bool has_copy_ = false;
  bool needs_range_ = true;
  bool history_gone_ = true;  // Only a whole copy helps.
  bool is_shared_ = false;
  int failures_ = 0;
  std::uint64_t revision_ = 0;
  monotonic_time next_at_{};
  monotonic_time sent_at_{};
  duration wait_{};  // Of the watch that was sent last.
  monotonic_time lapsed_until_{};
  std::optional<monotonic_time> proven_at_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_FLEET_FEED_H_
