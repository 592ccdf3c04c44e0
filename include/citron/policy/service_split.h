#ifndef CITRON_POLICY_SERVICE_SPLIT_H_
#define CITRON_POLICY_SERVICE_SPLIT_H_

#include <cstdint>
#include <vector>

#include "citron/config/routing_config.h"

namespace citron {

// Divides the requests of one route among services in proportion to weights.
class service_split {
 public:
  // Begins anew if the services or weights are others than before.
  void SetServices(const std::vector<service_weight>& services);

  // The service of the next request. Requests of one object mostly get the
  // same. There must be a service.
  const service_id& Choose(std::uint64_t object);

 private:
  struct part {
    service_weight service;
    double share = 0;
    double deficit = 0;  // Requests that it should have had, and hadn't.
  };

  std::vector<part> parts_;
};

}  // namespace citron

#endif  // CITRON_POLICY_SERVICE_SPLIT_H_
