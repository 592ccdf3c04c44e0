#include "citron/protocol/view_pacer.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace citron {

namespace {

// Load pattern: every VM of a fleet reports its loads to every other VM. At a
// fixed interval the traffic grows by 885 B/s for each further VM, without a
// bound, and a daemon's control traffic exceeds 2 KB/s at three VMs. Views are
// therefore sent by change and under a budget. Entries of the same zone act on
// loads at once, other entries only when their own zone is full. Summaries by
// a relay in each zone would take the fewest bytes at thousands of VMs, but
// each load would pass one more VM and be lost when the relay changes, and a
// summary doesn't show the single dispatches of a zone, to which entries of
// other zones send.

// Multiples of the zone's interval, for other zones of the region and for other
// regions. Entries of another region use this VM last, and a cross-region
// request needs the receiving zone's permit anyway.
constexpr int kRegionFactor = 3;
constexpr int kFarFactor = 5;

// Intervals of an unchanged view before the budget stretches them. A repeat
// makes up for a lost message and shows that this VM is alive.
constexpr duration kZoneRepeat = std::chrono::seconds(1);
constexpr duration kRegionRepeat = std::chrono::seconds(2);
constexpr duration kFarRepeat = std::chrono::seconds(4);

// Longest interval until an urgent message is repeated, at every distance:
// losing an urgent message costs more than losing a load.
constexpr duration kUrgentRepeat = std::chrono::seconds(1);

// Share of the budget for repeats. Heartbeats take 1.3 KB/s, and repeats beside
// them must stay within a daemon's 2 KB/s.
constexpr double kRepeatShare = 0.4;
// Share of the budget that is reserved for this VM's zone, whatever the number
// of other peers.
constexpr double kZoneShare = 0.6;

// Unused budget is saved for at most this time: two rounds of a zone of a few
// VMs.
constexpr duration kMaxSavedAllowance = std::chrono::seconds(2);
// Limit of the debt of each allowance, as time of the budget. Urgent messages
// are sent even so; a larger debt would delay loads for long after a restart of
// the whole fleet.
constexpr duration kMaxDebt = std::chrono::seconds(1);

// Expected waits at which overflow_control changes its behavior.
constexpr duration kModerateWait = std::chrono::milliseconds(20);
constexpr duration kLongWait = std::chrono::milliseconds(200);

// Limits above which a change of load is large. A tenth of the slots is a
// change that affects the choice between zones.
constexpr double kLargeSlotFraction = 0.1;
constexpr int kMinLargeSlots = 2;
constexpr double kLargeWaitFraction = 0.5;

int WaitBand(const scheduler_load& load) {
  if (load.expected_wait > kLongWait) return 2;
  return load.expected_wait > kModerateWait ? 1 : 0;
}

int RequestCount(const scheduler_load& load) {
  return load.in_flight + load.queued;
}

bool IsSame(const scheduler_load& a, const scheduler_load& b) {
  return a.slots == b.slots && a.usable_slots == b.usable_slots &&
         a.in_flight == b.in_flight && a.queued == b.queued &&
         a.expected_wait == b.expected_wait &&
         a.usable_upstreams == b.usable_upstreams;
}

bool IsLargeChange(const scheduler_load& a, const scheduler_load& b) {
  const int step = std::max(
      kMinLargeSlots, static_cast<int>(std::lround(
                          kLargeSlotFraction * std::max(a.slots, b.slots))));
  const duration wait = std::max(a.expected_wait - b.expected_wait,
                                 b.expected_wait - a.expected_wait);
  const duration wait_step = std::max(
      kModerateWait,
      FromSeconds(kLargeWaitFraction *
                  ToSeconds(std::min(a.expected_wait, b.expected_wait))));
  return std::abs(a.usable_slots - b.usable_slots) >= step ||
         std::abs(RequestCount(a) - RequestCount(b)) >= step ||
         wait > wait_step;
}

// Returns whether the keys differ or `differs` holds for the values of any key.
template <class M, class F>
bool AnyDiffers(const M& a, const M& b, F differs) {
  return !std::equal(a.begin(), a.end(), b.begin(), b.end(),
                     [&differs](const auto& x, const auto& y) {
                       return x.first == y.first &&
                              !differs(x.second, y.second);
                     });
}

}  // namespace

