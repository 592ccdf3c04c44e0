#include "citron/dispatch/dispatch_task.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "citron/base/digest.h"
#include "citron/base/log.h"
#include "citron/policy/request_fingerprint.h"
#include "dispatch/dispatch_call.h"

namespace citron {

namespace {

constexpr char kLogPart[] = "dispatch";
constexpr duration kReportInterval = std::chrono::milliseconds(100);
// How long a leaving dispatch still takes requests, while the entries hear of
// its leaving: a refusal in that time would cost callers a second try.
constexpr duration kLeaveNotice = std::chrono::milliseconds(1000);
// How long a leaving dispatch without requests waits until the zone's table
// names other owners. A store that is gone writes no table, and a stop must not
// last as long as its outage; the lease then ends by itself, as after a crash.
constexpr duration kGiveBackLimit = std::chrono::milliseconds(2000);
// How long a leaving dispatch waits for entries to close their connections
// after its closing response.
constexpr duration kLinger = std::chrono::milliseconds(500);
// Without a planned shift, other regions may send in this part of what the
// owned slots can carry.
constexpr double kSpilloverPart = 0.5;
constexpr std::string_view kUpstreamLost = "upstream_lost";
constexpr int kUnauthorized = 401;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

scheduler_options OptionsFor(const service_config& service) {
  scheduler_options options;
  for (const request_class& known : service.classes) {
    options.expected_times[known.name] = known.expected_time;
  }
  options.short_reserve = service.short_reserve;
  options.upstreams.cold_start_ramp = service.cold_start_ramp;
  options.check_suspects = true;
  return options;
}

http_response PlainRefusal(int status, std::string_view code) {
  return {
      {status,
       {{"Citron-Verdict", "not_run"}, {"Citron-Refusal", std::string(code)}}},
      ""};
}

void ReplyPlain(http_exchange& exchange, int status, std::string_view code) {
  exchange.Reply(PlainRefusal(status, code));
}

}  // namespace

struct dispatch_task::service_state {
  service_state(dispatch_task& task, const service_config& service,
                std::uint64_t seed)
      : id(service.id),
        scheduler(OptionsFor(service), seed),
        ramp({}),
        timer(task.loop_, [this, &task] {
          task.Perform(*this, scheduler.OnTimer(MonotonicNow()));
        }) {}

