#ifndef CITRON_LINK_FORWARD_HEAD_H_
#define CITRON_LINK_FORWARD_HEAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/net/http_types.h"

namespace citron {

// What an entry tells a dispatch, or another entry, of a request that it
// forwards; it travels in headers, sealed with the fleet's secret.
struct forward_head {
  request_id id;  // "<vm>.<loop>.<incarnation>.<number>", new for each send.
  workspace_id workspace;
  service_id service;
  std::string key_digest;
  duration time_left{};  // Until the caller's deadline, when it was sent.
  double weight = 1;
  bool idempotent = false;
  // The caller's own id for work that must not be repeated; may be empty.
  std::string caller_request_id;
};

// The part of a forwarded request that the seal covers besides the head.
struct forward_subject {
  std::string_view method;
  std::string_view target;
  std::string_view body;
};

void AddForwardHeaders(const forward_head& head, const forward_subject& subject,
                       std::string_view secret, http_headers& headers);

// An error for a request that no daemon of the fleet sent.
result<forward_head> ReadForwardHeaders(const http_headers& headers,
                                        const forward_subject& subject,
                                        std::string_view secret);

// Whether a caller's header may go on to an upstream. Keys, headers that name
// a workspace or an id, and those of one connection may not.
bool MayForwardHeader(std::string_view name);

// Whether an upstream's header may go on to the caller.
bool MayReturnHeader(std::string_view name);

// Drops a forwarded request that was recorded and is sent again. It keeps, for
// each sending loop, the numbers seen among the latest few thousand.
class forward_replay_window {
 public:
  // False for an id that came before or is too old to tell.
  bool Accept(const request_id& id);

 private:
  struct sender {
    std::uint64_t incarnation = 0;
    std::uint64_t highest = 0;
    std::vector<bool> seen;
  };
  std::unordered_map<std::string, sender> senders_;
};

}  // namespace citron

#endif  // CITRON_LINK_FORWARD_HEAD_H_