// A restarted peer has no views, and a silent peer may have missed all
// messages. With the next message only at the usual interval, such a peer would
// place requests without this VM until then, and a new VM would send nothing to
// this VM's zone.
void view_pacer::SetPeers(const std::vector<view_peer>& peers) {
  for (auto& [vm, state] : peers_) state.is_current = false;
  peer_counts_.clear();
  for (const view_peer& peer : peers) {
    peer_state& state = peers_[peer.vm];
    const bool is_back = state.peer.silent && !peer.silent;
    const bool is_restarted = state.peer.incarnation != peer.incarnation;
    if (is_back || is_restarted) state.has_view = false;
    state.peer = peer;
    state.is_current = true;
    ++peer_counts_[peer.distance];
  }
  std::erase_if(peers_,
                [](const auto& entry) { return !entry.second.is_current; });
}

view_pacer::actions view_pacer::OnView(const paced_view& view,
                                       monotonic_time now) {
  CountChanges(view);
  Refill(now);
  for (const auto& [distance, count] : peer_counts_) {
    intervals_[distance] = {ChangeInterval(distance), RepeatInterval(distance)};
  }
  actions out;
  std::vector<due_peer> due;
  for (auto& [vm, state] : peers_) {
    if (IsUrgent(state)) {
      Send(state, now, out);
      continue;
    }
    const double lateness = Lateness(state, now);
    if (lateness >= 1) due.push_back({&state, lateness});
  }
  // Sorts the most overdue peer first, so that no peer starves behind busier
  // ones.
  std::stable_sort(due.begin(), due.end(),
                   [](const due_peer& a, const due_peer& b) {
                     if (a.lateness != b.lateness) {
                       return a.lateness > b.lateness;
                     }
                     return a.state->peer.distance < b.state->peer.distance;
                   });
  for (const due_peer& next : due) {
    if (ByteAllowance(*next.state) > 0) Send(*next.state, now, out);
  }
  return out;
}

void view_pacer::CountChanges(const paced_view& view) {
  if (!has_last_view_ || view.urgent != last_view_.urgent) ++current_.urgent;
  if (AnyDiffers(view.loads, last_view_.loads,
                 [](const auto& a, const auto& b) { return !IsSame(a, b); })) {
    ++current_.load;
  }
  if (AnyDiffers(view.loads, last_view_.loads,
                 [](const auto& a, const auto& b) {
                   return WaitBand(a) != WaitBand(b);
                 })) {
    ++current_.band;
  }
  if (AnyDiffers(view.loads, large_loads_, IsLargeChange)) {
    ++current_.large;
    large_loads_ = view.loads;
  }
  last_view_ = view;
  has_last_view_ = true;
}

// Returns whether the peer has no view or lacks an urgent change. Such
// messages are sent whatever the budget: an entry without the update sends
// requests to a VM that leaves or a dispatch without slots, and each of these
// requests costs a second try.
bool view_pacer::IsUrgent(const peer_state& state) const {
  return !state.has_view || state.sent.urgent != current_.urgent;
}

// Messages may be lost and are not acknowledged. A message with changed loads
// is therefore repeated once at the change interval, and an urgent message
// after kUrgentRepeat at most. Later repeats, and all repeats to silent
// peers, follow at the repeat interval.
double view_pacer::Lateness(const peer_state& state, monotonic_time now) const {
  const view_distance distance = state.peer.distance;
  const bool is_zone = distance == view_distance::kZone;
  const bool has_change = is_zone ? state.sent.load != current_.load
                                  : state.sent.large != current_.large;
  const send_intervals& at = intervals_.at(distance);
  duration interval = at.repeat;
  if (!state.peer.silent) {
    if (is_zone && state.sent.band != current_.band) {
      // Entries of the zone send a share of its traffic past the zone and
      // change the share step by step by the band of the expected wait. With
      // an old band they would go on for too long.
      interval = options_.interval;
    } else if (has_change || state.needs_repeat) {
      interval = at.change;
    }
    if (state.needs_urgent_repeat) interval = std::min(interval, kUrgentRepeat);
  }
  return ToSeconds(now - state.sent_at) / ToSeconds(interval);
}

