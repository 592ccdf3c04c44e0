#include "citron/control/local_daemons.h"

#include <algorithm>
#include <map>

namespace citron {

namespace {

// Hellos come every few hundred milliseconds; after this long without one a
// task is not told of to others.
constexpr duration kSilentAfter = std::chrono::milliseconds(1500);

bool HasUsableSlots(const std::vector<service_load>& loads) {
  return std::any_of(loads.begin(), loads.end(), [](const service_load& load) {
    return load.load.usable_slots > 0;
  });
}

}  // namespace

bool local_daemons::OnHello(const hello& message, monotonic_time now) {
  task& known = tasks_[{message.role, message.address.loop}];
  const bool is_new = known.address.incarnation != message.address.incarnation;
  if (message.address.incarnation < known.address.incarnation) return false;
  if (is_new) known = {};
  known.address = message.address;
  known.loops = message.loops;
  known.revision = message.revision;
  known.leaving = message.leaving;
  known.silent_at = now + kSilentAfter;
  return is_new;
}

void local_daemons::OnShareApplied(const share_applied& message) {
  const auto found = tasks_.find({daemon_role::kEntry, message.loop});
  if (found == tasks_.end()) return;
  found->second.applied_share =
      std::max(found->second.applied_share, message.sequence);
}

void local_daemons::OnReport(const dispatch_report& message) {
  const auto found = tasks_.find({daemon_role::kDispatch, message.loop});
  if (found != tasks_.end()) found->second.loads = message.services;
}

std::uint64_t local_daemons::AppliedShare() const {
  std::uint64_t lowest = 0;
  int loops = 0;
  for (const auto& [key, known] : tasks_) {
    if (key.first != daemon_role::kEntry) continue;
    lowest = loops == 0 ? known.applied_share
                        : std::min(lowest, known.applied_share);
    ++loops;
  }
  return loops >= EntryLoops() ? lowest : 0;
}

int local_daemons::EntryLoops() const {
  int loops = 1;
  for (const auto& [key, known] : tasks_) {
    if (key.first == daemon_role::kEntry) loops = std::max(loops, known.loops);
  }
  return loops;
}

config_revision local_daemons::LowestRevision(monotonic_time now) const {
  config_revision lowest = UINT64_MAX;
  for (const auto& [key, known] : tasks_) {
    if (now < known.silent_at) lowest = std::min(lowest, known.revision);
  }
  return lowest;
}

bool local_daemons::AllGone(monotonic_time now) const {
  return std::all_of(tasks_.begin(), tasks_.end(), [now](const auto& known) {
    return now >= known.second.silent_at;
  });
}

void local_daemons::Describe(vm_view& view, monotonic_time now) const {
  for (const auto& [key, known] : tasks_) {
    if (now >= known.silent_at) continue;
    if (key.first == daemon_role::kEntry) {
      view.leaving = view.leaving || known.leaving;
      view.entries.push_back(known.address);
      continue;
    }
    // One that leaves still owns its upstreams until the zone's table names
    // others, and nobody else may send to them. Left out of the view at once,
    // a dispatch that owns all of a zone's upstreams took the zone's callers
    // with it: they were refused for want of capacity for a second and more.
    if (known.leaving && !HasUsableSlots(known.loads)) continue;
    view.dispatches.push_back(known.address);
    // Each loop for itself: one that owns no upstream of a service refuses
    // what is sent to it, whatever the others have room for.
    for (const service_load& load : known.loads) {
      view.loads.push_back({load.service, load.load, known.address.loop});
    }
  }
}

std::vector<endpoint> local_daemons::Peers() const {
  std::vector<endpoint> peers;
  for (const auto& [key, known] : tasks_) peers.push_back(known.address.peer);
  return peers;
}

std::vector<endpoint> local_daemons::EntryPeers() const {
  std::vector<endpoint> peers;
  for (const auto& [key, known] : tasks_) {
    if (key.first == daemon_role::kEntry) peers.push_back(known.address.peer);
  }
  return peers;
}

}  // namespace citron
