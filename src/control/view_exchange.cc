#include "citron/control/view_exchange.h"

#include "citron/base/digest.h"
#include "citron/base/log.h"

namespace citron {

namespace {

constexpr char kLogPart[] = "membership";
constexpr int kUpdatesBetweenFull = 10;
// What the envelope adds to a message between controls, about.
constexpr std::size_t kEnvelopeBytes = 116;

}  // namespace

std::string_view StateName(member_state state) {
  switch (state) {
    case member_state::kListed:
      return "listed";
    case member_state::kLive:
      return "live";
    case member_state::kSilent:
      return "silent";
    case member_state::kDraining:
      return "draining";
    case member_state::kLeaving:
      return "leaving";
    case member_state::kGone:
      return "gone";
  }
  return "unknown";
}

// Urgent is what makes an entry send to the wrong place, or a control miss a
// configuration: addresses, incarnations, leaving, the revision, and whether a
// loop has any slot of a service.
paced_view PacedView(const vm_view& view) {
  vm_view urgent = view;
  urgent.sequence = 0;
  urgent.config_age = {};
  urgent.interval = {};
  paced_view paced;
  for (service_load& load : urgent.loads) {
    paced.loads[{load.service, load.loop}] = load.load;
    const bool has_slots = load.load.usable_slots > 0;
    load.load = {};
    load.load.usable_slots = has_slots ? 1 : 0;
  }
  paced.urgent = HashBytes(EncodeWire(urgent));
  paced.bytes = static_cast<double>(EncodeWire(view).size() + kEnvelopeBytes);
  return paced;
}

void view_exchange::OnMember(const vm_id& vm, member_state state) {
  vm_seen& seen = vms_[vm];
  if (seen.view.vm.IsEmpty()) seen.view.vm = vm;
  if (seen.state != state || changed_.find(vm) == changed_.end()) {
    Log(kLogPart, "{} is {}", vm.Str(), StateName(state));
  }
  seen.state = state;
  changed_[vm] = true;
}

void view_exchange::OnView(const vm_view& view, monotonic_time now) {
  vm_seen& seen = vms_[view.vm];
  const vm_view& known = seen.view;
  const bool is_older = view.incarnation < known.incarnation ||
                        (view.incarnation == known.incarnation &&
                         view.sequence <= known.sequence);
  if (is_older) return;
  seen.view = view;
  seen.received_at = now;
  changed_[view.vm] = true;
}

void view_exchange::SetOwn(const vm_view& view, monotonic_time now) {
  vm_seen& seen = vms_[view.vm];
  seen.view = view;
  seen.state = view.leaving ? member_state::kLeaving : member_state::kLive;
  seen.received_at = now;
  changed_[view.vm] = true;
}

fleet_view view_exchange::TakeUpdate() {
  fleet_view update;
  update.full = full_next_ || ++updates_since_full_ >= kUpdatesBetweenFull;
  for (const auto& [vm, seen] : vms_) {
    if (update.full || changed_[vm]) update.vms.push_back(seen);
  }
  for (auto& [vm, is_changed] : changed_) is_changed = false;
  if (update.full) updates_since_full_ = 0;
  full_next_ = false;
  return update;
}

}  // namespace citron
