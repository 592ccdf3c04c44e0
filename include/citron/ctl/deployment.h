#ifndef CITRON_CTL_DEPLOYMENT_H_
#define CITRON_CTL_DEPLOYMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "citron/base/result.h"
#include "citron/base/time.h"

namespace citron {

// A class of requests, with the part of the load that it makes up.
struct deployed_class {
  std::string name;
  std::string path_prefix;
  std::string method = "GET";
  bool long_running = false;
  // Must run at most once: callers send it with a request id.
  bool once = false;
  duration expected_time{};
  int answer_bytes = 0;
  double mix = 0;  // Requests of this class in a thousand of all requests.
};

struct deployed_service {
  std::string name;
  int upstreams = 0;  // In all zones together.
  int slots = 0;
  int max_connections = 0;
  double short_reserve = 0;
  duration cold_start_ramp{};
  std::vector<deployed_class> classes;
};

struct deployed_patience {
  std::string service;
  int from_minute = 0;
  int to_minute = 0;
  duration deadline{};
};

struct deployed_workspace {
  std::string name;
  double rate_per_s = 0;
  double burst = 0;
  double weight = 1;
  duration default_deadline{};
  std::vector<deployed_patience> patience;
};

struct deployed_zone {
  std::string name;
  std::string region;
  int entry_vms = 1;
};

// How the deployment shrinks to fit one machine.
struct small_scale {
  int upstreams_per_zone = 1;  // For each service.
  int entry_vms_per_zone = 1;
  double rate_factor = 1;
};

// What one customer runs; docs/OPERATIONS.md describes the file.
struct deployment {
  std::string name;
  std::string time_zone;
  duration client_latency{};
  double region_megabits_per_s = 0;
  duration region_latency{};
  duration zone_latency{};
  std::vector<deployed_zone> zones;
  std::vector<deployed_service> services;
  std::vector<deployed_workspace> workspaces;
  small_scale small;
};

result<deployment> ParseDeployment(std::string_view text);

// The deployment with the numbers of its small scale.
deployment ScaleDown(const deployment& full);

}  // namespace citron

#endif  // CITRON_CTL_DEPLOYMENT_H_
