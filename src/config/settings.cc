#include "citron/config/settings.h"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr double kHourMs = 3600.0 * 1000;
constexpr std::size_t kMinSecretBytes = 16;

// The settings of a daemon are listed once, by a Visit function; one visitor
// reads them from JSON and the other describes them.
class reading_visitor {
 public:
  explicit reading_visitor(json_reader& reader) : reader_(reader) {}

  template <class Id>
  void Name(const char* name, Id& out, const char*) {
    std::string text;
    reader_.String(name, text, true);
    if (text.empty()) reader_.Fail(name, "must not be empty");
    out = Id(text);
  }
  void Text(const char* name, std::string& out, const char*) {
    reader_.String(name, out);
  }
  void Address(const char* name, endpoint& out, bool required, const char*) {
    reader_.Endpoint(name, out, required);
  }
  void Flag(const char* name, bool& out, const char*) {
    reader_.Bool(name, out);
  }
  void Count(const char* name, int& out, int low, int high, const char*) {
    reader_.Int(name, out, low, high);
  }
  void Fraction(const char* name, double& out, const char*) {
    reader_.Number(name, out, 0, 1);
  }
  void Ms(const char* name, duration& out, double low, double high,
          const char*) {
    reader_.Milliseconds(name, out, low, high);
  }
  void Map(const char* name, std::map<std::string, std::string>& out,
           const char*) {
    reader_.StringMap(name, out);
  }

 private:
  json_reader& reader_;
};

class describing_visitor {
 public:
  template <class Id>
  void Name(const char* name, Id&, const char* help) {
    Add(name, "string", "not empty", "required", help);
  }
  void Text(const char* name, std::string& out, const char* help) {
    Add(name, "string", "any", fmt::format("\"{}\"", out), help);
  }
  void Address(const char* name, endpoint&, bool required, const char* help) {
    Add(name, "IPv4 address:port", "port 0: the kernel chooses",
        required ? "required" : "none", help);
  }
  void Flag(const char* name, bool& out, const char* help) {
    Add(name, "boolean", "true or false", out ? "true" : "false", help);
  }
  void Count(const char* name, int& out, int low, int high, const char* help) {
    Add(name, "integer", fmt::format("{} to {}", low, high),
        std::to_string(out), help);
  }
  void Fraction(const char* name, double& out, const char* help) {
    Add(name, "number", "0 to 1", fmt::format("{}", out), help);
  }
  void Ms(const char* name, duration& out, double low, double high,
          const char* help) {
    Add(name, "milliseconds", fmt::format("{} to {}", low, high),
        fmt::format("{}", ToMilliseconds(out)), help);
  }
  void Map(const char* name, std::map<std::string, std::string>&,
           const char* help) {
    Add(name, "object of strings", "address:port to address:port", "{}", help);
  }

  std::vector<setting_description> Take() { return std::move(rows_); }

 private:
  void Add(std::string name, std::string type, std::string range,
           std::string value, std::string help) {
    rows_.push_back({std::move(name), std::move(type), std::move(range),
                     std::move(value), std::move(help)});
  }

  std::vector<setting_description> rows_;
};

template <class Visitor>
void Visit(Visitor& v, common_settings& s) {
  v.Name("vm", s.vm, "Name of this VM, unique in the fleet.");
  v.Name("zone", s.zone, "Availability zone that the VM stands in.");
  v.Name("region", s.region, "Region of the zone.");
  v.Text("secret_file", s.secret_file,
         "File with the fleet's secret, at least 16 bytes.");
  v.Text("secret_env", s.secret_env,
         "Environment variable with the fleet's secret; used without a file.");
  v.Flag("log_decisions", s.log_decisions,
         "Whether each routing and placement decision is logged.");
  v.Address("peer_listen", s.peer_listen, true,
            "Where messages of other daemons arrive.");
  v.Address("metrics_listen", s.metrics_listen, true,
            "Where /metrics and /status are served.");
  v.Map("dial_overrides", s.dial_overrides,
        "Addresses that are reached by another address than their own.");
}

