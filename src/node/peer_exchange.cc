#include "citron/node/peer_exchange.h"

#include <event2/event.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <tuple>
#include <utility>

#include "citron/node/answer_signals.h"
#include "citron/node/peer_datagram.h"
#include "citron/wire/codec.h"
#include "citron/wire/fields.h"
#include "node/socket_address.h"

namespace citron {

namespace {

constexpr std::size_t kMaxDatagram = std::size_t{60} << 10;
constexpr duration kInterval = std::chrono::milliseconds(400);
// VMs up to which the interval holds: with more it grows as their number, so
// that the bytes that each VM sends stay the same.
constexpr int kSmallFleet = 12;
// What a report is older by than the interval: a region's distance, a tick at
// either end, and a part of an interval where one is lost now and then.
constexpr duration kWayAndTick = std::chrono::milliseconds(300);
// Requests a second below which a workspace counts as asking nothing.
constexpr double kLeastDemand = 0.05;
// Reports that tell that the VM reaches upstreams again; some may be lost.
constexpr int kReachReports = 4;
// Reports that may be lost in a row before a VM counts as not heard.
constexpr int kLostReports = 4;
// VMs that have reported and are not listed, at the most: a whole fleet may
// start before its records are read.
constexpr std::size_t kMaxUnlistedPeers = 1024;
// Requests since the last report from which on a VM tells at once that callers
// come to it. Fewer come to any VM now and then, and each word goes to all.
constexpr int kRequestsOfAServingVm = 5;
// Placements in one datagram, which fits one packet.
constexpr std::size_t kMaxPlacements = 48;
// Between reports of loads within a region: less than a warm request takes.
constexpr duration kRegionInterval = std::chrono::milliseconds(100);
// Readers up to which that interval holds; with more it grows as their number.
constexpr int kSmallRegion = 4;

duration IntervalFor(int vms) {
  return kInterval * std::max(kSmallFleet, vms) / kSmallFleet;
}

duration RegionIntervalFor(int readers) {
  const duration interval =
      kRegionInterval * std::max(kSmallRegion, readers) / kSmallRegion;
  return std::min(interval, kInterval);
}

bool IsRate(double per_s) { return std::isfinite(per_s) && per_s >= 0; }

// Datagrams may be repeated and overtake each other.
template <typename report, typename state>
bool IsNewer(const report& received, const state& last) {
  return std::tie(received.incarnation, received.sequence) >
         std::tie(last.incarnation, last.sequence);
}

std::uint32_t RoundedUp(double value) {
  return static_cast<std::uint32_t>(std::ceil(std::max(0.0, value)));
}

std::vector<load_line> LoadLines(const std::map<upstream_id, int>& loads) {
  std::vector<load_line> lines;
  lines.reserve(loads.size());
  for (const auto& [upstream, requests] : loads) {
    lines.push_back({upstream, static_cast<std::uint32_t>(requests)});
  }
  return lines;
}

quota_contact ContactOf(const peer_report& report, monotonic_time now) {
  monotonic_time has_heard{std::chrono::nanoseconds(report.has_heard)};
  // A time to come is one of a clock that started anew since.
  if (has_heard > now) has_heard = {};
  return {has_heard, now + std::chrono::milliseconds(report.tells_again_ms)};
}

}  // namespace

result<std::unique_ptr<peer_exchange>> peer_exchange::Make(
    node_context& context) {
  const int descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return MakeError(error_code::kUnavailable,
                     fmt::format("datagram socket: {}", std::strerror(errno)));
  }
  const sockaddr_in address = SocketAddress(context.settings.peer);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    const std::string problem = std::strerror(errno);
    close(descriptor);
    return MakeError(error_code::kUnavailable,
                     fmt::format("can't listen on {}: {}",
                                 context.settings.peer.Str(), problem));
  }
  return std::unique_ptr<peer_exchange>(new peer_exchange(context, descriptor));
}

peer_exchange::peer_exchange(node_context& context, int descriptor)
    : context_(context),
      descriptor_(descriptor),
      incarnation_(static_cast<std::uint64_t>(
          std::chrono::system_clock::now().time_since_epoch().count())) {
  readable_ = event_new(
      context.loop.Base(), descriptor, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        static_cast<peer_exchange*>(self)->OnReadable();
      },
      this);
  event_add(readable_, nullptr);
}

peer_exchange::~peer_exchange() {
  event_free(readable_);
  close(descriptor_);
}

