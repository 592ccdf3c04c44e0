#include "citron/config/routing_config.h"

#include <algorithm>

namespace citron {

void routing_config::Index() {
  routes_by_host_.clear();
  workspaces_by_key_.clear();
  for (std::size_t i = 0; i < routes.size(); ++i) {
    routes_by_host_[routes[i].host].push_back(i);
  }
  const auto longer = [this](std::size_t a, std::size_t b) {
    return routes[a].path_prefix.size() > routes[b].path_prefix.size();
  };
  for (auto& [host, of_host] : routes_by_host_) {
    std::stable_sort(of_host.begin(), of_host.end(), longer);
  }
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    for (const std::string& key : workspaces[i].keys) {
      workspaces_by_key_[key] = i;
    }
  }
}

const route_config* routing_config::MatchRoute(std::string_view host,
                                               std::string_view path) const {
  const auto found = routes_by_host_.find(std::string(host));
  if (found == routes_by_host_.end()) return nullptr;
  for (const std::size_t index : found->second) {
    if (path.starts_with(routes[index].path_prefix)) return &routes[index];
  }
  return nullptr;
}

const workspace_terms* routing_config::FindWorkspace(
    const std::string& key) const {
  const auto found = workspaces_by_key_.find(key);
  if (found == workspaces_by_key_.end()) return nullptr;
  return &workspaces[found->second];
}

const service_terms* routing_config::FindService(const service_id& id) const {
  const auto found = services.find(id);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace citron