  service_id id;
  service_scheduler scheduler;
  shift_ramp ramp;
  loop_timer timer;
};

result<std::unique_ptr<dispatch_task>> dispatch_task::Make(
    event_loop& loop, const dispatch_settings& settings,
    const std::string& secret, int loop_index) {
  std::unique_ptr<dispatch_task> made(
      new dispatch_task(loop, settings, secret, loop_index));
  const status opened = made->Open();
  if (!IsOk(opened)) return ErrorOf(opened);
  return made;
}

dispatch_task::dispatch_task(event_loop& loop,
                             const dispatch_settings& settings,
                             const std::string& secret, int loop_index)
    : loop_(loop),
      settings_(settings),
      secret_(secret),
      loop_index_(loop_index),
      client_(loop, settings.common.dial_overrides),
      report_timer_(loop, [this] { ReportLoad(); }),
      check_timer_(loop, [this] { OnCheckTimer(); }),
      notice_timer_(loop, [this] { EndNotice(); }) {}

dispatch_task::~dispatch_task() = default;

status dispatch_task::Open() {
  http_server_limits limits;
  limits.max_header_bytes = std::size_t{64} << 10;
  limits.max_body_bytes = static_cast<std::size_t>(settings_.max_body_bytes);
  // Entries keep idle connections; they close them, not the dispatch.
  limits.request_deadline_after = std::chrono::seconds(60);
  endpoint listen = settings_.listen;
  if (loop_index_ > 0) listen.port = 0;
  auto server = http_server::Make(loop_, listen, limits,
                                  [this](http_exchange& e) { OnRequest(e); });
  if (!IsOk(server)) return ErrorOf(server);
  server_ = std::move(ValueOf(server));
  auto page_server = ServePages(loop_, settings_.common, loop_index_,
                                [this](http_exchange& e) { OnPage(e); });
  if (!IsOk(page_server)) return ErrorOf(page_server);
  pages_ = std::move(ValueOf(page_server));

  auto link = control_link::Make(
      loop_,
      LinkOptions(settings_, secret_, daemon_role::kDispatch, loop_index_),
      {[this] { OnConfig(); }, [] {},
       [this](const envelope& message) { OnMessage(message); }});
  if (!IsOk(link)) return ErrorOf(link);
  link_ = std::move(ValueOf(link));
  owner_ = std::make_unique<owner_driver>(loop_, *link_, settings_,
                                          server_->Address(),
                                          [this] { RefreshUpstreams(); });
  probe_ = std::make_unique<upstream_probe>(
      loop_, settings_.probe_interval, settings_.probe_timeout,
      [this](const upstream_id& id, const upstream_report& report) {
        OnUpstreamReport(id, report);
      });
  link_->Start(server_->Address());
  ReportLoad();
  return std::monostate{};
}

void dispatch_task::Leave(std::function<void()> left) {
  if (leaving_) return;
  leaving_ = true;
  left_ = std::move(left);
  leave_deadline_ = MonotonicNow() + settings_.drain_limit;
  give_back_deadline_ = MonotonicNow() + kLeaveNotice + kGiveBackLimit;
  Log(kLogPart, "leaving with {} requests here", calls_.size());
  link_->SetLeaving();
  notice_timer_.Arm(MonotonicNow() + kLeaveNotice);
}

void dispatch_task::EndNotice() {
  owner_->Leave([this] { ContinueLeaving(); });
}

// Called when the zone's table no longer names this dispatch, and again with
// each report until the last answer is out.
void dispatch_task::ContinueLeaving() {
  if (!left_) return;
  const monotonic_time now = MonotonicNow();
  if (owner_->AssignedUpstreams().empty()) {
    for (const auto& [id, service] : services_) {
      Perform(*service, service->scheduler.Close(now));
    }
  }
  const bool late = now >= leave_deadline_;
  const bool busy = !calls_.empty() || server_->OpenExchanges() != 0;
  if (busy) {
    give_back_deadline_ = std::max(give_back_deadline_, now + kGiveBackLimit);
  }
  const bool owns =
      !owner_->AssignedUpstreams().empty() && now < give_back_deadline_;
  if ((busy || owns) && !late) return;
  if (late && busy) {
    Log(kLogPart, "leaving at the drain limit with {} requests unfinished",
        calls_.size());
  }
  server_->EndIdle(PlainRefusal(kServiceUnavailable,
                                RefusalName(refusal_reason::kDraining)));
  if (!linger_deadline_) linger_deadline_ = now + kLinger;
  if (!server_->HasEnded() && now < *linger_deadline_) return;
  std::exchange(left_, nullptr)();
}

void dispatch_task::OnMessage(const envelope& message) {
  switch (static_cast<message_type>(message.type)) {
    case message_type::kStoreAnswer:
      return control_link::Decode<store_answer_message>(
          message, [&](const auto& m) { owner_->OnStoreAnswer(m); });
    case message_type::kPromiseAsk:
      return control_link::Decode<promise_request>(
          message, [&](const auto& m) { owner_->OnPromiseRequest(m); });
    case message_type::kPromise:
      return control_link::Decode<promise>(
          message, [&](const auto& m) { owner_->OnPromise(m); });
    case message_type::kTableChanged:
      return control_link::Decode<table_changed>(
          message, [&](const auto&) { owner_->OnTableChanged(); });
    case message_type::kPoison:
      return control_link::Decode<poison_message>(
          message, [&](const auto& m) { OnPoison(m); });
    case message_type::kSuspect:
      return control_link::Decode<suspect_message>(
          message, [&](const auto& m) { OnSuspect(m); });
    case message_type::kSuspectQuery:
      return control_link::Decode<suspect_query>(
          message, [&](const auto& m) { OnSuspectQuery(m); });
    case message_type::kSuspectReply:
      return control_link::Decode<suspect_reply>(
          message, [&](const auto& m) { OnSuspectReply(m); });
    case message_type::kPermitAsk:
      return control_link::Decode<permit_ask>(
          message, [&](const auto& m) { OnPermitAsk(m); });
    default:
      Log(kLogPart, "message of unknown type {} from {}", message.type,
          message.sender);
  }
}

void dispatch_task::OnConfig() {
  for (const auto& [id, service] : link_->Config().services) {
    auto& state = services_[id];
    if (state) continue;
    state = std::make_unique<service_state>(*this, service,
                                            HashBytes(id.Str(), loop_index_));
  }
  owner_->OnConfig();
  RefreshUpstreams();
}

dispatch_task::service_state* dispatch_task::ServiceOf(const service_id& id) {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second.get();
}

// A process that was frozen finds its lease over before it reads the table that
// names another owner. Were its upstreams offered until then, each request
// would be turned back at its send; and its permits would let other regions
// send beside those of the new owner, beyond the cap.
std::set<upstream_id> dispatch_task::OwnedNow() const {
  return owner_->SendableUpstreams(MonotonicNow());
}

void dispatch_task::RefreshUpstreams() {
  const fleet_config& config = link_->Config();
  const monotonic_time now = MonotonicNow();
  std::map<service_id, std::vector<upstream_capacity>> by_service;
  std::map<upstream_id, endpoint> targets;
  for (const upstream_id& id : OwnedNow()) {
    const auto found = config.upstreams.find(id);
    if (found == config.upstreams.end()) continue;
    const upstream_config& upstream = found->second;
    const int slots = upstream.slots - owner_->ReservedSlots(id);
    by_service[upstream.service].push_back(
        {id, std::max(0, slots), upstream.max_connections});
    targets[id] = upstream.address;
  }
  probe_->SetTargets(targets);
  for (const auto& [id, service] : services_) {
    const auto actions = service->scheduler.SetUpstreams(by_service[id], now);
    for (const upstream_capacity& upstream : by_service[id]) {
      service->scheduler.SetDraining(
          upstream.id, config.drained_upstreams.contains(upstream.id));
      NoteDrain(*service, upstream.id);
    }
    RefreshShiftCap(*service);
    Perform(*service, actions);
  }
}

// After each event that may begin or end a drain. Who drains an upstream takes
// it away next: too early and its last requests are cut, and one can't tell
// from the configuration when the last one ended.
void dispatch_task::NoteDrain(const service_state& service,
                              const upstream_id& upstream) {
  const monotonic_time now = MonotonicNow();
  // The scheduler holds an upstream whose lease lapsed here as it holds one
  // that refused; that is no leaving of the upstream.
  if (!drains_.IsLeaving(upstream) && !owner_->MaySend(upstream, now)) return;
  const std::optional<duration> took =
      drains_.Observe(upstream, service.scheduler.IsLeaving(upstream, now),
                      service.scheduler.InFlightAt(upstream), now);
  if (!took) return;
  Log(kLogPart, "{} drained after {:.0f} ms", upstream.Str(),
      ToMilliseconds(*took));
  stats_.ObserveSeconds("citron_upstream_drain_seconds",
                        {{"service", service.id.Str()}}, ToSeconds(*took));
}

// The region's cap is divided among its dispatches by the slots that each
// owns, out of all slots that the configuration gives the region. Owned slots
// never add up to more, so that all dispatches together stay under the cap
// without asking each other.
void dispatch_task::RefreshShiftCap(service_state& service) {
  const fleet_config& config = link_->Config();
  const region_id& region = settings_.common.region;
  int region_slots = 0;
  int owned_slots = 0;
  const std::set<upstream_id> owned = OwnedNow();
  for (const auto& [id, upstream] : config.upstreams) {
    if (upstream.service != service.id) continue;
    if (config.RegionOf(upstream.zone) != region) continue;
    region_slots += upstream.slots;
    if (owned.contains(id)) owned_slots += upstream.slots;
  }
  if (region_slots == 0) return service.ramp.SetCap(0);
  const auto planned = config.shifts.find(service.id);
  double cap = 0;
  if (planned != config.shifts.end() && planned->second.to == region) {
    cap = planned->second.cap_per_s;
  } else {
    const scheduler_load load = service.scheduler.Load(MonotonicNow());
    const double seconds = std::max(1e-3, ToSeconds(load.mean_service_time));
    cap = kSpilloverPart * region_slots / seconds;
  }
  service.ramp.SetCap(cap * owned_slots / region_slots);
}

void dispatch_task::OnRequest(http_exchange& exchange) {
  const http_request& request = exchange.Request();
  const result<forward_head> read = ReadForwardHeaders(
      request.headers, {request.method, request.target, request.body}, secret_);
  if (!IsOk(read)) {
    // Callers can reach this port too; only the fleet's entries are served.
    Log(kLogPart, "request from {} refused: {}", exchange.PeerAddress(),
        ErrorOf(read).message);
    return ReplyPlain(exchange, kUnauthorized, "not_from_the_fleet");
  }
  const forward_head& head = ValueOf(read);
  if (!replays_.Accept(head.id)) {
    Log(kLogPart, "{} refused: seen before", head.id.Str());
    return ReplyPlain(exchange, kBadRequest, "repeated");
  }
  Accept(exchange, head);
}

void dispatch_task::Accept(http_exchange& exchange, const forward_head& head) {
  const monotonic_time now = MonotonicNow();
  if (!KeyIsGood(head, now)) {
    return ReplyPlain(exchange, kUnauthorized, "key_refused");
  }
  service_state* service = ServiceOf(head.service);
  if (service == nullptr) {
    return ReplyPlain(exchange, kServiceUnavailable,
                      RefusalName(refusal_reason::kUnknownService));
  }
  if (leaving_ && owner_->AssignedUpstreams().empty()) {
    return ReplyPlain(exchange, kServiceUnavailable,
                      RefusalName(refusal_reason::kDraining));
  }
  const monotonic_time deadline = now + head.time_left;
  auto added = std::make_unique<call>(*this, exchange, head, deadline);
  const scheduler_request described =
      Describe(head, exchange.Request(), *service);
  calls_[head.id] = std::move(added);
  Perform(*service, service->scheduler.OnRequest(described, now));
}

scheduler_request dispatch_task::Describe(const forward_head& head,
                                          const http_request& request,
                                          service_state& service) const {
  scheduler_request described;
  described.id = head.id;
  described.workspace = head.workspace;
  described.weight = head.weight;
  described.idempotent = head.idempotent;
  described.arrived_at = MonotonicNow();
  described.deadline = described.arrived_at + head.time_left;
  described.fingerprint = RequestFingerprint(head.workspace, request.method,
                                             request.target, request.body);
  const service_config* config = link_->Config().FindService(service.id);
  const request_class* known =
      config == nullptr ? nullptr : config->ClassOf(request.target);
  if (known != nullptr) {
    described.request_class = known->name;
    described.long_running = known->long_running;
  }
  return described;
}

// A key is checked when its request arrives and again right before it is sent,
// since an operator may have withdrawn it while the request waited.
bool dispatch_task::KeyIsGood(const forward_head& head,
                              monotonic_time now) const {
  const fleet_config& config = link_->Config();
  const key_grant* grant = config.FindKey(head.key_digest);
  if (grant == nullptr || grant->workspace != head.workspace) return false;
  const contract* terms = config.FindContract(head.workspace);
  if (terms == nullptr) return false;
  return now - link_->FreshAsOf() <= terms->stale_key_limit;
}

void dispatch_task::Perform(service_state& service,
                            const service_scheduler::actions& actions) {
  for (const scheduler_action& action : actions) {
    if (const auto* send = std::get_if<send_action>(&action)) {
      Send(service, *send);
    } else if (const auto* refuse = std::get_if<refuse_action>(&action)) {
      Refuse(*refuse);
    } else if (const auto* fail = std::get_if<fail_action>(&action)) {
      Fail(*fail);
    } else if (const auto* poison = std::get_if<poison_action>(&action)) {
      Tell(*poison);
    } else if (const auto* suspect = std::get_if<suspect_action>(&action)) {
      Tell(*suspect);
    } else if (const auto* check = std::get_if<check_suspect_action>(&action)) {
      Check(*check);
    } else if (const auto* count = std::get_if<in_flight_action>(&action)) {
      owner_->OnInFlight(count->upstream, count->count);
      NoteDrain(service, count->upstream);
    } else if (const auto* e = std::get_if<upstream_ejection>(&action)) {
      Log(kLogPart,
          "{} ejected for {:.1f} s: {}; {:.2f} times the expected time, "
          "{:.0f} % failed",
          e->upstream.Str(), ToSeconds(e->until - MonotonicNow()),
          EjectionReasonName(e->reason), e->mean_slowness,
          100 * e->failure_rate);
    }
  }
  const std::optional<monotonic_time> next = service.scheduler.NextTimer();
  if (next) {
    service.timer.Arm(*next);
  } else {
    service.timer.Disarm();
  }
}

void dispatch_task::Send(service_state& service, const send_action& action) {
  const auto found = calls_.find(action.id);
  if (found == calls_.end()) return;
  call& request = *found->second;
  const auto upstream = link_->Config().upstreams.find(action.upstream);
  const bool known = upstream != link_->Config().upstreams.end();
  if (!KeyIsGood(request.Head(), MonotonicNow())) {
    LogDecision(kLogPart, "{} not sent: its key was withdrawn while it waited",
                action.id.Str());
    request.ReplyRefused("key_refused", kUnauthorized, MonotonicNow());
    loop_.Defer([this, id = action.id] { OnEntryGone(id); });
    return;
  }
  // Read as late as can be: a process that was frozen between any two lines
  // above may have lost its lease, and another owner may have filled the slots.
  if (!known || !owner_->MaySend(action.upstream, MonotonicNow())) {
    LogDecision(kLogPart, "{} not sent to {}: no longer owned here",
                action.id.Str(), action.upstream.Str());
    loop_.Defer([this, id = action.id] {
      Finish(id, upstream_outcome::kNotOwnedNotRun);
    });
    return;
  }
  request.Send(action.upstream, upstream->second.address);
  LogDecision(
      kLogPart, "{} of {} sent to {}: {} of {} slots in use, {:.1f} ms left",
      action.id.Str(), request.Head().workspace.Str(), action.upstream.Str(),
      service.scheduler.InFlightAt(action.upstream), upstream->second.slots,
      ToMilliseconds(request.Deadline() - MonotonicNow()));
}

void dispatch_task::Refuse(const refuse_action& action) {
  const auto found = calls_.find(action.id);
  if (found == calls_.end()) return;
  const std::string_view reason = RefusalName(action.reason);
  LogDecision(kLogPart, "{} of {} refused: {}", action.id.Str(),
              found->second->Head().workspace.Str(), reason);
  refusals_.Of({reason, found->second->Head().service.Str()}).Add();
  found->second->ReplyRefused(reason, kServiceUnavailable, action.retry_at);
  Retire(action.id);
}

// The call may still be on the stack, so that it is freed later.
void dispatch_task::Retire(const request_id& id) {
  const auto found = calls_.find(id);
  loop_.Defer([held = std::make_shared<std::unique_ptr<call>>(
                   std::move(found->second))] { held->reset(); });
  calls_.erase(found);
}

void dispatch_task::Finish(const request_id& id, upstream_outcome outcome) {
  // Otherwise the scheduler would choose the same upstream again.
  if (outcome == upstream_outcome::kNotOwnedNotRun) RefreshUpstreams();
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  call& request = *found->second;
  service_state* service = ServiceOf(request.Head().service);
  const monotonic_time now = MonotonicNow();
  if (request.IsStreaming() && outcome == upstream_outcome::kConnectionLost) {
    // Part of the answer is out, so that a second try can't be the answer.
    service->scheduler.OnCancel(id, now);
  }
  const auto actions = service->scheduler.OnOutcome(id, outcome, now);
  const bool goes_on =
      std::any_of(actions.begin(), actions.end(), [&](const auto& action) {
        const auto* send = std::get_if<send_action>(&action);
        const auto* refuse = std::get_if<refuse_action>(&action);
        const auto* check = std::get_if<check_suspect_action>(&action);
        return (send != nullptr && send->id == id) ||
               (refuse != nullptr && refuse->id == id) ||
               (check != nullptr && check->id == id);
      });
  Perform(*service, actions);
  if (!goes_on && !IsNotRun(outcome)) {
    const bool timed_out = outcome == upstream_outcome::kTimedOut;
    EndAsFailed(id, timed_out ? "upstream_timeout" : kUpstreamLost,
                timed_out ? kGatewayTimeout : kBadGateway);
  }
}

void dispatch_task::Fail(const fail_action& action) {
  EndAsFailed(action.id, kUpstreamLost, kBadGateway);
}

// A request that was answered only ends here; its answer is out.
void dispatch_task::EndAsFailed(const request_id& id, std::string_view code,
                                int status) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  call& request = *found->second;
  request.ReplyFailed(code, status);
  const duration took = MonotonicNow() - request.ArrivedAt();
  const std::string& service = request.Head().service.Str();
  outcomes_.Of({service, std::to_string(request.Status())}).Add();
  outcome_seconds_.Of({service}).Observe(ToSeconds(took));
  LogDecision(kLogPart, "{} ended at {}: status {}, {:.1f} ms here", id.Str(),
              request.Upstream().Str(), request.Status(), ToMilliseconds(took));
  Retire(id);
}