void peer_exchange::Run(const vm_condition& own, monotonic_time now) {
  TellReach(own.reaches_upstreams, now);
  TellRateLimits(now);
  TellRelayedSignals(now);
  const bool for_all = now >= tell_all_at_;
  const bool for_serving = now >= tell_serving_at_;
  const bool begins_to_serve =
      requests_since_report_ >= kRequestsOfAServingVm && !told_serving_;
  const bool changed = own.ready != told_ready_ ||
                       own.near_capacity != told_near_capacity_ ||
                       begins_to_serve;
  if (!for_all && !for_serving && !changed) return;
  requests_since_report_ = 0;
  LogSilence(now);
  ForgetGonePeers(now);
  UpdateReaders();
  const peer_report report = MakeReport(own, now);
  const bool serves = !report.quotas.empty();
  // Whoever hears late that callers come here would share a contract wrongly,
  // or go on sending them to a VM that turns them away or answers late.
  const bool urgent = changed || serves != told_serving_;
  told_ready_ = own.ready;
  told_near_capacity_ = own.near_capacity;
  told_serving_ = serves;
  const duration serving_interval = IntervalFor(ServingPeers());
  tell_serving_at_ = now + serving_interval;
  Send(report, true, serving_interval);
  if (!for_all && !urgent) return;
  const duration interval = IntervalFor(context_.fleet.FleetSize());
  tell_all_at_ = now + interval;
  Send(report, false, interval);
}

peer_report peer_exchange::MakeReport(const vm_condition& own,
                                      monotonic_time now) {
  peer_report report;
  report.vm = context_.settings.vm;
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  report.told_at = now.time_since_epoch().count();
  report.ready = own.ready;
  report.near_capacity = own.near_capacity;
  const duration view_lag = IntervalFor(ServingPeers()) + kWayAndTick;
  context_.fleet.Contacts().SetSilenceLimit(SilenceLimit());
  context_.fleet.Contacts().RemoveGone(now);
  for (auto& [workspace, quota] : context_.fleet.Quotas()) {
    quota.SetMaxReportAge(view_lag);
    const quota_report told = quota.Report(now);
    const quota_line line{workspace, RoundedUp(10 * told.demand_per_s),
                          RoundedUp(told.admitted_in_window)};
    const bool asked = told.demand_per_s >= kLeastDemand;
    if (asked || line.admitted_in_window > 0) report.quotas.push_back(line);
  }
  for (const auto& [vm, address] : readers_) {
    if (!context_.fleet.Vms().contains(vm)) report.heard_unlisted.push_back(vm);
  }
  report.loads = LoadLines(context_.fleet.TakeHeardLoads());
  return report;
}

void peer_exchange::LogSilence(monotonic_time now) {
  for (auto& [vm, peer] : peers_) {
    const bool silent = !IsHeard(vm, now);
    if (silent == peer.silent) continue;
    peer.silent = silent;
    context_.log.Write("peers", silent ? "silent" : "heard",
                       {{"vm", vm.Str()},
                        {"last_heard_ms", ToMilliseconds(now - peer.heard_at)},
                        {"listed", context_.fleet.Vms().contains(vm)}},
                       now);
  }
}

void peer_exchange::ForgetGonePeers(monotonic_time now) {
  const auto is_gone = [&](const auto& entry) {
    return !context_.fleet.Vms().contains(entry.first) &&
           !IsHeard(entry.first, now);
  };
  std::erase_if(reach_reports_, is_gone);
  std::erase_if(rate_limit_reports_, is_gone);
  std::erase_if(readers_, is_gone);
  std::erase_if(peers_, is_gone);
}

bool peer_exchange::Serves(const vm_id& vm) const {
  const auto peer = peers_.find(vm);
  return peer != peers_.end() && peer->second.serves;
}

int peer_exchange::ServingPeers() const {
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& peer) { return peer.second.serves; }));
}

// A VM whose record has lapsed may have lost only the store. As long as it is
// heard it lets requests in, and has to know what the others let in.
void peer_exchange::UpdateReaders() {
  if (readers_version_ == context_.fleet.VmsVersion()) return;
  readers_version_ = context_.fleet.VmsVersion();
  for (const auto& [vm, listing] : context_.fleet.Vms()) {
    if (vm != context_.settings.vm) readers_[vm] = listing.peer;
  }
}

