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

// Asks the workspace's home for one token. Numbers grow with each ask of an
// entry; a message with an old number does nothing.
struct token_ask {
  workspace_id workspace;
  std::uint64_t number = 0;
};

struct token_grant {
  workspace_id workspace;
  std::uint64_t number = 0;  // Of the ask.
  bool granted = false;
  std::int64_t retry_ms = 0;  // When refused.
  double burst = 0;           // Of the contract by which it was granted.
};

struct send_token_ask {
  entry_ref to;
  token_ask message;
};
struct send_token_grant {
  entry_ref to;
  token_grant message;
};
using token_grants = std::vector<send_token_grant>;

// The workspace is not small here, or this entry is its home, or none is known.
struct no_home {};
// Of a request without a local token: let in, to wait for the answer of the
// home, refused, or none of the home's business.
using seek_result = std::variant<admitted, send_token_ask, over_rate, no_home>;

// The answer meant nothing: repeated, too late, or never asked for.
struct grant_ignored {};
// A token is kept here for the next that takes it; or the one that asked is to
// be refused.
using grant_result = std::variant<admitted, over_rate, grant_ignored>;

struct token_home_settings {
  // A workspace is small here if the own part holds fewer tokens.
  double small_capacity = 3.5;
  // A granted token may be used for so long, counted from the ask; the home
  // counts the same and a margin from its answer.
  duration usable = std::chrono::milliseconds(200);
  duration margin = std::chrono::milliseconds(10);
  // How long the home keeps an ask while loans are on their way to it.
  duration longest_hold = std::chrono::milliseconds(60);
  // Of one workspace at one time, asked from here or held here.
  std::size_t max_asks = 16;
};

enum class home_role { kNone, kSelf, kElsewhere };

// One home among the live entries for each workspace whose contract is small
// against their number: the home holds its tokens, the others ask for them one
// by one. One for each event loop, over the loop's admission. Messages may be
// lost, repeated and reordered; the wire must tell the sender truly, and must
// drop what is meant for another incarnation.
class token_home {
 public:
  token_home(entry_ref self, const admission& limits,
             const token_home_settings& settings);

  // Entries that seem live, this one included unless it is leaving.
  void SetLive(std::vector<entry_ref> live);

  home_role RoleOf(const workspace_id& workspace) const;
  // Null if the workspace is not small here, or no entry is live.
  const entry_ref* HomeOf(const workspace_id& workspace) const;

  // A request found no local token.
  seek_result Seek(const workspace_id& workspace, monotonic_time now);
  grant_result OnTokenGrant(const entry_ref& from, const token_grant& grant,
                            monotonic_time now);
  // A token that came for a request that needs it no more.
  bool TakeSpare(const workspace_id& workspace, monotonic_time now);
  // The contract was changed here.
  void OnContract(const workspace_id& workspace);

  // At the home. `limits` is the loop's admission; `may_borrow`: whether more
  // tokens may come by loans soon.
  token_grants OnTokenAsk(admission& limits, const entry_ref& from,
                          const token_ask& ask, bool may_borrow,
                          monotonic_time now);
  // After loans came, and now and then.
  token_grants ServeHeld(admission& limits, monotonic_time now);

 private:
  struct sent_ask {
    entry_ref to;
    monotonic_time usable_until{};
  };
  struct pause {
    entry_ref home;
    monotonic_time until{};
  };
  struct held_ask {
    entry_ref from;
    std::uint64_t number = 0;
    monotonic_time give_up_at{};
  };
  struct asker {
    std::uint64_t number = 0;  // The highest seen.
    monotonic_time seen_at{};
  };
  // What this entry asked for and got of one workspace.
  struct asked_workspace {
    std::map<std::uint64_t, sent_ask> sent;
    std::deque<monotonic_time> spare_until;
    std::optional<pause> refused;
  };

  void Forget(monotonic_time now);
  bool IsSmall(const workspace_id& workspace) const;
  send_token_grant Grant(token_bucket& bucket, const entry_ref& to,
                         const workspace_id& workspace, std::uint64_t number,
                         monotonic_time now) const;
  send_token_grant Refuse(token_bucket& bucket, const entry_ref& to,
                          const workspace_id& workspace, std::uint64_t number,
                          monotonic_time now) const;
  bool MayPartWith(token_bucket& bucket, monotonic_time now) const;

  struct live_entry {
    entry_ref ref;
    std::uint64_t hash = 0;
  };

  const entry_ref self_;
  const admission& limits_;
  const token_home_settings settings_;
  std::vector<live_entry> live_;
  // Index in live_; worked out when first asked for.
  mutable std::map<workspace_id, std::size_t> home_of_;
  std::map<workspace_id, asked_workspace> asked_;
  std::map<workspace_id, std::deque<held_ask>> held_;
  std::map<std::pair<workspace_id, entry_ref>, asker> askers_;
  std::uint64_t next_number_ = 1;
  monotonic_time forget_at_{};
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_TOKEN_HOME_H_
