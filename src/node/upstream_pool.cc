#include "citron/node/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace citron {

namespace {

// What an idle connection must have left to be kept at all.
constexpr duration kLeastLeft = std::chrono::milliseconds(500);

}  // namespace

upstream_pool::upstream_pool(event_loop& loop, std::string id_header)
    : loop_(loop), id_header_(std::move(id_header)) {}

std::unique_ptr<upstream_connection> upstream_pool::Take(
    const upstream_id& upstream, const endpoint& address,
    duration connect_limit, duration margin, monotonic_time now) {
  idle_list& idle = idle_[upstream];
  // The one that was used last has the longest left.
  while (!idle.empty()) {
    std::unique_ptr<upstream_connection> connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsReusable(margin, now)) return connection;
    CloseLater(std::move(connection));
  }
  return std::make_unique<upstream_connection>(
      loop_, address, connect_limit, id_header_,
      [this, upstream](upstream_connection& ended) {
        OnIdleEnd(upstream, ended);
      });
}

void upstream_pool::Give(const upstream_id& upstream,
                         std::unique_ptr<upstream_connection> connection,
                         monotonic_time now) {
  if (!connection->IsReusable(kLeastLeft, now)) {
    return CloseLater(std::move(connection));
  }
  idle_[upstream].push_back(std::move(connection));
}

void upstream_pool::Sweep(
    const std::function<bool(const upstream_id&)>& is_known,
    monotonic_time now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    const bool known = is_known(it->first);
    for (auto& connection : it->second) {
      if (known && connection->IsReusable(kLeastLeft, now)) continue;
      CloseLater(std::move(connection));
    }
    std::erase(it->second, nullptr);
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

int upstream_pool::IdleConnections() const {
  int count = 0;
  for (const auto& [upstream, idle] : idle_) {
    count += static_cast<int>(idle.size());
  }
  return count;
}

void upstream_pool::OnIdleEnd(const upstream_id& upstream,
                              upstream_connection& connection) {
  idle_list& idle = idle_[upstream];
  const auto found =
      std::find_if(idle.begin(), idle.end(),
                   [&](const auto& held) { return held.get() == &connection; });
  if (found == idle.end()) return;
  CloseLater(std::move(*found));
  idle.erase(found);
}

void upstream_pool::CloseLater(
    std::unique_ptr<upstream_connection> connection) {
  const std::shared_ptr<upstream_connection> held = std::move(connection);
  loop_.Defer([held] {});
}

}  // namespace citron