void peer_exchange::Send(const peer_report& report, bool to_serving,
                         duration interval) {
  peer_report told = report;
  told.tells_again_ms = RoundedUp(ToMilliseconds(interval));
  for (const auto& [vm, address] : readers_) {
    if (Serves(vm) != to_serving) continue;
    const auto peer = peers_.find(vm);
    told.has_heard = peer == peers_.end() ? 0 : peer->second.told_at;
    // Its loads come more often by another report.
    const bool told_by_region =
        peer != peers_.end() && peer->second.tells_region && IsInRegion(vm);
    told.loads =
        to_serving && !told_by_region ? report.loads : std::vector<load_line>();
    SendTo(address, EncodeWire(told));
  }
}

template <typename report>
void peer_exchange::SendToAll(const report& told) {
  UpdateReaders();
  const std::string bytes = EncodeWire(told);
  for (const auto& [vm, address] : readers_) SendTo(address, bytes);
}

void peer_exchange::TellCrashes(monotonic_time now) {
  if (!context_.crashes.HasNews()) return;
  UpdateReaders();
  const auto readers = static_cast<int>(readers_.size());
  if (!crash_budget_.TryTake(readers, now)) return;
  const crash_report report{context_.settings.vm,
                            context_.crashes.TakeNews(now)};
  SendToAll(report);
}

bool peer_exchange::IsInRegion(const vm_id& vm) const {
  const auto listing = context_.fleet.Vms().find(vm);
  return listing != context_.fleet.Vms().end() &&
         listing->second.region == context_.settings.region;
}

std::vector<endpoint> peer_exchange::ServingInRegion() const {
  std::vector<endpoint> addresses;
  for (const auto& [vm, address] : readers_) {
    if (Serves(vm) && IsInRegion(vm)) addresses.push_back(address);
  }
  return addresses;
}

void peer_exchange::TellRegion(monotonic_time now) {
  region_report report{context_.settings.vm, {}, {}};
  if (now >= tell_region_loads_at_) {
    report.loads = LoadLines(context_.fleet.TakeRegionLoads());
  }
  if (report.loads.empty() && context_.placements.IsEmpty()) return;
  UpdateReaders();
  const std::vector<endpoint> readers = ServingInRegion();
  const auto count = static_cast<int>(readers.size());
  if (!report.loads.empty()) {
    tell_region_loads_at_ = now + RegionIntervalFor(count);
  }
  while (!context_.placements.IsEmpty() || !report.loads.empty()) {
    if (!placement_budget_.TryTake(count, now)) return;
    report.placements = context_.placements.Take(kMaxPlacements);
    const std::string bytes = EncodeWire(report);
    for (const endpoint& address : readers) SendTo(address, bytes);
    report.loads.clear();
  }
}

void peer_exchange::TellOwnPlacements(const vm_id& vm) {
  const auto reader = readers_.find(vm);
  if (reader == readers_.end() || !IsInRegion(vm)) return;
  const std::vector<placement_line> lines = context_.fleet.OwnPlacements();
  for (std::size_t i = 0; i < lines.size(); i += kMaxPlacements) {
    const auto begin = lines.begin() + static_cast<std::ptrdiff_t>(i);
    const auto end = lines.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         i + kMaxPlacements, lines.size()));
    SendTo(reader->second,
           EncodeWire(region_report{context_.settings.vm, {begin, end}, {}}));
  }
}

void peer_exchange::TellReach(bool reaches_upstreams, monotonic_time now) {
  const bool changed = reaches_upstreams != told_reaching_;
  if (changed) reach_reports_left_ = kReachReports;
  told_reaching_ = reaches_upstreams;
  const bool has_news = !reaches_upstreams || reach_reports_left_ > 0;
  if (!has_news || (!changed && now < tell_reach_at_)) return;
  if (reach_reports_left_ > 0) --reach_reports_left_;
  tell_reach_at_ = now + IntervalFor(context_.fleet.FleetSize());
  SendToAll(reach_report{context_.settings.vm, incarnation_, ++sequence_,
                         reaches_upstreams});
}

void peer_exchange::TellRateLimits(monotonic_time now) {
  const bool is_news = context_.fleet.TakeRateLimitNews();
  if (!is_news && now < tell_rate_limits_at_) return;
  tell_rate_limits_at_ = now + IntervalFor(context_.fleet.FleetSize());
  const rate_limit_report report{context_.settings.vm, incarnation_,
                                 sequence_ + 1,
                                 context_.fleet.RateLimitLines(now)};
  if (report.lines.empty()) return;
  ++sequence_;
  SendToAll(report);
}

