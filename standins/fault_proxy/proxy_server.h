#ifndef STANDINS_FAULT_PROXY_PROXY_SERVER_H_
#define STANDINS_FAULT_PROXY_PROXY_SERVER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_server.h"
#include "standins/fault_proxy/proxy_route.h"
#include "standins/fault_proxy/route_settings.h"

namespace citron {

// All routes of the process and the commands for them.
class proxy_server {
 public:
  static result<std::unique_ptr<proxy_server>> Make(
      event_loop& loop, const endpoint& admin,
      const std::vector<route_settings>& routes);

  const endpoint& Address() const { return admin_->Address(); }

 private:
  proxy_server() = default;
  http_response Admin(const http_request& request);
  http_response RoutesResponse() const;
  http_response SetFaults(const fault_command& command);

  std::vector<std::unique_ptr<proxy_route>> routes_;
  std::unique_ptr<http_server> admin_;
};

}  // namespace citron

#endif  // STANDINS_FAULT_PROXY_PROXY_SERVER_H_
