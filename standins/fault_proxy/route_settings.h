#ifndef STANDINS_FAULT_PROXY_ROUTE_SETTINGS_H_
#define STANDINS_FAULT_PROXY_ROUTE_SETTINGS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/time.h"

namespace citron {

struct route_settings {
  std::string name;
  endpoint listen;
  endpoint target;
};

struct route_faults {
  bool cut_to_target = false;
  bool cut_to_source = false;
  // New connections are refused. Without this they open and hang during a cut.
  bool refuse = false;
  // The opening packets of new connections are dropped during a cut.
  bool drop_connects = false;
  bool lose_answer = false;
  duration delay{};  // Each way.
  // Bytes to the source after which a connection is reset, or closed in order.
  std::optional<std::uint64_t> reset_after;
  std::optional<std::uint64_t> truncate_at;

  bool IsCut() const { return cut_to_target || cut_to_source; }
};

struct fault_command {
  std::string route;  // "*": all.
  bool reset = false;
  route_faults faults;
};

// {"routes": [{"name", "listen", "target"}]}
result<std::vector<route_settings>> ParseRoutes(const nlohmann::json& json);

// A command states the whole of a route's faults: what it leaves out ends.
result<fault_command> ParseFaultCommand(const nlohmann::json& json);

}  // namespace citron

#endif  // STANDINS_FAULT_PROXY_ROUTE_SETTINGS_H_
