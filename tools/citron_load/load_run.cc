#include "tools/citron_load/load_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "citron/config/json_reader.h"
#include "standins/upstream/answer_body.h"

namespace citron {

namespace {

constexpr int kHttpOk = 200;
constexpr int kPathVariants = 1000;
constexpr duration kLookupLimit = std::chrono::seconds(2);
constexpr duration kLookupRetry = std::chrono::milliseconds(200);
// A look-up is asked again somewhat before it expires.
constexpr double kLookupPart = 0.8;
constexpr double kShortestLookupMs = 200;
constexpr std::size_t kMaxErrorBytes = 4096;
// Repeats after a loss without a word about when.
constexpr duration kRepeatAfterLoss = std::chrono::milliseconds(100);
constexpr char kNotRun[] = "not_run";

// The digits after "0x"-less hexadecimal, or nothing.
std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, problem] =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (problem != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

struct refusal {
  std::string code;
  std::string verdict;
  std::optional<duration> retry_after;
};

refusal ReadRefusal(int status, const http_headers& headers,
                    const std::string& body) {
  refusal read;
  read.code = fmt::format("http_{}", status);
  if (const auto seconds = FindHeader(headers, "Retry-After")) {
    read.retry_after = std::chrono::seconds(
        std::strtol(std::string(*seconds).c_str(), nullptr, 10));
  }
  const result<nlohmann::json> parsed = ParseJson(body);
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) return read;
  const auto found = ValueOf(parsed).find("error");
  if (found == ValueOf(parsed).end() || !found->is_object()) return read;
  const auto text = [&](const char* name, std::string& out) {
    const auto member = found->find(name);
    if (member != found->end() && member->is_string()) {
      out = member->get<std::string>();
    }
  };
  text("code", read.code);
  text("verdict", read.verdict);
  const auto ms = found->find("retry_after_ms");
  if (ms != found->end() && ms->is_number()) {
    read.retry_after = FromMilliseconds(ms->get<double>());
  }
  return read;
}

}  // namespace

// One request of a caller, with its repeats.
class load_run::call final : public http_call_handler {
 public:
  call(load_run& run, const arrival& due)
      : run_(run),
        due_(due),
        kind_(run.plan_.requests[due.request]),
        deadline_(due.at + run.limits_.request_limit),
        repeat_timer_(run.loop_, [this] { Begin(); }) {
    record_.number = due.number;
    record_.workspace = due.workspace;
    record_.request = due.request;
    record_.arrival_ms = ToMilliseconds(due.at - run.start_);
    record_.attempts = 0;
    const std::string path =
        fmt::format("{}/{}?bytes={}", kind_.path_prefix,
                    due.number % kPathVariants, kind_.answer_bytes);
    request_.method = kind_.method;
    request_.target = "/" + kind_.service + path;
    request_.headers = {
        {"Authorization", "Bearer " + run.plan_.workspaces[due.workspace].key}};
    if (kind_.method == "POST") {
      request_.body = fmt::format("{{\"number\":{}}}", due.number);
      request_.headers.push_back({"Content-Type", "application/json"});
    }
    // Computed here, not taken from the answer: an answer to another request
    // carries that one's digest and fits it.
    digest_ = RequestDigest(request_.method, path, request_.body);
  }

  void SetOverRate(bool over_rate) { record_.over_rate = over_rate; }

  void Begin() {
    entry_ = run_.PickEntry(record_.number);
    if (!kind_.once || has_id_) {
      Start();
      return;
    }
    AskForId();
  }

  void OnHead(const http_response_head& head) override {
    head_ = head;
    const auto digest = FindHeader(head.headers, "X-Request-Digest");
    if (digest && ParseHex(*digest) != digest_) is_wrong_ = true;
  }

  void OnBody(std::string_view bytes) override {
    if (head_.status != kHttpOk) {
      error_body_.append(bytes.substr(
          0, kMaxErrorBytes - std::min(kMaxErrorBytes, error_body_.size())));
      return;
    }
    if (!IsAnswer(digest_, received_, bytes)) is_wrong_ = true;
    received_ += bytes.size();
  }

