#include "standins/platform/platform_server.h"

#include <algorithm>
#include <utility>

#include "citron/config/json_reader.h"
#include "standins/http_json.h"

namespace citron {

namespace {

constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;
constexpr std::uint64_t kMaxWaitMs = 60000;
constexpr double kMaxFaultMs = 3600e3;

bool IsWrite(const http_request& request) { return request.method != "GET"; }

bool IsAdmin(const http_request& request) {
  return request.Path().starts_with("/admin/");
}

bool IsWatch(const http_request& request) {
  return request.Path() == "/v1/watch" || published_calls::IsWatch(request);
}

http_response BadRequest(const std::string& problem) {
  return JsonResponse(400, {{"error", problem}});
}

nlohmann::json EventsJson(const std::vector<kv_event>& events) {
  nlohmann::json list = nlohmann::json::array();
  for (const kv_event& event : events) {
    list.push_back({{"key", event.item.key},
                    {"value", event.item.value},
                    {"revision", event.item.revision},
                    {"removed", event.removed}});
  }
  return list;
}

// What a call is counted as.
std::string KindOf(const http_request& request) {
  const std::string path(request.Path());
  if (path == "/v1/kv" && request.method == "PUT") return "put";
  if (path == "/v1/kv" && request.method == "DELETE") return "remove";
  if (path == "/v1/kv") return "get";
  if (path == "/v1/range") return "range";
  if (path == "/v1/watch") return "watch";
  if (path == "/v1/vms") return "list";
  if (path == "/v1/lease" && request.method == "DELETE") return "revoke";
  if (path == "/v1/lease") return "grant";
  if (path == "/v1/lease/renew") return "renew";
  return "other";
}

}  // namespace

result<std::unique_ptr<platform_server>> platform_server::Make(
    event_loop& loop, const endpoint& listen, std::size_t history_bound) {
  std::unique_ptr<platform_server> made(
      new platform_server(loop, history_bound));
  http_server_limits limits;
  // Room above the largest value, so that one too large gets a clear answer.
  limits.max_body_bytes = 4 * kMaxValueBytes;
  auto server = http_server::Make(loop, listen, limits,
                                  [self = made.get()](http_exchange& exchange) {
                                    self->OnRequest(exchange);
                                  });
  if (!IsOk(server)) return ErrorOf(server);
  made->server_ = std::move(ValueOf(server));
  return made;
}

platform_server::platform_server(event_loop& loop, std::size_t history_bound)
    : loop_(loop), store_(history_bound), published_(store_), timers_(loop) {}

status platform_server::Load(const nlohmann::json& data) {
  if (!data.is_object()) {
    return MakeError(error_code::kInvalid, "the data must be an object");
  }
  const nlohmann::json kv = data.value("kv", nlohmann::json::object());
  for (const auto& [key, value] : kv.items()) {
    const std::string text =
        value.is_string() ? value.get<std::string>() : value.dump();
    store_.Put({key, text, std::nullopt, "", 0});
  }
  shown_vms_ = data.value("vms", nlohmann::json::array());
  return std::monostate{};
}

void platform_server::OnRequest(http_exchange& exchange) {
  const http_request& request = exchange.Request();
  if (IsAdmin(request)) {
    exchange.Reply(Admin(request));
    return;
  }
  Count(request);
  if (faults_.outage) {
    exchange.Abort();
    return;
  }
  if (faults_.delay > duration::zero()) {
    Delay(exchange);
    return;
  }
  Handle(request, &exchange);
}

void platform_server::Delay(http_exchange& exchange) {
  auto call = std::make_shared<delayed_call>();
  call->exchange = &exchange;
  call->request = exchange.Request();
  exchange.OnGone([call] { call->exchange = nullptr; });
  timers_.At(MonotonicNow() + faults_.delay,
             [this, call] { Handle(call->request, call->exchange); });
}

void platform_server::Handle(const http_request& request,
                             http_exchange* exchange) {
  store_.Expire(MonotonicNow());
  if (IsWatch(request)) {
    if (exchange != nullptr) Watch(request, *exchange);
    return;
  }
  const http_response answer = Answer(request);
  AnswerWatches();
  ArmExpiry();
  if (exchange == nullptr) return;
  const bool is_lost = IsWrite(request) && faults_.lose_answers > 0;
  if (is_lost) {
    --faults_.lose_answers;
    exchange->Abort();
    return;
  }
  exchange->Reply(answer);
}

void platform_server::Watch(const http_request& request,
                            http_exchange& exchange) {
  waiting_watch watch;
  watch.exchange = &exchange;
  watch.prefix = request.Query("prefix").value_or("");
  watch.after = QueryNumber(request, "after").value_or(0);
  std::uint64_t wait_ms = QueryNumber(request, "wait_ms").value_or(0);
  watch.is_published = published_calls::IsWatch(request);
  if (watch.is_published) {
    const published_watch asked = published_calls::ReadWatch(request);
    watch.prefix = asked.prefix;
    wait_ms = asked.wait_ms;
  }
  watch.id = ++last_watch_;
  if (AnswerWatch(watch, false)) return;
  exchange.OnGone([this, id = watch.id] { EndWatch(id); });
  watches_.push_back(watch);
  wait_ms = std::min(wait_ms, kMaxWaitMs);
  timers_.At(MonotonicNow() + std::chrono::milliseconds(wait_ms),
             [this, id = watch.id] {
               const auto found = std::find_if(
                   watches_.begin(), watches_.end(),
                   [id](const waiting_watch& w) { return w.id == id; });
               if (found == watches_.end()) return;
               const waiting_watch ended = *found;
               watches_.erase(found);
               AnswerWatch(ended, true);
             });
}

void platform_server::AnswerWatches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    const bool answered = AnswerWatch(*it, false);
    it = answered ? watches_.erase(it) : std::next(it);
  }
}

