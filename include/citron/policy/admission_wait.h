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

// A request that waits, for the one who let it wait.
enum class wait_ticket : std::uint64_t {};

struct admission_wait_options {
  // A round trip to the farthest region and back, with some spare. At an entry
  // that has just started it counts from when its own share begins.
  duration longest_wait = std::chrono::milliseconds(150);
  // Of one workspace at one time, however small its rate.
  std::size_t max_waiting = 16;
};

// Where a token for one more request of a workspace may come from.
struct token_prospects {
  // Tokens of other entries may be on their way.
  bool may_borrow = false;
  // When the rate that this entry has will have made one, behind those for the
  // requests that wait already.
  std::optional<monotonic_time> own_token_at;
  double contract_rate_per_s = 0;
  // Of an entry that has just started: when its own share begins.
  std::optional<monotonic_time> share_begins_at;
};

// Requests that came when this entry had no token of their workspace, while one
// is in sight: of its own rate, or of others'.
//
// Load pattern: a workspace whose contract is small against the number of VMs:
// each VM's part of the burst is less than one token, so that a request in its
// rate finds none wherever it arrives, and would be refused although the fleet
// as a whole has tokens. Demand that moves to another zone: the loans that
// follow it are a round trip late. A bucket that is empty for a moment: its
// next token is a millisecond away, and a refusal would tell the caller to come
// back after 0 ms. And a VM that has just started, whose share has yet to
// begin. One round trip is much shorter than the second after which the caller
// would ask again.
//
// It is bounded by time and by number, and nothing waits that can't be helped:
// when the own rate makes no token in time and no other VM has anything to
// lend, the refusal comes at once. More requests than the whole contract lets
// in during the wait would only come to wait in vain.
class admission_wait {
 public:
  explicit admission_wait(admission_wait_options options);

  // Whether the request may wait. Not when others are refused for certain.
  bool TryWait(const workspace_id& workspace, wait_ticket ticket,
               const token_prospects& prospects, monotonic_time now,
               monotonic_time deadline);

  // Lets those in, oldest first, for whom `take_token` finds one.
  std::vector<wait_ticket> TakeAdmitted(
      const workspace_id& workspace, const std::function<bool()>& take_token);
  // Those whose time is over, to be refused now.
  std::vector<wait_ticket> TakeExpired(monotonic_time now);
  std::optional<wait_ticket> TakeOldest(const workspace_id& workspace);
  void Remove(const workspace_id& workspace, wait_ticket ticket);

  bool IsEmpty() const { return waiting_.empty(); }
  std::size_t Waiting(const workspace_id& workspace) const;
  std::vector<workspace_id> Workspaces() const;
  // When the first token that somebody waits for should be there, if that was
  // foreseen.
  std::optional<monotonic_time> NextTokenAt(monotonic_time now) const;

 private:
  struct waiting_request {
    wait_ticket ticket{};
    monotonic_time give_up_at;
    std::optional<monotonic_time> token_at;
  };

  monotonic_time GiveUpAt(const token_prospects& prospects, monotonic_time now,
                          monotonic_time deadline) const;
  std::size_t MostWaiting(double contract_rate_per_s) const;

  admission_wait_options options_;
  std::unordered_map<workspace_id, std::deque<waiting_request>> waiting_;
};

}  // namespace citron

#endif  // CITRON_POLICY_ADMISSION_WAIT_H_
