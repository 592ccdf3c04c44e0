#include "standins/fault_proxy/proxy_server.h"

#include <utility>

#include "citron/config/json_reader.h"
#include "standins/http_json.h"

namespace citron {

result<std::unique_ptr<proxy_server>> proxy_server::Make(
    event_loop& loop, const endpoint& admin,
    const std::vector<route_settings>& routes) {
  std::unique_ptr<proxy_server> made(new proxy_server());
  for (const route_settings& settings : routes) {
    auto route = proxy_route::Make(loop, settings);
    if (!IsOk(route)) return ErrorOf(route);
    made->routes_.push_back(std::move(ValueOf(route)));
  }
  auto server = http_server::Make(
      loop, admin, {}, [self = made.get()](http_exchange& exchange) {
        exchange.Reply(self->Admin(exchange.Request()));
      });
  if (!IsOk(server)) return ErrorOf(server);
  made->admin_ = std::move(ValueOf(server));
  return made;
}

http_response proxy_server::Admin(const http_request& request) {
  if (request.Path() == "/admin/routes") return RoutesResponse();
  if (request.Path() != "/admin/fault") {
    return JsonResponse(404, {{"error", "no such command"}});
  }
  const result<nlohmann::json> body = ParseJson(request.body);
  if (!IsOk(body)) return JsonResponse(400, {{"error", ErrorOf(body).message}});
  const result<fault_command> command = ParseFaultCommand(ValueOf(body));
  if (!IsOk(command)) {
    return JsonResponse(400, {{"error", ErrorOf(command).message}});
  }
  return SetFaults(ValueOf(command));
}

http_response proxy_server::RoutesResponse() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& route : routes_) {
    list.push_back({{"name", route->Settings().name},
                    {"listen", route->Settings().listen.Str()},
                    {"target", route->Settings().target.Str()},
                    {"connections", route->OpenConnections()}});
  }
  return JsonResponse(200, {{"routes", list}});
}

http_response proxy_server::SetFaults(const fault_command& command) {
  int changed = 0;
  for (const auto& route : routes_) {
    if (command.route != "*" && command.route != route->Settings().name) {
      continue;
    }
    const status set = route->SetFaults(command.faults);
    if (!IsOk(set)) return JsonResponse(500, {{"error", ErrorOf(set).message}});
    if (command.reset) route->ResetConnections();
    ++changed;
  }
  if (changed == 0) return JsonResponse(404, {{"error", "no such route"}});
  return JsonResponse(200, {{"changed", changed}});
}

}  // namespace citron
