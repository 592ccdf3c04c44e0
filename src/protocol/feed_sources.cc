#include "citron/protocol/feed_sources.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "citron/base/digest.h"

namespace citron {

namespace {

// Orders VMs with wide links first, since a VM that others read from sends each
// change many times. VMs with equal links are ordered by hash, so that the load
// doesn't always fall on the first VM by name.
bool ComesBefore(const feed_member& a, const feed_member& b) {
  const auto rank = [](const feed_member& m) {
    return std::tuple(-m.link_mbps, HashBytes(m.vm.Str()), m.vm);
  };
  return rank(a) < rank(b);
}

// Returns the first `max_count` near VMs that come before `self`.
std::vector<feed_member> FirstVmsBefore(
    const feed_member& self, const std::vector<feed_member>& all,
    std::size_t max_count,
    const std::function<bool(const feed_member&)>& is_near) {
  std::vector<feed_member> before;
  std::copy_if(
      all.begin(), all.end(), std::back_inserter(before),
      [&](const feed_member& m) { return is_near(m) && ComesBefore(m, self); });
  std::sort(before.begin(), before.end(), ComesBefore);
  if (before.size() > max_count) before.resize(max_count);
  return before;
}

// Number of a region's first VMs in each plan. The second VM is the fallback if
// the first one fails.
constexpr std::size_t kRegionSources = 2;

}  // namespace

std::vector<vm_id> PlanFeedSources(const feed_member& self,
                                   const std::vector<feed_member>& all) {
  std::vector<vm_id> plan;
  const auto add = [&plan](const std::vector<feed_member>& members) {
    for (const feed_member& m : members) {
      if (std::find(plan.begin(), plan.end(), m.vm) == plan.end()) {
        plan.push_back(m.vm);
      }
    }
  };
  add(FirstVmsBefore(self, all, 1, [&self](const feed_member& m) {
    return m.zone == self.zone;
  }));
  add(FirstVmsBefore(self, all, kRegionSources, [&self](const feed_member& m) {
    return m.region == self.region;
  }));
  return plan;
}

feed_sources::feed_sources(const feed_source_options& options)
    : options_(options) {}

void feed_sources::SetPlan(std::vector<vm_id> plan) {
  plan_ = std::move(plan);
  std::erase_if(failures_, [this](const auto& entry) {
    return std::find(plan_.begin(), plan_.end(), entry.first) == plan_.end();
  });
}

std::optional<vm_id> feed_sources::Next(monotonic_time now) const {
  for (const vm_id& vm : plan_) {
    const auto failed = failures_.find(vm);
    if (failed == failures_.end() || now >= failed->second.backoff_until) {
      return vm;
    }
  }
  return std::nullopt;
}

void feed_sources::OnAnswered(const vm_id& vm) { failures_.erase(vm); }

void feed_sources::OnFailed(const vm_id& vm, monotonic_time now) {
  failure& f = failures_[vm];
  const int doublings = std::min(f.failure_count, 8);
  ++f.failure_count;
  f.backoff_until = now + std::min(options_.min_backoff * (1 << doublings),
                                   options_.max_backoff);
}

// Load pattern: an outage of the store, after which all VMs would come to it as
// long as they leave their sources alone.
void feed_sources::OnRefused(const vm_id& vm, monotonic_time now) {
  failures_[vm].backoff_until = now + options_.refusal_backoff;
}

}  // namespace citron
