#include "citron/protocol/view_pacer.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace citron {

namespace {

// Answers: a fleet in which each VM tells each other one its loads. By the
// clock alone that grows with the fleet (885 B/s for each further VM), and one
// notices by control traffic that takes more than 2 KB/s of a daemon at three
// VMs. Weighed: all to all by the clock (what was there; nothing is late, but
// nothing bounds it); summaries by each zone's relay (least bytes at thousands
// of VMs, but one VM more through which a load must come, lost with each change
// of the relay, and entries send to single dispatches of another zone, which
// a sum doesn't name). Taken: by change under a budget; the own zone's entries
// act on loads at once, others only when their own zone is full.

// Three changed views in the time of one from another region: its entries
// come last, and a crossing needs the receiving zone's permit anyway.
constexpr int kRegionFactor = 3;
constexpr int kFarFactor = 5;

// An unchanged view tells nothing but that the last one wasn't lost.
constexpr duration kZoneRepeat = std::chrono::seconds(1);
constexpr duration kRegionRepeat = std::chrono::seconds(2);
constexpr duration kFarRepeat = std::chrono::seconds(4);

// A lost urgent message matters more than a lost load.
constexpr duration kUrgentRepeat = std::chrono::seconds(1);

// Of the budget. Heartbeats take 1.3 KB/s, and repeats beside them must stay
// inside a daemon's 2 KB/s.
constexpr double kRepeatPart = 0.4;
// What the own zone has before the others, however many they are.
constexpr double kZonePart = 0.6;

// Unused allowance: two rounds of a zone of a few VMs. And what urgent messages
// may take in advance: more would hold loads back for long after a restart of
// the whole fleet.
constexpr duration kMaxUnused = std::chrono::seconds(2);
constexpr duration kMaxAdvance = std::chrono::seconds(1);

// The steps at which overflow_control acts otherwise than before.
constexpr duration kWaitToMove = std::chrono::milliseconds(20);
constexpr duration kWaitToHurry = std::chrono::milliseconds(200);

// A tenth of the slots is what a choice between zones notices.
constexpr double kLargePart = 0.1;
constexpr int kLargeLeast = 2;
constexpr double kLargeWaitPart = 0.5;

int BandOf(const scheduler_load& load) {
  if (load.expected_wait > kWaitToHurry) return 2;
  return load.expected_wait > kWaitToMove ? 1 : 0;
}

int BusyOf(const scheduler_load& load) { return load.in_flight + load.queued; }

bool IsSame(const scheduler_load& a, const scheduler_load& b) {
  return a.slots == b.slots && a.usable_slots == b.usable_slots &&
         a.in_flight == b.in_flight && a.queued == b.queued &&
         a.expected_wait == b.expected_wait &&
         a.usable_upstreams == b.usable_upstreams;
}

bool IsLarge(const scheduler_load& a, const scheduler_load& b) {
  const int step = std::max(
      kLargeLeast,
      static_cast<int>(std::lround(kLargePart * std::max(a.slots, b.slots))));
  const duration wait = std::max(a.expected_wait - b.expected_wait,
                                 b.expected_wait - a.expected_wait);
  const duration wait_step = std::max(
      kWaitToMove,
      FromSeconds(kLargeWaitPart *
                  ToSeconds(std::min(a.expected_wait, b.expected_wait))));
  return std::abs(a.usable_slots - b.usable_slots) >= step ||
         std::abs(BusyOf(a) - BusyOf(b)) >= step || wait > wait_step;
}

// Whether `differs` for any service, or the services aren't the same.
template <class M, class F>
bool AnyDiffers(const M& a, const M& b, F differs) {
  return !std::equal(a.begin(), a.end(), b.begin(), b.end(),
                     [&differs](const auto& x, const auto& y) {
                       return x.first == y.first &&
                              !differs(x.second, y.second);
                     });
}

}  // namespace

// One that restarted has forgotten all, and one that was silent may have
// missed everything since. Told by the clock alone it would place requests
// without us for a whole interval; one notices by a zone that a fresh VM
// doesn't send to.
void view_pacer::SetPeers(const std::vector<view_peer>& peers) {
  for (auto& [vm, state] : peers_) state.listed = false;
  counts_.clear();
  for (const view_peer& peer : peers) {
    peer_state& state = peers_[peer.vm];
    const bool is_back = state.peer.silent && !peer.silent;
    const bool is_new = state.peer.incarnation != peer.incarnation;
    if (is_back || is_new) state.told = false;
    state.peer = peer;
    state.listed = true;
    ++counts_[peer.distance];
  }
  std::erase_if(peers_, [](const auto& entry) { return !entry.second.listed; });
}

