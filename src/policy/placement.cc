#include "citron/policy/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace citron {
namespace {

// Answers: a zone that has more work than it can end in time while another one
// has slots free, and the herd that forms when all entries hear of it at once.
//
// The own zone serves: going elsewhere costs time and link, and caches are warm
// at home. Only the part that overflow_control gives goes to other zones of the
// region, and if none of them has room, to other regions. A report is up to a
// second old and every entry has acted on it; so each one counts what it sent
// since, goes by loads smoothed over reports, and takes the roomier of two
// zones picked at random instead of the roomiest of all, which would be
// everybody's. The owner at the far side has the last word.

// A zone that refused is full or behind; its next report is about this far
// away. It goes behind the others meanwhile, but isn't shut: it refused one
// workspace's request, and another one's may still be in its fair part.
constexpr duration kAvoidAfterRefusal = std::chrono::milliseconds(200);

// Of the newest report; the last three or so count.
constexpr double kSmoothing = 0.4;

constexpr duration kRetry = std::chrono::milliseconds(200);

bool Contains(const std::vector<zone_id>& zones, const zone_id& zone) {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

}  // namespace

placement::placement(placement_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void placement::OnReport(const zone_report& report) {
  const auto [at, added] =
      zones_[report.service].try_emplace(report.zone, zone_state());
  zone_state& z = at->second;
  // Reports of other zones are shown again until there is a new one. Taken for
  // new, it would wipe out what was sent there since, and each entry would go
  // on filling the slots that were free seconds ago; one would notice by
  // refusals there. The own zone's are new with each view of the own VM.
  const bool is_repeat =
      !added && report.zone != options_.zone && report == z.report;
  const double busy = report.in_flight + report.queued;
  z.busy += (added ? 1 : kSmoothing) * (busy - z.busy);
  z.report = report;
  if (!is_repeat) z.since_report = 0;
  if (report.zone == options_.zone) {
    overflow_[report.service].OnReport(report.expected_wait);
  }
}

void placement::Forget(const zone_id& zone, const service_id& service) {
  const auto found = zones_.find(service);
  if (found == zones_.end()) return;
  found->second.erase(zone);
  if (found->second.empty()) zones_.erase(found);
}

void placement::SetShift(const service_id& service, std::optional<shift> s) {
  if (s) {
    shifts_[service] = std::move(*s);
  } else {
    shifts_.erase(service);
    shift_credit_.erase(service);
  }
}

void placement::SetRegionDrained(const region_id& region, bool drained) {
  if (drained) {
    drained_.insert(region);
  } else {
    drained_.erase(region);
  }
}

void placement::SetLinkShare(double fraction, monotonic_time now) {
  link_share_ = fraction;
  link_share_at_ = now;
  for (auto& [region, link] : links_) link.SetShare(fraction, now);
}

link_budget& placement::Link(const region_id& region) {
  const auto [at, added] = links_.try_emplace(region, options_.link_bytes_per_s,
                                              options_.link_burst);
  if (added) at->second.SetShare(link_share_, link_share_at_);
  return at->second;
}

void placement::OnPermits(const service_id& service, const region_id& region,
                          int count, monotonic_time expires_at) {
  // A new grant replaces what is left of the last one: the receiving region
  // counts both, so nothing is used twice, and expired ones can't add up.
  if (count <= 0) return;
  permits_[{service, region}] = {count, expires_at};
}

std::vector<permit_want> placement::TakeWants() {
  std::vector<permit_want> wants;
  for (const auto& [key, count] : wants_) {
    wants.push_back({key.first, key.second, count});
  }
  wants_.clear();
  return wants;
}

void placement::OnSent(const service_id& service, const zone_id& zone,
                       monotonic_time) {
  const auto found = zones_.find(service);
  if (found == zones_.end()) return;
  const auto z = found->second.find(zone);
  if (z == found->second.end()) return;
  ++z->second.in_flight;
  ++z->second.since_report;
}

void placement::OnDone(const service_id& service, const zone_id& zone,
                       monotonic_time) {
  const auto found = zones_.find(service);
  if (found == zones_.end()) return;
  const auto z = found->second.find(zone);
  if (z == found->second.end()) return;
  z->second.in_flight = std::max(0, z->second.in_flight - 1);
  --z->second.since_report;
}

void placement::OnRefused(const service_id& service, const zone_id& zone,
                          monotonic_time now) {
  OnDone(service, zone, now);
  const auto found = zones_.find(service);
  if (found == zones_.end()) return;
  const auto z = found->second.find(zone);
  if (z == found->second.end()) return;
  z->second.avoid_until = now + kAvoidAfterRefusal;
  if (zone == options_.zone) overflow_[service].OnRefused();
}

void placement::OnCrossed(const region_id& region, std::uint64_t expected_bytes,
                          std::uint64_t used_bytes, monotonic_time now) {
  Link(region).Settle(expected_bytes, used_bytes, now);
}

bool placement::IsUnknown(const zone_state& z, monotonic_time now) const {
  return now - z.report.received_at >
         std::max(options_.report_lifetime, z.report.lifetime);
}

bool placement::IsOwnRegion(const zone_state& z) const {
  return z.report.region == options_.region;
}

duration placement::Latency(const zone_report& report) const {
  if (report.zone == options_.zone) return {};
  const bool near = report.region == options_.region;
  return 2 * (near ? options_.zone_latency : options_.region_latency);
}

// The report's wait, and what was sent from here since.
duration placement::Wait(const zone_state& z) const {
  const zone_report& r = z.report;
  const int slots = std::max(1, r.slots);
  const int sent = std::max(0, z.since_report);
  const int free = std::max(0, r.slots - r.in_flight - r.queued);
  const int behind = std::max(0, sent - free);
  return r.expected_wait + r.mean_service_time * behind / slots;
}

placement::candidate placement::Estimate(const zone_state& z) const {
  const double free = z.report.slots - z.busy - std::max(0, z.since_report);
  return {z.report.zone, z.report.region, free,
          Latency(z.report) + Wait(z) + z.report.mean_service_time};
}

std::string placement::Unfit(const zone_state& z, const place_request& request,
                             monotonic_time now) const {
  if (Contains(request.excluded, z.report.zone)) return "tried already";
  if (z.report.leaving) return "leaving";
  if (IsUnknown(z, now)) return "no recent report";
  if (z.report.slots <= 0) return "no slots";
  if (now < z.avoid_until) return "refused just now";
  const candidate c = Estimate(z);
  if (now + c.completion > request.deadline) return "would miss the deadline";
  return "";
}

const placement::candidate& placement::RoomierOfTwo(const candidates& from) {
  const auto count = static_cast<std::uint32_t>(from.size());
  if (count == 1) return from.front();
  const std::uint32_t first = random_(count);
  const std::uint32_t second = (first + 1 + random_(count - 1)) % count;
  return from[first].free_slots >= from[second].free_slots ? from[first]
                                                           : from[second];
}

bool placement::OwnZoneServes(const service_zones& zones,
                              const place_request& request) const {
  const auto own = zones.find(options_.zone);
  if (own == zones.end() || Contains(request.excluded, own->first)) {
    return false;
  }
  // Without recent reports it is asked all the same: a lone zone still has to
  // serve itself.
  return !own->second.report.leaving && own->second.report.slots > 0;
}

std::optional<placement::candidate> placement::ChooseInRegion(
    const service_zones& zones, const place_request& request,
    monotonic_time now, place_choice& choice) {
  candidates others;
  for (const auto& [id, z] : zones) {
    if (!IsOwnRegion(z) || id == options_.zone) continue;
    std::string unfit = Unfit(z, request, now);
    candidate c = Estimate(z);
    if (unfit.empty() && c.free_slots <= 0) unfit = "no slot free";
    if (unfit.empty()) {
      others.push_back(std::move(c));
    } else {
      choice.others.push_back({id, std::move(unfit)});
    }
  }
  if (others.empty()) return std::nullopt;
  return RoomierOfTwo(others);
}

std::optional<placement::candidate> placement::ChooseAbroad(
    const service_zones& zones, const place_request& request,
    const region_id& only, monotonic_time now, place_choice& choice,
    std::optional<refusal>& blocked) {
  candidates abroad;
  for (const auto& [id, z] : zones) {
    if (IsOwnRegion(z) || drained_.contains(z.report.region)) continue;
    if (!only.IsEmpty() && z.report.region != only) continue;
    std::string unfit = Unfit(z, request, now);
    candidate c = Estimate(z);
    // Work from outside must not queue in front of the region's own.
    if (unfit.empty() && c.free_slots <= 0) unfit = "no slot free";
    if (unfit.empty()) {
      abroad.push_back(std::move(c));
    } else {
      choice.others.push_back({id, std::move(unfit)});
    }
  }
  while (!abroad.empty()) {
    const candidate c = RoomierOfTwo(abroad);
    const std::optional<refusal> problem = TakeCrossing(request, c.region, now);
    if (!problem) return c;
    if (!blocked || problem->retry_at < blocked->retry_at) blocked = problem;
    choice.others.push_back(
        {c.zone, std::string(RefusalName(problem->reason))});
    std::erase_if(abroad,
                  [&](const candidate& a) { return a.region == c.region; });
  }
  return std::nullopt;
}

// Takes a permit and the link's bytes, or says what is missing.
std::optional<refusal> placement::TakeCrossing(const place_request& request,
                                               const region_id& region,
                                               monotonic_time now) {
  const service_region key(request.service, region);
  ++wants_[key];
  const auto found = permits_.find(key);
  const bool permitted = found != permits_.end() && found->second.count > 0 &&
                         now < found->second.expires_at;
  if (!permitted) return refusal{refusal_reason::kShiftCap, RetryAt(now)};
  link_budget& link = Link(region);
  if (!link.TryTake(request.expected_response_bytes, now)) {
    const monotonic_time free_at =
        link.AvailableAt(request.expected_response_bytes, now);
    const bool ever = free_at != monotonic_time::max();
    return refusal{refusal_reason::kLinkBudget,
                   ever ? std::max(free_at, RetryAt(now)) : RetryAt(now)};
  }
  --found->second.count;
  return std::nullopt;
}

// Moves exactly the fraction, spread evenly: each request earns the fraction,
// and a whole one is spent on a move.
bool placement::TakesShift(const service_id& service) {
  const auto found = shifts_.find(service);
  if (found == shifts_.end()) return false;
  const shift& s = found->second;
  if (s.from != options_.region || s.to == options_.region) return false;
  double& credit = shift_credit_[service];
  credit += std::clamp(s.fraction, 0.0, 1.0);
  if (credit < 1) return false;
  credit -= 1;
  return true;
}

// For an entry whose own zone doesn't serve: reports lag, so a zone without
// room by its report is still asked. A request that was refused once isn't sent
// round any more.
std::optional<placement::candidate> placement::ChooseWithoutFreeSlots(
    const service_zones& zones, const place_request& request,
    monotonic_time now) {
  if (!request.excluded.empty()) return std::nullopt;
  candidates region;
  for (const auto& [id, z] : zones) {
    const bool serves = !z.report.leaving && z.report.slots > 0;
    if (!IsOwnRegion(z) || !serves || now < z.avoid_until) continue;
    region.push_back(Estimate(z));
  }
  if (region.empty()) return std::nullopt;
  return RoomierOfTwo(region);
}

place_result placement::Choose(const place_request& request,
                               monotonic_time now) {
  const auto found = zones_.find(request.service);
  if (found == zones_.end()) {
    return refusal{refusal_reason::kUnknownService, RetryAt(now)};
  }
  const service_zones& zones = found->second;
  place_choice choice;
  std::optional<refusal> blocked;
  const auto to = [&](const candidate& c, const char* reason) {
    choice.zone = c.zone;
    choice.region = c.region;
    choice.reason = reason;
    return place_result(std::move(choice));
  };
  const bool drained = drained_.contains(options_.region);
  const bool shifted = TakesShift(request.service);
  if (shifted || drained) {
    const region_id only =
        shifted ? shifts_.at(request.service).to : region_id();
    if (const auto c =
            ChooseAbroad(zones, request, only, now, choice, blocked)) {
      return to(*c, shifted ? "planned shift" : "own region is drained");
    }
  }
  // What can't move yet is served here: a drain must not turn requests away
  // that the region can still carry.
  const bool own_serves = OwnZoneServes(zones, request);
  if (own_serves && !overflow_[request.service].TakesMove()) {
    return to(Estimate(zones.at(options_.zone)), "own zone");
  }
  if (const auto c = ChooseInRegion(zones, request, now, choice)) {
    return to(*c, "own zone has too much, this one has a slot free");
  }
  if (!drained && !shifted) {
    if (const auto c =
            ChooseAbroad(zones, request, region_id(), now, choice, blocked)) {
      return to(*c, "no slot is free in the own region");
    }
  }
  if (own_serves) {
    return to(Estimate(zones.at(options_.zone)), "no slot is free elsewhere");
  }
  if (const auto c = ChooseWithoutFreeSlots(zones, request, now)) {
    return to(*c, "no slot is free anywhere");
  }
  if (blocked) return *blocked;
  return refusal{refusal_reason::kNoCapacity, RetryAt(now)};
}

monotonic_time placement::RetryAt(monotonic_time now) {
  const double spread = 1 + std::ldexp(random_(), -32);
  return now + FromSeconds(ToSeconds(kRetry) * spread);
}

}  // namespace citron
