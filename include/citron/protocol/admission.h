#ifndef CITRON_PROTOCOL_ADMISSION_H_
#define CITRON_PROTOCOL_ADMISSION_H_

#include <cstdint>
#include <unordered_map>
#include <variant>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/protocol/share_holder.h"
#include "citron/protocol/token_bucket.h"

namespace citron {

struct admitted {};
// `retry_at` is when this entry expects to have a token again.
struct over_rate {
  monotonic_time retry_at{};
};
// The workspace has no contract here.
struct no_contract {};
using admit_result = std::variant<admitted, over_rate, no_contract>;

// One workspace's limit at one event loop of an entry.
struct workspace_limit {
  token_bucket bucket;
  std::uint64_t arrivals = 0;  // Admitted or not.
  std::uint64_t refusals = 0;
  // The contract was withdrawn; the limit stays while shares of it are lent.
  bool is_withdrawn = false;
};

// Admits requests under this loop's share of each workspace's contract. Each
// event loop has one; not thread-safe.
class admission {
 public:
  // The loop's own share counts from `share_starts_at`. A restarted entry
  // doesn't know the loans of its predecessor, so this is the start plus the
  // longest loan with its margin (loan_settings::SettleTime).
  explicit admission(monotonic_time share_starts_at);

  // Sets the VM's share, of which this loop has one of `divisor` equal parts.
  // The divisor may fall only loan_settings::SettleTime after a loop has
  // stopped.
  void SetShare(const vm_share& share, int divisor, monotonic_time now);
  void SetContract(const workspace_id& workspace, double rate_per_s,
                   double burst, monotonic_time now);
  void RemoveContract(const workspace_id& workspace, monotonic_time now);

  admit_result Admit(const workspace_id& workspace, monotonic_time now);

  // Returns null if there is no limit. The limit of a withdrawn contract is
  // returned while it is kept.
  workspace_limit* Find(const workspace_id& workspace);
  const workspace_limit* Find(const workspace_id& workspace) const;
  std::unordered_map<workspace_id, workspace_limit>& Limits() {
    return limits_;
  }
  // Returns the loop's own share, without loans, that lasts from `now` to
  // `until`.
  std::int64_t OwnPpbUntil(monotonic_time now, monotonic_time until) const;

  // Returns the loop's own share as last set, whether it has begun or ended; 0
  // before a share was granted.
  std::int64_t GrantedPpb() const;

 private:
  void ApplyShare(token_bucket& bucket, monotonic_time now) const;

  std::unordered_map<workspace_id, workspace_limit> limits_;
  monotonic_time share_starts_at_;
  vm_share share_;
  int divisor_ = 1;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_ADMISSION_H_