void view_pacer::Send(peer_state& state, monotonic_time now, actions& out) {
  const bool has_change =
      state.sent.large != current_.large || state.sent.band != current_.band;
  const bool has_load = state.peer.distance == view_distance::kZone &&
                        state.sent.load != current_.load;
  state.needs_urgent_repeat = IsUrgent(state);
  state.needs_repeat = has_change || has_load;
  state.sent = current_;
  state.sent_at = now;
  state.has_view = true;
  double& allowance = ByteAllowance(state);
  const double max_debt = options_.bytes_per_s * ToSeconds(kMaxDebt);
  allowance = std::max(allowance - last_view_.bytes, -max_debt);
  out.push_back(view_pacer_action::send_view{
      state.peer.vm, intervals_.at(state.peer.distance).repeat});
}

// Two allowances: with a single one, a wait that oscillates around a band limit
// would spend all bytes on the zone's peers, or many far peers would delay the
// zone's messages. Each side gets what the other doesn't use.
void view_pacer::Refill(monotonic_time now) {
  const double unused = options_.bytes_per_s * ToSeconds(kMaxSavedAllowance);
  const double seconds = ToSeconds(now - refilled_at_);
  const double added = std::min(unused, options_.bytes_per_s * seconds);
  refilled_at_ = now;
  const double zone_limit = unused * kZoneShare;
  const double others_limit = unused - zone_limit;
  zone_allowance_ += added * kZoneShare;
  others_allowance_ += added * (1 - kZoneShare);
  const double zone_excess = std::max(0.0, zone_allowance_ - zone_limit);
  const double others_excess = std::max(0.0, others_allowance_ - others_limit);
  zone_allowance_ =
      std::min(zone_limit, zone_allowance_ + others_excess - zone_excess);
  others_allowance_ =
      std::min(others_limit, others_allowance_ + zone_excess - others_excess);
}

double& view_pacer::ByteAllowance(const peer_state& state) {
  return state.peer.distance == view_distance::kZone ? zone_allowance_
                                                     : others_allowance_;
}

double view_pacer::BytesPerSecond(view_distance distance,
                                  duration interval) const {
  const auto count = peer_counts_.find(distance);
  if (count == peer_counts_.end()) return 0;
  return count->second * last_view_.bytes / ToSeconds(interval);
}

// Serves the share of this VM's zone first. The other peers split the rest,
// with more messages for nearer peers.
duration view_pacer::StretchedInterval(const base_intervals& base,
                                       view_distance distance,
                                       double budget) const {
  double zone = 0;
  double others = 0;
  for (const auto& [at, interval] : base) {
    (at == view_distance::kZone ? zone : others) +=
        BytesPerSecond(at, interval);
  }
  const double for_zone = std::max(kZoneShare * budget, budget - others);
  const double zone_factor = std::max(1.0, zone / for_zone);
  const double for_others = budget - zone / zone_factor;
  const double factor = distance == view_distance::kZone
                            ? zone_factor
                            : std::max(1.0, others / for_others);
  return FromSeconds(ToSeconds(base.at(distance)) * factor);
}

duration view_pacer::ChangeInterval(view_distance distance) const {
  const base_intervals base{
      {view_distance::kZone, options_.interval},
      {view_distance::kRegion, options_.interval * kRegionFactor},
      {view_distance::kRemoteRegion, options_.interval * kFarFactor}};
  return StretchedInterval(base, distance, options_.bytes_per_s);
}

duration view_pacer::RepeatInterval(view_distance distance) const {
  const base_intervals base{{view_distance::kZone, kZoneRepeat},
                            {view_distance::kRegion, kRegionRepeat},
                            {view_distance::kRemoteRegion, kFarRepeat}};
  return std::max(
      StretchedInterval(base, distance, options_.bytes_per_s * kRepeatShare),
      ChangeInterval(distance));
}

}  // namespace citron