// The entry hung up, for its caller did or its deadline passed.
void dispatch_task::OnEntryGone(const request_id& id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  call& request = *found->second;
  service_state* service = ServiceOf(request.Head().service);
  const auto actions = service->scheduler.OnCancel(id, MonotonicNow());
  LogDecision(kLogPart, "{} cancelled", id.Str());
  request.CancelUpstream();
  Finish(id, upstream_outcome::kCancelled);
  Perform(*service, actions);
}

void dispatch_task::Tell(const poison_action& poison) {
  Log(kLogPart, "fingerprint {:016x} refused: in flight at a second crash",
      poison.fingerprint);
  SendToDispatches(
      message_type::kPoison,
      poison_message{poison.fingerprint, poison.until - MonotonicNow()});
}

void dispatch_task::Tell(const suspect_action& suspect) {
  const upstream_crash& crash = suspect.crash;
  Log(kLogPart, "fingerprint {:016x} suspected: in flight at the crash of {}",
      suspect.fingerprint, crash.upstream.Str());
  SendToDispatches(message_type::kSuspect,
                   suspect_message{suspect.fingerprint, crash.upstream,
                                   MonotonicNow() - crash.at});
}

std::set<endpoint> dispatch_task::OtherDispatches(bool only_reachable) const {
  std::set<endpoint> others;
  for (const auto& [vm, seen] : link_->Vms()) {
    const bool unreachable = seen.state == member_state::kSilent ||
                             seen.state == member_state::kGone;
    if (only_reachable && unreachable) continue;
    for (const task_address& other : seen.view.dispatches) {
      if (other.peer != link_->PeerAddress()) others.insert(other.peer);
    }
  }
  return others;
}

