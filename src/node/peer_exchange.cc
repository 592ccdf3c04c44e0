#include "citron/node/peer_exchange.h"

#include <event2/event.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <tuple>
#include <utility>

#include "citron/wire/codec.h"
#include "citron/wire/fields.h"
#include "node/socket_address.h"

namespace citron {

auto WireFields(quota_line& line) {
  return std::tie(line.workspace, line.demand_per_s, line.admitted_in_window);
}

auto WireFields(peer_report& report) {
  return std::tie(report.vm, report.incarnation, report.sequence, report.ready,
                  report.quotas);
}

namespace {

constexpr std::size_t kMaxDatagram = std::size_t{60} << 10;
constexpr duration kInterval = std::chrono::milliseconds(400);
// VMs up to which the interval holds.
constexpr int kSmallFleet = 12;
// Reports that may be lost in a row before a VM counts as not heard.
constexpr int kLostReports = 4;

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

duration peer_exchange::Interval() const {
  const int vms = context_.fleet.FleetSize();
  return kInterval * std::max(1, vms / kSmallFleet);
}

void peer_exchange::Tell(bool ready, monotonic_time now) {
  peer_report report{
      context_.settings.vm, incarnation_, ++sequence_, ready, {}};
  for (auto& [workspace, quota] : context_.fleet.Quotas()) {
    const quota_report told = quota.Report(now);
    report.quotas.push_back(
        {workspace, told.demand_per_s, told.admitted_in_window});
  }
  const std::string bytes = EncodeWire(report);
  for (const auto& [vm, listing] : context_.fleet.Vms()) {
    if (vm == context_.settings.vm) continue;
    const sockaddr_in to = SocketAddress(listing.peer);
    // One that can't be sent is a lost one; the next follows.
    sendto(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }
}

void peer_exchange::OnReadable() {
  static std::array<char, kMaxDatagram> buffer;
  const monotonic_time now = MonotonicNow();
  while (true) {
    const ssize_t got = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (got <= 0) return;
    const result<peer_report> report =
        DecodeWire<peer_report>({buffer.data(), static_cast<std::size_t>(got)});
    if (IsOk(report)) {
      OnReport(ValueOf(report), now);
    } else {
      context_.log.Write("peers", "unreadable",
                         {{"problem", ErrorOf(report).message}}, now);
    }
  }
}

void peer_exchange::OnReport(const peer_report& report, monotonic_time now) {
  peer_state& peer = peers_[report.vm];
  if (std::tie(report.incarnation, report.sequence) <=
      std::tie(peer.incarnation, peer.sequence)) {
    return;
  }
  peer = {report.incarnation, report.sequence, report.ready, now};
  for (const quota_line& line : report.quotas) {
    workspace_quota* quota = context_.fleet.QuotaOf(line.workspace);
    if (quota == nullptr) continue;
    quota->OnReport(report.vm, {line.demand_per_s, line.admitted_in_window},
                    now);
  }
}

bool peer_exchange::IsHeard(const vm_id& vm, monotonic_time now) const {
  const auto peer = peers_.find(vm);
  return peer != peers_.end() &&
         now - peer->second.heard_at < Interval() * kLostReports;
}

bool peer_exchange::IsReady(const vm_id& vm) const {
  const auto peer = peers_.find(vm);
  return peer == peers_.end() || peer->second.ready;
}

}  // namespace citron
