#ifndef CITRON_POLICY_ADMISSION_WAIT_H_
#define CITRON_POLICY_ADMISSION_WAIT_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

struct admission_wait_options {
  // A round trip to the farthest region and back, with some spare.
  duration longest_wait = std::chrono::milliseconds(150);
  // Of one workspace at one time.
  std::size_t max_waiting = 16;
};

// Requests that came when this entry had no token of their workspace, while
// tokens that others hold may be on their way.
//
// It answers a workspace whose contract is small against the number of VMs:
// each VM's part of the burst is less than one token, so that a request in its
// rate finds none wherever it arrives, and would be refused although the fleet
// as a whole has tokens. One round trip for a loan is much shorter than the
// second after which the caller would ask again. It is bounded by time and by
// number, and nothing waits that can't be helped: when no other VM has
// anything to lend, the refusal comes at once.
class admission_wait {
 public:
  explicit admission_wait(admission_wait_options options);

  // Whether the request may wait. Not when others are refused for certain.
  bool TryWait(const workspace_id& workspace, const request_id& id,
               bool may_borrow, monotonic_time now, monotonic_time deadline);

  // Lets those in, oldest first, for whom `admit` finds a token.
  std::vector<request_id> TakeAdmitted(
      const workspace_id& workspace,
      const std::function<bool(const workspace_id&)>& admit);
  // Those whose time is over, to be refused now.
  std::vector<request_id> TakeExpired(monotonic_time now);
  std::optional<request_id> TakeOldest(const workspace_id& workspace);
  void Remove(const workspace_id& workspace, const request_id& id);

  std::vector<workspace_id> Workspaces() const;

 private:
  struct waiting_request {
    request_id id;
    monotonic_time give_up_at;
  };

  admission_wait_options options_;
  std::unordered_map<workspace_id, std::deque<waiting_request>> waiting_;
};

}  // namespace citron

#endif  // CITRON_POLICY_ADMISSION_WAIT_H_