template <class T>
void dispatch_task::SendToDispatches(message_type type, const T& message) {
  for (const endpoint& other : OtherDispatches()) {
    link_->Send(other, type, message);
  }
}

void dispatch_task::Check(const check_suspect_action& suspect) {
  const std::set<endpoint> peers = OtherDispatches(true);
  const auto number = checks_.Start(suspect.id, peers, MonotonicNow());
  if (!number) {
    loop_.Defer([this, id = suspect.id] { EndCheck(id); });
    return;
  }
  const suspect_query query{suspect.fingerprint, *number, link_->PeerAddress()};
  for (const endpoint& peer : peers) {
    link_->Send(peer, message_type::kSuspectQuery, query);
  }
  check_timer_.Arm(*checks_.NextTimer());
}

void dispatch_task::EndCheck(const request_id& id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  service_state* service = ServiceOf(found->second->Head().service);
  Perform(*service, service->scheduler.OnSuspectChecked(id, MonotonicNow()));
}

void dispatch_task::OnCheckTimer() {
  for (const request_id& id : checks_.OnTimer(MonotonicNow())) {
    Log(kLogPart, "{}: not all dispatches confirmed its crash in time",
        id.Str());
    EndCheck(id);
  }
  const std::optional<monotonic_time> next = checks_.NextTimer();
  if (next) check_timer_.Arm(*next);
}

