#ifndef CITRON_ENTRY_ENTRY_CALL_H_
#define CITRON_ENTRY_ENTRY_CALL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "citron/entry/entry_task.h"
#include "citron/link/answer_relay.h"

namespace citron {

// One caller's request at an entry, from admission to its final answer.
class entry_task::call final : public http_call_handler {
 public:
  call(entry_task& task, http_exchange& exchange);

  // Sends the request to a dispatch, or to the entry that issued its id.
  void Send(const endpoint& to, const request_id& forward_id);
  void ReplyError(const caller_error& problem);
  void CancelForward();
  // The verdict on the whole request, when its last try ended with this one.
  verdict HonestVerdict(verdict last) const;

  void OnHead(const http_response_head& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnFailed(const call_failure& failure) override;

  // Set by the task before the call is placed.
  std::string key_digest;
  double weight = 1;  // Of the contract.
  workspace_id workspace;
  service_id service;
  std::string request_class;
  std::string target;  // What the upstream is asked for.
  monotonic_time arrived_at;
  monotonic_time deadline;
  bool idempotent = false;
  request_id id;                      // As the caller and the logs see it.
  request_id caller_id;               // From the caller; may be empty.
  std::optional<wait_ticket> ticket;  // While it waits for a token.
  bool in_registry = false;
  // Whether the id's issuer is this process, which knows what became of it.
  bool issuer_is_here = false;
  bool id_is_forged = false;  // The fleet never issued it.
  // Where the entry that issued the id takes forwarded requests; else empty.
  endpoint issuer;

  // Where it is and was.
  zone_id zone;
  region_id region;
  endpoint dispatch;
  std::vector<zone_id> tried_zones;
  std::set<endpoint> tried_dispatches;
  std::uint64_t expected_bytes = 0;
  int sends = 0;
  // One try was lost after its bytes were out. Whatever becomes of the next
  // try, the request as a whole can't be called "not run" any more.
  bool may_have_run = false;

  const http_request& Request() const { return *request_; }
  answer_relay& Relay() { return relay_; }

 private:
  void ReleaseConnection();

  entry_task& task_;
  std::shared_ptr<const http_request> request_;
  answer_relay relay_;
  std::unique_ptr<http_connection> connection_;
  int status_ = 0;
  bool not_run_ = false;
  verdict verdict_ = verdict::kRan;
  std::string refusal_;
  duration retry_after_{};
};

}  // namespace citron

#endif  // CITRON_ENTRY_ENTRY_CALL_H_