  void OnDone() override {
    record_.status = head_.status;
    if (head_.status != kHttpOk) {
      OnRefused(ReadRefusal(head_.status, head_.headers, error_body_));
      return;
    }
    const auto expected = static_cast<std::uint64_t>(kind_.answer_bytes);
    const bool is_own = !is_wrong_ && received_ == expected;
    End(is_own ? call_outcome::kWhole : call_outcome::kWrong,
        is_own ? "" : "wrong_bytes");
  }

  void OnFailed(const call_failure& failure) override {
    const bool timed_out = failure.problem == call_problem::kTimedOut;
    // What may have run is asked again only where a repeat is safe.
    const bool may_repeat =
        !timed_out && (!failure.bytes_sent || has_id_ || kind_.method == "GET");
    if (may_repeat && Repeat(kRepeatAfterLoss)) return;
    std::string reason(CallProblemName(failure.problem));
    std::replace(reason.begin(), reason.end(), ' ', '_');
    End(timed_out ? call_outcome::kTimedOut : call_outcome::kBroken, reason);
  }

  const load_record& Record() const { return record_; }

 private:
  void AskForId() {
    const http_request ask{
        "POST", "/v1/request-ids", {request_.headers.front()}, ""};
    // The call may end before the answer comes only by its own deadline,
    // which is the answer's as well.
    run_.client_.Call(entry_, ask, deadline_,
                      [this](const http_response* response, call_failure f) {
                        OnIds(response, f);
                      });
  }

  void OnIds(const http_response* response, const call_failure& failure) {
    if (response == nullptr) {
      // Nothing of the request itself was sent.
      OnFailed({failure.problem, false});
      return;
    }
    if (response->head.status != kHttpOk) {
      record_.status = response->head.status;
      ++record_.attempts;
      OnRefused(ReadRefusal(response->head.status, response->head.headers,
                            response->body));
      return;
    }
    const auto ids = ParseRequestIds(response->body);
    if (!IsOk(ids)) {
      End(call_outcome::kWrong, "bad_request_ids");
      return;
    }
    has_id_ = true;
    request_.headers.push_back({"Citron-Request-Id", ValueOf(ids).front()});
    Start();
  }

  void Start() {
    ++record_.attempts;
    head_ = {};
    received_ = 0;
    is_wrong_ = false;
    error_body_.clear();
    connection_ = run_.client_.Take(entry_);
    connection_->Start(request_, deadline_, *this);
  }

  void OnRefused(const refusal& read) {
    record_.verdict = read.verdict;
    const bool may_repeat = read.verdict == kNotRun || has_id_;
    if (read.retry_after && may_repeat && Repeat(*read.retry_after)) return;
    End(call_outcome::kRefused, read.code);
  }

  bool Repeat(duration wait) {
    const monotonic_time at = MonotonicNow() + wait;
    if (repeats_ >= run_.limits_.max_repeats || at >= deadline_) return false;
    ++repeats_;
    GiveBack();
    repeat_timer_.Arm(at);
    return true;
  }

  void GiveBack() {
    if (connection_) run_.client_.Give(std::move(connection_));
  }

  void End(call_outcome outcome, const std::string& reason) {
    GiveBack();
    record_.outcome = outcome;
    record_.reason = reason;
    record_.latency = MonotonicNow() - due_.at;
    run_.Finish(*this);
  }

  load_run& run_;
  arrival due_;
  const planned_request& kind_;
  monotonic_time deadline_;
  http_request request_;
  std::uint64_t digest_ = 0;
  bool has_id_ = false;
  int repeats_ = 0;
  endpoint entry_;
  std::unique_ptr<http_connection> connection_;
  http_response_head head_;
  std::uint64_t received_ = 0;
  bool is_wrong_ = false;
  std::string error_body_;
  load_record record_;
  loop_timer repeat_timer_;
};

load_run::load_run(event_loop& loop, const load_plan& plan,
                   const load_limits& limits)
    : loop_(loop),
      plan_(plan),
      limits_(limits),
      ledger_(plan),
      client_(loop),
      random_(limits.seed, plan.requests.size()),
      arrival_timer_(loop, [this] { SendDue(); }) {}

load_run::~load_run() = default;

void load_run::Start(std::function<void()> done) {
  done_ = std::move(done);
  sending_ = true;
  sites_.resize(plan_.entries.size());
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    site& place = sites_[i];
    place.number = i;
    place.timer =
        std::make_unique<loop_timer>(loop_, [this, &place] { LookUp(place); });
    LookUp(place);
  }
}

