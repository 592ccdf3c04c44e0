#include "citron/node/node_task.h"

#include <event2/listener.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "citron/base/digest.h"
#include "citron/node/proxied_request.h"
#include "node/own_answer.h"
#include "node/socket_address.h"

namespace citron {

namespace {

constexpr duration kTick = std::chrono::milliseconds(50);
constexpr duration kSweepInterval = std::chrono::seconds(1);
constexpr int kBacklog = 1024;
// Objects that are placed within this time are told together.
constexpr duration kPlacementDelay = std::chrono::milliseconds(10);
constexpr std::size_t kSecretBytes = 16;
constexpr double kBytesPerMegabit = 125'000;
// A weight of the own region that changed by this factor is logged.
constexpr double kLoggedWeightFactor = 1.5;

duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::microseconds(time.tv_usec);
}

// Of this process, since its start. Where processes are given parts of a
// processor, its clock of processor time may run on while it waits.
duration ProcessorTime() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return ToDuration(used.ru_utime) + ToDuration(used.ru_stime);
}

// Returns the time within which the copy of the store follows it: a withdrawn
// key has a bound of its own, of which a part is left to refuse keys in time.
duration CopyBound(const fleet_bounds& bounds) {
  constexpr double kRevocationPart = 0.8;
  if (!bounds.strict_revocation) return bounds.config_apply;
  return std::min(bounds.config_apply,
                  FromSeconds(kRevocationPart * ToSeconds(bounds.revocation)));
}

// Of the memory limit, for what is held for requests. Buffers of the kernel and
// of the allocator hold as much again, and the process itself up to 16 MB.
constexpr double kHeldPart = 0.25;

std::size_t HeldBytesLimit(const node_settings& settings) {
  return static_cast<std::size_t>(
      kHeldPart * static_cast<double>(settings.memory_limit_bytes));
}

// Descriptors for upstreams, the store, pages and files.
constexpr int kKeptDescriptors = 1200;

}  // namespace

result<std::unique_ptr<node_task>> node_task::Make(
    event_loop& loop, const node_settings& settings,
    const node_platform& platform, event_log& log) {
  std::unique_ptr<node_task> task(new node_task(loop, settings, platform, log));
  result<std::unique_ptr<peer_exchange>> peers =
      peer_exchange::Make(task->context_);
  if (!IsOk(peers)) return ErrorOf(peers);
  task->peers_ = std::move(ValueOf(peers));
  // Once for all that is lost with one upstream.
  task->crashes_.OnNews(
      [self = task.get()] { self->crash_news_.Arm(MonotonicNow()); });
  task->placements_.OnNews([self = task.get()] {
    self->placement_timer_.Arm(MonotonicNow() + kPlacementDelay);
  });
  result<std::unique_ptr<node_pages>> pages = node_pages::Make(
      task->context_, platform.pages, *task->peers_, task->relay_,
      [self = task.get()] { return self->Condition(); });
  if (!IsOk(pages)) return ErrorOf(pages);
  task->pages_ = std::move(ValueOf(pages));
  result<std::unique_ptr<tunnel_server>> tunnels =
      tunnel_server::Make(task->context_, task->secret_);
  if (!IsOk(tunnels)) return ErrorOf(tunnels);
  task->tunnels_ = std::move(ValueOf(tunnels));
  const status listening = task->Listen();
  if (!IsOk(listening)) return ErrorOf(listening);
  task->OnTick();
  return task;
}

