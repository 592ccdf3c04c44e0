#ifndef CITRON_NODE_NODE_PAGES_H_
#define CITRON_NODE_NODE_PAGES_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citron/base/result.h"
#include "citron/net/http_server.h"
#include "citron/node/feed_relay.h"
#include "citron/node/node_context.h"
#include "citron/node/peer_exchange.h"
#include "citron/policy/vm_choice.h"

namespace citron {

// Where the small pages stand, and how the answer to a look-up is written.
struct page_paths {
  std::string ready;
  std::string lookup;
  std::string lookup_zone;  // Parameters of the query.
  std::string lookup_region;
  std::string lookup_addresses;  // Members of the answer.
  std::string lookup_lifetime;
};

// Whether this VM takes requests, which VMs callers should use; and on the
// address for the inside, metrics and other VMs' questions.
class node_pages {
 public:
  static result<std::unique_ptr<node_pages>> Make(
      node_context& context, const page_paths& paths,
      const peer_exchange& peers, feed_relay& relay,
      std::function<vm_condition()> condition);

 private:
  node_pages(node_context& context, const page_paths& paths,
             const peer_exchange& peers, feed_relay& relay,
             std::function<vm_condition()> condition);

  void OnReadiness(http_exchange& exchange);
  void OnLookup(http_exchange& exchange);
  void OnInternal(http_exchange& exchange);
  // Logs which VMs callers of a zone are sent to, when that changes.
  void LogChoice(const zone_id& zone, const std::vector<vm_candidate>& chosen,
                 monotonic_time now);

  node_context& context_;
  page_paths paths_;
  const peer_exchange& peers_;
  feed_relay& relay_;
  std::function<vm_condition()> condition_;
  std::map<zone_id, std::string> logged_choices_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> lookup_;
  std::unique_ptr<http_server> internal_;
};

}  // namespace citron

#endif  // CITRON_NODE_NODE_PAGES_H_