bool platform_server::AnswerWatch(const waiting_watch& watch,
                                  bool even_if_empty) {
  if (faults_.stall_watches && !faults_.outage) return even_if_empty;
  kv_history history;
  if (!faults_.mute_watches) {
    history = store_.EventsAfter(watch.after, watch.prefix);
  }
  const bool has_news = history.compacted || !history.events.empty();
  if (!has_news && !even_if_empty) return false;
  if (faults_.outage) {
    watch.exchange->Abort();
    return true;
  }
  if (watch.is_published) {
    watch.exchange->Reply(published_.WatchAnswer(history));
    return true;
  }
  watch.exchange->Reply(
      JsonResponse(200, {{"revision", store_.Revision()},
                         {"events", EventsJson(history.events)},
                         {"compacted", history.compacted}}));
  return true;
}

void platform_server::EndWatch(std::uint64_t id) {
  std::erase_if(watches_, [id](const waiting_watch& w) { return w.id == id; });
}

void platform_server::CutWatches() {
  for (const waiting_watch& watch : watches_) watch.exchange->Abort();
  watches_.clear();
}

http_response platform_server::Answer(const http_request& request) {
  if (published_calls::IsOne(request)) return published_.Answer(request);
  const std::string_view path = request.Path();
  if (path == "/v1/kv" && request.method == "GET") return Get(request);
  if (path == "/v1/kv" && request.method == "PUT") return Put(request);
  if (path == "/v1/kv" && request.method == "DELETE") return Remove(request);
  if (path == "/v1/range") return Range(request);
  if (path == "/v1/vms") return JsonResponse(200, {{"vms", shown_vms_}});
  if (path.starts_with("/v1/lease")) return Lease(request);
  return JsonResponse(404, {{"error", "no such call"}});
}

http_response platform_server::Get(const http_request& request) const {
  const std::optional<std::string> key = request.Query("key");
  if (!key) return BadRequest("key is missing");
  const kv_item* item = store_.Find(*key);
  if (item == nullptr) {
    return JsonResponse(404, {{"revision", store_.Revision()}});
  }
  return JsonResponse(200, {{"key", item->key},
                            {"value", item->value},
                            {"revision", item->revision},
                            {"write_id", item->write_id}});
}

http_response platform_server::Put(const http_request& request) {
  const std::optional<std::string> key = request.Query("key");
  if (!key) return BadRequest("key is missing");
  if (request.body.size() > kMaxValueBytes) {
    return JsonResponse(413, {{"error", "the value is too large"}});
  }
  kv_write write;
  write.key = *key;
  write.value = request.body;
  write.write_id = request.Query("write_id").value_or("");
  if (request.Query("expect")) {
    write.expect = QueryNumber(request, "expect");
    if (!write.expect) return BadRequest("expect is not a number");
  }
  if (request.Query("lease")) {
    const std::optional<std::uint64_t> lease = QueryNumber(request, "lease");
    if (!lease) return BadRequest("lease is not a number");
    write.lease = *lease;
  }
  const write_result written = store_.Put(write);
  switch (written.outcome) {
    case write_outcome::kDone:
      return JsonResponse(200, {{"revision", written.revision}});
    case write_outcome::kConflict:
      return Conflict(*key);
    case write_outcome::kNotFound:
    case write_outcome::kNoLease:
      break;
  }
  return JsonResponse(404, {{"error", "no such lease"}});
}

http_response platform_server::Remove(const http_request& request) {
  const std::optional<std::string> key = request.Query("key");
  if (!key) return BadRequest("key is missing");
  std::optional<std::uint64_t> expect;
  if (request.Query("expect")) {
    expect = QueryNumber(request, "expect");
    if (!expect) return BadRequest("expect is not a number");
  }
  const write_result removed = store_.Remove(*key, expect);
  if (removed.outcome == write_outcome::kConflict) return Conflict(*key);
  if (removed.outcome == write_outcome::kNotFound) {
    return JsonResponse(404, {{"revision", store_.Revision()}});
  }
  return JsonResponse(200, {{"revision", removed.revision}});
}