node_task::node_task(event_loop& loop, const node_settings& settings,
                     const node_platform& platform, event_log& log)
    : loop_(loop),
      settings_(settings),
      names_(platform.names),
      log_(log),
      fleet_(settings_, *platform.codec, log_),
      feed_(feed_options::ForBound(CopyBound(settings_.bounds))),
      paths_(settings_, fleet_, log_, stats_),
      pool_(loop, platform.names.request_id, paths_),
      crashes_(log_),
      memory_({.limit_bytes = HeldBytesLimit(settings)}),
      context_{loop_, settings_, names_, log_,    stats_,      fleet_,   feed_,
               pool_, crashes_,  paths_, memory_, placements_, relayed_, stop_},
      secret_(RandomHex(kSecretBytes)),
      sync_(context_, *platform.store, *platform.codec, secret_),
      relay_(context_, sync_.Index(), secret_),
      processor_(settings_.processor_share),
      link_(settings_.link_mbps * kBytesPerMegabit),
      tick_(loop, [this] { OnTick(); }),
      crash_news_(loop, [this] { peers_->TellCrashes(MonotonicNow()); }),
      placement_timer_(loop, [this] { peers_->TellRegion(MonotonicNow()); }) {}

node_task::~node_task() {
  connections_.clear();
  CloseListener();
}

