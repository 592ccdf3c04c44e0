#include "standins/platform/published_calls.h"

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "citron/config/json_reader.h"
#include "standins/base64.h"
#include "standins/http_json.h"

namespace citron {

namespace {

using json = nlohmann::json;

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kMaxRows = 32;
constexpr std::string_view kKeepPath = "/-/kv-keep/";
constexpr std::string_view kEndPath = "/-/kv-lease-end/";

json ItemJson(const kv_item& item) {
  return {{"key", item.key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"created", item.revision},
          {"lease", item.lease}};
}

http_response Bad(const std::string& problem) {
  return JsonResponse(400, {{"error", problem}});
}

std::optional<std::uint64_t> IdAfter(std::string_view path,
                                     std::string_view start) {
  if (!path.starts_with(start)) return std::nullopt;
  path.remove_prefix(start.size());
  std::uint64_t id = 0;
  const auto [end, failure] =
      std::from_chars(path.data(), path.data() + path.size(), id);
  if (failure != std::errc() || end != path.data() + path.size()) return {};
  return id;
}

}  // namespace

bool published_calls::IsOne(const http_request& request) {
  return request.Path().starts_with("/-/kv-");
}

bool published_calls::IsWatch(const http_request& request) {
  return request.Path() == "/-/kv-watch";
}

published_watch published_calls::ReadWatch(const http_request& request) {
  return {request.Query("pathPrefix").value_or(""),
          QueryNumber(request, "after").value_or(0),
          QueryNumber(request, "waitMs").value_or(0)};
}

http_response published_calls::WatchAnswer(const kv_history& history) const {
  if (history.compacted) return JsonResponse(410, {{"error", "compacted"}});
  json events = json::array();
  for (const kv_event& event : history.events) {
    if (event.removed) {
      events.push_back({{"key", event.item.key},
                        {"revision", event.item.revision},
                        {"tombstone", true}});
    } else {
      events.push_back(ItemJson(event.item));
    }
  }
  return JsonResponse(200, {{"events", events}, {"asOf", store_.Revision()}});
}

http_response published_calls::Answer(const http_request& request) {
  const std::string_view path = request.Path();
  if (path == "/-/kv-key") return Key(request);
  if (path == "/-/kv-range") return Range(request);
  if (path == "/-/kv-txn" && request.method == "POST") return Transact(request);
  return Lease(request);
}

http_response published_calls::Key(const http_request& request) const {
  const kv_item* item = store_.Find(request.Query("key").value_or(""));
  if (item == nullptr) return JsonResponse(404, {{"asOf", store_.Revision()}});
  json answer = ItemJson(*item);
  answer["asOf"] = store_.Revision();
  return JsonResponse(200, answer);
}

http_response published_calls::Range(const http_request& request) const {
  const std::string after = request.Query("after").value_or("");
  json items = json::array();
  bool more = false;
  for (const kv_item& item :
       store_.Range(request.Query("pathPrefix").value_or(""))) {
    if (!after.empty() && item.key <= after) continue;
    more = items.size() == kPageItems;
    if (more) break;
    items.push_back(ItemJson(item));
  }
  return JsonResponse(
      200, {{"items", items}, {"hasMore", more}, {"asOf", store_.Revision()}});
}

// All conditions are looked at before anything is changed.
http_response published_calls::Transact(const http_request& request) {
  const result<json> body = ParseJson(request.body);
  if (!IsOk(body)) return Bad(ErrorOf(body).message);
  const json& call = ValueOf(body);
  const json none = json::array();
  const json& conditions = call.value("expectedRev", none);
  const json& puts = call.value("puts", none);
  const json& removals = call.value("remove", none);
  if (conditions.size() + puts.size() + removals.size() > kMaxRows) {
    return Bad("too many rows");
  }
  json present = json::array();
  bool holds = true;
  for (const json& row : conditions) {
    const std::string key = row.value("key", "");
    const kv_item* item = store_.Find(key);
    const std::uint64_t revision = item == nullptr ? 0 : item->revision;
    holds = holds && revision == row.value("revision", std::uint64_t{0});
    present.push_back(item == nullptr ? json{{"key", key}, {"revision", 0}}
                                      : ItemJson(*item));
  }
  if (!holds) return JsonResponse(412, {{"items", present}});
  for (const json& row : puts) {
    const std::optional<std::string> value = FromBase64(row.value("value", ""));
    if (!value) return Bad("a value is no base64");
    const write_result written =
        store_.Put({row.value("key", ""), *value, std::nullopt, "",
                    row.value("lease", std::uint64_t{0})});
    if (written.outcome == write_outcome::kNoLease) {
      return JsonResponse(404, {{"error", "no such lease"}});
    }
  }
  for (const json& key : removals) {
    store_.Remove(key.get<std::string>(), std::nullopt);
  }
  return JsonResponse(200, {{"revision", store_.Revision()}});
}

http_response published_calls::Lease(const http_request& request) {
  const monotonic_time now = MonotonicNow();
  const std::string_view path = request.Path();
  if (path == "/-/kv-lease" && request.method == "POST") {
    const result<json> body = ParseJson(request.body);
    if (!IsOk(body)) return Bad(ErrorOf(body).message);
    const double ttl_s = ValueOf(body).value("ttlS_time", 0.0);
    if (ttl_s <= 0) return Bad("ttlS_time is missing");
    return JsonResponse(200, {{"lease", store_.Grant(FromSeconds(ttl_s), now)},
                              {"ttlS_time", ttl_s}});
  }
  bool found = false;
  if (const auto id = IdAfter(path, kKeepPath)) found = store_.Renew(*id, now);
  if (const auto id = IdAfter(path, kEndPath)) found = store_.Revoke(*id);
  if (!found) return JsonResponse(404, {{"error", "no such lease or call"}});
  return JsonResponse(200, json::object());
}

}  // namespace citron
