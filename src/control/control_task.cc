#include "citron/control/control_task.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "citron/base/digest.h"
#include "citron/base/log.h"

namespace citron {

namespace {

constexpr char kLogPart[] = "control";
constexpr duration kStoreTimeout = std::chrono::seconds(1);
constexpr int kFellowListFactor = 5;
constexpr duration kListTimeout = std::chrono::seconds(2);
// How long a stop waits for the store to take the share back: the time that
// loans need to end, and a lost answer.
constexpr duration kReleaseLimit = std::chrono::seconds(4);
// The only keys that daemons may have written for them.
constexpr char kOwnersPrefix[] = "owners/";

// Calls `handle` with the decoded message; says so if it is none.
template <class T, class F>
void Decode(const envelope& message, F handle) {
  const result<T> decoded = DecodeWire<T>(message.body);
  if (!IsOk(decoded)) {
    Log(kLogPart, "message of type {} from {} dropped: {}", message.type,
        message.sender, ErrorOf(decoded).message);
    return;
  }
  handle(ValueOf(decoded));
}

void AddLoad(std::map<service_id, scheduler_load>& sums,
             const service_load& added) {
  const auto [found, is_new] = sums.try_emplace(added.service, added.load);
  if (is_new) return;
  scheduler_load& sum = found->second;
  sum.slots += added.load.slots;
  sum.usable_slots += added.load.usable_slots;
  sum.in_flight += added.load.in_flight;
  sum.queued += added.load.queued;
  sum.usable_upstreams += added.load.usable_upstreams;
  sum.expected_wait = std::min(sum.expected_wait, added.load.expected_wait);
  sum.mean_service_time =
      std::max(sum.mean_service_time, added.load.mean_service_time);
}

std::map<service_id, scheduler_load> LoadsOf(const vm_view& view) {
  std::map<service_id, scheduler_load> sums;
  for (const service_load& load : view.loads) AddLoad(sums, load);
  return sums;
}

}  // namespace

result<std::unique_ptr<control_task>> control_task::Make(
    event_loop& loop, const control_settings& settings,
    const std::string& secret, std::unique_ptr<platform_store> store) {
  std::unique_ptr<control_task> made(
      new control_task(loop, settings, std::move(store)));
  const status opened = made->Open(secret);
  if (!IsOk(opened)) return ErrorOf(opened);
  made->Start();
  return made;
}

control_task::control_task(event_loop& loop, const control_settings& settings,
                           std::unique_ptr<platform_store> store)
    : loop_(loop),
      settings_(settings),
      store_(std::move(store)),
      pacer_({static_cast<double>(settings.view_bytes_per_s),
              settings.view_interval}),
      view_timer_(loop, [this] { OnViewTimer(); }),
      list_timer_(loop, [this] { PollList(); }),
      membership_timer_(loop, [this] { OnMembershipTimer(); }) {}

control_task::~control_task() = default;

status control_task::Open(const std::string& secret) {
  const common_settings& common = settings_.common;
  peer_socket_options options;
  options.name = common.vm.Str() + "/control/0";
  options.secret = secret;
  options.listen = common.peer_listen;
  options.dial_overrides = common.dial_overrides;
  auto peers = peer_socket::Make(
      loop_, options, [this](const envelope& message) { OnMessage(message); });
  if (!IsOk(peers)) return ErrorOf(peers);
  peers_ = std::move(ValueOf(peers));
  auto pages =
      http_server::Make(loop_, common.metrics_listen, {},
                        [this](http_exchange& exchange) { OnPage(exchange); });
  if (!IsOk(pages)) return ErrorOf(pages);
  pages_ = std::move(ValueOf(pages));
  return std::monostate{};
}

void control_task::Start() {
  const common_settings& common = settings_.common;
  const std::uint64_t incarnation = peers_->Incarnation();
  context_ = std::make_unique<control_context>(
      control_context{loop_, settings_, *store_, *peers_, stats_,
                      HashBytes(common.vm.Str(), incarnation)});
  membership_options options;
  options.self.vm = common.vm;
  options.self.zone = common.zone;
  options.self.region = common.region;
  options.self.control = peers_->Address();
  options.self.incarnation = incarnation;
  membership_ = std::make_unique<membership>(options);
  views_ = std::make_unique<view_exchange>();
  config_ = std::make_unique<config_feed>(
      *context_, [this](const fleet_config& c) { OnConfigChanged(c); });
  shares_ = std::make_unique<share_feed>(
      *context_, incarnation, [this](const vm_share&) { SendShare(); });
  config_->Start();
  shares_->Start();
  PollList();
  OnMembershipTimer();
  OnViewTimer();
}

void control_task::Leave(std::function<void()> left) {
  if (leaving_) return;
  leaving_ = true;
  left_ = std::move(left);
  Log(kLogPart, "leaving: waiting for this VM's daemons");
  const monotonic_time now = MonotonicNow();
  Perform(membership_->OnLeave(now));
  PushView();
  SendViewToPeers(OwnView(now), now);
}

void control_task::OnMessage(const envelope& message) {
  const monotonic_time now = MonotonicNow();
  switch (static_cast<message_type>(message.type)) {
    case message_type::kHello:
      return Decode<hello>(message, [&](const auto& m) { OnHello(m); });
    case message_type::kShareApplied:
      return Decode<share_applied>(message,
                                   [&](const auto& m) { OnShareApplied(m); });
    case message_type::kDispatchReport:
      return Decode<dispatch_report>(
          message, [&](const auto& m) { locals_.OnReport(m); });
    case message_type::kStoreCall:
      return Decode<store_call_message>(message,
                                        [&](const auto& m) { OnStoreCall(m); });
    case message_type::kHeartbeat:
      return Decode<heartbeat>(message, [&](const auto& m) {
        Perform(membership_->OnHeartbeat(m, now));
      });
    case message_type::kZoneDigest:
      return Decode<zone_digest>(message, [&](const auto& m) {
        Perform(membership_->OnZoneDigest(m, now));
      });
    case message_type::kZonePull:
      return Decode<zone_pull>(
          message, [&](const auto& m) { Perform(membership_->OnZonePull(m)); });
    case message_type::kZoneMembers:
      return Decode<zone_members>(message, [&](const auto& m) {
        const std::size_t slash = message.sender.find('/');
        const vm_id from(message.sender.substr(0, slash));
        Perform(membership_->OnZoneMembers(from, m, now));
      });
    case message_type::kConfigPull:
      return Decode<config_pull_message>(
          message, [&](const auto& m) { config_->OnPull(m); });
    case message_type::kConfigDelta:
      return Decode<config_delta_message>(
          message, [&](const auto& m) { config_->OnDelta(m); });
    case message_type::kVmView:
      return Decode<vm_view>(message, [&](const auto& m) { OnVmView(m); });
    default:
      Log(kLogPart, "message of unknown type {} from {}", message.type,
          message.sender);
  }
}

void control_task::OnHello(const hello& message) {
  if (locals_.OnHello(message, MonotonicNow())) {
    Log(kLogPart, "{} loop {} is here, at {}",
        message.role == daemon_role::kEntry ? "entry" : "dispatch",
        message.address.loop, message.address.http.Str());
    views_->SendFullNext();
    PushView();
    const monotonic_time now = MonotonicNow();
    SendViewToPeers(OwnView(now), now);
  }
  // Repeated with each hello, since one message may be lost.
  if (message.role == daemon_role::kEntry) {
    context_->Send(message.address.peer, message_type::kShareUpdate,
                   ShareUpdate());
  }
}

void control_task::OnShareApplied(const share_applied& message) {
  locals_.OnShareApplied(message);
  const std::uint64_t applied = locals_.AppliedShare();
  if (applied != 0) shares_->OnGrantApplied(applied);
}

void control_task::OnVmView(const vm_view& view) {
  if (view.vm == settings_.common.vm) return;
  views_->OnView(view, MonotonicNow());
  config_->SetPeer(view.vm, view.control);
  config_->OnPeerRevision(view.vm, view.revision, view.config_age);
}

// A dispatch's ownership goes through the store like all that is agreed on.
// The control of a zone fellow makes the call when the dispatch's own can't
// reach the store. It is made once: a repeat could not be told from the first.
void control_task::OnStoreCall(const store_call_message& message) {
  if (message.key.rfind(kOwnersPrefix, 0) != 0) return;
  const monotonic_time deadline = MonotonicNow() + kStoreTimeout;
  const auto answer = [this, call = message.call, to = message.reply_to](
                          store_answer_kind kind, std::string value,
                          std::uint64_t revision) {
    context_->Send(
        to, message_type::kStoreAnswer,
        store_answer_message{call, kind, std::move(value), revision});
  };
  if (message.kind == store_call_kind::kRead) {
    store_->Get(message.key, deadline, [answer](result<store_lookup> got) {
      if (!IsOk(got)) return answer(store_answer_kind::kUnreachable, "", 0);
      const std::optional<store_item>& item = ValueOf(got).item;
      answer(store_answer_kind::kValue, item ? item->value : "",
             item ? item->revision : 0);
    });
    return;
  }
  store_write write;
  write.key = message.key;
  write.value = message.value;
  write.expected = message.expected_revision;
  store_->Put(write, deadline, [answer](write_result got) {
    if (const auto* done = std::get_if<write_done>(&got)) {
      answer(store_answer_kind::kWritten, "", done->revision);
    } else if (std::holds_alternative<write_conflict>(got)) {
      answer(store_answer_kind::kConflict, "", 0);
    } else {
      const bool unknown = std::get<error>(got).code == error_code::kUnknown;
      answer(unknown ? store_answer_kind::kUnknown
                     : store_answer_kind::kUnreachable,
             "", 0);
    }
  });
}

void control_task::OnConfigChanged(const fleet_config& config) {
  Perform(membership_->OnOperatorSettings(config.drained_vms, config.gone_vms,
                                          MonotonicNow()));
  shares_->OnVmsDeclaredDead(config.gone_vms);
  PushView();
  // Others pull at once instead of at the next round.
  const monotonic_time now = MonotonicNow();
  SendViewToPeers(OwnView(now), now);
}

void control_task::OnViewTimer() {
  const monotonic_time now = MonotonicNow();
  config_->SetRelay(membership_->IsRelay());
  config_->OnTimer();
  membership_->SetConfig(config_->Revision(), config_->Age());
  SendViewToPeers(OwnView(now), now);
  PushView();
  if (leaving_) ReleaseWhenAlone();
  view_timer_.Arm(now + settings_.view_interval);
}

void control_task::OnMembershipTimer() {
  Perform(membership_->OnTimer(MonotonicNow()));
  ShowMembershipToShares();
}

// A VM that died holds its leased part of every limit until another VM asks
// for it back; without this the fleet's limits would lose a part with each
// death, and one would notice by requests refused inside the rate. A VM that
// only seems dead clears the mark by itself.
void control_task::ShowMembershipToShares() {
  std::set<vm_id> live;
  for (const share_entry& part : shares_->Table().entries) {
    const std::optional<member_state> state = membership_->StateOf(part.vm);
    // One that drains or leaves holds its share until it has ended.
    const bool seems_dead = !state || *state == member_state::kSilent ||
                            *state == member_state::kGone;
    if (!seems_dead) live.insert(part.vm);
  }
  shares_->OnMembership(live);
}

void control_task::PollList() {
  const monotonic_time now = MonotonicNow();
  // The zone's relay asks often, its fellows seldom: they hear of the others by
  // heartbeats, and the platform counts every call.
  const int factor = membership_->IsRelay() ? 1 : kFellowListFactor;
  list_timer_.Arm(now + settings_.list_interval * factor);
  store_->ListVms(now + kListTimeout,
                  [this](result<std::vector<vm_record>> answer) {
                    if (!IsOk(answer)) return;
                    std::vector<listed_vm> list;
                    for (const vm_record& vm : ValueOf(answer)) {
                      list.push_back({vm.vm, vm.zone, vm.region, vm.control,
                                      vm.state == vm_state::kLeaving});
                      config_->SetPeer(vm.vm, vm.control);
                    }
                    Perform(membership_->OnPlatformList(list, MonotonicNow()));
                  });
}

void control_task::Perform(const membership::actions& actions) {
  namespace act = membership_action;
  for (const membership::action& action : actions) {
    if (const auto* beat = std::get_if<act::send_heartbeat>(&action)) {
      context_->Send(beat->control, message_type::kHeartbeat, beat->message);
    } else if (const auto* digest =
                   std::get_if<act::send_zone_digest>(&action)) {
      context_->Send(digest->control, message_type::kZoneDigest,
                     digest->message);
    } else if (const auto* pull = std::get_if<act::send_zone_pull>(&action)) {
      context_->Send(pull->control, message_type::kZonePull, pull->message);
    } else if (const auto* members =
                   std::get_if<act::send_zone_members>(&action)) {
      context_->Send(members->control, message_type::kZoneMembers,
                     members->message);
    } else if (const auto* change = std::get_if<act::member_changed>(&action)) {
      views_->OnMember(change->member.vm, change->state);
    } else if (const auto* revision =
                   std::get_if<act::peer_revision>(&action)) {
      config_->OnPeerRevision(revision->vm, revision->revision, revision->age);
    } else if (const auto* timer = std::get_if<act::arm_timer>(&action)) {
      membership_timer_.Arm(timer->at);
    }
  }
}

// The links from this region are divided among its VMs as the shares are; the
// table of shares is what they agree on, and its parts never add up to more
// than the whole.
share_update control_task::ShareUpdate() const {
  share_update update{shares_->Share(), locals_.EntryLoops(), 0};
  const fleet_config& config = config_->Config();
  double region_ppm = 0;
  for (const share_entry& part : shares_->Table().entries) {
    if (config.RegionOf(part.zone) != settings_.common.region) continue;
    region_ppm += part.floor_ppm + part.leased_ppm;
  }
  const double own_ppm = update.share.floor_ppm + update.share.leased_ppm;
  if (region_ppm > 0) {
    update.link_fraction = std::min(1.0, own_ppm / region_ppm);
  }
  return update;
}

void control_task::SendShare() {
  const share_update update = ShareUpdate();
  for (const endpoint& entry : locals_.EntryPeers()) {
    context_->Send(entry, message_type::kShareUpdate, update);
  }
}

void control_task::PushView() {
  const monotonic_time now = MonotonicNow();
  views_->SetOwn(OwnView(now), now);
  fleet_view update = views_->TakeUpdate();
  update.revision = config_->Revision();
  update.config_age = config_->Age();
  for (const endpoint& daemon : locals_.Peers()) {
    context_->Send(daemon, message_type::kFleetView, update);
  }
}

void control_task::SendViewToPeers(vm_view view, monotonic_time now) {
  pacer_.SetPeers(ViewPeers());
  for (const view_pacer::action& action : pacer_.OnView(PacedView(view), now)) {
    const auto& send = std::get<view_pacer_action::send_view>(action);
    view.interval = send.next_within;
    context_->Send(membership_->Find(send.to)->control, message_type::kVmView,
                   view);
  }
}

std::vector<view_peer> control_task::ViewPeers() const {
  std::vector<view_peer> peers;
  for (const auto& [vm, seen] : views_->Vms()) {
    const member_info* member = membership_->Find(vm);
    if (member == nullptr || member->control.IsEmpty()) continue;
    if (vm == settings_.common.vm) continue;
    view_peer peer;
    peer.vm = vm;
    if (member->region != settings_.common.region) {
      peer.distance = view_distance::kRemoteRegion;
    } else if (member->zone != settings_.common.zone) {
      peer.distance = view_distance::kRegion;
    }
    peer.incarnation = std::max(member->incarnation, seen.view.incarnation);
    peer.silent = seen.state == member_state::kSilent ||
                  seen.state == member_state::kGone;
    peers.push_back(std::move(peer));
  }
  return peers;
}

vm_view control_task::OwnView(monotonic_time now) {
  vm_view view;
  view.vm = settings_.common.vm;
  view.zone = settings_.common.zone;
  view.region = settings_.common.region;
  view.incarnation = peers_->Incarnation();
  view.sequence = ++view_sequence_;
  view.leaving = leaving_;
  view.control = peers_->Address();
  view.status = pages_->Address();
  view.revision = config_->Revision();
  view.config_age = config_->Age();
  locals_.Describe(view, now);
  return view;
}

// While an entry still answers requests its share must stay: a request that
// was let in would else be refused in the middle of a planned stop.
//
// A store that is gone doesn't take the share. A stop that waited for it would
// last as long as the outage, and whoever replaces VMs would kill the process.
// The share then stays in the table, as after a crash: nobody uses it twice,
// and the VM's next process takes it over.
void control_task::ReleaseWhenAlone() {
  const monotonic_time now = MonotonicNow();
  if (!left_ || !locals_.AllGone(now)) return;
  if (!release_deadline_) {
    release_deadline_ = now + kReleaseLimit;
    Log(kLogPart, "leaving: giving the share back");
    // The entry is gone, so that every grant counts as applied.
    shares_->Release([this] {
      if (left_) std::exchange(left_, nullptr)();
    });
    shares_->OnGrantApplied(UINT64_MAX);
    return;
  }
  if (now < *release_deadline_) return;
  Log(kLogPart, "leaving without giving the share back: no word of the store");
  std::exchange(left_, nullptr)();
}

void control_task::OnPage(http_exchange& exchange) {
  const std::string_view path = exchange.Request().Path();
  if (path == "/metrics") {
    UpdateMetrics();
    exchange.Reply({{200, {{"Content-Type", "text/plain; version=0.0.4"}}},
                    stats_.Page()});
  } else if (path == "/status") {
    exchange.Reply(
        {{200, {{"Content-Type", "application/json"}}}, StatusPage()});
  } else {
    exchange.Reply({{404, {}}, "see /status and /metrics\n"});
  }
}

std::string control_task::StatusPage() const {
  const monotonic_time now = MonotonicNow();
  const auto age = [now](monotonic_time since) {
    return since == monotonic_time() ? -1.0 : ToMilliseconds(now - since);
  };
  nlohmann::json page;
  page["vm"] = settings_.common.vm.Str();
  page["zone"] = settings_.common.zone.Str();
  page["region"] = settings_.common.region.Str();
  page["state"] = leaving_ ? "leaving" : "live";
  page["revision"] = config_->Revision();
  // In force: every daemon of the VM has it too.
  page["revision_in_force"] =
      std::min(config_->Revision(), locals_.LowestRevision(now));
  page["config_age_ms"] =
      config_->Age() == duration::max() ? -1 : ToMilliseconds(config_->Age());
  page["store_reachable"] = config_->StoreReachable();
  page["share"] = {{"floor_ppm", shares_->Share().floor_ppm},
                   {"leased_ppm", shares_->Share().leased_ppm}};
  for (const auto& [vm, seen] : views_->Vms()) {
    nlohmann::json member;
    member["vm"] = vm.Str();
    member["zone"] = seen.view.zone.Str();
    if (!seen.view.status.IsEmpty()) {
      member["status"] = seen.view.status.Str();
    }
    member["state"] = StateName(seen.state);
    member["revision"] = seen.view.revision;
    member["heard_ms_ago"] = age(seen.received_at);
    for (const task_address& entry : seen.view.entries) {
      member["entries"].push_back(entry.http.Str());
    }
    for (const auto& [service, load] : LoadsOf(seen.view)) {
      member["services"][service.Str()] = {
          {"slots", load.slots},
          {"usable_slots", load.usable_slots},
          {"in_flight", load.in_flight},
          {"queued", load.queued},
          {"usable_upstreams", load.usable_upstreams},
          {"expected_wait_ms", ToMilliseconds(load.expected_wait)}};
    }
    page["members"].push_back(member);
  }
  return page.dump(1);
}

void control_task::UpdateMetrics() {
  const metric_labels none;
  const duration age = config_->Age();
  stats_.Set("citron_config_revision", none,
             static_cast<double>(config_->Revision()));
  stats_.Set("citron_config_age_seconds", none,
             age == duration::max() ? -1 : ToSeconds(age));
  stats_.Set("citron_store_reachable", none, config_->StoreReachable());
  stats_.Set("citron_share_ppm", {{"part", "floor"}},
             shares_->Share().floor_ppm);
  stats_.Set("citron_share_ppm", {{"part", "leased"}},
             shares_->Share().leased_ppm);
  stats_.Set("citron_peer_messages_sent", none,
             static_cast<double>(peers_->SentMessages()));
  stats_.Set("citron_peer_bytes_sent", none,
             static_cast<double>(peers_->SentBytes()));
  for (const auto& [vm, seen] : views_->Vms()) {
    stats_.Set("citron_view_age_seconds", {{"vm", vm.Str()}},
               ToSeconds(MonotonicNow() - seen.received_at));
  }
}

}  // namespace citron
