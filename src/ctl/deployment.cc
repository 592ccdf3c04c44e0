#include "citron/ctl/deployment.h"

#include <set>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr double kMaxMs = 24.0 * 3600 * 1000;
constexpr double kMaxRate = 10e6;
constexpr int kMinutesOfDay = 24 * 60;
// What the address plan has room for.
constexpr int kMaxZones = 90;
constexpr int kMaxVmsInZone = 100;
constexpr int kMaxUpstreams = 10000;

deployed_class ReadClass(json_reader& item) {
  deployed_class read;
  item.String("name", read.name, true);
  item.String("path_prefix", read.path_prefix, true);
  item.String("method", read.method);
  item.Bool("long", read.long_running);
  item.Bool("once", read.once);
  item.Milliseconds("expected_ms", read.expected_time, 0.01, kMaxMs, true);
  item.Int("answer_bytes", read.answer_bytes, 0, 200 << 20, true);
  item.Number("mix", read.mix, 0, 1000, true);
  if (read.method != "GET" && read.method != "POST") {
    item.Fail("method", "is neither GET nor POST");
  }
  return read;
}

deployed_service ReadService(json_reader& item) {
  deployed_service read;
  item.String("name", read.name, true);
  item.Int("upstreams", read.upstreams, 1, kMaxUpstreams, true);
  item.Int("slots", read.slots, 1, 100000, true);
  item.Int("max_connections", read.max_connections, 1, 100000, true);
  read.short_reserve = 0.25;
  item.Number("short_reserve", read.short_reserve, 0, 1);
  item.Milliseconds("cold_start_ramp_ms", read.cold_start_ramp, 0, kMaxMs);
  item.Each(
      "classes",
      [&](json_reader& each) { read.classes.push_back(ReadClass(each)); },
      true);
  return read;
}

deployed_workspace ReadWorkspace(json_reader& item) {
  deployed_workspace read;
  item.String("name", read.name, true);
  item.Number("rate_per_s", read.rate_per_s, 0, kMaxRate, true);
  item.Number("burst", read.burst, 0, kMaxRate, true);
  item.Number("weight", read.weight, 0.001, 1000);
  item.Milliseconds("default_deadline_ms", read.default_deadline, 1, kMaxMs,
                    true);
  item.Each("patience", [&](json_reader& each) {
    deployed_patience rule;
    each.String("service", rule.service, true);
    each.Int("from_minute", rule.from_minute, 0, kMinutesOfDay, true);
    each.Int("to_minute", rule.to_minute, 0, kMinutesOfDay, true);
    each.Milliseconds("deadline_ms", rule.deadline, 1, kMaxMs, true);
    read.patience.push_back(rule);
  });
  return read;
}

void ReadRegions(json_reader& reader, deployment& out) {
  reader.Each(
      "regions",
      [&](json_reader& region) {
        std::string name;
        region.String("name", name, true);
        region.Each(
            "zones",
            [&](json_reader& item) {
              deployed_zone zone;
              item.String("name", zone.name, true);
              item.Int("entry_vms", zone.entry_vms, 1, kMaxVmsInZone, true);
              zone.region = name;
              out.zones.push_back(zone);
            },
            true);
      },
      true);
  if (out.zones.empty() || out.zones.size() > kMaxZones) {
    reader.Fail("regions", "must have 1 to 90 zones");
  }
}

void ReadLinks(json_reader& reader, deployment& out) {
  reader.Object(
      "links",
      [&](json_reader& item) {
        item.Number("region_megabits_per_s", out.region_megabits_per_s, 0.001,
                    1e9, true);
        item.Milliseconds("region_latency_ms", out.region_latency, 0, kMaxMs,
                          true);
        item.Milliseconds("zone_latency_ms", out.zone_latency, 0, kMaxMs, true);
        item.Milliseconds("client_latency_ms", out.client_latency, 0, kMaxMs,
                          true);
      },
      true);
}

void ReadSmall(json_reader& reader, deployment& out) {
  reader.Object("small", [&](json_reader& item) {
    item.Int("upstreams_per_zone", out.small.upstreams_per_zone, 1, 100);
    item.Int("entry_vms_per_zone", out.small.entry_vms_per_zone, 1,
             kMaxVmsInZone);
    item.Number("rate_factor", out.small.rate_factor, 0.0001, 1);
  });
}

template <class T>
void CheckNamesDiffer(json_reader& reader, const char* member,
                      const std::vector<T>& items) {
  std::set<std::string> names;
  for (const T& item : items) {
    if (!names.insert(item.name).second) {
      reader.Fail(member, "has two called " + item.name);
    }
  }
}

}  // namespace

result<deployment> ParseDeployment(std::string_view text) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  deployment out;
  json_reader reader(ValueOf(parsed), "");
  std::string note;  // For readers of the file.
  reader.String("note", note);
  reader.String("name", out.name, true);
  reader.String("time_zone", out.time_zone, true);
  ReadRegions(reader, out);
  ReadLinks(reader, out);
  reader.Each(
      "services",
      [&](json_reader& item) { out.services.push_back(ReadService(item)); },
      true);
  reader.Each(
      "workspaces",
      [&](json_reader& item) { out.workspaces.push_back(ReadWorkspace(item)); },
      true);
  ReadSmall(reader, out);
  CheckNamesDiffer(reader, "regions", out.zones);
  CheckNamesDiffer(reader, "services", out.services);
  CheckNamesDiffer(reader, "workspaces", out.workspaces);
  const status finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return out;
}

deployment ScaleDown(const deployment& full) {
  deployment scaled = full;
  const int zones = static_cast<int>(full.zones.size());
  for (deployed_zone& zone : scaled.zones) {
    zone.entry_vms = full.small.entry_vms_per_zone;
  }
  for (deployed_service& service : scaled.services) {
    service.upstreams = full.small.upstreams_per_zone * zones;
  }
  for (deployed_workspace& workspace : scaled.workspaces) {
    workspace.rate_per_s *= full.small.rate_factor;
    workspace.burst *= full.small.rate_factor;
  }
  return scaled;
}

}  // namespace citron