void dispatch_task::OnSuspectQuery(const suspect_query& message) {
  const monotonic_time now = MonotonicNow();
  duration convicted_for{};
  for (const auto& [id, service] : services_) {
    const std::optional<monotonic_time> until =
        service->scheduler.OnSuspectQuery(message.fingerprint, now);
    if (until) convicted_for = std::max(convicted_for, *until - now);
  }
  link_->Send(message.reply_to, message_type::kSuspectReply,
              suspect_reply{message.fingerprint, message.number,
                            link_->PeerAddress(), convicted_for});
}

void dispatch_task::OnSuspectReply(const suspect_reply& message) {
  if (message.convicted_for > duration()) {
    OnPoison({message.fingerprint, message.convicted_for});
  }
  const auto id = checks_.OnReply(message.number, message.from);
  if (id) EndCheck(*id);
}

void dispatch_task::OnPoison(const poison_message& message) {
  const monotonic_time now = MonotonicNow();
  Log(kLogPart, "fingerprint {:016x} refused: convicted elsewhere",
      message.fingerprint);
  for (const auto& [id, service] : services_) {
    Perform(*service, service->scheduler.OnPoison(message.fingerprint,
                                                  now + message.lifetime, now));
  }
}

void dispatch_task::OnSuspect(const suspect_message& message) {
  const monotonic_time now = MonotonicNow();
  const upstream_crash crash{message.upstream, now - message.crash_age};
  Log(kLogPart, "fingerprint {:016x} suspected elsewhere: crash of {}",
      message.fingerprint, message.upstream.Str());
  for (const auto& [id, service] : services_) {
    Perform(*service,
            service->scheduler.OnSuspect(message.fingerprint, crash, now));
  }
}

