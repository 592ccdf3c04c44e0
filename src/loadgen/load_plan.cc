#include "citron/loadgen/load_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <sstream>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr double kMaxRate = 10e6;
constexpr int kMaxAnswerBytes = 200 << 20;
constexpr std::size_t kMaxIds = 10000;

planned_request ReadRequest(json_reader& item) {
  planned_request read;
  item.String("service", read.service, true);
  item.String("class", read.class_name, true);
  item.String("path_prefix", read.path_prefix, true);
  item.String("method", read.method);
  item.Bool("once", read.once);
  item.Int("answer_bytes", read.answer_bytes, 0, kMaxAnswerBytes);
  item.Number("mix", read.mix, 0, 1e6, true);
  return read;
}

void ReadEntries(json_reader& reader, load_plan& plan) {
  std::vector<std::string> entries;
  reader.StringList("entries", entries);
  for (const std::string& text : entries) {
    const std::optional<endpoint> entry = ParseEndpoint(text);
    if (!entry || !IsLoopback(*entry)) {
      reader.Fail("entries", text + " is not on loopback");
      return;
    }
    plan.entries.push_back(*entry);
  }
}

error NotOfForm(const std::string& what) {
  return MakeError(error_code::kInvalid, what + " is not of the agreed form");
}

}  // namespace

bool IsLoopback(const endpoint& address) {
  return address.address.starts_with("127.") &&
         ParseEndpoint(address.Str()).has_value();
}

result<load_plan> ParseLoadPlan(std::string_view text) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  load_plan plan;
  json_reader reader(ValueOf(parsed), "");
  ReadEntries(reader, plan);
  reader.Each(
      "workspaces",
      [&](json_reader& item) {
        planned_workspace read;
        item.String("name", read.name, true);
        item.Number("rate_per_s", read.rate_per_s, 0, kMaxRate, true);
        item.Number("burst", read.burst, 0, kMaxRate, true);
        plan.workspaces.push_back(read);
      },
      true);
  reader.Each(
      "requests",
      [&](json_reader& item) { plan.requests.push_back(ReadRequest(item)); },
      true);
  if (plan.entries.empty()) reader.Fail("entries", "has none");
  if (plan.requests.empty()) reader.Fail("requests", "has none");
  const status finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return plan;
}

status AddKeys(std::string_view lines, load_plan& plan) {
  std::istringstream in{std::string(lines)};
  std::string workspace;
  std::string key;
  while (in >> workspace >> key) {
    for (planned_workspace& known : plan.workspaces) {
      if (known.name == workspace) known.key = key;
    }
  }
  for (const planned_workspace& known : plan.workspaces) {
    if (known.key.empty()) {
      return MakeError(error_code::kInvalid,
                       fmt::format("no key for workspace {}", known.name));
    }
  }
  return std::monostate{};
}

result<lookup_answer> ParseLookup(std::string_view body) {
  const result<nlohmann::json> parsed = ParseJson(body);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const nlohmann::json& json = ValueOf(parsed);
  if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()) {
    return NotOfForm("look-up");
  }
  lookup_answer answer;
  for (const nlohmann::json& vm : json["vms"]) {
    if (!vm.is_object() || !vm.contains("address") ||
        !vm["address"].is_string()) {
      return NotOfForm("look-up");
    }
    const auto address = ParseEndpoint(vm["address"].get<std::string>());
    if (!address || !IsLoopback(*address)) continue;
    const bool weighs = vm.contains("weight") && vm["weight"].is_number();
    const double weight = weighs ? vm["weight"].get<double>() : 1;
    answer.entries.push_back({*address, std::max(0.0, weight)});
  }
  if (answer.entries.empty()) return NotOfForm("look-up");
  if (json.contains("expires_ms") && json["expires_ms"].is_number()) {
    answer.expires_ms = json["expires_ms"].get<double>();
  }
  return answer;
}

result<std::vector<std::string>> ParseRequestIds(std::string_view body) {
  const result<nlohmann::json> parsed = ParseJson(body);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const nlohmann::json& json = ValueOf(parsed);
  if (!json.is_object() || !json.contains("ids") || !json["ids"].is_array() ||
      json["ids"].empty() || json["ids"].size() > kMaxIds) {
    return NotOfForm("list of request ids");
  }
  std::vector<std::string> ids;
  for (const nlohmann::json& id : json["ids"]) {
    if (!id.is_string()) return NotOfForm("list of request ids");
    ids.push_back(id.get<std::string>());
  }
  return ids;
}

}  // namespace citron