void load_run::StopSending() {
  if (!sending_) return;
  sending_ = false;
  sending_ended_ = MonotonicNow();
  arrival_timer_.Disarm();
  for (site& place : sites_) place.timer->Disarm();
  CheckDone();
}

// Any entry answers; one that is away must not keep its callers from others.
void load_run::LookUp(site& asking) {
  const std::size_t entry = asking.number + asking.attempts;
  const http_request request{"GET", "/v1/lookup", {}, ""};
  client_.Call(plan_.entries[entry % plan_.entries.size()], request,
               MonotonicNow() + kLookupLimit,
               [this, &asking](const http_response* response, call_failure) {
                 OnLookup(asking, response);
               });
}

void load_run::OnLookup(site& asking, const http_response* response) {
  if (!sending_) return;
  const auto answer =
      response != nullptr && response->head.status == kHttpOk
          ? ParseLookup(response->body)
          : result<lookup_answer>(MakeError(error_code::kUnavailable, ""));
  if (!IsOk(answer)) {
    ++asking.attempts;
    asking.timer->Arm(MonotonicNow() + kLookupRetry);
    return;
  }
  asking.attempts = 0;
  asking.entries = ValueOf(answer).entries;
  const double ms =
      std::max(kShortestLookupMs, ValueOf(answer).expires_ms * kLookupPart);
  asking.timer->Arm(MonotonicNow() + FromMilliseconds(ms));
  const bool all_know =
      std::none_of(sites_.begin(), sites_.end(),
                   [](const site& s) { return s.entries.empty(); });
  if (!schedule_ && all_know) BeginArrivals();
}

// Once the callers of every place know an entry.
void load_run::BeginArrivals() {
  start_ = MonotonicNow();
  std::vector<double> rates;
  for (const planned_workspace& workspace : plan_.workspaces) {
    const bool heavy = workspace.name == limits_.heavy_workspace;
    rates.push_back(workspace.rate_per_s * limits_.load *
                    (heavy ? limits_.heavy_factor : 1));
    buckets_.emplace_back(workspace.rate_per_s, workspace.burst, start_);
  }
  schedule_.emplace(plan_, rates, start_, limits_.seed);
  SendDue();
}

void load_run::SendDue() {
  const monotonic_time now = MonotonicNow();
  const monotonic_time end = start_ + limits_.length;
  while (!schedule_->IsEmpty() && schedule_->NextTime() <= std::min(now, end) &&
         sent_ < limits_.max_requests) {
    Send(schedule_->Take());
  }
  if (schedule_->IsEmpty() || schedule_->NextTime() > end ||
      sent_ >= limits_.max_requests) {
    StopSending();
    return;
  }
  arrival_timer_.Arm(schedule_->NextTime());
}

void load_run::Send(const arrival& due) {
  if (static_cast<int>(calls_.size()) >= limits_.max_in_flight) {
    ++skipped_;
    return;
  }
  ++sent_;
  calls_.push_back(std::make_unique<call>(*this, due));
  calls_.back()->SetOverRate(!buckets_[due.workspace].Take(due.at));
  calls_.back()->Begin();
}

const endpoint& load_run::PickEntry(std::uint64_t arrival_number) {
  const site& place = sites_[arrival_number % sites_.size()];
  std::vector<double> weights;
  weights.reserve(place.entries.size());
  for (const ranked_entry& entry : place.entries) {
    weights.push_back(entry.weight);
  }
  // Without any weight the first of the list is as good as others.
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return place.entries[pick(random_)].address;
}

void load_run::Finish(call& finished) {
  ledger_.Add(finished.Record());
  const auto found =
      std::find_if(calls_.begin(), calls_.end(),
                   [&](const auto& c) { return c.get() == &finished; });
  // The call is on the stack still.
  loop_.Defer([held = std::make_shared<std::unique_ptr<call>>(
                   std::move(*found))] { held->reset(); });
  calls_.erase(found);
  CheckDone();
}

void load_run::CheckDone() {
  if (!sending_ && calls_.empty() && done_) std::exchange(done_, nullptr)();
}

}  // namespace citron
