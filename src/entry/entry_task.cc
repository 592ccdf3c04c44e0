#include "citron/entry/entry_task.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "citron/base/digest.h"
#include "citron/base/log.h"
#include "citron/entry/caller_request.h"
#include "citron/policy/patience.h"
#include "citron/policy/request_fingerprint.h"
#include "entry/entry_call.h"

namespace citron {

namespace {

constexpr char kLogPart[] = "entry";
constexpr double kRetryShare = 0.1;
// How long an entry that is leaving goes on taking requests on connections
// that callers keep open, after the last one came.
constexpr duration kQuietBeforeExit = std::chrono::milliseconds(500);
constexpr duration kLeaveNotice = std::chrono::milliseconds(1000);
// How long a leaving entry waits for callers to close their connections after
// its closing response.
constexpr duration kLinger = std::chrono::milliseconds(1000);
constexpr duration kFreshnessRetry = std::chrono::seconds(2);
constexpr duration kQualityWindow = std::chrono::seconds(30);
constexpr int kMaxIdsPerCall = 100;
// A body that is too large by up to this is read to its end and refused in the
// words of callers; above it the library answers with a page of its own before
// the body has come. Without the margin each such caller gets that page.
constexpr std::size_t kBodyMargin = std::size_t{64} << 10;
constexpr double kDefaultAnswerBytes = 4096;
constexpr double kAnswerBytesWeight = 0.1;

constexpr char kUnreachable[] = "dispatch_unreachable";
constexpr char kLost[] = "dispatch_lost";

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// The others stay behind it for when it fails, without a part of the callers.
void RankFirst(const vm_id& vm, const endpoint& address,
               std::vector<ranked_vm>& vms) {
  const std::size_t size = vms.size();
  std::erase_if(vms, [&](const ranked_vm& other) { return other.id == vm; });
  for (ranked_vm& other : vms) other.weight = 0;
  vms.insert(vms.begin(), {vm, address, 1});
  vms.resize(std::min(vms.size(), size));
}

nlohmann::json Milliseconds(duration d) {
  return std::max(0.0, std::ceil(ToMilliseconds(d)));
}

}  // namespace

// Request ids are sealed with the fleet's secret, so that no caller makes one.
class entry_task::id_mac final : public request_id_mac {
 public:
  explicit id_mac(const std::string& secret) : secret_(secret) {}
  std::string Compute(std::string_view text) const override {
    return HmacSha256Hex(secret_, text).substr(0, 32);
  }

