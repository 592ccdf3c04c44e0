#include "citron/entry/client_directory.h"

#include <utility>

namespace citron {

namespace {

// Blocks in one turn of the loop: about a millisecond, the time of a few dozen
// requests.
constexpr std::size_t kBlocksInATurn = 1500;

}  // namespace

client_directory::client_directory(event_loop& loop, const fleet_config& config,
                                   const vm_ranker_options& options)
    : config_(config),
      ranker_(options),
      clients_(client_routes().Build()),
      timer_(loop, [this] { Continue(); }) {}

// A change in the middle of the work begins it anew; changes come some times a
// minute at most, and the work takes a tenth of a second.
void client_directory::OnConfig() {
  if (config_.client_version == next_version_) return;
  next_version_ = config_.client_version;
  routes_.clear();
  last_read_.clear();
  builder_.reset();
  timer_.Arm(MonotonicNow());
}

void client_directory::Continue() {
  if (!builder_) {
    auto next = config_.client_blocks.upper_bound(last_read_);
    for (std::size_t i = 0; i < kBlocksInATurn; ++i, ++next) {
      if (next == config_.client_blocks.end()) break;
      const auto& [text, site] = *next;
      const std::optional<client_block> block = ParseClientBlock(text);
      if (block) routes_[*block] = client_site{site.region, site.zone};
      last_read_ = text;
    }
    if (next == config_.client_blocks.end()) {
      builder_.emplace(std::exchange(routes_, {}));
    }
  } else if (auto table = builder_->Step(kBlocksInATurn)) {
    clients_ = std::move(table);
    version_ = next_version_;
    builder_.reset();
    return;
  }
  timer_.Arm(MonotonicNow());
}

void client_directory::OnVms(const std::map<vm_id, vm_seen>& vms) {
  for (const auto& [vm, seen] : vms) {
    const vm_view& view = seen.view;
    const bool is_usable =
        seen.state == member_state::kLive && !view.entries.empty();
    if (!is_usable) {
      ranker_.Remove(vm);
      continue;
    }
    ranker_.Set({vm, view.zone, view.region, view.entries.front().http, 1,
                 view.leaving});
  }
}

}  // namespace citron