template <class Visitor>
void Visit(Visitor& v, control_settings& s) {
  Visit(v, s.common);
  v.Address("platform", s.platform, true, "The platform's service.");
  v.Ms("list_interval_ms", s.list_interval, 100, kHourMs,
       "How often the platform's list of VMs is read.");
  v.Ms(
      "view_interval_ms", s.view_interval, 20, 10000,
      "How often load is told to the local daemons, and at most to other VMs.");
  v.Count("view_bytes_per_s", s.view_bytes_per_s, 200, 1000000,
          "Bytes a second for telling load to other VMs; urgent changes go "
          "at once whatever they take.");
  v.Ms("watch_wait_ms", s.watch_wait, 100, 60000,
       "How long one watch of the configuration waits for a change.");
  v.Ms("share_lease_ms", s.share_lease, 500, kHourMs,
       "Life of the leased part of this VM's share of each limit.");
  v.Ms("share_renew_interval_ms", s.share_renew_interval, 100, kHourMs,
       "How often the share is renewed in the store.");
  v.Ms("share_floor_horizon_ms", s.share_floor_horizon, 1000, 168 * kHourMs,
       "Silence after which the lasting part of a share is given on.");
  v.Fraction("share_floor_fraction", s.share_floor_fraction,
             "Part of a share that lasts through an outage of the store.");
}

template <class Visitor>
void Visit(Visitor& v, entry_settings& s) {
  Visit(v, s.common);
  v.Address("control", s.control, true, "peer_listen of the VM's control.");
  v.Address("listen", s.listen, true, "Where callers connect.");
  v.Count("loops", s.loops, 1, 64, "Event loops, each with a thread.");
  v.Count("max_header_bytes", s.max_header_bytes, 1024, 1 << 20,
          "Largest head of a caller's request.");
  v.Count("max_body_bytes", s.max_body_bytes, 0, 64 << 20,
          "Largest body of a caller's request.");
  v.Count("max_connections", s.max_connections, 1, 1000000,
          "Idle and reading connections of callers to one loop.");
  v.Ms("request_read_limit_ms", s.request_read_limit, 100, kHourMs,
       "Time in which a caller must have sent its whole request.");
  v.Ms("drain_limit_ms", s.drain_limit, 0, kHourMs,
       "How long a planned stop waits for requests in flight.");
  v.Ms("lookup_lifetime_ms", s.lookup_lifetime, 100, kHourMs,
       "How long callers may use the answer to a look-up.");
}

template <class Visitor>
void Visit(Visitor& v, dispatch_settings& s) {
  Visit(v, s.common);
  v.Address("control", s.control, true, "peer_listen of the VM's control.");
  v.Address("listen", s.listen, true, "Where entries connect.");
  v.Count("loops", s.loops, 1, 64, "Event loops, each with a thread.");
  v.Ms("probe_interval_ms", s.probe_interval, 20, kHourMs,
       "How often an owned upstream is asked for its health and load.");
  v.Ms("probe_timeout_ms", s.probe_timeout, 10, kHourMs,
       "After this a probe without an answer counts as unhealthy.");
  v.Ms("ownership_ttl_ms", s.ownership_ttl, 200, kHourMs,
       "Life of the lease on owned upstreams.");
  v.Ms("ownership_renew_interval_ms", s.ownership_renew_interval, 50, kHourMs,
       "How often the lease is renewed.");
  v.Ms("ownership_horizon_ms", s.ownership_horizon, 1000, 168 * kHourMs,
       "How long the only dispatch of a zone goes on without the store.");
  v.Ms("drain_limit_ms", s.drain_limit, 0, kHourMs,
       "How long a planned stop waits for requests in flight.");
  v.Count("max_body_bytes", s.max_body_bytes, 0, 64 << 20,
          "Largest body of a request.");
}

status CheckEndpoints(json_reader& reader,
                      const std::vector<std::pair<const char*, endpoint>>& in) {
  std::set<endpoint> seen;
  for (const auto& [name, address] : in) {
    if (address.port != 0 && !seen.insert(address).second) {
      reader.Fail(name, fmt::format("{} is used twice", address.Str()));
    }
  }
  return std::monostate{};
}

struct named_duration {
  const char* name;
  duration value;
};

void RequireBelow(json_reader& reader, const named_duration& shorter,
                  const named_duration& longer) {
  if (shorter.value < longer.value) return;
  reader.Fail(
      shorter.name,
      fmt::format("{} is not below {}, {}", ToMilliseconds(shorter.value),
                  longer.name, ToMilliseconds(longer.value)));
}