void peer_exchange::TellRelayedSignals(monotonic_time now) {
  for (const upstream_signal& signal : context_.relayed.TakeDue(now)) {
    const double left_ms = ToMilliseconds(signal.paused_until - now);
    SendToAll(upstream_signal_report{context_.settings.vm, signal.asked,
                                     signal.upstream, signal.born_ms,
                                     RoundedUp(left_ms), signal.is_leaving});
  }
}

// One that can't be sent is a lost one; the next follows.
void peer_exchange::SendTo(const endpoint& address, const std::string& bytes) {
  const sockaddr_in to = SocketAddress(address);
  sendto(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void peer_exchange::OnReadable() {
  static std::array<char, kMaxDatagram> buffer;
  const monotonic_time now = MonotonicNow();
  while (true) {
    sockaddr_in source{};
    socklen_t size = sizeof(source);
    const ssize_t got = recvfrom(descriptor_, buffer.data(), buffer.size(), 0,
                                 reinterpret_cast<sockaddr*>(&source), &size);
    if (got <= 0) return;
    OnDatagram({buffer.data(), static_cast<std::size_t>(got)}, source, now);
  }
}

bool peer_exchange::IsFrom(const vm_id& vm, const sockaddr_in& source) {
  UpdateReaders();
  const auto reader = readers_.find(vm);
  if (reader == readers_.end()) return false;
  const sockaddr_in listed = SocketAddress(reader->second);
  return listed.sin_addr.s_addr == source.sin_addr.s_addr &&
         listed.sin_port == source.sin_port;
}

bool peer_exchange::IsListedSender(const vm_id& vm, const sockaddr_in& source,
                                   const char* refused_event,
                                   monotonic_time now) {
  if (IsFrom(vm, source)) return true;
  context_.log.Write("peers", refused_event, {{"vm", vm.Str()}}, now);
  return false;
}

void peer_exchange::OnDatagram(std::string_view bytes,
                               const sockaddr_in& source, monotonic_time now) {
  result<peer_datagram> read = ReadPeerDatagram(bytes);
  if (!IsOk(read)) {
    context_.log.Write("peers", "unreadable",
                       {{"problem", ErrorOf(read).message}}, now);
    return;
  }
  std::visit([&](const auto& report) { OnReport(report, source, now); },
             ValueOf(read));
}

// A stranger could get requests refused with it.
void peer_exchange::OnReport(const crash_report& report,
                             const sockaddr_in& source, monotonic_time now) {
  if (!IsListedSender(report.vm, source, "crash_report_refused", now)) return;
  context_.crashes.OnTold(report, now);
}

// A stranger could send all objects to one upstream with it.
void peer_exchange::OnReport(const region_report& report,
                             const sockaddr_in& source, monotonic_time now) {
  if (!IsListedSender(report.vm, source, "region_report_refused", now)) return;
  const auto peer = peers_.find(report.vm);
  if (peer != peers_.end()) peer->second.tells_region = true;
  for (const placement_line& line : report.placements) {
    context_.fleet.OnPlacedByPeer(line, now);
  }
  OnLoads(report.loads, now);
}

void peer_exchange::OnLoads(const std::vector<load_line>& loads,
                            monotonic_time now) {
  for (const load_line& line : loads) {
    upstream_tracker* upstream = context_.fleet.FindUpstream(line.upstream);
    if (upstream == nullptr) continue;
    upstream->OnPeerLoadReport(static_cast<int>(line.requests), now);
  }
}

// A VM may report before its record is read here. A stranger could starve a
// workspace with reports in a listed VM's name, or fill the memory with others.
bool peer_exchange::AcceptsReport(const vm_id& vm, const sockaddr_in& source) {
  UpdateReaders();
  if (readers_.contains(vm)) return IsFrom(vm, source);
  return peers_.contains(vm) ||
         peers_.size() < readers_.size() + kMaxUnlistedPeers;
}

void peer_exchange::OnReport(const peer_report& report,
                             const sockaddr_in& source, monotonic_time now) {
  if (!AcceptsReport(report.vm, source)) {
    context_.log.Write("peers", "report_refused", {{"vm", report.vm.Str()}},
                       now);
    return;
  }
  peer_state& peer = peers_[report.vm];
  if (!IsNewer(report, peer)) return;
  const bool serves = !report.quotas.empty();
  const bool restarted = report.incarnation != peer.incarnation;
  const bool begins_to_serve = serves && (!peer.serves || restarted);
  peer = {report.incarnation,
          report.sequence,
          report.ready,
          report.near_capacity,
          serves,
          report.told_at,
          now,
          peer.silent,
          !restarted && peer.tells_region};
  if (begins_to_serve) TellOwnPlacements(report.vm);
  std::map<workspace_id, quota_report> told;
  for (const quota_line& line : report.quotas) {
    told[line.workspace] = {line.demand_tenths_per_s / 10.0,
                            static_cast<double>(line.admitted_in_window)};
  }
  report_contacts& contacts = context_.fleet.Contacts();
  const contact_id from =
      contacts.OnReport(report.vm, ContactOf(report, now), now);
  // Its record may be on the way; without one it is forgotten.
  if (!context_.fleet.Vms().contains(report.vm)) {
    contacts.OnVmUnlisted(report.vm, now);
  }
  for (const vm_id& vm : report.heard_unlisted) {
    contacts.OnReportReceivedElsewhere(vm, now);
  }
  // What isn't told of was asked nothing.
  for (auto& [workspace, quota] : context_.fleet.Quotas()) {
    const auto line = told.find(workspace);
    quota.OnReport(from, line == told.end() ? quota_report{} : line->second,
                   now);
  }
  OnLoads(report.loads, now);
}

// A stranger could keep callers away from a VM with it.
void peer_exchange::OnReport(const reach_report& report,
                             const sockaddr_in& source, monotonic_time now) {
  if (!IsListedSender(report.vm, source, "reach_report_refused", now)) return;
  reach_report& last = reach_reports_[report.vm];
  if (!IsNewer(report, last)) return;
  if (last.reaches_upstreams != report.reaches_upstreams) {
    context_.log.Write("peers", "reach_changed",
                       {{"vm", report.vm.Str()},
                        {"reaches_upstreams", report.reaches_upstreams}},
                       now);
  }
  last = report;
}

// A stranger could starve an upstream with it.
void peer_exchange::OnReport(const rate_limit_report& report,
                             const sockaddr_in& source, monotonic_time now) {
  if (!IsListedSender(report.vm, source, "rate_limit_report_refused", now))
    return;
  rate_limit_report& last = rate_limit_reports_[report.vm];
  if (!IsNewer(report, last)) return;
  last = report;
  for (const rate_limit_line& line : report.lines) {
    if (!IsRate(line.per_s) || !IsRate(line.demand_per_s)) continue;
    rate_limit_observation seen;
    if (line.is_limited) seen.per_s = line.per_s;
    seen.told_by = report.vm;
    seen.observed_at = now - std::chrono::milliseconds(line.age_ms);
    if (context_.fleet.OnRateLimit(line.upstream, seen, now)) {
      context_.stats.Count("citron_upstream_rate_limit_changes_total",
                           {{"from", "vm"}});
    }
    context_.fleet.OnPeerDemand(line.upstream, report.vm, line.demand_per_s,
                                now);
  }
}

// A stranger could keep requests from an upstream with it.
void peer_exchange::OnReport(const upstream_signal_report& report,
                             const sockaddr_in& source, monotonic_time now) {
  if (!IsListedSender(report.vm, source, "upstream_signal_refused", now))
    return;
  // It also binds a VM that may send through the one that was asked.
  const bool is_asked = report.asked == context_.settings.vm;
  if (!is_asked && context_.paths.IsReachable()) return;
  const duration pause = std::min<duration>(
      std::chrono::milliseconds(report.pause_ms), kLongestPause);
  context_.fleet.OnToldSignal({report.upstream, report.born_ms}, report.vm,
                              now + pause, report.is_leaving, now);
}

duration peer_exchange::SilenceLimit() const {
  return IntervalFor(context_.fleet.FleetSize()) * kLostReports;
}

bool peer_exchange::IsHeard(const vm_id& vm, monotonic_time now) const {
  const auto peer = peers_.find(vm);
  return peer != peers_.end() && now - peer->second.heard_at < SilenceLimit();
}

bool peer_exchange::IsReady(const vm_id& vm) const {
  const auto peer = peers_.find(vm);
  return peer == peers_.end() || peer->second.ready;
}

// What an earlier start of it said counts no more.
bool peer_exchange::ReachesUpstreams(const vm_id& vm) const {
  const auto report = reach_reports_.find(vm);
  if (report == reach_reports_.end()) return true;
  const auto peer = peers_.find(vm);
  const bool has_restarted =
      peer != peers_.end() &&
      peer->second.incarnation > report->second.incarnation;
  return has_restarted || report->second.reaches_upstreams;
}

bool peer_exchange::IsNearCapacity(const vm_id& vm) const {
  const auto peer = peers_.find(vm);
  return peer != peers_.end() && peer->second.near_capacity;
}

}  // namespace citron
