#ifndef CITRON_PROTOCOL_TOKEN_HOME_H_
#define CITRON_PROTOCOL_TOKEN_HOME_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/protocol/admission.h"
#include "citron/protocol/entry_ref.h"

namespace citron {

// Requests one token from the workspace's home. Numbers grow with each request
// of an entry; a message with an old number has no effect.
struct token_request {
  workspace_id workspace;
  std::uint64_t number = 0;
};

struct token_grant {
  workspace_id workspace;
  std::uint64_t number = 0;  // Of the request.
  bool granted = false;
  std::int64_t retry_ms = 0;  // When refused.
  double burst = 0;           // Of the contract by which it was granted.
};

struct send_token_request {
  entry_ref to;
  token_request message;
};
struct send_token_grant {
  entry_ref to;
  token_grant message;
};
using token_grants = std::vector<send_token_grant>;

// The workspace is not small here, or this entry is its home, or no home is
// known.
struct no_remote_home {};
// The result for a request without a local token: admitted, waiting for the
// reply of the home, rejected, or not served by another entry as the home.
using token_search_result =
    std::variant<admitted, send_token_request, over_rate, no_remote_home>;

// The reply has no effect: it is repeated, too late, never requested, from
// another sender, for a workspace without a contract, or granted by a larger
// burst.
struct grant_ignored {};
// `admitted`: a token is kept here for the next request that takes it.
// `over_rate`: the request that needed the token is to be rejected.
using grant_result = std::variant<admitted, over_rate, grant_ignored>;

struct token_home_settings {
  // A workspace is small here if this entry's own share holds fewer tokens.
  double small_capacity = 3.5;
  // The time for which a granted token may be used, counted from the token
  // request. The home counts the same time plus a margin from its reply.
  duration token_lifetime = std::chrono::milliseconds(200);
  duration margin = std::chrono::milliseconds(10);
  // The longest time for which the home holds a token request while loans to
  // the home are pending.
  duration max_hold = std::chrono::milliseconds(60);
  // The most token requests of one workspace that are pending here, and the
  // most that are held here.
  std::size_t max_pending_requests = 16;
};

enum class home_role { kNone, kSelf, kElsewhere };

// Chooses one home among the live entries for each workspace whose contract is
// small against their number: the home holds its tokens, and the other entries
// request them one by one. Each event loop has one, over its admission.
// Messages may be lost, repeated and reordered; the transport must report the
// true sender and drop messages for another incarnation.
class token_home {
 public:
  token_home(entry_ref self, const admission& limits,
             const token_home_settings& settings);

  // Sets the entries that seem live, with this one unless it is leaving.
  void SetLive(std::vector<entry_ref> live);

  home_role RoleOf(const workspace_id& workspace) const;
  // Returns null if the workspace is not small here, or no entry is live.
  const entry_ref* HomeOf(const workspace_id& workspace) const;

  // Called when a request finds no local token.
  token_search_result FindToken(const workspace_id& workspace,
                                monotonic_time now);
  grant_result OnTokenGrant(const entry_ref& from, const token_grant& grant,
                            monotonic_time now);
  // Takes a token received from the home that has not expired; returns whether
  // there was one.
  bool TakeReceivedToken(const workspace_id& workspace, monotonic_time now);
  // Called when the contract was changed here.
  void OnContractChanged(const workspace_id& workspace);

  // Called at the home. `limits` is the loop's admission; `may_borrow` is
  // whether loans may soon bring more tokens.
  token_grants OnTokenAsk(admission& limits, const entry_ref& from,
                          const token_request& ask, bool may_borrow,
                          monotonic_time now);
  // Called when loans have come, and at intervals.
  token_grants AnswerHeldRequests(admission& limits, monotonic_time now);

 private:
  struct sent_request {
    entry_ref to;
    monotonic_time usable_until{};
  };
  struct pause {
    entry_ref home;
    monotonic_time until{};
  };
  struct held_request {
    entry_ref from;
    std::uint64_t number = 0;
    monotonic_time give_up_at{};
  };
  struct requester {
    std::uint64_t number = 0;  // The highest received.
    monotonic_time seen_at{};
  };
  // The token requests of this entry for one workspace, and the tokens
  // received.
  struct workspace_requests {
    std::map<std::uint64_t, sent_request> sent;
    std::deque<monotonic_time> received_until;
    std::optional<pause> refused;
  };

  void DropOldRecords(monotonic_time now);
  bool IsSmall(const workspace_id& workspace) const;
  send_token_grant Grant(token_bucket& bucket, const entry_ref& to,
                         const workspace_id& workspace, std::uint64_t number,
                         monotonic_time now) const;
  send_token_grant Refuse(token_bucket& bucket, const entry_ref& to,
                          const workspace_id& workspace, std::uint64_t number,
                          monotonic_time now) const;
  bool CanGrantToken(token_bucket& bucket, monotonic_time now) const;

  struct live_entry {
    entry_ref ref;
    std::uint64_t hash = 0;
  };

  const entry_ref self_;
  const admission& limits_;
  const token_home_settings settings_;
  std::vector<live_entry> live_;
  // Index in live_, computed at the first use.
  mutable std::map<workspace_id, std::size_t> home_of_;
  std::map<workspace_id, workspace_requests> asked_;
  std::map<workspace_id, std::deque<held_request>> held_;
  std::map<std::pair<workspace_id, entry_ref>, requester> requesters_;
  std::uint64_t next_number_ = 1;
  monotonic_time next_cleanup_at_{};
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_TOKEN_HOME_H_