// The classes that hold leases assert that they are renewed before they lapse.
// A file that breaks this would pass every field's own range and then end the
// daemon in its start, without a word on the setting that is wrong.
void CheckLeases(json_reader& reader, const control_settings& s) {
  RequireBelow(reader, {"share_renew_interval_ms", s.share_renew_interval},
               {"share_lease_ms", s.share_lease});
}

void CheckLeases(json_reader&, const entry_settings&) {}

void CheckLeases(json_reader& reader, const dispatch_settings& s) {
  RequireBelow(reader,
               {"ownership_renew_interval_ms", s.ownership_renew_interval},
               {"ownership_ttl_ms", s.ownership_ttl});
  RequireBelow(reader, {"ownership_ttl_ms", s.ownership_ttl},
               {"ownership_horizon_ms", s.ownership_horizon});
}

void CheckOwnAddresses(json_reader& reader, const control_settings& s) {
  CheckEndpoints(reader, {{"peer_listen", s.common.peer_listen},
                          {"metrics_listen", s.common.metrics_listen}});
}

template <class Settings>
void CheckOwnAddresses(json_reader& reader, const Settings& s) {
  CheckEndpoints(reader, {{"peer_listen", s.common.peer_listen},
                          {"metrics_listen", s.common.metrics_listen},
                          {"listen", s.listen}});
}

result<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return MakeError(error_code::kNotFound, "can't be read");
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

template <class Settings>
result<Settings> Parse(std::string_view text) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  Settings settings;
  json_reader reader(ValueOf(parsed), "");
  reading_visitor visitor(reader);
  Visit(visitor, settings);
  CheckOwnAddresses(reader, settings);
  CheckLeases(reader, settings);
  if (settings.common.secret_file.empty() &&
      settings.common.secret_env.empty()) {
    reader.Fail("secret_file", "missing, and secret_env too");
  }
  const status finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return settings;
}

template <class Settings>
result<Settings> Load(const std::string& file) {
  const result<std::string> text = ReadFile(file);
  result<Settings> settings =
      IsOk(text) ? Parse<Settings>(ValueOf(text)) : ErrorOf(text);
  if (IsOk(settings)) return settings;
  const error& problem = ErrorOf(settings);
  return MakeError(problem.code, fmt::format("{}: {}", file, problem.message));
}

template <class Settings>
std::vector<setting_description> Describe() {
  Settings defaults;
  describing_visitor visitor;
  Visit(visitor, defaults);
  return visitor.Take();
}

}  // namespace

result<control_settings> LoadControlSettings(const std::string& file) {
  return Load<control_settings>(file);
}

result<entry_settings> LoadEntrySettings(const std::string& file) {
  return Load<entry_settings>(file);
}

result<dispatch_settings> LoadDispatchSettings(const std::string& file) {
  return Load<dispatch_settings>(file);
}

result<control_settings> ParseControlSettings(std::string_view text) {
  return Parse<control_settings>(text);
}

result<entry_settings> ParseEntrySettings(std::string_view text) {
  return Parse<entry_settings>(text);
}

result<dispatch_settings> ParseDispatchSettings(std::string_view text) {
  return Parse<dispatch_settings>(text);
}

result<std::string> LoadSecret(const common_settings& settings) {
  std::string secret;
  if (!settings.secret_file.empty()) {
    const result<std::string> text = ReadFile(settings.secret_file);
    if (!IsOk(text)) {
      return MakeError(
          error_code::kNotFound,
          fmt::format("secret_file: {} can't be read", settings.secret_file));
    }
    secret = ValueOf(text);
    while (!secret.empty() && secret.back() == '\n') secret.pop_back();
  } else {
    const char* value = std::getenv(settings.secret_env.c_str());
    if (value != nullptr) secret = value;
  }
  if (secret.size() < kMinSecretBytes) {
    return MakeError(
        error_code::kInvalid,
        fmt::format("the secret has fewer than {} bytes", kMinSecretBytes));
  }
  return secret;
}

std::vector<setting_description> DescribeControlSettings() {
  return Describe<control_settings>();
}

std::vector<setting_description> DescribeEntrySettings() {
  return Describe<entry_settings>();
}

std::vector<setting_description> DescribeDispatchSettings() {
  return Describe<dispatch_settings>();
}

}  // namespace citron
