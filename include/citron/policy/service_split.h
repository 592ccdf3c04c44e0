#ifndef CITRON_POLICY_SERVICE_SPLIT_H_
#define CITRON_POLICY_SERVICE_SPLIT_H_

#include <cstdint>
#include <vector>

#include "citron/config/routing_config.h"

namespace citron {

// Divides the requests of one route among services in proportion to their
// weights.
class service_split {
 public:
  // Sets the services. A change of the list, its order or a weight discards the
  // counts of earlier requests.
  void SetServices(const std::vector<service_weight>& services);

  // Returns the service for the next request. Requests of one object mostly get
  // the same service. Requires at least one service.
  const service_id& Choose(std::uint64_t object);

 private:
  struct service_share {
    service_weight service;
    double share = 0;
    double deficit = 0;  // Requests due minus requests sent.
  };

  std::vector<service_share> shares_;
};

}  // namespace citron

#endif  // CITRON_POLICY_SERVICE_SPLIT_H_
