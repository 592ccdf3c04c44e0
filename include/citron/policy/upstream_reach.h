#ifndef CITRON_POLICY_UPSTREAM_REACH_H_
#define CITRON_POLICY_UPSTREAM_REACH_H_

#include <cstddef>
#include <set>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

struct upstream_reach_options {
  // Upstreams to which connects must fail, with no connect in between that
  // succeeds, before this VM counts as cut off from all of them; all upstreams
  // where there are fewer.
  std::size_t failures_to_lose = 4;
  // Upstreams that fail or don't answer, with no success in between, before
  // others are probed.
  std::size_t suspicions_to_probe = 2;
  // Connects that one round of probes begins, and the time between rounds.
  std::size_t probes_per_round = 3;
  duration probe_interval = FromMilliseconds(250);
};

// Whether this VM can open connections to upstreams, by how its own attempts
// end. An upstream that crashes says nothing about the others: while few fail,
// others are probed, and one success refutes the suspicion.
class upstream_reach {
 public:
  explicit upstream_reach(const upstream_reach_options& options = {});

  void OnConnected(monotonic_time now);
  // `began`: when the attempt began; it says nothing if another one succeeded
  // since. `known`: the number of upstreams that there are. Returns whether the
  // VM is cut off since this failure.
  bool OnConnectFailed(const upstream_id& upstream, monotonic_time began,
                       std::size_t known, monotonic_time now);
  // A request got no answer, or its connection was lost.
  void OnUnanswered(const upstream_id& upstream, monotonic_time now);
  // An answer came on a connection of this VM's own. It refutes suspicions, but
  // old connections may live on while new ones fail.
  void OnAnswered();

  bool IsReachable() const { return is_reachable_; }
  // When the first of the failures in a row was seen.
  monotonic_time FailingSince() const { return failing_since_; }
  // Returns whether a round of probes is due.
  bool WantsProbes(std::size_t known, monotonic_time now) const;
  // Returns the upstreams to connect to, in the order of `candidates`; each is
  // probed once before any is probed again.
  std::vector<upstream_id> TakeProbes(
      const std::vector<upstream_id>& candidates, monotonic_time now);

 private:
  upstream_reach_options options_;
  bool is_reachable_ = true;
  std::set<upstream_id> failed_;
  std::set<upstream_id> suspected_;  // Those that failed included.
  std::set<upstream_id> probed_;
  monotonic_time connected_at_{};
  monotonic_time failing_since_{};
  monotonic_time probe_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_UPSTREAM_REACH_H_
