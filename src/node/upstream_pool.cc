#include "citron/node/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace citron {

namespace {

// What an idle connection must have left to be kept at all.
constexpr duration kLeastLeft = std::chrono::milliseconds(500);

}  // namespace

upstream_pool::upstream_pool(event_loop& loop, std::string id_header,
                             connect_listener& listener,
                             const upstream_pool_options& options)
    : loop_(loop),
      id_header_(std::move(id_header)),
      listener_(listener),
      options_(options) {}

std::unique_ptr<upstream_connection> upstream_pool::Take(
    const upstream_id& upstream, const connection_path& path,
    duration connect_limit, duration margin, monotonic_time now) {
  upstream_state& state = upstreams_[upstream];
  const bool steady = now - state.taken_at < options_.steady_use;
  state.taken_at = now;
  std::unique_ptr<upstream_connection> taken =
      TakeUnused(state, path, margin, now);
  if (!path.can_open) return taken;
  if (taken == nullptr) taken = Open(upstream, path, connect_limit);
  const bool is_far = state.connect_time >= options_.slow_handshake;
  if (state.unused.empty() && is_far && steady) {
    state.unused.push_back(Open(upstream, path, connect_limit));
  }
  return taken;
}

// The idle one that was used first, so that all are used before the upstream
// closes them; else one that is being opened. Null if there is neither.
std::unique_ptr<upstream_connection> upstream_pool::TakeUnused(
    upstream_state& state, const connection_path& path, duration margin,
    monotonic_time now) {
  auto& unused = state.unused;
  for (auto& connection : unused) {
    if (connection->IsConnecting() || connection->IsReusable(margin, now)) {
      continue;
    }
    CloseLater(std::move(connection));
  }
  std::erase(unused, nullptr);
  const auto is_open = [&](const auto& held) {
    const bool is_kept = path.may_use_kept && !held->IsRelayed();
    return !held->IsConnecting() &&
           (is_kept || held->Path().relay == path.relay);
  };
  auto taken = std::find_if(unused.begin(), unused.end(), is_open);
  if (taken == unused.end() && path.can_open) {
    taken = std::find_if(unused.begin(), unused.end(), [&](const auto& held) {
      return held->Path().relay == path.relay;
    });
  }
  if (taken == unused.end()) return nullptr;
  std::unique_ptr<upstream_connection> connection = std::move(*taken);
  unused.erase(taken);
  return connection;
}

std::unique_ptr<upstream_connection> upstream_pool::Open(
    const upstream_id& upstream, const connection_path& path,
    duration connect_limit) {
  upstream_connection_owner& owner = *this;
  return std::make_unique<upstream_connection>(
      loop_, upstream, path, connect_limit, id_header_, owner);
}

void upstream_pool::Give(const upstream_id& upstream,
                         std::unique_ptr<upstream_connection> connection,
                         monotonic_time now) {
  upstream_state& state = upstreams_[upstream];
  state.connect_time = connection->ConnectTime();
  if (!connection->IsReusable(kLeastLeft, now)) {
    return CloseLater(std::move(connection));
  }
  state.unused.push_back(std::move(connection));
}

void upstream_pool::Probe(const upstream_id& upstream,
                          const connection_path& path, duration connect_limit) {
  upstream_state& state = upstreams_[upstream];
  if (state.probe != nullptr) return;
  state.probe = Open(upstream, path, connect_limit);
}

void upstream_pool::CloseIdle(const vm_id& relay) {
  for (auto& [upstream, state] : upstreams_) {
    for (auto& connection : state.unused) {
      if (connection->Path().relay == relay) CloseLater(std::move(connection));
    }
    std::erase(state.unused, nullptr);
  }
}

void upstream_pool::Sweep(
    const std::function<bool(const upstream_id&)>& is_of_use,
    monotonic_time now) {
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    const bool wanted = is_of_use(it->first);
    auto& unused = it->second.unused;
    for (auto& connection : unused) {
      const bool is_usable =
          connection->IsConnecting() || connection->IsReusable(kLeastLeft, now);
      if (wanted && is_usable) continue;
      CloseLater(std::move(connection));
    }
    std::erase(unused, nullptr);
    it = wanted ? std::next(it) : upstreams_.erase(it);
  }
}

int upstream_pool::IdleConnections() const {
  int count = 0;
  for (const auto& [upstream, state] : upstreams_) {
    count += static_cast<int>(state.unused.size());
  }
  return count;
}

void upstream_pool::OnConnectEnd(const upstream_connection& connection,
                                 connect_result result) {
  upstream_state& state = upstreams_[connection.Upstream()];
  const bool is_open_probe =
      result == connect_result::kConnected && state.probe.get() == &connection;
  if (is_open_probe) state.unused.push_back(std::move(state.probe));
  listener_.OnConnectEnd(connection, result);
}

void upstream_pool::OnIdleEnd(upstream_connection& connection) {
  upstream_state& state = upstreams_[connection.Upstream()];
  if (state.probe.get() == &connection) CloseLater(std::move(state.probe));
  auto& unused = state.unused;
  const auto found =
      std::find_if(unused.begin(), unused.end(),
                   [&](const auto& held) { return held.get() == &connection; });
  if (found == unused.end()) return;
  CloseLater(std::move(*found));
  unused.erase(found);
}

void upstream_pool::CloseLater(
    std::unique_ptr<upstream_connection> connection) {
  const std::shared_ptr<upstream_connection> held = std::move(connection);
  loop_.Defer([held] {});
}

}  // namespace citron
