#ifndef CITRON_CONFIG_ROUTING_CONFIG_H_
#define CITRON_CONFIG_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

using route_id = strong_id<struct route_tag>;

// How often a request may run.
enum class repetition {
  kIdempotent,
  kOnce,
  kDownload,  // Idempotent, with a large answer.
  kUpload,    // Runs once, with a large body.
};

struct service_weight {
  service_id service;
  double weight = 0;
};

// What holds for the requests of one host whose path begins with a prefix.
struct route_config {
  route_id id;
  std::string host;
  std::string path_prefix;
  repetition repeats = repetition::kOnce;
  duration timeout{};       // The longest that a caller is kept waiting.
  duration latency_goal{};  // An answer within it has its full worth.
  int rank = 0;             // 0 is the most urgent.
  // More than one: requests are divided in proportion to the weights.
  std::vector<service_weight> services;
  int max_upstreams = 1;  // To which one request may be sent.
  bool needs_key = true;
  bool has_affinity = false;  // An upstream that knows the object is faster.
  std::set<region_id> homes;  // Where it may be served; empty for anywhere.
};

struct service_terms {
  service_id id;
  std::string health_path;
  int max_connections = 0;
  duration cold_start{};
  double cold_rate_per_s = 0;  // What a cold upstream bears from all VMs.
};

// What an operator grants to one workspace.
struct workspace_terms {
  workspace_id id;
  std::vector<std::string> keys;
  int rank = 0;
  double rate_per_s = 0;  // 0: no limit.
  double burst = 0;
  std::set<region_id> homes;
};

// What a caller may send, and how slowly.
struct caller_limits {
  std::size_t max_head_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{64} << 20;
  duration head_limit = std::chrono::seconds(3);
  duration idle_limit = std::chrono::seconds(15);
};

// One upstream, as it announced itself.
struct upstream_record {
  upstream_id id;
  service_id service;
  zone_id zone;
  endpoint address;
  int slots = 1;
  bool draining = false;
  duration cold_left{};      // At the moment when it was read.
  std::int64_t born_ms = 0;  // Tells its starts apart.

  friend bool operator==(const upstream_record&,
                         const upstream_record&) = default;
};

// The operator's declaration as a whole, with what is looked up in it.
class routing_config {
 public:
  std::uint64_t version = 0;
  std::vector<route_config> routes;
  std::map<service_id, service_terms> services;
  std::vector<workspace_terms> workspaces;
  caller_limits limits;

  // To be called once all is filled in.
  void Index();

  // The route with the longest prefix of the path; null if none.
  const route_config* MatchRoute(std::string_view host,
                                 std::string_view path) const;
  // The workspace that holds the key; null if none.
  const workspace_terms* FindWorkspace(const std::string& key) const;
  const service_terms* FindService(const service_id& id) const;

 private:
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> workspaces_by_key_;
};

}  // namespace citron

#endif  // CITRON_CONFIG_ROUTING_CONFIG_H_
