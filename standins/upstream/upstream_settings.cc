#include "standins/upstream/upstream_settings.h"

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr double kMaxMs = 3600e3;
constexpr duration kDefaultBaseTime = std::chrono::milliseconds(10);

void ReadUpstream(json_reader& reader, upstream_settings& out) {
  reader.String("id", out.id, true);
  reader.Endpoint("listen", out.listen, true);
  reader.String("service", out.service);
  reader.Int("slots", out.slots, 1, 100000);
  reader.Int("max_connections", out.max_connections, 1, 100000);
  reader.Milliseconds("cold_start_ms", out.cold_start, 0, kMaxMs);
  reader.Milliseconds("report_lag_ms", out.report_lag, 0, kMaxMs);
  reader.Milliseconds("probe_ms", out.probe_time, 0, kMaxMs);
  reader.Milliseconds("restart_after_ms", out.restart_after, 0, kMaxMs);
  std::int64_t seed = 1;
  reader.Integer("seed", seed, 0, INT64_MAX);
  out.seed = static_cast<std::uint64_t>(seed);
}

// json_reader has no map of numbers; these are read by hand.
status ReadBaseTimes(const nlohmann::json& times, upstream_settings& out) {
  const error bad =
      MakeError(error_code::kInvalid,
                "base_ms: expected an object of path prefixes to milliseconds");
  if (!times.is_object()) return bad;
  for (const auto& [prefix, ms] : times.items()) {
    if (!ms.is_number()) return bad;
    out.base_times[prefix] = FromMilliseconds(ms.get<double>());
  }
  return std::monostate{};
}

}  // namespace

duration upstream_settings::BaseTime(std::string_view path) const {
  duration time = kDefaultBaseTime;
  std::size_t longest = 0;
  for (const auto& [prefix, base] : base_times) {
    if (!path.starts_with(prefix) || prefix.size() < longest) continue;
    longest = prefix.size();
    time = base;
  }
  return time;
}

result<std::vector<upstream_settings>> ParseUpstreams(
    const nlohmann::json& list) {
  if (!list.is_array()) {
    return MakeError(error_code::kInvalid, "expected a list of upstreams");
  }
  std::vector<upstream_settings> upstreams;
  for (nlohmann::json one : list) {
    upstream_settings settings;
    if (one.is_object() && one.contains("base_ms")) {
      const status times = ReadBaseTimes(one["base_ms"], settings);
      if (!IsOk(times)) return ErrorOf(times);
      one.erase("base_ms");
    }
    json_reader reader(one, "upstream");
    ReadUpstream(reader, settings);
    const status read = reader.Finish();
    if (!IsOk(read)) return ErrorOf(read);
    upstreams.push_back(settings);
  }
  return upstreams;
}

status ApplyFaults(const nlohmann::json& json, upstream_faults& faults) {
  upstream_faults changed = faults;
  json_reader reader(json, "");
  reader.Number("slow_factor", changed.slow_factor, 0, 10000);
  reader.Number("error_rate", changed.error_rate, 0, 1);
  reader.Bool("error_fast", changed.error_fast);
  reader.Bool("unhealthy", changed.unhealthy);
  reader.Bool("lie_healthy", changed.lie_healthy);
  reader.Bool("lie_idle", changed.lie_idle);
  reader.Bool("mute_reports", changed.mute_reports);
  reader.Bool("drain", changed.drain);
  reader.Bool("say_leaving", changed.say_leaving);
  reader.Milliseconds("pause_ms", changed.pause, 0, kMaxMs);
  reader.Milliseconds("delay_accept_ms", changed.accept_delay, 0, kMaxMs);
  status finished = reader.Finish();
  if (IsOk(finished)) faults = changed;
  return finished;
}

}  // namespace citron