 private:
  std::string secret_;
};

result<std::unique_ptr<entry_task>> entry_task::Make(
    event_loop& loop, const entry_settings& settings, const std::string& secret,
    int loop_index) {
  std::unique_ptr<entry_task> made(
      new entry_task(loop, settings, secret, loop_index));
  const status opened = made->Open();
  if (!IsOk(opened)) return ErrorOf(opened);
  return made;
}

entry_task::entry_task(event_loop& loop, const entry_settings& settings,
                       const std::string& secret, int loop_index)
    : loop_(loop),
      settings_(settings),
      secret_(secret),
      loop_index_(loop_index),
      client_(loop, settings.common.dial_overrides),
      directory_(HashBytes(settings.common.vm.Str(), NewIncarnation())),
      retries_(kRetryShare),
      quality_(kQualityWindow),
      tick_(loop, [this] { OnTick(); }),
      token_timer_(loop, [this] {
        PerformLimits(limiter_->OnNextTokenTime(MonotonicNow()));
      }) {}

entry_task::~entry_task() = default;

result<std::unique_ptr<http_server>> entry_task::Listen(const endpoint& at,
                                                        http_handler handler,
                                                        bool reuse_port) {
  http_server_limits limits;
  limits.max_header_bytes =
      static_cast<std::size_t>(settings_.max_header_bytes);
  limits.max_body_bytes =
      static_cast<std::size_t>(settings_.max_body_bytes) + kBodyMargin;
  limits.max_connections = settings_.max_connections;
  limits.request_deadline_after = settings_.request_read_limit;
  return http_server::Make(loop_, at, limits, std::move(handler), reuse_port);
}

status entry_task::Open() {
  const endpoint any_port{settings_.listen.address, 0};
  auto server = Listen(
      settings_.listen, [this](http_exchange& e) { OnCaller(e); },
      settings_.loops > 1);
  if (!IsOk(server)) return ErrorOf(server);
  server_ = std::move(ValueOf(server));
  auto forward = Listen(
      any_port, [this](http_exchange& e) { OnForwarded(e); }, false);
  if (!IsOk(forward)) return ErrorOf(forward);
  forward_ = std::move(ValueOf(forward));
  auto page_server = ServePages(loop_, settings_.common, loop_index_,
                                [this](http_exchange& e) { OnPage(e); });
  if (!IsOk(page_server)) return ErrorOf(page_server);
  pages_ = std::move(ValueOf(page_server));

  auto link = control_link::Make(
      loop_, LinkOptions(settings_, secret_, daemon_role::kEntry, loop_index_),
      {[this] { OnConfig(); }, [this] { OnView(); },
       [this](const envelope& message) { OnMessage(message); }});
  if (!IsOk(link)) return ErrorOf(link);
  link_ = std::move(ValueOf(link));

  const std::uint64_t incarnation = link_->Incarnation();
  const std::uint64_t seed =
      HashBytes(settings_.common.vm.Str(), incarnation + loop_index_);
  const monotonic_time now = MonotonicNow();
  mac_ = std::make_unique<id_mac>(secret_);
  request_registry_options registry;
  registry.vm = vm_id(RegistryName(settings_.common.vm, loop_index_));
  registry.incarnation = incarnation;
  registry_ = std::make_unique<request_registry>(registry, *mac_);
  limiter_ =
      std::make_unique<rate_limiter>(Self(), rate_limiter_options{}, seed, now);
  placement_options place;
  place.zone = settings_.common.zone;
  place.region = settings_.common.region;
  placement_ = std::make_unique<placement>(place, seed);
  constexpr int kRankedVms = 3;
  clients_ = std::make_unique<client_directory>(
      loop_, link_->Config(),
      vm_ranker_options{kRankedVms, settings_.lookup_lifetime});
  link_->Start(server_->Address(), forward_->Address());
  OnTick();
  return std::monostate{};
}

std::string entry_task::RegistryName(const vm_id& vm, int loop) const {
  return loop == 0 ? vm.Str() : fmt::format("{}-loop{}", vm.Str(), loop);
}

void entry_task::Leave(std::function<void()> left) {
  if (leaving_) return;
  leaving_ = true;
  left_ = std::move(left);
  const monotonic_time now = MonotonicNow();
  leave_deadline_ = now + settings_.drain_limit;
  quiet_at_ = now + kLeaveNotice;
  Log(kLogPart, "leaving with {} requests here", calls_.size());
  link_->SetLeaving();
  SetPeers();
  PerformLimits(limiter_->OnRelease(now));
  server_->StopAccepting(Farewell());
}

// Of a request that meets the end of its connection nothing is known here, not
// even whether it has an id that ran before.
http_response entry_task::Farewell() const {
  const monotonic_time now = MonotonicNow();
  return ErrorResponse(
      {kServiceUnavailable, "leaving", "this VM is leaving; ask another one",
       verdict::kMayHaveRun, now + kFreshnessRetry},
      "", now);
}

void entry_task::ContinueLeaving() {
  if (!left_) return;
  const monotonic_time now = MonotonicNow();
  const bool busy = !calls_.empty() || server_->OpenExchanges() != 0 ||
                    forward_->OpenExchanges() != 0;
  if (busy) quiet_at_ = std::max(quiet_at_, now + kQuietBeforeExit);
  if (now < quiet_at_ && now < leave_deadline_) return;
  server_->EndIdle(Farewell());
  forward_->EndIdle(Farewell());
  const bool has_ended = server_->HasEnded() && forward_->HasEnded();
  if (!has_ended && now < std::min(quiet_at_ + kLinger, leave_deadline_)) {
    return;
  }
  std::exchange(left_, nullptr)();
}

void entry_task::OnConfig() {
  const fleet_config& config = link_->Config();
  const monotonic_time now = MonotonicNow();
  std::map<workspace_id, rate_contract> contracts;
  for (const auto& [workspace, terms] : config.contracts) {
    contracts[workspace] = {terms.rate_per_s, terms.burst};
  }
  limiter_->SetContracts(contracts, now);
  for (const auto& [id, service] : config.services) {
    const auto planned = config.shifts.find(id);
    std::optional<shift> wanted;
    if (planned != config.shifts.end()) {
      wanted = shift{planned->second.from, planned->second.to,
                     planned->second.fraction};
    }
    placement_->SetShift(id, wanted);
  }
  for (const auto& [id, zone] : config.zones) {
    placement_->SetRegionDrained(zone.region,
                                 config.drained_regions.contains(zone.region));
  }
  clients_->OnConfig();
}

void entry_task::OnView() {
  directory_.Update(link_->Vms());
  for (const zone_report& report : directory_.ZoneReports()) {
    placement_->OnReport(report);
  }
  clients_->OnVms(link_->Vms());
  entry_peers_.clear();
  for (const auto& [vm, seen] : link_->Vms()) {
    const vm_view& view = seen.view;
    for (const task_address& task : view.entries) {
      entry_peers_[{vm, task.loop, task.incarnation}] = task.peer;
    }
  }
  SetPeers();
}

// Each lender costs work at every timer and, with a loan, a message a second
// for each workspace; own zone first, then the region, whose answers come soon.
void entry_task::SetPeers() {
  constexpr std::size_t kMaxLenders = 64;
  std::vector<entry_ref> zone;
  std::vector<entry_ref> region;
  std::vector<entry_ref> far;
  std::vector<entry_ref> live;
  if (!leaving_) live.push_back(Self());
  for (const auto& [vm, seen] : link_->Vms()) {
    const vm_view& view = seen.view;
    for (const task_address& task : view.entries) {
      entry_ref ref{vm, task.loop, task.incarnation};
      if (ref == Self()) continue;
      if (seen.state == member_state::kLive && !view.leaving) {
        live.push_back(ref);
      }
      const bool is_in_zone = view.zone == settings_.common.zone;
      const bool is_in_region = view.region == settings_.common.region;
      (is_in_zone     ? zone
       : is_in_region ? region
                      : far)
          .push_back(std::move(ref));
    }
  }
  zone.insert(zone.end(), region.begin(), region.end());
  zone.insert(zone.end(), far.begin(), far.end());
  if (zone.size() > kMaxLenders) zone.resize(kMaxLenders);
  limiter_->SetEntries(std::move(zone), std::move(live));
}

entry_ref entry_task::Self() const {
  return {settings_.common.vm, loop_index_, link_->Incarnation()};
}

void entry_task::OnMessage(const envelope& message) {
  switch (static_cast<message_type>(message.type)) {
    case message_type::kShareUpdate:
      return control_link::Decode<share_update>(
          message, [&](const auto& m) { OnShare(m); });
    case message_type::kLoanAsk:
      return OnLimitMessage<loan_request>(message);
    case message_type::kLoanGrant:
      return OnLimitMessage<loan_grant>(message);
    case message_type::kLoanReturn:
      return OnLimitMessage<loan_return>(message);
    case message_type::kTokenAsk:
      stats_.Count("citron_token_asks_total", {{"side", "home"}});
      return OnLimitMessage<token_request>(message);
    case message_type::kTokenGrant:
      return OnLimitMessage<token_grant>(message);
    case message_type::kPermitGrant:
      return control_link::Decode<permit_grant>(
          message, [&](const auto& m) { OnPermits(m); });
    default:
      Log(kLogPart, "message of unknown type {} from {}", message.type,
          message.sender);
  }
}

template <class T>
void entry_task::OnLimitMessage(const envelope& message) {
  control_link::Decode<loan_message<T>>(message, [&](const auto& m) {
    if (m.to != Self()) return;
    PerformLimits(limiter_->OnMessage(m.from, m.message, MonotonicNow()));
  });
}

void entry_task::OnShare(const share_update& update) {
  const monotonic_time now = MonotonicNow();
  limiter_->SetShare(update.share, update.divisor, now);
  placement_->SetLinkShare(update.link_fraction / update.divisor, now);
  link_->SendToControl(message_type::kShareApplied,
                       share_applied{loop_index_, update.share.sequence});
}

void entry_task::OnPermits(const permit_grant& grant) {
  placement_->OnPermits(grant.service, grant.region, grant.count,
                        grant.asked + grant.lifetime);
}

template <class T>
void entry_task::SendToEntry(const entry_ref& to, message_type type,
                             const T& message) {
  const auto peer = entry_peers_.find(to);
  if (peer == entry_peers_.end()) return;
  link_->Send(peer->second, type, loan_message<T>{Self(), to, message});
}

void entry_task::PerformLimits(const limit_actions& actions) {
  for (const limit_action& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
  if (const auto next = limiter_->NextTokenAt(MonotonicNow())) {
    token_timer_.Arm(*next);
  }
}

void entry_task::Do(const admit_waiting& action) {
  if (call* c = TakeWaiting(action.ticket)) Run(*c);
}
void entry_task::Do(const reject_waiting& action) {
  if (call* c = TakeWaiting(action.ticket)) RefuseOverRate(*c, action.retry_at);
}
void entry_task::Do(const send_loan_request& ask) {
  SendToEntry(ask.to, message_type::kLoanAsk, ask.message);
}
void entry_task::Do(const send_loan_grant& grant) {
  SendToEntry(grant.to, message_type::kLoanGrant, grant.message);
}
void entry_task::Do(const send_loan_return& returned) {
  SendToEntry(returned.to, message_type::kLoanReturn, returned.message);
}
void entry_task::Do(const send_token_request& ask) {
  stats_.Count("citron_token_asks_total", {{"side", "asker"}});
  SendToEntry(ask.to, message_type::kTokenAsk, ask.message);
}
void entry_task::Do(const send_token_grant& grant) {
  SendToEntry(grant.to, message_type::kTokenGrant, grant.message);
}

void entry_task::OnTick() {
  const monotonic_time now = MonotonicNow();
  tick_.Arm(now + loan_settings{}.tick);
  PerformLimits(limiter_->OnTimer(now));
  for (const permit_demand& want : placement_->TakePermitDemand()) {
    const auto peer = directory_.PermitPeer(want.region, want.service);
    if (!peer) continue;
    permit_ask ask{
        want.service, settings_.common.vm, settings_.common.zone, want.count,
        now,          link_->PeerAddress()};
    link_->Send(*peer, message_type::kPermitAsk, ask);
  }
  if (leaving_) ContinueLeaving();
}

void entry_task::OnCaller(http_exchange& exchange) {
  const std::string_view path = exchange.Request().Path();
  if (path == "/v1/lookup") return OnLookup(exchange);
  if (path == "/v1/request-ids") return OnRequestIds(exchange);
  if (path == "/healthz") {
    const char* state = leaving_ ? "leaving" : "live";
    return exchange.Reply({{kOk, {{"Content-Type", "application/json"}}},
                           nlohmann::json({{"state", state}}).dump()});
  }
  OnServiceRequest(exchange);
}

void entry_task::OnLookup(http_exchange& exchange) {
  const monotonic_time now = MonotonicNow();
  const std::string client =
      exchange.Request().Query("client").value_or(exchange.PeerAddress());
  const std::optional<std::uint32_t> address = ParseAddress(client);
  if (!address) {
    return ReplyError(exchange,
                      {kBadRequest, "bad_client", "client is no IPv4 address"});
  }
  const client_site* site = clients_->SiteOf(*address);
  const client_site own{settings_.common.region, settings_.common.zone};
  const client_site& at = site == nullptr ? own : *site;
  vm_answer answer = clients_->Rank(at, HashBytes(client), now);
  if (answer.vms.empty()) {
    return ReplyError(exchange,
                      {kServiceUnavailable, "no_vm", "no entry VM is known yet",
                       verdict::kNotRun, now + kFreshnessRetry});
  }
  const vm_seen* home = HomeFor(exchange.Request(), at);
  if (home != nullptr) {
    RankFirst(home->view.vm, home->view.entries.front().http, answer.vms);
  }
  nlohmann::json page;
  for (const ranked_vm& vm : answer.vms) {
    page["vms"].push_back({{"vm", vm.id.Str()},
                           {"address", vm.address.Str()},
                           {"weight", vm.weight}});
  }
  page["expires_ms"] = Milliseconds(answer.expires_at - now);
  LogDecision("lookup", "{} sent to {}: {}", client, answer.vms[0].id.Str(),
              home != nullptr   ? "it holds the workspace's tokens"
              : site == nullptr ? "its block is unknown, own zone first"
                                : "nearest to its block");
  stats_.Count("citron_lookups_total", {});
  exchange.Reply({{kOk, {{"Content-Type", "application/json"}}}, page.dump()});
}

// A caller of a small workspace that sends to its home spares each request the
// way there for a token. Only inside the caller's region: the way to another
// one costs the caller more than that.
const vm_seen* entry_task::HomeFor(const http_request& request,
                                   const client_site& site) const {
  const auto identified = Identify(request);
  const auto* who = std::get_if<identity>(&identified);
  if (who == nullptr) return nullptr;
  const entry_ref* home = limiter_->HomeOf(who->terms->workspace);
  if (home == nullptr) return nullptr;
  const auto seen = link_->Vms().find(home->vm);
  if (seen == link_->Vms().end()) return nullptr;
  const vm_view& view = seen->second.view;
  const bool is_usable = seen->second.state == member_state::kLive &&
                         !view.leaving && !view.entries.empty() &&
                         view.region == site.region;
  return is_usable ? &seen->second : nullptr;
}

void entry_task::OnRequestIds(http_exchange& exchange) {
  const http_request& request = exchange.Request();
  const auto identified = Identify(request);
  if (const auto* problem = std::get_if<caller_error>(&identified)) {
    return ReplyError(exchange, *problem);
  }
  if (request.method != "POST") {
    return ReplyError(exchange, {kMethodNotAllowed, "method",
                                 "request ids are issued by POST"});
  }
  const std::optional<int> count =
      ParseCount(request.Query("count").value_or("1"));
  if (!count || *count < 1 || *count > kMaxIdsPerCall) {
    return ReplyError(exchange,
                      {kBadRequest, "bad_count",
                       fmt::format("count is not 1 to {}", kMaxIdsPerCall)});
  }
  const monotonic_time now = MonotonicNow();
  nlohmann::json page;
  for (int i = 0; i < *count; ++i) {
    const result<request_id> issued = registry_->IssueId(now);
    if (!IsOk(issued)) {
      return ReplyError(exchange, {kServiceUnavailable, "ids_exhausted",
                                   ErrorOf(issued).message, verdict::kNotRun,
                                   now + kFreshnessRetry});
    }
    page["ids"].push_back(ValueOf(issued).Str());
  }
  page["expires_ms"] = Milliseconds(request_registry_options{}.lifetime);
  exchange.Reply({{kOk, {{"Content-Type", "application/json"}}}, page.dump()});
}

std::variant<entry_task::identity, caller_error> entry_task::Identify(
    const http_request& request) const {
  const auto key = ReadKey(request.headers);
  if (const auto* problem = std::get_if<caller_error>(&key)) return *problem;
  identity who;
  who.key_digest = Sha256Hex(std::get<std::string_view>(key));
  const key_grant* grant = link_->Config().FindKey(who.key_digest);
  if (grant != nullptr)
    who.terms = link_->Config().FindContract(grant->workspace);
  if (who.terms == nullptr) {
    return caller_error{kUnauthorized, "key_refused",
                        "the key is unknown or was withdrawn"};
  }
  if (auto stale = CheckFreshness(*who.terms)) return *stale;
  return who;
}

// A VM that is cut off can't hear of a withdrawn key. The contract says how
// long it may go on with what it last heard.
std::optional<caller_error> entry_task::CheckFreshness(
    const contract& terms) const {
  const monotonic_time now = MonotonicNow();
  if (now - link_->FreshAsOf() <= terms.stale_key_limit) return std::nullopt;
  return caller_error{kServiceUnavailable, "configuration_stale",
                      "this VM is cut off; ask another one", verdict::kNotRun,
                      now + kFreshnessRetry};
}

std::variant<monotonic_time, caller_error> entry_task::DeadlineOf(
    const http_request& request, const contract& terms,
    const service_id& service) const {
  const monotonic_time now = MonotonicNow();
  const auto asked = ReadDeadline(request.headers);
  if (const auto* problem = std::get_if<caller_error>(&asked)) return *problem;
  return DeadlineFor(terms, service, std::chrono::system_clock::now(), now,
                     std::get<std::optional<duration>>(asked));
}

void entry_task::OnServiceRequest(http_exchange& exchange) {
  const http_request& request = exchange.Request();
  const auto identified = Identify(request);
  if (const auto* problem = std::get_if<caller_error>(&identified)) {
    return ReplyError(exchange, *problem);
  }
  const identity& who = std::get<identity>(identified);
  const auto [service, rest] = SplitTarget(request.target);
  const service_config* known = link_->Config().FindService(service);
  if (known == nullptr) {
    return ReplyError(
        exchange, {kNotFound, "unknown_service", "no service has this name"});
  }
  const auto deadline = DeadlineOf(request, *who.terms, service);
  if (const auto* problem = std::get_if<caller_error>(&deadline)) {
    return ReplyError(exchange, *problem);
  }
  if (request.body.size() >
      static_cast<std::size_t>(settings_.max_body_bytes)) {
    return ReplyError(exchange, {kPayloadTooLarge, "body_too_large",
                                 fmt::format("the body has more than {} bytes",
                                             settings_.max_body_bytes)});
  }
  const auto caller_id = FindHeader(request.headers, "Citron-Request-Id");
  // An id is part of answers and log lines, so one of any other shape than our
  // own stops here. Bytes that are no UTF-8 made the JSON of the answer throw,
  // which ended the process: one request took an entry down.
  if (caller_id && !caller_id->empty() && !ParseRequestId(*caller_id)) {
    return ReplyError(exchange, {kBadRequest, "bad_request_id",
                                 "the id was not issued by this fleet"});
  }
  const workspace_id& workspace = who.terms->workspace;
  auto started = std::make_unique<call>(*this, exchange);
  started->key_digest = who.key_digest;
  started->weight = who.terms->weight;
  started->workspace = workspace;
  started->service = service;
  started->target = rest;
  started->request_class = known->ClassNameOf(rest);
  started->deadline = std::get<monotonic_time>(deadline);
  started->idempotent = IsIdempotent(request.method);
  started->caller_id = request_id(std::string(caller_id.value_or("")));
  started->id =
      started->caller_id.IsEmpty() ? NextForwardId() : started->caller_id;
  retries_.OnRequest();
  call& c = *started;
  Start(std::move(started));
  // Before admission: what became of an id is told also to a workspace that is
  // over its rate, and costs it nothing.
  if (!BeginOrReply(c)) return;
  Admit(c);
}

void entry_task::Admit(call& c) {
  limit_actions actions;
  const limit_decision decision =
      limiter_->OnRequest(c.workspace, c.deadline, MonotonicNow(), actions);
  if (const auto* awaited = std::get_if<wait_for_token>(&decision)) {
    c.ticket = awaited->ticket;
    waiting_calls_[awaited->ticket] = &c;
  }
  // Those who came before go first.
  PerformLimits(actions);
  if (std::holds_alternative<admitted>(decision)) return Run(c);
  const auto* over = std::get_if<over_rate>(&decision);
  if (over != nullptr) RefuseOverRate(c, over->retry_at);
}

// Null for a call that has ended, as an action for another call may end it.
entry_task::call* entry_task::TakeWaiting(wait_ticket ticket) {
  const auto found = waiting_calls_.find(ticket);
  if (found == waiting_calls_.end()) return nullptr;
  call* c = found->second;
  waiting_calls_.erase(found);
  c->ticket.reset();
  return c;
}

void entry_task::RefuseOverRate(call& c, monotonic_time retry_at) {
  constexpr char kReason[] = "over_rate";
  CountRefusal(c.workspace, kReason);
  LogDecision(kLogPart, "{} of {} refused: over its rate here", c.id.Str(),
              c.workspace.Str());
  c.ReplyError({kTooManyRequests, kReason, "the workspace is over its rate",
                verdict::kNotRun, retry_at});
  End(c, verdict::kNotRun, kTooManyRequests);
}

// A request that another entry forwarded, because its id was issued here. The
// other entry has admitted it.
void entry_task::OnForwarded(http_exchange& exchange) {
  const http_request& request = exchange.Request();
  const result<forward_head> read = ReadForwardHeaders(
      request.headers, {request.method, request.target, request.body}, secret_);
  if (!IsOk(read)) {
    Log(kLogPart, "request from {} refused: {}", exchange.PeerAddress(),
        ErrorOf(read).message);
    return ReplyError(exchange, {kUnauthorized, "not_from_the_fleet",
                                 "only entries of the fleet are served here"});
  }
  const forward_head& head = ValueOf(read);
  const key_grant* grant = link_->Config().FindKey(head.key_digest);
  const contract* terms = link_->Config().FindContract(head.workspace);
  if (grant == nullptr || terms == nullptr ||
      grant->workspace != head.workspace) {
    return ReplyError(exchange, {kUnauthorized, "key_refused",
                                 "the key is unknown or was withdrawn"});
  }
  auto started = std::make_unique<call>(*this, exchange);
  started->key_digest = head.key_digest;
  started->weight = terms->weight;
  started->workspace = head.workspace;
  started->service = head.service;
  started->target = request.target;
  if (const service_config* known = link_->Config().FindService(head.service)) {
    started->request_class = known->ClassNameOf(request.target);
  }
  started->deadline = started->arrived_at + head.time_left;
  started->idempotent = head.idempotent;
  started->caller_id = request_id(head.caller_request_id);
  started->id = started->caller_id;
  call& c = *started;
  Start(std::move(started));
  if (BeginOrReply(c)) Run(c);
}

void entry_task::Start(std::unique_ptr<call> started) {
  call* key = started.get();
  calls_[key] = std::move(started);
}

void entry_task::Run(call& c) {
  if (c.issuer.IsEmpty()) return Place(c);
  c.Send(c.issuer, NextForwardId());
}

// False if the request has its final answer.
bool entry_task::BeginOrReply(call& c) {
  if (c.caller_id.IsEmpty()) return true;
  const auto problem = BeginOnce(c);
  if (!problem) return true;
  c.ReplyError(*problem);
  End(c, problem->ran, problem->status);
  return false;
}

// Only the process that issued an id may run it, and it remembers what became
// of it; so that a caller can ask again with the same id, at any entry, without
// the work being done twice.
std::optional<caller_error> entry_task::BeginOnce(call& c) {
  const monotonic_time now = MonotonicNow();
  const begin_result begun =
      registry_->Begin(c.caller_id,
                       RequestFingerprint(c.workspace, c.Request().method,
                                          c.target, c.Request().body),
                       now);
  namespace ans = begin_answer;
  c.issuer_is_here = !std::holds_alternative<ans::other_issuer>(begun);
  if (std::holds_alternative<ans::run>(begun)) {
    c.in_registry = true;
    return std::nullopt;
  }
  if (const auto* other = std::get_if<ans::other_issuer>(&begun)) {
    const std::optional<endpoint> issuer = IssuerOf(*other);
    if (!issuer) {
      return caller_error{kGone, "issuer_gone",
                          "the process that issued the id is not there; "
                          "whether the work was done is not known",
                          verdict::kMayHaveRun, std::nullopt};
    }
    LogDecision(kLogPart, "{} forwarded to its issuer {}", c.id.Str(),
                other->vm.Str());
    c.issuer = *issuer;
    return std::nullopt;
  }
  if (std::holds_alternative<ans::already_running>(begun)) {
    return caller_error{kConflict, "already_running",
                        "a request with this id is running",
                        verdict::kMayHaveRun, now + kFreshnessRetry};
  }
  if (const auto* done = std::get_if<ans::answered>(&begun)) {
    return caller_error{kConflict, "already_done",
                        fmt::format("a request with this id ended before, "
                                    "with status {}",
                                    done->status),
                        done->ran, std::nullopt};
  }
  if (std::holds_alternative<ans::expired>(begun)) {
    return caller_error{kGone, "id_expired", "the id is too old to be run",
                        verdict::kMayHaveRun, std::nullopt};
  }
  if (std::holds_alternative<ans::fingerprint_differs>(begun)) {
    return caller_error{kConflict, "id_reused",
                        "the id was used for another request"};
  }
  if (std::holds_alternative<ans::full>(begun)) {
    return caller_error{kServiceUnavailable, "ids_exhausted",
                        "no more ids can be remembered here now",
                        verdict::kNotRun, now + kFreshnessRetry};
  }
  c.id_is_forged = true;
  return caller_error{kBadRequest, "bad_request_id",
                      "the id was not issued by this fleet"};
}

std::optional<endpoint> entry_task::IssuerOf(
    const begin_answer::other_issuer& issuer) {
  for (const auto& [vm, seen] : link_->Vms()) {
    for (const task_address& task : seen.view.entries) {
      if (task.incarnation != issuer.incarnation) continue;
      if (RegistryName(vm, task.loop) == issuer.vm.Str()) return task.forward;
    }
  }
  return std::nullopt;
}

void entry_task::Place(call& c) {
  const monotonic_time now = MonotonicNow();
  c.expected_bytes = ExpectedBytes(c);
  const placement_result placed = placement_->Choose(
      {c.service, c.request_class, c.deadline, c.expected_bytes, c.tried_zones},
      now);
  if (const auto* no = std::get_if<refusal>(&placed)) {
    const std::string reason(RefusalName(no->reason));
    LogDecision("placement", "{} of {} refused: {}", c.id.Str(),
                c.workspace.Str(), reason);
    CountRefusal(c.workspace, reason);
    c.ReplyError({kServiceUnavailable, reason,
                  "no place can answer it in time now", verdict::kNotRun,
                  no->retry_at});
    return End(c, verdict::kNotRun, kServiceUnavailable);
  }
  const placement_decision& choice = std::get<placement_decision>(placed);
  std::string others;
  for (const skipped_zone& other : choice.skipped_zones) {
    fmt::format_to(std::back_inserter(others), "; not {}: {}", other.zone.Str(),
                   other.reason);
  }
  const auto target =
      directory_.Choose(choice.zone, c.service, c.tried_dispatches, now);
  if (!target) {
    placement_->OnRefused(c.service, choice.zone, now);
    c.tried_zones.push_back(choice.zone);
    return TryElsewhere(c, "no_dispatch", verdict::kNotRun, duration::zero());
  }
  LogDecision("placement", "{} of {} to {} at {}: {}{}", c.id.Str(),
              c.workspace.Str(), choice.zone.Str(), target->vm.Str(),
              choice.reason, others);
  c.zone = choice.zone;
  c.region = choice.region;
  SendTo(c, *target);
}

void entry_task::SendTo(call& c, const dispatch_directory::choice& target) {
  c.dispatch = target.http;
  c.tried_dispatches.insert(target.http);
  directory_.OnSent(target.http);
  placement_->OnSent(c.service, c.zone, MonotonicNow());
  c.Send(target.http, NextForwardId());
}

void entry_task::TryElsewhere(call& c, const std::string& reason, verdict ran,
                              duration retry_after) {
  const monotonic_time now = MonotonicNow();
  if (!c.dispatch.IsEmpty()) {
    directory_.OnDone(c.dispatch);
    const bool was_reached = reason != kUnreachable && reason != kLost;
    if (!was_reached) directory_.OnUnreachable(c.dispatch, now);
    if (reason == RefusalName(refusal_reason::kNoUpstream)) {
      directory_.OnNoUpstream(c.dispatch, c.service);
    }
    c.dispatch = {};
    // The zone's other dispatch has slots of its own: the zone is given up only
    // when there is none left to ask.
    const bool is_done =
        !directory_.Choose(c.zone, c.service, c.tried_dispatches, now)
             .has_value();
    if (is_done) {
      placement_->OnRefused(c.service, c.zone, now);
      c.tried_zones.push_back(c.zone);
    } else {
      placement_->OnDone(c.service, c.zone, now);
    }
  }
  constexpr int kMaxSends = 2;
  const bool is_final = reason == "key_refused" || reason == "poison" ||
                        !c.issuer.IsEmpty() || now >= c.deadline;
  if (!is_final && c.sends < kMaxSends && retries_.TryTake()) {
    LogDecision(kLogPart, "{} tried elsewhere after {}", c.id.Str(), reason);
    return Place(c);
  }
  CountRefusal(c.workspace, reason);
  const int status =
      reason == "key_refused" ? kUnauthorized : kServiceUnavailable;
  c.ReplyError({status, reason,
                ran == verdict::kNotRun ? "it was turned away before it ran"
                                        : "no whole answer came",
                ran, now + std::max(retry_after, duration::zero())});
  End(c, ran, status);
}

void entry_task::End(call& c, verdict last, int status) {
  const auto found = calls_.find(&c);
  if (found == calls_.end()) return;
  const verdict ran = c.HonestVerdict(last);
  const monotonic_time now = MonotonicNow();
  if (!c.dispatch.IsEmpty()) {
    directory_.OnDone(c.dispatch);
    placement_->OnDone(c.service, c.zone, now);
    if (c.region != settings_.common.region) {
      placement_->OnRemoteResponse(c.region, c.expected_bytes,
                                   c.Relay().BodyBytes(), now);
    }
    double& typical = answer_bytes_[{c.service, c.request_class}];
    const auto bytes = static_cast<double>(c.Relay().BodyBytes());
    typical += kAnswerBytesWeight * (bytes - typical);
  }
  if (c.ticket) {
    waiting_calls_.erase(*c.ticket);
    limiter_->OnCancel(c.workspace, *c.ticket);
  }
  if (c.in_registry) registry_->OnOutcome(c.caller_id, ran, status);
  const std::string& service = c.service.Str();
  requests_.Of({service, VerdictName(ran)}).Add();
  request_seconds_.Of({service}).Observe(ToSeconds(now - c.arrived_at));
  workspace_requests_
      .Of({c.workspace.Str(), ran == verdict::kRan ? "yes" : "no"})
      .Add();
  quality_.OnEnded(c.workspace, ran == verdict::kRan, now);
  LogDecision(kLogPart, "{} of {} ended: status {}, {}, {:.1f} ms", c.id.Str(),
              c.workspace.Str(), status, VerdictName(ran),
              ToMilliseconds(now - c.arrived_at));
  // The call may be on the stack still.
  loop_.Defer([held = std::make_shared<std::unique_ptr<call>>(
                   std::move(found->second))] { held->reset(); });
  calls_.erase(found);
}

std::uint64_t entry_task::ExpectedBytes(const call& c) const {
  const auto found = answer_bytes_.find({c.service, c.request_class});
  const double bytes =
      found == answer_bytes_.end() ? kDefaultAnswerBytes : found->second;
  return static_cast<std::uint64_t>(bytes);
}

request_id entry_task::NextForwardId() {
  return request_id(fmt::format("{}.{}.{}.{}", settings_.common.vm.Str(),
                                loop_index_, link_->Incarnation(),
                                ++last_forward_));
}

void entry_task::CountRefusal(const workspace_id& workspace,
                              const std::string& reason) {
  refusals_.Of({workspace.Str(), reason}).Add();
  // What was let in and refused later was inside the workspace's rate.
  if (reason != "over_rate") {
    refused_inside_rate_.Of({workspace.Str()}).Add();
  }
}

void entry_task::ReplyError(http_exchange& exchange,
                            const caller_error& problem) {
  stats_.Count("citron_errors_total", {{"code", problem.code}});
  caller_error said = problem;
  // An earlier attempt with the same id may have run; see HonestVerdict. What
  // isn't even shaped like an id was never issued.
  const auto id = FindHeader(exchange.Request().headers, "Citron-Request-Id");
  const bool has_id = id && ParseRequestId(*id).has_value();
  if (has_id && said.ran == verdict::kNotRun) said.ran = verdict::kMayHaveRun;
  exchange.Reply(ErrorResponse(said, "", MonotonicNow()));
}

void entry_task::OnPage(http_exchange& exchange) {
  const monotonic_time now = MonotonicNow();
  if (const auto worst = quality_.Worst(now)) {
    stats_.Set("citron_worst_served_part", {}, worst->answered_part);
  }
  stats_.Set("citron_config_age_seconds", {},
             ToSeconds(now - std::max(link_->FreshAsOf(), monotonic_time())));
  for (const zone_report& report : directory_.ZoneReports()) {
    const metric_labels labels{{"zone", report.zone.Str()},
                               {"service", report.service.Str()}};
    stats_.Set("citron_zone_report_age_seconds", labels,
               ToSeconds(now - report.received_at));
    stats_.Set("citron_zone_headroom", labels, report.slots - report.in_flight);
  }
  stats_.Set("citron_config_revision", {},
             static_cast<double>(link_->Config().revision));
  stats_.Set("citron_entry_share_ppm", {},
             static_cast<double>(limiter_->Limits().OwnPpbUntil(now, now)) *
                 kWholePpm / kWholePpb);
  stats_.Set("citron_requests_in_flight", {},
             static_cast<double>(calls_.size()));
  stats_.Set("citron_request_ids", {}, static_cast<double>(registry_->Size()));
  exchange.Reply(
      {{kOk, {{"Content-Type", "text/plain; version=0.0.4"}}}, stats_.Page()});
}

}  // namespace citron