http_response platform_server::Conflict(const std::string& key) const {
  const kv_item* item = store_.Find(key);
  if (item == nullptr) {
    return JsonResponse(409,
                        {{"revision", 0}, {"value", ""}, {"write_id", ""}});
  }
  return JsonResponse(409, {{"revision", item->revision},
                            {"value", item->value},
                            {"write_id", item->write_id}});
}

http_response platform_server::Range(const http_request& request) const {
  nlohmann::json items = nlohmann::json::array();
  for (const kv_item& item :
       store_.Range(request.Query("prefix").value_or(""))) {
    items.push_back({{"key", item.key},
                     {"value", item.value},
                     {"revision", item.revision},
                     {"write_id", item.write_id}});
  }
  return JsonResponse(200, {{"revision", store_.Revision()}, {"items", items}});
}

http_response platform_server::Lease(const http_request& request) {
  const monotonic_time now = MonotonicNow();
  if (request.Path() == "/v1/lease" && request.method == "POST") {
    const std::optional<std::uint64_t> ttl_ms = QueryNumber(request, "ttl_ms");
    if (!ttl_ms || *ttl_ms == 0) return BadRequest("ttl_ms is missing");
    const std::uint64_t lease =
        store_.Grant(std::chrono::milliseconds(*ttl_ms), now);
    return JsonResponse(200, {{"lease", lease}});
  }
  const std::optional<std::uint64_t> id = QueryNumber(request, "id");
  if (!id) return BadRequest("id is missing");
  const bool found = request.Path() == "/v1/lease/renew"
                         ? store_.Renew(*id, now)
                         : store_.Revoke(*id);
  if (!found) return JsonResponse(404, {{"error", "no such lease"}});
  return JsonResponse(200, {{"lease", *id}});
}

http_response platform_server::Admin(const http_request& request) {
  if (request.Path() == "/admin/counts") return JsonResponse(200, Counts());
  const result<nlohmann::json> body = ParseJson(request.body);
  if (!IsOk(body)) return BadRequest(ErrorOf(body).message);
  if (request.Path() == "/admin/vms") {
    const nlohmann::json& vms = ValueOf(body);
    SetVms(vms.is_object() ? vms.value("vms", nlohmann::json::array()) : vms);
    return JsonResponse(200, nlohmann::json::object());
  }
  if (request.Path() != "/admin/fault") {
    return JsonResponse(404, {{"error", "no such command"}});
  }
  const status set = SetFaults(ValueOf(body));
  if (!IsOk(set)) return BadRequest(ErrorOf(set).message);
  return JsonResponse(200, nlohmann::json::object());
}

status platform_server::SetFaults(const nlohmann::json& faults) {
  json_reader reader(faults, "");
  platform_faults changed = faults_;
  reader.Bool("outage", changed.outage);
  reader.Milliseconds("delay_ms", changed.delay, 0, kMaxFaultMs);
  reader.Int("lose_answers", changed.lose_answers, 0, 1000000);
  reader.Milliseconds("list_lag_ms", changed.list_lag, 0, kMaxFaultMs);
  reader.Bool("mute_watches", changed.mute_watches);
  reader.Bool("stall_watches", changed.stall_watches);
  status finished = reader.Finish();
  if (!IsOk(finished)) return finished;
  const bool was_mute = faults_.mute_watches;
  faults_ = changed;
  // Whoever waits for an event must notice the outage, too.
  if (faults_.outage) CutWatches();
  if (was_mute && !faults_.mute_watches) {
    store_.ForgetHistory();
    CutWatches();
  }
  return finished;
}

void platform_server::SetVms(const nlohmann::json& vms) {
  timers_.At(MonotonicNow() + faults_.list_lag,
             [this, vms] { shown_vms_ = vms; });
}

void platform_server::Count(const http_request& request) {
  ++counts_[KindOf(request)];
  if (faults_.outage) ++counts_["during_outage"];
}

nlohmann::json platform_server::Counts() const {
  nlohmann::json counts = {{"reads", 0}, {"writes", 0}, {"watches", 0}};
  for (const auto& [kind, count] : counts_) {
    counts[kind] = count;
    const bool is_read = kind == "get" || kind == "range" || kind == "list";
    const bool is_write = kind == "put" || kind == "remove" ||
                          kind == "grant" || kind == "renew" ||
                          kind == "revoke";
    const char* sum = is_read ? "reads" : is_write ? "writes" : "watches";
    const bool is_summed = is_read || is_write || kind == "watch";
    if (is_summed) counts[sum] = counts[sum].get<std::uint64_t>() + count;
  }
  counts["waiting_watches"] = watches_.size();
  return counts;
}

void platform_server::ArmExpiry() {
  const std::optional<monotonic_time> next = store_.NextExpiry();
  if (!next || next == armed_expiry_) return;
  armed_expiry_ = next;
  timers_.At(*next, [this] {
    store_.Expire(MonotonicNow());
    AnswerWatches();
    ArmExpiry();
  });
}

}  // namespace citron