view_pacer::actions view_pacer::OnView(const paced_view& view,
                                       monotonic_time now) {
  NoteChanges(view);
  Refill(now);
  for (const auto& [distance, count] : counts_) {
    pace_[distance] = {ChangeInterval(distance), RepeatInterval(distance)};
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
  // The latest one first, so that none waits for ever behind busier ones.
  std::stable_sort(due.begin(), due.end(),
                   [](const due_peer& a, const due_peer& b) {
                     if (a.lateness != b.lateness) {
                       return a.lateness > b.lateness;
                     }
                     return a.state->peer.distance < b.state->peer.distance;
                   });
  for (const due_peer& next : due) {
    if (AllowanceFor(*next.state) > 0) Send(*next.state, now, out);
  }
  return out;
}

void view_pacer::NoteChanges(const paced_view& view) {
  if (!has_view_ || view.urgent != view_.urgent) ++now_.urgent;
  if (AnyDiffers(view.loads, view_.loads,
                 [](const auto& a, const auto& b) { return !IsSame(a, b); })) {
    ++now_.load;
  }
  if (AnyDiffers(view.loads, view_.loads, [](const auto& a, const auto& b) {
        return BandOf(a) != BandOf(b);
      })) {
    ++now_.band;
  }
  if (AnyDiffers(view.loads, large_, IsLarge)) {
    ++now_.large;
    large_ = view.loads;
  }
  view_ = view;
  has_view_ = true;
}

// Not held by the budget: an entry that doesn't hear of it sends requests to a
// VM that leaves or a dispatch without slots, and each costs a second try.
bool view_pacer::IsUrgent(const peer_state& state) const {
  return !state.told || state.sent.urgent != now_.urgent;
}

// A message may be lost, and nothing answers it. What had news is therefore
// sent once more at the pace of changes, and then at the pace of repeats.
double view_pacer::Lateness(const peer_state& state, monotonic_time now) const {
  const view_distance distance = state.peer.distance;
  const bool is_zone = distance == view_distance::kZone;
  const bool has_news =
      is_zone ? state.sent.load != now_.load : state.sent.large != now_.large;
  const pace& at = pace_.at(distance);
  duration interval = at.repeat;
  if (!state.peer.silent) {
    if (is_zone && state.sent.band != now_.band) {
      // Its entries move a part of the zone's traffic by this, step by step;
      // with an old step they would go on too long.
      interval = options_.interval;
    } else if (has_news || state.unconfirmed) {
      interval = at.change;
    }
    if (state.unconfirmed_urgent) interval = std::min(interval, kUrgentRepeat);
  }
  return ToSeconds(now - state.sent_at) / ToSeconds(interval);
}

void view_pacer::Send(peer_state& state, monotonic_time now, actions& out) {
  const bool has_news =
      state.sent.large != now_.large || state.sent.band != now_.band;
  const bool has_load = state.peer.distance == view_distance::kZone &&
                        state.sent.load != now_.load;
  state.unconfirmed_urgent = IsUrgent(state);
  state.unconfirmed = has_news || has_load;
  state.sent = now_;
  state.sent_at = now;
  state.told = true;
  double& allowance = AllowanceFor(state);
  const double advance = options_.bytes_per_s * ToSeconds(kMaxAdvance);
  allowance = std::max(allowance - view_.bytes, -advance);
  out.push_back(view_pacer_action::send_view{
      state.peer.vm, pace_.at(state.peer.distance).repeat});
}

// Two allowances: with one, a wait that swings over a step would take all for
// the zone's peers, or many far peers would hold the zone's words back. What
// one side doesn't use goes to the other.
void view_pacer::Refill(monotonic_time now) {
  const double unused = options_.bytes_per_s * ToSeconds(kMaxUnused);
  const double seconds = ToSeconds(now - refilled_at_);
  const double added = std::min(unused, options_.bytes_per_s * seconds);
  refilled_at_ = now;
  const double zone_limit = unused * kZonePart;
  const double others_limit = unused - zone_limit;
  zone_allowance_ += added * kZonePart;
  others_allowance_ += added * (1 - kZonePart);
  const double zone_excess = std::max(0.0, zone_allowance_ - zone_limit);
  const double others_excess = std::max(0.0, others_allowance_ - others_limit);
  zone_allowance_ =
      std::min(zone_limit, zone_allowance_ + others_excess - zone_excess);
  others_allowance_ =
      std::min(others_limit, others_allowance_ + zone_excess - others_excess);
}

double& view_pacer::AllowanceFor(const peer_state& state) {
  return state.peer.distance == view_distance::kZone ? zone_allowance_
                                                     : others_allowance_;
}

double view_pacer::Demand(view_distance distance, duration interval) const {
  const auto count = counts_.find(distance);
  if (count == counts_.end()) return 0;
  return count->second * view_.bytes / ToSeconds(interval);
}

// The own zone's part first; the others, nearer ones more often, share the
// rest.
duration view_pacer::Stretched(const base_intervals& base,
                               view_distance distance, double budget) const {
  double zone = 0;
  double others = 0;
  for (const auto& [at, interval] : base) {
    (at == view_distance::kZone ? zone : others) += Demand(at, interval);
  }
  const double for_zone = std::max(kZonePart * budget, budget - others);
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
      {view_distance::kFar, options_.interval * kFarFactor}};
  return Stretched(base, distance, options_.bytes_per_s);
}

duration view_pacer::RepeatInterval(view_distance distance) const {
  const base_intervals base{{view_distance::kZone, kZoneRepeat},
                            {view_distance::kRegion, kRegionRepeat},
                            {view_distance::kFar, kFarRepeat}};
  return std::max(Stretched(base, distance, options_.bytes_per_s * kRepeatPart),
                  ChangeInterval(distance));
}

}  // namespace citron