status node_task::Listen() {
  sockaddr_in address = SocketAddress(settings_.callers);
  listener_ = evconnlistener_new_bind(
      loop_.Base(),
      [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
         void* self) { static_cast<node_task*>(self)->OnAccept(descriptor); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener_ != nullptr) return std::monostate{};
  return MakeError(error_code::kUnavailable,
                   fmt::format("can't listen on {}: {}",
                               settings_.callers.Str(), std::strerror(errno)));
}

void node_task::OnAccept(int descriptor) {
  const auto most = static_cast<std::size_t>(
      std::max(64, settings_.max_descriptors - kKeptDescriptors));
  if (connections_.size() >= most) {
    log_.Write("callers", "connection_refused",
               {{"open", connections_.size()}, {"most", most}}, MonotonicNow());
    evutil_closesocket(descriptor);
    return;
  }
  const auto routing = fleet_.Routing();
  const caller_limits limits = routing ? routing->limits : caller_limits{};
  request_handler_factory& handlers = *this;
  connections_.push_back(std::make_unique<caller_connection>(
      loop_, descriptor, limits, memory_, handlers,
      [this](caller_connection& ended) {
        const auto found = std::find_if(
            connections_.begin(), connections_.end(),
            [&](const auto& held) { return held.get() == &ended; });
        if (found == connections_.end()) return;
        const std::shared_ptr<caller_connection> retired = std::move(*found);
        *found = std::move(connections_.back());
        connections_.pop_back();
        loop_.Defer([retired] {});
      }));
  if (stopped_) connections_.back()->StopAfterAnswer();
}

std::unique_ptr<request_handler> node_task::Make(http1_head head,
                                                 caller_exchange& exchange) {
  const monotonic_time now = MonotonicNow();
  sync_.OnRequest(now);
  peers_->OnRequest();
  if (stopped_) LogTakenInStop(head, now);
  std::variant<admitted_request, rejection> gate =
      AdmitRequest(context_, head, now);
  if (const auto* turned = std::get_if<rejection>(&gate)) {
    const auto id = FindHeader(head.headers, names_.request_id);
    const std::string request(id.value_or(""));
    stats_.Count("citron_turned_away_total", {{"reason", turned->reason}});
    log_.Write(
        "request", "turned_away",
        {{"id", request},
         {"reason", turned->reason},
         {"status", turned->status},
         {"target", head.target},
         {"retry_ms", ToMilliseconds(turned->retry_after)},
         {"workspace", turned->workspace.Str()},
         {"rate", turned->quota.rate_per_s},
         {"burst", turned->quota.burst},
         {"share", turned->quota.share},
         {"tokens", turned->quota.tokens},
         {"fleet_admitted", turned->quota.fleet_admitted},
         {"window_limit", turned->quota.window_limit},
         {"vms_told", turned->quota.vms_told},
         {"vms_heard", turned->quota.vms_heard},
         {"store_age_ms",
          feed_.ProvenAt() ? ToMilliseconds(now - *feed_.ProvenAt()) : -1.0}},
        now);
    ReplyOwn(
        {turned->status, turned->reason, verdict::kNotRun, turned->retry_after},
        request, names_, exchange);
    return nullptr;
  }
  auto request = std::make_unique<proxied_request>(
      context_, std::move(head), std::get<admitted_request>(std::move(gate)),
      exchange);
  request->Start();
  return request;
}

void node_task::OnCut(connection_cut cause, std::size_t unsent) {
  stats_.Count("citron_caller_connections_cut_total",
               {{"cause", std::string(ToString(cause))}});
  // Callers that leave are told with their requests.
  if (cause == connection_cut::kClosedByCaller) return;
  const monotonic_time now = MonotonicNow();
  log_.Write("callers", "connection_cut",
             {{"cause", ToString(cause)},
              {"unsent", unsent},
              {"since_stop_ms",
               stopped_ ? ToMilliseconds(now - stop_.BeganAt()) : -1.0}},
             now);
}

void node_task::LogTakenInStop(const http1_head& head, monotonic_time now) {
  log_.Write(
      "request", "taken_in_stop",
      {{"id", FindHeader(head.headers, names_.request_id).value_or("")},
       {"target", head.target},
       {"asked_ms", FindHeader(head.headers, names_.deadline_ms).value_or("")},
       {"since_stop_ms", ToMilliseconds(now - stop_.BeganAt())},
       {"to_end_ms", ToMilliseconds(stop_.EndsAt() - now)}},
      now);
}

bool node_task::IsReady() const {
  if (stopped_ || fleet_.Routing() == nullptr) return false;
  // A VM that can't let keys in is of no use to most callers, and sends them
  // away some time before it comes to that.
  constexpr double kReadyPart = 0.6;
  return IsCurrentWithin(kReadyPart, context_, MonotonicNow());
}

vm_condition node_task::Condition() const {
  return {IsReady(), processor_.IsNearCapacity() || link_.IsNearCapacity(),
          paths_.IsReachable()};
}

void node_task::UpdateGauges(monotonic_time now) {
  processor_.OnSample(ToSeconds(ProcessorTime()), now);
  link_.OnSample(static_cast<double>(bytes_written_), now);
  const bool near = Condition().near_capacity;
  if (near == was_near_capacity_) return;
  was_near_capacity_ = near;
  log_.Write("node", near ? "near_capacity" : "below_capacity",
             {{"vm", settings_.vm.Str()},
              {"processor", processor_.IsNearCapacity()},
              {"link", link_.IsNearCapacity()},
              {"connections", connections_.size()}},
             now);
}

void node_task::OnTick() {
  const monotonic_time now = MonotonicNow();
  sync_.Run(now);
  relay_.Run(now);
  fleet_.RemoveMissing(now);
  const bool ready = IsReady();
  UpdateGauges(now);
  paths_.Run(pool_, *peers_, now);
  peers_->Run(Condition(), now);
  peers_->TellCrashes(now);
  peers_->TellRegion(now);
  if (ready != was_ready_) {
    log_.Write("node", ready ? "ready" : "not_ready",
               {{"vm", settings_.vm.Str()}, {"stopping", bool(stopped_)}}, now);
  }
  was_ready_ = ready;
  if (now >= sweep_at_) {
    sweep_at_ = now + kSweepInterval;
    pool_.Sweep(
        [this](const upstream_id& id) {
          const upstream_tracker* upstream = fleet_.FindUpstream(id);
          return upstream != nullptr && !upstream->IsLeaving();
        },
        now);
    crashes_.Expire(now);
    stats_.Set("citron_upstreams_paused", {}, fleet_.LogEndedPauses(now));
    ShowRegionBalance(now);
    log_.Summarize(now);
    stats_.Set("citron_held_bytes", {}, static_cast<double>(memory_.Held()));
    stats_.Set("citron_held_peak_bytes", {},
               static_cast<double>(memory_.Peak()));
  }
  if (stopped_) OnStopStep(now);
  const bool is_ending = stopped_ && now < stop_.EndsAt();
  tick_.Arm(is_ending ? std::min(now + kTick, stop_.EndsAt()) : now + kTick);
}

void node_task::ShowRegionBalance(monotonic_time now) {
  const bool one_region = std::all_of(
      settings_.zones.begin(), settings_.zones.end(),
      [this](const auto& zone) { return zone.second == settings_.region; });
  if (one_region) return;
  fleet_.ForEachService([&](const service_id& service,
                            affinity_selector& selector) {
    const region_balance& balance = selector.RegionBalance();
    const metric_labels labels{{"service", service.Str()}};
    stats_.Set("citron_own_region_weight", labels, balance.SameRegionWeight());
    stats_.Set("citron_own_region_part", labels, balance.HomePart());
    const region_choices chosen = selector.TakeRegionChoices();
    const auto count = [&](const char* region, std::uint64_t choices) {
      stats_.Count("citron_upstream_choices_total",
                   {{"service", service.Str()}, {"region", region}},
                   static_cast<double>(choices));
    };
    count("own", chosen.own);
    count("other", chosen.other);
    LogRegionWeight(service, selector, now);
  });
}

void node_task::LogRegionWeight(const service_id& service,
                                const affinity_selector& selector,
                                monotonic_time now) {
  const region_balance& balance = selector.RegionBalance();
  const double weight = balance.SameRegionWeight();
  double& logged =
      logged_weights_.try_emplace(service, selector.LeastRegionWeight())
          .first->second;
  const auto [less, more] = std::minmax(weight, logged);
  if (more < kLoggedWeightFactor * less) return;
  const region_room& own = balance.OwnRoom();
  const region_room& others = balance.OtherRoom();
  log_.Write("region", "weight",
             {{"service", service.Str()},
              {"weight", weight},
              {"before", logged},
              {"home_part", balance.HomePart()},
              {"objects", balance.Objects(now)},
              {"upstreams", own.upstreams},
              {"slots", own.slots},
              {"heard_slots", own.heard_slots},
              {"load", own.load},
              {"other_slots", others.slots},
              {"other_heard_slots", others.heard_slots},
              {"other_load", others.load}},
             now);
  logged = weight;
}

void node_task::Reload(const node_settings& settings) {
  settings_.bounds = settings.bounds;
  feed_.SetOptions(feed_options::ForBound(CopyBound(settings_.bounds)));
  log_.Write("node", "reloaded", {{"vm", settings_.vm.Str()}}, MonotonicNow());
}

void node_task::Stop(std::function<void()> stopped) {
  const monotonic_time now = MonotonicNow();
  stopped_ = std::move(stopped);
  stop_.Begin({settings_.bounds.grace_period, settings_.bounds.late_arrival},
              now);
  log_.Write("node", "stopping",
             {{"vm", settings_.vm.Str()}, {"connections", connections_.size()}},
             now);
  sync_.Leave(now);
  tunnels_->Stop();
  for (const auto& connection : connections_) connection->StopAfterAnswer();
  OnTick();
}

// Callers come for a while after the stop was told; then the door closes, and
// what was let in is brought to its end.
void node_task::OnStopStep(monotonic_time now) {
  if (stop_.Listens(now)) return;
  CloseListener();
  // Closing one takes it out of the list.
  std::vector<caller_connection*> open;
  for (const auto& connection : connections_) open.push_back(connection.get());
  for (caller_connection* connection : open) connection->CloseIfIdle();
  const bool serves = !connections_.empty() || tunnels_->Open() > 0;
  if (serves && now < stop_.EndsAt()) return;
  std::size_t cut = 0;
  std::size_t with_kernel = 0;
  for (const auto& connection : connections_) {
    if (!connection->EndWithProcess()) ++cut;
    with_kernel += connection->UntakenBytes();
  }
  log_.Write("node", "stopped",
             {{"vm", settings_.vm.Str()},
              {"connections", connections_.size()},
              {"cut", cut},
              {"with_kernel", with_kernel},
              {"tunnels", tunnels_->Open()},
              {"tunnels_cut", tunnels_->EndWithProcess()},
              {"since_stop_ms", ToMilliseconds(now - stop_.BeganAt())}},
             now);
  stopped_();
}

void node_task::CloseListener() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

}  // namespace citron
