#ifndef CITRON_NODE_FEED_CLIENT_H_
#define CITRON_NODE_FEED_CLIENT_H_

#include <cstdint>
#include <functional>

#include "citron/base/result.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_client.h"
#include "citron/node/feed_messages.h"
#include "citron/node/vm_listing.h"

namespace citron {

// Asks other VMs for the changes of the store.
class feed_client {
 public:
  using on_answer = std::function<void(const result<feed_answer>&)>;

  feed_client(event_loop& loop, const vm_id& own);

  // Sets the question's asker and number. An error if no answer to this very
  // question came by the deadline.
  void Ask(const vm_listing& relay, feed_question question,
           monotonic_time deadline, on_answer done);

 private:
  vm_id own_;
  std::uint64_t last_number_;
  http_client client_;
};

}  // namespace citron

#endif  // CITRON_NODE_FEED_CLIENT_H_
