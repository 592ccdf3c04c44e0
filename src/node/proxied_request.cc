#include "citron/node/proxied_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "citron/base/digest.h"
#include "citron/policy/rendezvous.h"
#include "citron/policy/request_fingerprint.h"
#include "node/forwarded_head.h"
#include "node/own_answer.h"
#include "node/signal_intake.h"

namespace citron {

namespace {

// A body up to this size is held until it is whole, so that the request can be
// sent again; a longer one goes on as it comes.
constexpr std::size_t kHeldBody = std::size_t{256} << 10;
constexpr std::size_t kKnownBeginning = std::size_t{16} << 10;
// An answer up to this size is held until it is whole, so that one that breaks
// off on the way can be replaced by another upstream's.
constexpr std::size_t kHeldAnswer = std::size_t{1} << 20;
// Bytes on their way to a slow side before the fast one is made to wait.
constexpr std::size_t kMaxPending = std::size_t{256} << 10;
// Connecting takes one round trip, up to 110 ms between regions, and one more
// try of the kernel after 200 ms where a packet is lost.
constexpr duration kConnectLimit = std::chrono::milliseconds(500);
// What an idle connection must have left before its upstream closes it; more
// for requests that can't be repeated if the two cross.
constexpr duration kIdleMargin = std::chrono::milliseconds(800);
constexpr duration kIdleMarginOnce = std::chrono::milliseconds(3000);
// The body of an answer that nobody gets is read on, to keep the connection, if
// it is short and comes at once: within a round trip between regions and one
// more try of the kernel.
constexpr std::size_t kMaxUnusedBody = std::size_t{64} << 10;
constexpr duration kUnusedLimit = std::chrono::milliseconds(350);
// Less than this can't bring an answer back.
constexpr duration kLeastTimeLeft = std::chrono::milliseconds(15);
constexpr int kMaxConnectFailures = 3;
// Failures that show no upstream's fault: the first ones of a partition, and
// relays that are cut off as well.
constexpr int kMaxPathFailures = 4;

// When to come back: after a slot at one of the upstreams that are full is
// likely to have come free, or after failing ones have been tried again.
constexpr duration kRetryWhenBusy = std::chrono::milliseconds(250);
constexpr duration kRetryWhenUnavailable = std::chrono::milliseconds(400);
// Held bytes are given back as the slow ones read on, or at their deadlines.
constexpr duration kRetryWhenMemoryFull = std::chrono::milliseconds(1000);
// Upstreams at their rate limits: a limit may end at any moment.
constexpr duration kLongestRetryWhenLimited = std::chrono::milliseconds(2000);
// Upstreams that asked for a pause: another one may join at any moment.
constexpr duration kLongestRetryWhenPaused = std::chrono::seconds(30);
// Another VM is there already.
constexpr duration kRetryElsewhere = std::chrono::milliseconds(1);
constexpr duration kReturnSpread = std::chrono::milliseconds(250);

std::optional<std::int64_t> ReadWhole(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

// These promise that nothing ran, and only the upstream's own word that came
// with them would be proof.
bool IsPromise(int status) { return status == 429 || status == 408; }

std::string HeaderOr(const http_headers& headers, const std::string& name) {
  const auto value = FindHeader(headers, name);
  return value ? std::string(*value) : std::string();
}

}  // namespace

proxied_request::proxied_request(node_context& context, http1_head head,
                                 admitted_request admitted,
                                 caller_exchange& exchange)
    : context_(context),
      head_(std::move(head)),
      admitted_(std::move(admitted)),
      exchange_(exchange),
      id_(HeaderOr(head_.headers, context.names.request_id)),
      arrived_at_(MonotonicNow()),
      deadline_timer_(context.loop, [this] { OnDeadline(); }),
      held_(context.memory),
      unused_timer_(context.loop, [this] { CutUnused("slow_unused"); }) {
  const route_config& route = *admitted_.route;
  const std::string object = HeaderOr(head_.headers, context.names.affinity);
  has_affinity_ = route.has_affinity && !object.empty();
  object_ = HashBytes(has_affinity_ ? object : id_, HashBytes(route.id.Str()));
  caller_deadline_ = monotonic_time::max();
  const auto asked =
      ReadWhole(HeaderOr(head_.headers, context.names.deadline_ms));
  if (asked && *asked >= 0) {
    caller_deadline_ =
        arrived_at_ + FromMilliseconds(static_cast<double>(*asked));
  }
  deadline_ = std::min(caller_deadline_, arrived_at_ + route.timeout);
}

proxied_request::~proxied_request() {
  if (done_) return;
  // The process ends before the request.
  if (sent_ && verdict_ == verdict::kNotRun) verdict_ = verdict::kMayHaveRun;
  EndAttempt(upstream_outcome::kCancelled);
  DropConnection();
  Finish(0, "cut");
}

request_rank proxied_request::Rank() const {
  const workspace_terms* workspace = admitted_.workspace;
  return {workspace == nullptr ? 0 : workspace->rank, admitted_.route->rank};
}

bool proxied_request::IsRepeatable() const {
  return admitted_.route->repeats == repetition::kIdempotent ||
         admitted_.route->repeats == repetition::kDownload;
}

void proxied_request::Start() {
  deadline_timer_.Arm(deadline_);
  service_ = context_.fleet.SplitOf(*admitted_.route).Choose(object_);
  context_.fleet.RetriesOf(service_).OnRequest(arrived_at_);
}

void proxied_request::OnBody(std::string_view bytes) {
  if (done_) return;
  if (streaming_body_) return SendBodyPiece(bytes);
  if (!HasRoom(bytes.size())) return RefuseForMemory();
  body_.append(bytes);
  const std::size_t allowance = context_.memory.Allowance(kHeldBody);
  UpdateHeld();
  if (body_.size() <= allowance) return;
  if (allowance < kHeldBody) ReportStreamedEarly("body", body_.size());
  streaming_body_ = true;
  Place();
}

// A body of unknown length is judged by what has come of it.
bool proxied_request::HasRoom(std::size_t bytes) {
  if (has_room_) return true;
  const std::size_t size = body_.size() + bytes;
  has_room_ = head_.body_length.has_value();
  return context_.memory.Admits(head_.body_length.value_or(size));
}

void proxied_request::RefuseForMemory() {
  context_.stats.Count("citron_rejected_for_memory_total", {});
  context_.log.Write("request", "rejected_for_memory",
                     {{"id", id_},
                      {"route", admitted_.route->id.Str()},
                      {"body", head_.body_length.value_or(0)},
                      {"held", context_.memory.Held()}},
                     MonotonicNow());
  body_.clear();
  Refuse(503, "memory_full", kRetryWhenMemoryFull);
}

void proxied_request::UpdateHeld() {
  const std::size_t unsent =
      connection_ == nullptr ? 0 : connection_->PendingBytes();
  held_.Set(body_.size() + answer_body_.size() + unsent);
}

void proxied_request::ReportStreamedEarly(const char* what, std::size_t held) {
  context_.stats.Count("citron_streamed_early_total", {{"what", what}});
  context_.log.Write("request", "streamed_early",
                     {{"id", id_},
                      {"what", what},
                      {"bytes", held},
                      {"held", context_.memory.Held()}},
                     MonotonicNow());
}

void proxied_request::OnBodyEnd() {
  if (done_) return;
  body_ended_ = true;
  if (!streaming_body_) return Place();
  if (connection_ != nullptr && !head_.body_length) {
    connection_->SendMore("0\r\n\r\n");
  }
}

void proxied_request::SendBodyPiece(std::string_view bytes) {
  if (connection_ == nullptr) return;
  if (head_.body_length) {
    connection_->SendMore(bytes);
  } else {
    connection_->SendMore(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
  }
  UpdateHeld();
  if (connection_->PendingBytes() > context_.memory.Allowance(kMaxPending)) {
    exchange_.PauseBody();
  }
}

void proxied_request::OnRequestDrained() {
  UpdateHeld();
  exchange_.ResumeBody();
}

void proxied_request::Place() {
  const monotonic_time now = MonotonicNow();
  if (deadline_ - now < kLeastTimeLeft) {
    return verdict_ == verdict::kNotRun
               ? Refuse(503, "no_time_left", kRetryWhenBusy)
               : FailMaybeRun(504, "no_time_left");
  }
  if (verdict_ == verdict::kNotRun &&
      !context_.stop.MayPassOn(deadline_, now)) {
    return Refuse(503, "stopping", kRetryElsewhere);
  }
  if (IsPoison(now)) return RefusePoison(now);
  const bool suspect = IsSuspect(now);
  // Its copy in flight tells whether it is the one that crashes upstreams.
  if (suspect && !context_.crashes.MaySend(fingerprint_)) {
    constexpr char kReason[] = "suspect_in_flight";
    if (verdict_ != verdict::kNotRun) return FailMaybeRun(502, kReason);
    return Refuse(503, kReason, kRetryWhenBusy);
  }
  std::vector<upstream_id> left_out = tried_;
  if (suspect) context_.crashes.AddUpstreamsWithSuspects(left_out);
  for (int without_way = 0; without_way <= kMaxPathFailures; ++without_way) {
    affinity_selector* selector = context_.fleet.SelectorOf(service_);
    if (selector == nullptr) return OnNoUpstream(selection_error::kNoneKnown);
    const auto chosen = selector->Choose(SelectionFor(left_out), now);
    if (const auto* none = std::get_if<selection_error>(&chosen)) {
      if (without_way > 0) break;
      return OnNoUpstream(*none);
    }
    const selection& choice = std::get<selection>(chosen);
    if (choice.placed) TellPlacement(choice);
    if (Connect(choice.upstream, now)) return SendTo(choice);
    left_out.push_back(choice.upstream);
  }
  last_reason_ = "no_path";
  if (verdict_ != verdict::kNotRun) return FailMaybeRun(502, last_reason_);
  Refuse(503, last_reason_, kRetryWhenUnavailable);
}

selection_request proxied_request::SelectionFor(
    const std::vector<upstream_id>& left_out) const {
  selection_request request;
  request.object = object_;
  request.has_affinity = has_affinity_;
  request.large_answer = admitted_.route->repeats == repetition::kDownload;
  request.latency_goal = admitted_.route->latency_goal;
  request.route_allowed_regions = &admitted_.route->homes;
  if (admitted_.workspace != nullptr) {
    request.workspace_allowed_regions = &admitted_.workspace->homes;
  }
  request.excluded_upstreams = &left_out;
  return request;
}

void proxied_request::TellPlacement(const selection& choice) {
  context_.stats.Count("citron_objects_placed_total",
                       {{"service", service_.Str()}});
  context_.placements.Add({choice.placed->object, choice.upstream});
}

bool proxied_request::Connect(const upstream_id& upstream, monotonic_time now) {
  const bool is_region_bound =
      !admitted_.route->homes.empty() ||
      (admitted_.workspace != nullptr && !admitted_.workspace->homes.empty());
  const std::optional<connection_path> path = context_.paths.PathTo(
      *context_.fleet.FindUpstream(upstream), is_region_bound);
  if (!path) return false;
  connection_ =
      context_.pool.Take(upstream, *path, kConnectLimit,
                         IsRepeatable() ? kIdleMargin : kIdleMarginOnce, now);
  return connection_ != nullptr;
}

void proxied_request::OnNoUpstream(selection_error error) {
  last_reason_ = ToString(error).data();
  duration retry_after = kRetryWhenUnavailable;
  if (error == selection_error::kBusy) retry_after = kRetryWhenBusy;
  if (error == selection_error::kRateLimited) {
    retry_after = OnRateLimited(MonotonicNow());
  }
  if (error == selection_error::kPaused) {
    retry_after = OnPaused(MonotonicNow());
  }
  if (verdict_ != verdict::kNotRun) return FailMaybeRun(502, last_reason_);
  Refuse(503, last_reason_, retry_after);
}

duration proxied_request::OnRateLimited(monotonic_time now) {
  double limit = 0;
  double part = 0;
  double demand = 0;
  int upstreams = 0;
  std::string_view told_by;
  monotonic_time retry_at = now + kLongestRetryWhenLimited;
  context_.fleet.SelectorOf(service_)->ForEach([&](upstream_tracker& upstream) {
    const upstream_rate_limit* rate_limit = upstream.RateLimit();
    if (rate_limit == nullptr) return;
    ++upstreams;
    limit += rate_limit->RatePerS();
    part += rate_limit->PartPerS();
    demand += rate_limit->FleetDemandPerS();
    told_by = upstream.RateLimitSeen()->told_by.Str();
    retry_at = std::min(retry_at, rate_limit->NextTakeAt(now));
  });
  context_.log.Write("request", "rate_limited",
                     {{"id", id_},
                      {"service", service_.Str()},
                      {"upstreams", upstreams},
                      {"limit_per_s", limit},
                      {"part_per_s", part},
                      {"fleet_demand_per_s", demand},
                      {"last_told_by", told_by}},
                     now);
  return std::max(kRetryWhenBusy, retry_at - now);
}

// Callers that all came back at the end of a pause would fill the upstream
// again.
duration proxied_request::OnPaused(monotonic_time now) {
  const affinity_selector& selector = *context_.fleet.SelectorOf(service_);
  const monotonic_time ends_at =
      selector.EarliestPauseEnd(SelectionFor(tried_), now);
  const duration spread = FromSeconds(HashToUnitInterval(HashBytes(id_)) *
                                      ToSeconds(kReturnSpread));
  const duration retry_after =
      std::clamp(ends_at - now, kRetryWhenBusy, kLongestRetryWhenPaused) +
      spread;
  context_.log.Write("request", "paused",
                     {{"id", id_},
                      {"service", service_.Str()},
                      {"paused", context_.fleet.PausedUpstreams(service_, now)},
                      {"upstreams", selector.Count()},
                      {"earliest_end_ms", ToMilliseconds(ends_at - now)},
                      {"retry_ms", ToMilliseconds(retry_after)},
                      {"tries", tried_.size()}},
                     now);
  return retry_after;
}

// A body that goes on as it comes is known by its beginning, of which at least
// that much is always held, and by its length.
void proxied_request::MakeFingerprint() {
  const workspace_id workspace =
      admitted_.workspace == nullptr ? workspace_id() : admitted_.workspace->id;
  std::string beginning;
  if (streaming_body_) {
    beginning = fmt::format("{}\n{}", body_.substr(0, kKnownBeginning),
                            head_.body_length.value_or(0));
  }
  fingerprint_ = RequestFingerprint(workspace, head_.method, head_.target,
                                    streaming_body_ ? beginning : body_);
}

bool proxied_request::IsPoison(monotonic_time now) {
  if (fingerprint_ == 0) MakeFingerprint();
  return context_.crashes.Of(fingerprint_, now) ==
         crash_watch::standing::kPoison;
}

void proxied_request::RefusePoison(monotonic_time now) {
  constexpr char kReason[] = "poison";
  if (verdict_ != verdict::kNotRun) return FailMaybeRun(502, kReason);
  Refuse(503, kReason, context_.crashes.Until(fingerprint_) - now);
}

bool proxied_request::IsSuspect(monotonic_time now) const {
  return fingerprint_ != 0 && context_.crashes.Of(fingerprint_, now) ==
                                  crash_watch::standing::kSuspect;
}

void proxied_request::SendTo(const selection& choice) {
  const monotonic_time now = MonotonicNow();
  upstream_tracker* standing =
      context_.fleet.SelectorOf(service_)->Find(choice.upstream);
  upstream_ = choice.upstream;
  sent_at_ = now;
  found_free_slot_ = choice.load < choice.slots && !choice.cold;
  upstream_zone_ = standing->Record().zone;
  upstream_born_ms_ = standing->Record().born_ms;
  asked_for_pause_ = false;
  tried_.push_back(upstream_);
  standing->OnSent(now);
  attempt_open_ = true;
  sent_as_suspect_ = IsSuspect(now);
  if (sent_as_suspect_) context_.crashes.OnSuspectSent(fingerprint_, upstream_);
  sent_ = false;
  answer_.reset();
  answer_body_.clear();
  unused_timer_.Disarm();

  body_framing framing;
  if (streaming_body_) {
    framing.length = head_.body_length;
    framing.chunked = !head_.body_length;
  } else if (head_.body_length || head_.chunked) {
    framing.length = body_.size();
  }
  const workspace_id workspace =
      admitted_.workspace == nullptr ? workspace_id() : admitted_.workspace->id;
  std::string message = MakeUpstreamHead(head_, context_.names, upstream_,
                                         workspace, deadline_ - now, framing);
  if (!framing.chunked) message += body_;
  // The time in a tunnel is not the upstream's.
  if (connection_->IsRelayed()) found_free_slot_ = false;
  const bool expects_body = head_.method != "HEAD";
  // A kept connection sends at once; a new one reports when it does.
  sent_ = connection_->IsReusable({}, now);
  if (sent_) reached_.push_back(upstream_);
  connection_->Start(message, expects_body, id_, *this);
  if (framing.chunked) SendBodyPiece(body_);
  // Gives the memory back; a body that goes on as it comes isn't sent again.
  if (streaming_body_) body_ = std::string();
  UpdateHeld();
  context_.log.Write("request", "sent",
                     {{"id", id_},
                      {"route", admitted_.route->id.Str()},
                      {"workspace", workspace.Str()},
                      {"object", fmt::format("{:016x}", object_)},
                      {"upstream", upstream_.Str()},
                      {"zone", upstream_zone_.Str()},
                      {"load", choice.load},
                      {"slots", choice.slots},
                      {"first_choice", choice.first_choice},
                      {"cold", choice.cold},
                      {"try", tried_.size()},
                      {"kept_connection", sent_},
                      {"relay", connection_->Path().relay.Str()},
                      {"left_ms", ToMilliseconds(deadline_ - now)},
                      {"declaration", admitted_.routing->version}},
                     now);
}

bool proxied_request::WantsToSend() {
  affinity_selector* selector = context_.fleet.SelectorOf(service_);
  return selector != nullptr && selector->MaySendTo(upstream_, MonotonicNow());
}

void proxied_request::OnWithdrawn() {
  constexpr char kReason[] = "withdrawn";
  last_reason_ = kReason;
  KeepConnection();
  EndAttempt(upstream_outcome::kCancelled);
  context_.log.Write("request", kReason,
                     {{"id", id_},
                      {"upstream", upstream_.Str()},
                      {"left_ms", ToMilliseconds(deadline_ - MonotonicNow())}},
                     MonotonicNow());
  tried_ = reached_;
  if (BodyIsReplayable()) return Place();
  if (verdict_ != verdict::kNotRun) return FailMaybeRun(502, kReason);
  Refuse(503, kReason, kRetryWhenBusy);
}

void proxied_request::OnConnected() {
  sent_ = true;
  reached_.push_back(upstream_);
  affinity_selector* selector = context_.fleet.SelectorOf(service_);
  if (selector != nullptr) selector->OnConnected(upstream_zone_);
}

proxied_request::answer_kind proxied_request::Judge(
    const http1_head& head) const {
  if (FindHeader(head.headers, context_.names.not_run) || head.status == 421) {
    return answer_kind::kNotRun;
  }
  const bool encoded = FindHeader(head.headers, "Content-Encoding").has_value();
  const bool signed_by_upstream =
      FindHeader(head.headers, context_.names.signature).has_value();
  const bool success = head.status >= 200 && head.status < 300;
  if (success && (!signed_by_upstream || encoded)) return answer_kind::kForged;
  return head.status >= 500 ? answer_kind::kFailure : answer_kind::kWhole;
}

void proxied_request::OnAnswerHead(http1_head head) {
  if (IsOnOwnConnection()) context_.paths.OnAnswered();
  kind_ = Judge(head);
  // What another upstream says, or nobody knows who, is not this one's word.
  const bool is_own_word = kind_ != answer_kind::kForged && head.status != 421;
  asked_for_pause_ =
      signal_intake(context_).Take(head,
                                   {service_,
                                    {upstream_, upstream_born_ms_},
                                    connection_->Path().relay,
                                    id_},
                                   is_own_word);
  answer_ = std::move(head);
  if (kind_ != answer_kind::kForged && kind_ != answer_kind::kNotRun) return;
  const auto length = answer_->body_length;
  if (length.value_or(0) > kMaxUnusedBody) return CutUnused("long_unused");
  if (length != 0) unused_timer_.Arm(MonotonicNow() + kUnusedLimit);
}

// Failures are passed on, but never in part.
bool proxied_request::UsesAnswerBody() const {
  return kind_ == answer_kind::kWhole;
}

void proxied_request::ReportCut(const char* cause) {
  context_.stats.Count("citron_answers_cut_total", {{"cause", cause}});
  context_.log.Write("request", "answer_cut",
                     {{"id", id_},
                      {"upstream", upstream_.Str()},
                      {"cause", cause},
                      {"status", answer_ ? answer_->status : 0},
                      {"held", answer_body_.size()}},
                     MonotonicNow());
}

void proxied_request::CutUnused(const char* cause) {
  ReportCut(cause);
  DropConnection();
  OnUnusedAnswerEnd();
}

// Its head says that the request has not run, or that the answer isn't one.
void proxied_request::OnUnusedAnswerEnd() {
  if (kind_ == answer_kind::kForged) {
    return OnMaybeRun(upstream_outcome::kServerError, "not_its_answer");
  }
  if (answer_->status == 421) {
    return OnNotRun(upstream_outcome::kLeavingNotRun, "other_upstream");
  }
  context_.crashes.OnAlive(upstream_, sent_at_, MonotonicNow());
  if (asked_for_pause_) return OnNotRun(upstream_outcome::kPaused, "paused");
  OnNotRun(upstream_outcome::kShedNotRun, "shed");
}

void proxied_request::OnAnswerBody(std::string_view bytes) {
  if (streaming_answer_) {
    exchange_.SendBody(bytes);
    const std::size_t most = context_.memory.Allowance(kMaxPending);
    if (exchange_.PendingBytes() > most) connection_->PauseReading();
    return;
  }
  const bool is_held =
      kind_ == answer_kind::kFailure ||
      (kind_ == answer_kind::kWhole && !IsPromise(answer_->status));
  if (!is_held) return;
  answer_body_.append(bytes);
  const std::size_t allowance = context_.memory.Allowance(kHeldAnswer);
  UpdateHeld();
  if (answer_body_.size() <= allowance) return;
  if (kind_ == answer_kind::kFailure) {
    constexpr char kCause[] = "long_failure";
    ReportCut(kCause);
    DropConnection();
    answer_.reset();
    return OnMaybeRun(upstream_outcome::kServerError, kCause);
  }
  if (allowance < kHeldAnswer) {
    ReportStreamedEarly("answer", answer_body_.size());
  }
  StartStreaming();
}

void proxied_request::StartStreaming() {
  streaming_answer_ = true;
  exchange_.StartReply(answer_->status,
                       CallerHeaders(answer_->headers, context_.names),
                       answer_->body_length);
  exchange_.SendBody(answer_body_);
  answer_body_ = std::string();
  UpdateHeld();
}

void proxied_request::OnDrained() {
  if (connection_ != nullptr) connection_->ResumeReading();
}

void proxied_request::OnAnswerEnd() {
  // Behind an answer that came before the end of the request's body, the
  // upstream would take the next request for the rest of this one.
  const bool request_is_out = !streaming_body_ || body_ended_;
  round_trip_ = connection_->ConnectTime();
  if (request_is_out) KeepConnection();
  DropConnection();
  switch (kind_) {
    case answer_kind::kWhole:
      verdict_ = verdict::kRan;
      context_.crashes.OnAnswered(fingerprint_, upstream_, sent_at_,
                                  MonotonicNow());
      EndAttempt(upstream_outcome::kAnswered);
      return DeliverWhole();
    case answer_kind::kNotRun:
    case answer_kind::kForged:
      return OnUnusedAnswerEnd();
    case answer_kind::kFailure:
      verdict_ = verdict::kRan;
      context_.crashes.OnAnswered(fingerprint_, upstream_, sent_at_,
                                  MonotonicNow());
      return asked_for_pause_ ? OnMaybeRun(upstream_outcome::kPaused, "paused")
                              : OnMaybeRun(upstream_outcome::kServerError,
                                           "upstream_failure");
  }
}

void proxied_request::OnCallFailed(upstream_fault fault) {
  if (fault == upstream_fault::kPausedAtRelay) {
    const monotonic_time now = MonotonicNow();
    context_.fleet.OnPauseRequested(service_, {upstream_, upstream_born_ms_},
                                    now + connection_->RelayPause(), now);
  }
  if (fault == upstream_fault::kWithdrawn ||
      fault == upstream_fault::kPausedAtRelay) {
    return OnWithdrawn();
  }
  const std::string_view name = UpstreamFaultName(fault);
  if (IsEndless(fault)) ReportCut(name.data());
  // The head has told it, whatever becomes of the rest.
  if (sent_ && IsRefusal()) {
    DropConnection();
    return OnUnusedAnswerEnd();
  }
  if (fault == upstream_fault::kLost && sent_ && !answer_) {
    context_.crashes.OnLost(fingerprint_, upstream_, sent_as_suspect_, sent_at_,
                            MonotonicNow());
  }
  answer_.reset();
  const vm_id relay = connection_->Path().relay;
  const bool on_own_connection = relay.IsEmpty();
  DropConnection();
  if (streaming_answer_) {
    // The caller has a part of it: the rest can only be seen to be missing.
    EndAttempt(upstream_outcome::kConnectionLost);
    exchange_.Abort();
    return Finish(0, name.data());
  }
  if (sent_ && on_own_connection && !IsEndless(fault)) {
    context_.paths.OnConnectionLost(upstream_);
  }
  const bool path_is_sound = on_own_connection ? context_.paths.IsReachable()
                                               : context_.paths.IsRelay(relay);
  const bool is_path_fault =
      fault == upstream_fault::kRelayFailed || !path_is_sound;
  if (!sent_ && is_path_fault) return OnPathFailed(name.data());
  if (!sent_) {
    ++connect_failures_;
    affinity_selector* selector = context_.fleet.SelectorOf(service_);
    if (fault == upstream_fault::kConnectTimeout && selector != nullptr) {
      selector->OnConnectTimeout(upstream_zone_, MonotonicNow());
    }
    return OnNotRun(upstream_outcome::kConnectFailedNotRun, name.data());
  }
  OnMaybeRun(fault == upstream_fault::kLost ? upstream_outcome::kConnectionLost
                                            : upstream_outcome::kServerError,
             name.data());
}

bool proxied_request::MayTryAgain(bool reached_upstream) {
  if (!BodyIsReplayable()) return false;
  if (connect_failures_ > kMaxConnectFailures) return false;
  if (static_cast<int>(reached_.size()) >= admitted_.route->max_upstreams) {
    return false;
  }
  // Upstreams see only what reaches them.
  return !reached_upstream || TakeRetry(MonotonicNow());
}

bool proxied_request::TakeRetry(monotonic_time now) {
  const request_rank rank = Rank();
  retry_budget& retries = context_.fleet.RetriesOf(service_);
  const retry_decision decision = retries.TryTake(rank, now);
  context_.stats.Count("citron_retries_total",
                       {{"workspace_rank", std::to_string(rank.workspace)},
                        {"route_rank", std::to_string(rank.route)},
                        {"result", std::string(ToString(decision))}});
  if (decision == retry_decision::kGranted) return true;
  context_.log.Write(
      "request", "retry_denied",
      {{"id", id_},
       {"service", service_.Str()},
       {"reason", ToString(decision)},
       {"workspace_rank", rank.workspace},
       {"route_rank", rank.route},
       {"left", retries.Available()},
       {"refill_per_s", retries.RefillPerS(now)},
       {"more_urgent_per_s", retries.MoreUrgentDemand(rank, now)}},
      now);
  return false;
}

void proxied_request::OnPathFailed(const char* reason) {
  last_reason_ = reason;
  EndAttempt(upstream_outcome::kCancelled);
  context_.log.Write("request", "path_failed",
                     {{"id", id_},
                      {"upstream", upstream_.Str()},
                      {"reason", reason},
                      {"left_ms", ToMilliseconds(deadline_ - MonotonicNow())}},
                     MonotonicNow());
  // Upstreams that could not be reached this way may be reached another way.
  tried_ = reached_;
  if (BodyIsReplayable() && ++path_failures_ <= kMaxPathFailures) {
    return Place();
  }
  if (verdict_ != verdict::kNotRun) return FailMaybeRun(502, reason);
  Refuse(503, reason, kRetryWhenUnavailable);
}

void proxied_request::OnNotRun(upstream_outcome outcome, const char* reason) {
  const bool reached = sent_;
  last_reason_ = reason;
  EndAttempt(outcome);
  if (MayTryAgain(reached)) return Place();
  if (verdict_ != verdict::kNotRun) return FailMaybeRun(502, reason);
  Refuse(503, reason,
         outcome == upstream_outcome::kShedNotRun ||
                 outcome == upstream_outcome::kPaused
             ? kRetryWhenBusy
             : kRetryWhenUnavailable);
}

void proxied_request::OnMaybeRun(upstream_outcome outcome, const char* reason) {
  last_reason_ = reason;
  EndAttempt(outcome);
  if (verdict_ == verdict::kNotRun) verdict_ = verdict::kMayHaveRun;
  const std::optional<http1_head> failure = answer_;
  const std::string body = answer_body_;
  if (IsRepeatable() && MayTryAgain(true)) return Place();
  const bool is_upstreams_own = failure && kind_ == answer_kind::kFailure;
  // 503 would promise that it has not run.
  if (!is_upstreams_own || failure->status == 503) {
    return FailMaybeRun(502, reason);
  }
  exchange_.Reply(failure->status,
                  CallerHeaders(failure->headers, context_.names), body);
  Finish(failure->status, reason);
}

void proxied_request::EndAttempt(upstream_outcome outcome) {
  if (!attempt_open_) return;
  attempt_open_ = false;
  unused_timer_.Disarm();
  const monotonic_time now = MonotonicNow();
  affinity_selector* selector = context_.fleet.SelectorOf(service_);
  upstream_tracker* standing =
      selector == nullptr ? nullptr : selector->FindKnown(upstream_);
  if (standing != nullptr) standing->OnDone(outcome, now);
  if (sent_as_suspect_) context_.crashes.OnSuspectDone(fingerprint_, upstream_);
  const bool answered = outcome == upstream_outcome::kAnswered;
  if (selector != nullptr && answered && found_free_slot_) {
    selector->RecordServiceTime(now - sent_at_ - round_trip_);
  }
  if (answered || outcome == upstream_outcome::kCancelled) return;
  context_.log.Write(
      "request", "try_failed",
      {{"id", id_},
       {"upstream", upstream_.Str()},
       {"zone", upstream_zone_.Str()},
       {"reason", last_reason_},
       {"status", answer_ ? answer_->status : 0},
       {"sent", sent_},
       {"failure_rate", standing == nullptr ? 0.0 : standing->FailureRate()},
       {"left_ms", ToMilliseconds(deadline_ - now)}},
      now);
}

void proxied_request::KeepConnection() {
  if (connection_ == nullptr) return;
  affinity_selector* selector = context_.fleet.SelectorOf(service_);
  const upstream_tracker* standing =
      selector == nullptr ? nullptr : selector->FindKnown(upstream_);
  // It ends sooner without connections.
  if (standing != nullptr && standing->IsLeaving()) return DropConnection();
  context_.pool.Give(upstream_, std::move(connection_), MonotonicNow());
}

void proxied_request::DropConnection() {
  if (connection_ == nullptr) return;
  connection_->Cancel();
  // The connection's own callback may be running.
  const std::shared_ptr<upstream_connection> dropped = std::move(connection_);
  context_.loop.Defer([dropped] {});
}

void proxied_request::DeliverWhole() {
  if (streaming_answer_) {
    exchange_.FinishBody();
    return Finish(answer_->status, "answered");
  }
  if (IsPromise(answer_->status)) {
    return FailMaybeRun(502, "unproved_promise");
  }
  http_headers headers = CallerHeaders(answer_->headers, context_.names);
  const int status = answer_->status;
  exchange_.Reply(status, headers, answer_body_);
  Finish(status, "answered");
}

void proxied_request::Refuse(int status, const char* reason,
                             duration retry_after) {
  ReturnToken();
  ReplyOwn({status, reason, verdict::kNotRun, retry_after}, id_, context_.names,
           exchange_);
  Finish(status, reason);
}

// A contract counts what runs.
void proxied_request::ReturnToken() {
  if (admitted_.workspace == nullptr) return;
  workspace_quota* quota = context_.fleet.QuotaOf(admitted_.workspace->id);
  if (quota != nullptr) quota->OnNotRun(arrived_at_, MonotonicNow());
}

void proxied_request::FailMaybeRun(int status, const char* reason) {
  ReplyOwn({status, reason, verdict::kMayHaveRun, {}}, id_, context_.names,
           exchange_);
  Finish(status, reason);
}

void proxied_request::OnDeadline() {
  if (done_) return;
  if (streaming_answer_) {
    EndAttempt(upstream_outcome::kCancelled);
    DropConnection();
    exchange_.Abort();
    return Finish(0, "deadline");
  }
  last_reason_ = "deadline";
  if (attempt_open_) {
    if (IsRefusal()) return CutUnused("deadline");
    if (sent_ && verdict_ == verdict::kNotRun) verdict_ = verdict::kMayHaveRun;
    if (sent_ && !answer_ && IsOnOwnConnection()) {
      context_.paths.OnUnanswered(upstream_);
    }
    EndAttempt(upstream_outcome::kTimedOut);
    DropConnection();
  }
  FailMaybeRun(504, "deadline");
}

void proxied_request::OnCallerGone() {
  if (done_) return;
  EndAttempt(upstream_outcome::kCancelled);
  DropConnection();
  Finish(0, "caller_gone");
}

void proxied_request::Finish(int status, const char* outcome) {
  done_ = true;
  deadline_timer_.Disarm();
  // The connection counts what is still on its way to the caller.
  body_ = std::string();
  answer_body_ = std::string();
  held_.Set(0);
  const monotonic_time now = MonotonicNow();
  const duration took = now - arrived_at_;
  context_.stats.Count("citron_requests_total",
                       {{"route", admitted_.route->id.Str()},
                        {"status", std::to_string(status)},
                        {"outcome", outcome}});
  context_.stats.ObserveSeconds("citron_request_seconds",
                                {{"route", admitted_.route->id.Str()}},
                                ToSeconds(took));
  context_.log.Write("request", "ended",
                     {{"id", id_},
                      {"route", admitted_.route->id.Str()},
                      {"service", service_.Str()},
                      {"status", status},
                      {"outcome", outcome},
                      {"verdict", VerdictName(verdict_)},
                      {"tries", tried_.size()},
                      {"upstream", upstream_.Str()},
                      {"ms", ToMilliseconds(took)},
                      {"store_age_ms", StoreAgeMs(context_, now)}},
                     now);
}

}  // namespace citron
