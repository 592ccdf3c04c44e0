#ifndef CITRON_CONFIG_SETTINGS_H_
#define CITRON_CONFIG_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// What every daemon of a VM is told.
struct common_settings {
  vm_id vm;
  zone_id zone;
  region_id region;
  // The secret that daemons prove themselves with; read from one of the two.
  std::string secret_file;
  std::string secret_env;
  bool log_decisions = true;
  endpoint peer_listen;     // Messages from other daemons.
  endpoint metrics_listen;  // /metrics and /status.
  // Address as others know it -> address to dial, where a translation stands
  // between.
  std::map<std::string, std::string> dial_overrides;
};

struct control_settings {
  common_settings common;
  endpoint platform;
  duration list_interval = FromMilliseconds(2000);
  duration view_interval = FromMilliseconds(200);
  int view_bytes_per_s = 1500;
  duration watch_wait = FromMilliseconds(2000);
  duration share_lease = FromMilliseconds(9000);
  duration share_renew_interval = FromMilliseconds(3000);
  duration share_floor_horizon = FromMilliseconds(6.0 * 3600 * 1000);
  double share_floor_fraction = 0.95;
};

struct entry_settings {
  common_settings common;
  endpoint control;  // The local control's peer_listen.
  endpoint listen;   // Callers.
  int loops = 1;
  int max_header_bytes = 16384;
  int max_body_bytes = 1 << 20;
  int max_connections = 4000;
  duration request_read_limit = FromMilliseconds(15000);
  duration drain_limit = FromMilliseconds(30000);
  duration lookup_lifetime = FromMilliseconds(30000);
};

struct dispatch_settings {
  common_settings common;
  endpoint control;
  endpoint listen;  // Entries.
  int loops = 1;
  duration probe_interval = FromMilliseconds(500);
  duration probe_timeout = FromMilliseconds(400);
  duration ownership_ttl = FromMilliseconds(3000);
  duration ownership_renew_interval = FromMilliseconds(1000);
  duration ownership_horizon = FromMilliseconds(3600000);
  duration drain_limit = FromMilliseconds(30000);
  int max_body_bytes = 1 << 20;
};

// Reads and checks one file. Errors name the file, the path and the value.
result<control_settings> LoadControlSettings(const std::string& file);
result<entry_settings> LoadEntrySettings(const std::string& file);
result<dispatch_settings> LoadDispatchSettings(const std::string& file);

// The same for text that is at hand already; errors name path and value.
result<control_settings> ParseControlSettings(std::string_view text);
result<entry_settings> ParseEntrySettings(std::string_view text);
result<dispatch_settings> ParseDispatchSettings(std::string_view text);

// The secret that the settings name; errors never show it.
result<std::string> LoadSecret(const common_settings& settings);

// One setting as the documentation shows it.
struct setting_description {
  std::string name;
  std::string type;  // With its unit.
  std::string range;
  std::string default_value;
  std::string help;
};

std::vector<setting_description> DescribeControlSettings();
std::vector<setting_description> DescribeEntrySettings();
std::vector<setting_description> DescribeDispatchSettings();

}  // namespace citron

#endif  // CITRON_CONFIG_SETTINGS_H_
