#ifndef STANDINS_UPSTREAM_UPSTREAM_SETTINGS_H_
#define STANDINS_UPSTREAM_UPSTREAM_SETTINGS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/time.h"

namespace citron {

struct upstream_settings {
  std::string id = "upstream";
  endpoint listen;
  std::string service;
  int slots = 4;
  int max_connections = 350;
  duration cold_start{};
  // Service times by path prefix; the longest that fits counts.
  std::map<std::string, duration> base_times;
  duration report_lag{};
  duration probe_time = std::chrono::milliseconds(6);
  // A marked request closes the listener and all connections for so long; 0
  // ends the process.
  duration restart_after{};
  std::uint64_t seed = 1;

  duration BaseTime(std::string_view path) const;
};

struct upstream_faults {
  double slow_factor = 1;
  double error_rate = 0;
  bool error_fast = false;  // Errors come at once, without work.
  bool unhealthy = false;
  bool lie_healthy = false;
  bool lie_idle = false;
  bool mute_reports = false;  // Health and load are never answered.
  bool drain = false;
  bool say_leaving = false;  // In all answers; requests are served.
  duration pause{};          // That is asked for where a request is shed.
  duration accept_delay{};   // Before a request is looked at.
};

// From a list of objects; the error names the path of the bad value.
result<std::vector<upstream_settings>> ParseUpstreams(
    const nlohmann::json& list);

// Changes the members that `json` names.
status ApplyFaults(const nlohmann::json& json, upstream_faults& faults);

}  // namespace citron

#endif  // STANDINS_UPSTREAM_UPSTREAM_SETTINGS_H_
