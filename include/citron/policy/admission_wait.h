#ifndef CITRON_POLICY_ADMISSION_WAIT_H_
#define CITRON_POLICY_ADMISSION_WAIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// Identifies a waiting request to the caller of `TryWait`.
enum class wait_ticket : std::uint64_t {};

struct admission_wait_options {
  // Longest time that a request waits: a round trip to the farthest region and
  // some reserve. At an entry that has just started the time counts from when
  // the entry's share begins, if that is before the request's deadline.
  duration longest_wait = std::chrono::milliseconds(150);
  // Number of requests of one workspace that may always wait at a time, however
  // small its rate. A larger rate raises the limit.
  std::size_t min_waiting_limit = 16;
};

// Possible sources of a token for one more request of a workspace.
struct token_prospects {
  // Whether tokens of other entries may arrive.
  bool may_borrow = false;
  // When this entry's rate will have refilled a token, after the tokens for the
  // requests that already wait.
  std::optional<monotonic_time> local_token_at;
  double contract_rate_per_s = 0;
  // Set at an entry that has just started: when the entry's share begins.
  std::optional<monotonic_time> share_begins_at;
};

// Holds requests that arrived when this entry had no token of their workspace
// while one is expected, from the entry's rate or from other entries.
//
// Load pattern: requests within a contract that find no local token. The causes
// are a contract so small that each VM's share of the burst is less than one
// token, demand that has moved to another zone one round trip ahead of its
// loans, a bucket whose next token is a millisecond away (a rejection would
// tell the caller to retry after 0 ms), and a VM that has just started and
// whose share has yet to begin. Without the wait these requests would be
// rejected although the fleet has tokens, and the wait of one round trip
// (longer at a VM that has just started) is much shorter than the 1 s after
// which a caller would retry.
//
// The wait is bounded in time and number. A request is rejected at once if the
// entry's rate refills no token in time and no other VM has any to lend. At
// most as many requests wait as the whole contract admits in `longest_wait`,
// but at least `min_waiting_limit`; more would wait in vain.
class admission_wait {
 public:
  explicit admission_wait(admission_wait_options options);

  // Adds the request and returns true if a token may arrive in time and the
  // number of waiting requests is below the bound; otherwise returns false.
  bool TryWait(const workspace_id& workspace, wait_ticket ticket,
               const token_prospects& prospects, monotonic_time now,
               monotonic_time deadline);

  // Removes and returns waiting requests, oldest first, as long as `take_token`
  // returns true.
  std::vector<wait_ticket> TakeAdmitted(
      const workspace_id& workspace, const std::function<bool()>& take_token);
  // Removes and returns the requests whose wait has ended, to be rejected.
  std::vector<wait_ticket> TakeExpired(monotonic_time now);
  std::optional<wait_ticket> TakeOldest(const workspace_id& workspace);
  void Remove(const workspace_id& workspace, wait_ticket ticket);

  bool IsEmpty() const { return waiting_.empty(); }
  std::size_t CountWaiting(const workspace_id& workspace) const;
  std::vector<workspace_id> WaitingWorkspaces() const;
  // Returns the earliest time after `now` at which the oldest waiting request
  // of some workspace expects a token, if there is such a time.
  std::optional<monotonic_time> NextTokenAt(monotonic_time now) const;

 private:
  struct waiting_request {
    wait_ticket ticket{};
    monotonic_time wait_ends_at;
    std::optional<monotonic_time> token_at;
  };

  monotonic_time WaitEnd(const token_prospects& prospects, monotonic_time now,
                         monotonic_time deadline) const;
  std::size_t WaitingLimit(double contract_rate_per_s) const;

  admission_wait_options options_;
  std::unordered_map<workspace_id, std::deque<waiting_request>> waiting_;
};

}  // namespace citron

#endif  // CITRON_POLICY_ADMISSION_WAIT_H_