void dispatch_task::OnPermitAsk(const permit_ask& message) {
  service_state* service = ServiceOf(message.service);
  if (service == nullptr) return;
  RefreshShiftCap(*service);
  const shift_permit granted =
      service->ramp.Grant(message.sender, message.count, MonotonicNow());
  if (granted.count == 0) return;
  LogDecision("shift", "{} of {} requests of {} let in from {}", granted.count,
              message.count, message.service.Str(), message.sender.Str());
  link_->Send(message.reply_to, message_type::kPermitGrant,
              permit_grant{message.service, settings_.common.region,
                           granted.count, granted.lifetime, message.asked});
}

void dispatch_task::OnUpstreamReport(const upstream_id& id,
                                     const upstream_report& report) {
  const auto found = link_->Config().upstreams.find(id);
  if (found == link_->Config().upstreams.end()) return;
  service_state* service = ServiceOf(found->second.service);
  if (service == nullptr) return;
  const auto actions = service->scheduler.OnReport(id, report, MonotonicNow());
  NoteDrain(*service, id);
  Perform(*service, actions);
}

void dispatch_task::ReportLoad() {
  const monotonic_time now = MonotonicNow();
  report_timer_.Arm(now + kReportInterval);
  dispatch_report report;
  report.loop = loop_index_;
  for (const auto& [id, service] : services_) {
    report.services.push_back({id, service->scheduler.Load(now)});
  }
  link_->SendToControl(message_type::kDispatchReport, report);
  if (leaving_) ContinueLeaving();
}

void dispatch_task::OnPage(http_exchange& exchange) {
  const monotonic_time now = MonotonicNow();
  for (const auto& [id, service] : services_) {
    const metric_labels labels{{"service", id.Str()}};
    const scheduler_load load = service->scheduler.Load(now);
    stats_.Set("citron_dispatch_slots", labels, load.slots);
    stats_.Set("citron_dispatch_usable_slots", labels, load.usable_slots);
    stats_.Set("citron_dispatch_in_flight", labels, load.in_flight);
    stats_.Set("citron_dispatch_queued", labels, load.queued);
    stats_.Set("citron_dispatch_headroom", labels,
               load.usable_slots - load.in_flight);
  }
  stats_.Set(
      "citron_dispatch_ownership_seconds_left", {},
      ToSeconds(std::min(owner_->SendDeadline(), now + FromSeconds(1e6)) -
                now));
  stats_.Set("citron_config_revision", {},
             static_cast<double>(link_->Config().revision));
  exchange.Reply(
      {{200, {{"Content-Type", "text/plain; version=0.0.4"}}}, stats_.Page()});
}

}  // namespace citron
