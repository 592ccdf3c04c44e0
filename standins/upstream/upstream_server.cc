#include "standins/upstream/upstream_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

#include "citron/base/digest.h"
#include "citron/config/json_reader.h"
#include "standins/http_json.h"
#include "standins/upstream/answer_body.h"

namespace citron {

namespace {

constexpr std::size_t kMaxRequestBytes = std::size_t{8} << 20;
constexpr std::size_t kAnswerChunk = std::size_t{64} << 10;
constexpr std::uint64_t kDefaultAnswerBytes = 64;
constexpr std::size_t kLedgerPage = 10000;
constexpr double kColdFactor = 3;
constexpr double kJitter = 0.2;

bool IsProbe(const http_request& request) {
  return request.Path() == "/health" || request.Path() == "/load";
}

bool IsAdmin(const http_request& request) {
  return request.Path().starts_with("/admin/");
}

bool IsMarkedToCrash(const http_request& request) {
  return request.Query("crash") == "1";
}

bool IsMarkedToCrashInAnswer(const http_request& request) {
  return request.Query("crash") == "answer";
}

std::optional<std::int64_t> RemainingMs(const http_request& request) {
  const auto text = FindHeader(request.headers, "Citron-Deadline-Ms");
  if (!text) return std::nullopt;
  return std::strtoll(std::string(*text).c_str(), nullptr, 10);
}

}  // namespace

result<std::unique_ptr<upstream_server>> upstream_server::Make(
    event_loop& loop, const upstream_settings& settings) {
  std::unique_ptr<upstream_server> made(new upstream_server(loop, settings));
  const status listening = made->Listen();
  if (!IsOk(listening)) return ErrorOf(listening);
  return made;
}

upstream_server::upstream_server(event_loop& loop,
                                 const upstream_settings& settings)
    : loop_(loop),
      settings_(settings),
      timers_(loop),
      random_(settings.seed, HashBytes(settings.id)) {}

status upstream_server::Listen() {
  http_server_limits limits;
  limits.max_body_bytes = kMaxRequestBytes;
  // Kept connections stay open while nobody has work for them.
  limits.request_deadline_after = std::chrono::minutes(10);
  auto server = http_server::Make(
      loop_, settings_.listen, limits,
      [this](http_exchange& exchange) { OnRequest(exchange); });
  if (!IsOk(server)) return ErrorOf(server);
  server_ = std::move(ValueOf(server));
  settings_.listen = server_->Address();
  up_since_ = MonotonicNow();
  crashing_ = false;
  RecordLoad();
  return std::monostate{};
}

void upstream_server::OnRequest(http_exchange& exchange) {
  if (IsAdmin(exchange.Request())) {
    exchange.Reply(Admin(exchange.Request()));
    return;
  }
  max_connections_seen_ = std::max(max_connections_seen_, Connections());
  if (IsProbe(exchange.Request())) {
    Probe(exchange);
    return;
  }
  Accept(exchange);
}

void upstream_server::Accept(http_exchange& exchange) {
  const std::uint64_t id = ++last_work_;
  const http_request& request = exchange.Request();
  const monotonic_time now = MonotonicNow();
  work& item = work_[id];
  item.exchange = &exchange;
  item.digest = RequestDigest(request.method, request.target, request.body);
  item.answer_size =
      QueryNumber(request, "bytes").value_or(kDefaultAnswerBytes);
  item.entry.request = request;
  item.entry.body_digest = fmt::format("{:016x}", HashBytes(request.body));
  // Kept as a digest only.
  item.entry.request.body.clear();
  item.entry.started = now;
  if (const auto remaining = RemainingMs(request)) {
    item.deadline = now + std::chrono::milliseconds(*remaining);
  }
  exchange.OnGone([this, id] { OnGone(id); });
  if (faults_.accept_delay > duration::zero()) {
    timers_.At(now + faults_.accept_delay, [this, id] { Begin(id); });
    return;
  }
  Begin(id);
}

void upstream_server::Begin(std::uint64_t id) {
  const work* item = FindWork(id);
  if (item == nullptr) return;
  if (const auto reason = ReasonToRefuse(*item)) {
    Refuse(id, *reason);
    return;
  }
  Run(id);
}

std::optional<work_outcome> upstream_server::ReasonToRefuse(const work& item) {
  if (Connections() > settings_.max_connections) {
    return work_outcome::kOverConnections;
  }
  if (faults_.drain) return work_outcome::kLeaving;
  if (item.deadline && *item.deadline <= MonotonicNow()) {
    return work_outcome::kExpired;
  }
  const bool fails = std::bernoulli_distribution(faults_.error_rate)(random_);
  if (faults_.error_fast && fails) return work_outcome::kError;
  if (in_flight_ >= settings_.slots) return work_outcome::kShed;
  return std::nullopt;
}

void upstream_server::Refuse(std::uint64_t id, work_outcome reason) {
  if (reason == work_outcome::kOverConnections) {
    FindWork(id)->exchange->Abort();
    End(id, reason);
    return;
  }
  const bool is_error = reason == work_outcome::kError;
  ReplyAndEnd(id, is_error ? 500 : 503, WorkOutcomeName(reason), reason);
}

void upstream_server::Run(std::uint64_t id) {
  work& item = *FindWork(id);
  item.holds_slot = true;
  item.entry.ran = true;
  ++in_flight_;
  max_in_flight_ = std::max(max_in_flight_, in_flight_);
  RecordLoad();
  monotonic_time done = MonotonicNow() + ServiceTime(item.entry.request);
  if (item.deadline) done = std::min(done, *item.deadline);
  timers_.At(done, [this, id] { Complete(id); });
}

duration upstream_server::ServiceTime(const http_request& request) {
  const auto asked = QueryNumber(request, "work_ms");
  duration time = asked ? duration(std::chrono::milliseconds(*asked))
                        : settings_.BaseTime(request.Path());
  double factor = faults_.slow_factor;
  // A time that the caller asked for is kept, so that tests can count on it.
  if (!asked) {
    factor *= std::uniform_real_distribution<double>(1 - kJitter,
                                                     1 + kJitter)(random_);
  }
  if (settings_.cold_start > duration::zero()) {
    const double age =
        ToSeconds(MonotonicNow() - up_since_) / ToSeconds(settings_.cold_start);
    factor *= 1 + (kColdFactor - 1) * std::max(0.0, 1 - age);
  }
  return FromSeconds(ToSeconds(time) * factor);
}

void upstream_server::Complete(std::uint64_t id) {
  work* item = FindWork(id);
  if (item == nullptr) return;
  if (IsMarkedToCrash(item->entry.request)) {
    Crash();
    return;
  }
  ReleaseSlot(*item);
  if (item->deadline && *item->deadline <= MonotonicNow()) {
    ReplyAndEnd(id, 504, "deadline", work_outcome::kDeadline);
    return;
  }
  const bool fails = std::bernoulli_distribution(faults_.error_rate)(random_);
  if (!faults_.error_fast && fails) {
    ReplyAndEnd(id, 500, "error", work_outcome::kError);
    return;
  }
  StartAnswer(id);
}

void upstream_server::StartAnswer(std::uint64_t id) {
  work& item = *FindWork(id);
  http_response_head head;
  head.status = 200;
  head.headers = {{"Content-Type", "application/octet-stream"},
                  {"Content-Length", std::to_string(item.answer_size)},
                  {"X-Request-Digest", fmt::format("{:016x}", item.digest)},
                  {"X-Upstream", settings_.id}};
  AddSignals(work_outcome::kAnswered, head.headers);
  item.exchange->StartReply(head);
  item.exchange->OnDrained([this, id] { SendMore(id); });
  SendMore(id);
}

// One chunk is under way at a time, so a slow reader holds back what is made.
void upstream_server::SendMore(std::uint64_t id) {
  work* item = FindWork(id);
  if (item == nullptr) return;
  if (item->answer_sent > 0 && IsMarkedToCrashInAnswer(item->entry.request)) {
    Crash();
    return;
  }
  const std::uint64_t left = item->answer_size - item->answer_sent;
  if (left == 0) {
    item->exchange->FinishBody();
    End(id, work_outcome::kAnswered);
    return;
  }
  const std::size_t size = std::min<std::uint64_t>(left, kAnswerChunk);
  const std::uint64_t offset = item->answer_sent;
  item->answer_sent += size;
  item->exchange->SendBody(AnswerBytes(item->digest, offset, size));
}

void upstream_server::AddSignals(work_outcome outcome,
                                 http_headers& headers) const {
  if (outcome == work_outcome::kShed && faults_.pause > duration::zero()) {
    headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", ToSeconds(faults_.pause))});
  }
  if (faults_.say_leaving) headers.push_back({"Server-Leaving", "1"});
}

void upstream_server::ReplyAndEnd(std::uint64_t id, int status,
                                  std::string_view reason,
                                  work_outcome outcome) {
  http_response response = JsonResponse(status, {{"status", reason}});
  response.head.headers.push_back({"Upstream-Status", std::string(reason)});
  AddSignals(outcome, response.head.headers);
  FindWork(id)->exchange->Reply(response);
  End(id, outcome);
}

void upstream_server::OnGone(std::uint64_t id) {
  const work* item = FindWork(id);
  if (item == nullptr) return;
  if (crashing_) {
    End(id, work_outcome::kCrashed);
    return;
  }
  const bool was_done = item->entry.ran && !item->holds_slot;
  End(id, was_done ? work_outcome::kHungUp : work_outcome::kCancelled);
}

void upstream_server::End(std::uint64_t id, work_outcome outcome) {
  const auto found = work_.find(id);
  ReleaseSlot(found->second);
  found->second.entry.outcome = outcome;
  found->second.entry.ended = MonotonicNow();
  ledger_.Add(std::move(found->second.entry));
  work_.erase(found);
}

void upstream_server::ReleaseSlot(work& item) {
  if (!item.holds_slot) return;
  item.holds_slot = false;
  --in_flight_;
  RecordLoad();
}

upstream_server::work* upstream_server::FindWork(std::uint64_t id) {
  const auto found = work_.find(id);
  return found == work_.end() ? nullptr : &found->second;
}

// One process that plays several upstreams can't die for one of them: that
// one's listener and connections go, as if its process had died and was
// started again.
void upstream_server::Crash() {
  if (settings_.restart_after == duration::zero()) std::abort();
  if (crashing_) return;
  crashing_ = true;
  loop_.Defer([this] {
    server_.reset();
    timers_.At(MonotonicNow() + settings_.restart_after, [this] {
      if (!IsOk(Listen())) std::abort();
    });
  });
}

void upstream_server::Probe(http_exchange& exchange) {
  if (faults_.mute_reports) return;
  auto asker = std::make_shared<http_exchange*>(&exchange);
  exchange.OnGone([asker] { *asker = nullptr; });
  timers_.At(MonotonicNow() + settings_.probe_time, [this, asker] {
    if (*asker != nullptr) (*asker)->Reply(LoadResponse());
  });
}

int upstream_server::Connections() const {
  if (server_ == nullptr) return 0;
  return server_->OpenConnections() + server_->OpenExchanges();
}

void upstream_server::RecordLoad() {
  load_report report;
  report.at = MonotonicNow();
  report.healthy = !faults_.unhealthy;
  report.leaving = faults_.drain;
  report.in_flight = in_flight_;
  report.connections = Connections();
  reports_.push_back(report);
  // The newest one that is old enough is shown; those before it are not.
  while (reports_.size() > 1 &&
         reports_[1].at <= report.at - settings_.report_lag) {
    reports_.pop_front();
  }
}

upstream_server::load_report upstream_server::LaggingLoad() {
  RecordLoad();
  return reports_.front();
}

http_response upstream_server::LoadResponse() {
  load_report report = LaggingLoad();
  if (faults_.lie_healthy) {
    report.healthy = true;
    report.leaving = false;
  }
  if (faults_.lie_idle) report.in_flight = 0;
  return JsonResponse(200, {{"healthy", report.healthy},
                            {"ready", report.healthy && !report.leaving},
                            {"leaving", report.leaving},
                            {"in_flight", report.in_flight},
                            {"queued", 0},
                            {"slots", settings_.slots},
                            {"connections", report.connections}});
}

http_response upstream_server::Admin(const http_request& request) {
  if (request.Path() == "/admin/ledger") return LedgerResponse(request);
  if (request.Path() != "/admin/fault") {
    return JsonResponse(404, {{"error", "no such command"}});
  }
  const result<nlohmann::json> body = ParseJson(request.body);
  if (!IsOk(body)) return JsonResponse(400, {{"error", ErrorOf(body).message}});
  const status applied = ApplyFaults(ValueOf(body), faults_);
  if (!IsOk(applied)) {
    return JsonResponse(400, {{"error", ErrorOf(applied).message}});
  }
  RecordLoad();
  return JsonResponse(200, nlohmann::json::object());
}

http_response upstream_server::LedgerResponse(const http_request& request) {
  const std::uint64_t after = QueryNumber(request, "after").value_or(0);
  nlohmann::json running = nlohmann::json::array();
  for (const auto& [id, item] : work_) {
    running.push_back(ToJson(item.entry, settings_.id));
  }
  return JsonResponse(
      200, {{"entries", ledger_.EntriesAfter(after, kLedgerPage, settings_.id)},
            {"running", running},
            {"in_flight", in_flight_},
            {"max_in_flight", max_in_flight_},
            {"max_connections", max_connections_seen_}});
}

}  // namespace citron
