#ifndef CITRON_NODE_FEED_MESSAGES_H_
#define CITRON_NODE_FEED_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/net/http_types.h"
#include "citron/protocol/change_index.h"

namespace citron {

// One VM asks another for the changes of the store that it lacks.
struct feed_question {
  vm_id asker;
  std::uint64_t number = 0;  // The answer repeats it.
  log_position after;        // Head of the last answer from any VM.
  // Of the asker's copy; counts if `after` is of another log.
  store_revision revision = 0;
  bool wants_whole_copy = false;
  duration wait{};  // How long to wait for changes.
};

struct feed_answer {
  std::uint64_t number = 0;
  bool is_whole_copy = false;  // Keys that `changes` lacks were removed.
  store_revision revision = 0;
  log_position head;
  std::uint64_t digest = 0;  // Of the answering VM's copy.
  duration held{};           // From the question's arrival to this answer.
  duration proof_age{};      // Of the answering VM's copy.
  duration lapsed_left{};    // What was removed may come back for so long.
  std::vector<key_change> changes;
};

inline constexpr char kFeedPath[] = "/feed";

// Messages carry a digest made with the secret that the asked VM has listed in
// the store, so that questions come from VMs of the fleet and answers from the
// one that was asked.
http_request MakeFeedRequest(const feed_question& question,
                             std::string_view secret);
result<feed_question> ReadFeedRequest(const http_request& request,
                                      std::string_view secret);
http_response MakeFeedResponse(const feed_answer& answer,
                               std::string_view secret);
// Fails with kNotFound if the VM has no current copy.
result<feed_answer> ReadFeedResponse(const http_response& response,
                                     std::string_view secret);

}  // namespace citron

#endif  // CITRON_NODE_FEED_MESSAGES_H_
