#include "citron/protocol/feed_sources.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "citron/base/digest.h"

namespace citron {

namespace {

// VMs with wide links first, since one that others ask sends each change many
// times; among equals by hash, so that not the first by name has all the work.
bool ComesBefore(const feed_member& a, const feed_member& b) {
  const auto rank = [](const feed_member& m) {
    return std::tuple(-m.link_mbps, HashBytes(m.vm.Str()), m.vm);
  };
  return rank(a) < rank(b);
}

// The first of those that come before `own`, up to so many.
std::vector<feed_member> FirstBefore(
    const feed_member& own, const std::vector<feed_member>& all,
    std::size_t most, const std::function<bool(const feed_member&)>& is_near) {
  std::vector<feed_member> before;
  std::copy_if(
      all.begin(), all.end(), std::back_inserter(before),
      [&](const feed_member& m) { return is_near(m) && ComesBefore(m, own); });
  std::sort(before.begin(), before.end(), ComesBefore);
  if (before.size() > most) before.resize(most);
  return before;
}

// Of a region's VMs, those whose own zone and the region's other zones ask
// them. The second one is there for when the first one fails.
constexpr std::size_t kRegionSources = 2;

}  // namespace

// Answers: fleets in which each VM's own watch is a call to the store for every
// change. One VM of a region reads the store; the first of each other zone asks
// it, and the rest of a zone asks its first. Calls to the store then grow with
// the regions, what a VM sends with the size of a zone, and a change passes two
// VMs at most. A VM that doesn't answer is passed over, in the end to the store
// itself, so that nobody waits for a single other one.

std::vector<vm_id> PlanFeed(const feed_member& own,
                            const std::vector<feed_member>& all) {
  std::vector<vm_id> plan;
  const auto add = [&plan](const std::vector<feed_member>& members) {
    for (const feed_member& m : members) {
      if (std::find(plan.begin(), plan.end(), m.vm) == plan.end()) {
        plan.push_back(m.vm);
      }
    }
  };
  add(FirstBefore(own, all, 1,
                  [&own](const feed_member& m) { return m.zone == own.zone; }));
  add(FirstBefore(own, all, kRegionSources, [&own](const feed_member& m) {
    return m.region == own.region;
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
    if (failed == failures_.end() || now >= failed->second.avoided_until) {
      return vm;
    }
  }
  return std::nullopt;
}

void feed_sources::OnAnswered(const vm_id& vm) { failures_.erase(vm); }

void feed_sources::OnFailed(const vm_id& vm, monotonic_time now) {
  failure& f = failures_[vm];
  const int doublings = std::min(f.in_row, 8);
  ++f.in_row;
  f.avoided_until = now + std::min(options_.first_avoidance * (1 << doublings),
                                   options_.longest_avoidance);
}

}  // namespace citron
