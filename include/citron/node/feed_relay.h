#ifndef CITRON_NODE_FEED_RELAY_H_
#define CITRON_NODE_FEED_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citron/base/time.h"
#include "citron/net/http_server.h"
#include "citron/node/feed_messages.h"
#include "citron/node/node_context.h"
#include "citron/protocol/change_index.h"

namespace citron {

// Answers other VMs' questions from what this one has learnt of the store.
class feed_relay {
 public:
  // `secret`: as this VM lists it.
  feed_relay(node_context& context, const change_index& index,
             std::string secret);

  void OnQuestion(http_exchange& exchange);
  // Answers the questions that have waited long enough or for which there are
  // changes or a newer proof; to be called as time passes and after each
  // change.
  void Run(monotonic_time now);

 private:
  struct waiting_question {
    std::uint64_t place = 0;
    http_exchange* exchange = nullptr;
    feed_question question;
    monotonic_time asked_at;
    monotonic_time proven_at;  // Of this VM's copy when it was asked.
  };

  // Those who ask a VM that lost its own source should ask another one while
  // their copies are still good.
  bool IsCurrent(monotonic_time now) const;
  std::optional<std::vector<key_change>> ChangesFor(
      const feed_question& question) const;
  void Answer(const waiting_question& waiting, monotonic_time now);

  node_context& context_;
  const change_index& index_;
  std::string secret_;
  std::uint64_t last_place_ = 0;
  std::vector<waiting_question> waiting_;
};

}  // namespace citron

#endif  // CITRON_NODE_FEED_RELAY_H_
