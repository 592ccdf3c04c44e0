#include "citron/policy/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace citron {
namespace {

// Handles a zone that has more work than it can finish in time while another
// zone has free slots. If all entries react to the same report at once, they
// all send to the same zone and overload it.
//
// The local zone is preferred: other zones cost network delay, remote regions
// also cost link bytes, and the local caches are warm. Apart from planned
// shifts, drained regions and a local zone that does not serve, only the
// fraction of requests chosen by overflow_control goes to other zones of the
// region, and to remote regions if none of these zones has a free slot. A
// report is up to a second old and every entry has acted on it. Each entry
// therefore counts what it sent since the report, uses loads smoothed over
// reports, and takes the zone with more free slots out of two random zones; the
// zone with most free slots of all would be the choice of every entry. The
// owner in the chosen zone makes the final decision.

// A zone that refused a request is full or late, and its next report is about
// this far away. Until then no other zone that refused is chosen. The local
// zone stays available: it refused a request of one workspace, and a request of
// another workspace may still be within its fair share.
constexpr duration kAvoidAfterRefusal = std::chrono::milliseconds(200);

// Weight of the newest report; about the last three reports count.
constexpr double kLoadSmoothing = 0.4;

// Minimum delay before a retry; RetryAt adds up to the same amount at random.
constexpr duration kRetryDelay = std::chrono::milliseconds(200);

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
  // Reports of other zones are passed in again until a new one arrives.
  // Resetting the sent count for a repeat would discard what was sent to the
  // zone since, so each entry would keep filling slots that were free seconds
  // ago and the zone would refuse requests. The load of a repeat still enters
  // smoothed_load. The local zone's report is new with each view of this VM.
  const bool is_repeat =
      !added && report.zone != options_.zone && report == z.report;
  const double load = report.in_flight + report.queued;
  z.smoothed_load += (added ? 1 : kLoadSmoothing) * (load - z.smoothed_load);
  z.report = report;
  if (!is_repeat) z.net_sent_since_report = 0;
  if (report.zone == options_.zone) {
    overflow_[report.service].OnReport(report.expected_wait);
  }
}

void placement::RemoveZone(const zone_id& zone, const service_id& service) {
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
  // A new grant replaces the unused permits of the previous grant. The
  // receiving region counts the permits of both grants, so no permit is used
  // twice, and expired permits do not accumulate.
  if (count <= 0) return;
  permits_[{service, region}] = {count, expires_at};
}

std::vector<permit_demand> placement::TakePermitDemand() {
  std::vector<permit_demand> wants;
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
  ++z->second.net_sent_since_report;
}

void placement::OnDone(const service_id& service, const zone_id& zone,
                       monotonic_time) {
  const auto found = zones_.find(service);
  if (found == zones_.end()) return;
  const auto z = found->second.find(zone);
  if (z == found->second.end()) return;
  z->second.in_flight = std::max(0, z->second.in_flight - 1);
  --z->second.net_sent_since_report;
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

void placement::OnRemoteResponse(const region_id& region,
                                 std::uint64_t expected_bytes,
                                 std::uint64_t used_bytes, monotonic_time now) {
  Link(region).Settle(expected_bytes, used_bytes, now);
}

bool placement::IsReportExpired(const zone_state& z, monotonic_time now) const {
  return now - z.report.received_at >
         std::max(options_.report_lifetime, z.report.lifetime);
}

bool placement::IsLocalRegion(const zone_state& z) const {
  return z.report.region == options_.region;
}

duration placement::RoundTripTime(const zone_report& report) const {
  if (report.zone == options_.zone) return {};
  const bool same_region = report.region == options_.region;
  return 2 * (same_region ? options_.zone_latency : options_.region_latency);
}

// Returns the reported wait plus the wait for requests sent from this entry
// since the report.
duration placement::ExpectedWait(const zone_state& z) const {
  const zone_report& r = z.report;
  const int slots = std::max(1, r.slots);
  const int sent = std::max(0, z.net_sent_since_report);
  const int free = std::max(0, r.slots - r.in_flight - r.queued);
  const int waiting = std::max(0, sent - free);
  return r.expected_wait + r.mean_service_time * waiting / slots;
}

placement::candidate placement::Estimate(const zone_state& z) const {
  const double free =
      z.report.slots - z.smoothed_load - std::max(0, z.net_sent_since_report);
  return {
      z.report.zone, z.report.region, free,
      RoundTripTime(z.report) + ExpectedWait(z) + z.report.mean_service_time};
}

std::string placement::IneligibleReason(const zone_state& z,
                                        const placement_request& request,
                                        monotonic_time now) const {
  if (Contains(request.excluded, z.report.zone)) return "already tried";
  if (z.report.leaving) return "leaving";
  if (IsReportExpired(z, now)) return "no recent report";
  if (z.report.slots <= 0) return "no slots";
  if (now < z.avoid_until) return "refused recently";
  const candidate c = Estimate(z);
  if (now + c.completion > request.deadline) return "would miss the deadline";
  return "";
}

const placement::candidate& placement::ChooseOfTwo(const candidates& from) {
  const auto count = static_cast<std::uint32_t>(from.size());
  if (count == 1) return from.front();
  const std::uint32_t first = random_(count);
  const std::uint32_t second = (first + 1 + random_(count - 1)) % count;
  return from[first].free_slots >= from[second].free_slots ? from[first]
                                                           : from[second];
}

bool placement::LocalZoneServes(const service_zones& zones,
                                const placement_request& request) const {
  const auto local = zones.find(options_.zone);
  if (local == zones.end() || Contains(request.excluded, local->first)) {
    return false;
  }
  // The local zone is used even without recent reports: an isolated zone still
  // has to serve its own callers.
  return !local->second.report.leaving && local->second.report.slots > 0;
}

std::optional<placement::candidate> placement::ChooseInRegion(
    const service_zones& zones, const placement_request& request,
    monotonic_time now, placement_decision& choice) {
  candidates eligible;
  for (const auto& [id, z] : zones) {
    if (!IsLocalRegion(z) || id == options_.zone) continue;
    std::string ineligible = IneligibleReason(z, request, now);
    candidate c = Estimate(z);
    if (ineligible.empty() && c.free_slots <= 0) ineligible = "no free slot";
    if (ineligible.empty()) {
      eligible.push_back(std::move(c));
    } else {
      choice.skipped_zones.push_back({id, std::move(ineligible)});
    }
  }
  if (eligible.empty()) return std::nullopt;
  return ChooseOfTwo(eligible);
}

std::optional<placement::candidate> placement::ChooseInRemoteRegion(
    const service_zones& zones, const placement_request& request,
    const region_id& only, monotonic_time now, placement_decision& choice,
    std::optional<refusal>& earliest_refusal) {
  candidates remote;
  for (const auto& [id, z] : zones) {
    if (IsLocalRegion(z) || drained_.contains(z.report.region)) continue;
    if (!only.IsEmpty() && z.report.region != only) continue;
    std::string ineligible = IneligibleReason(z, request, now);
    candidate c = Estimate(z);
    // Requests from other regions must not queue ahead of the region's local
    // requests.
    if (ineligible.empty() && c.free_slots <= 0) ineligible = "no free slot";
    if (ineligible.empty()) {
      remote.push_back(std::move(c));
    } else {
      choice.skipped_zones.push_back({id, std::move(ineligible)});
    }
  }
  while (!remote.empty()) {
    const candidate c = ChooseOfTwo(remote);
    const std::optional<refusal> reserve_refusal =
        ReserveCrossRegion(request, c.region, now);
    if (!reserve_refusal) return c;
    if (!earliest_refusal ||
        reserve_refusal->retry_at < earliest_refusal->retry_at)
      earliest_refusal = reserve_refusal;
    choice.skipped_zones.push_back(
        {c.zone, std::string(RefusalName(reserve_refusal->reason))});
    std::erase_if(remote,
                  [&](const candidate& a) { return a.region == c.region; });
  }
  return std::nullopt;
}

// Consumes a permit and link bytes, or returns why this is not possible.
std::optional<refusal> placement::ReserveCrossRegion(
    const placement_request& request, const region_id& region,
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
    const bool has_link_share = free_at != monotonic_time::max();
    return refusal{
        refusal_reason::kLinkBudget,
        has_link_share ? std::max(free_at, RetryAt(now)) : RetryAt(now)};
  }
  --found->second.count;
  return std::nullopt;
}

// Returns true for exactly the shift's fraction of the requests, evenly spread:
// each request adds the fraction to a credit, and each true result costs a
// credit of one.
bool placement::ShouldShift(const service_id& service) {
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

// Chooses among the serving zones of the local region when the local zone does
// not serve. Reports lag, so this ignores free slots, report age and the
// deadline. A request that was already tried elsewhere is not sent on again.
std::optional<placement::candidate> placement::ChooseWithoutFreeSlots(
    const service_zones& zones, const placement_request& request,
    monotonic_time now) {
  if (!request.excluded.empty()) return std::nullopt;
  candidates region;
  for (const auto& [id, z] : zones) {
    const bool serves = !z.report.leaving && z.report.slots > 0;
    if (!IsLocalRegion(z) || !serves || now < z.avoid_until) continue;
    region.push_back(Estimate(z));
  }
  if (region.empty()) return std::nullopt;
  return ChooseOfTwo(region);
}

placement_result placement::Choose(const placement_request& request,
                                   monotonic_time now) {
  const auto found = zones_.find(request.service);
  if (found == zones_.end()) {
    return refusal{refusal_reason::kUnknownService, RetryAt(now)};
  }
  const service_zones& zones = found->second;
  placement_decision choice;
  std::optional<refusal> earliest_refusal;
  const auto choose = [&](const candidate& c, const char* reason) {
    choice.zone = c.zone;
    choice.region = c.region;
    choice.reason = reason;
    return placement_result(std::move(choice));
  };
  const bool drained = drained_.contains(options_.region);
  const bool shifted = ShouldShift(request.service);
  if (shifted || drained) {
    const region_id only =
        shifted ? shifts_.at(request.service).to : region_id();
    if (const auto c = ChooseInRemoteRegion(zones, request, only, now, choice,
                                            earliest_refusal)) {
      return choose(*c, shifted ? "planned shift" : "local region is drained");
    }
  }
  // Requests that cannot move yet are served in the local region: a drain must
  // not reject requests that the region can still serve.
  const bool local_serves = LocalZoneServes(zones, request);
  if (local_serves && !overflow_[request.service].ShouldMoveNext()) {
    return choose(Estimate(zones.at(options_.zone)), "local zone");
  }
  if (const auto c = ChooseInRegion(zones, request, now, choice)) {
    return choose(*c, "not in the local zone, this zone has a free slot");
  }
  if (!drained && !shifted) {
    if (const auto c = ChooseInRemoteRegion(zones, request, region_id(), now,
                                            choice, earliest_refusal)) {
      return choose(*c, "no other zone of the local region is eligible");
    }
  }
  if (local_serves) {
    return choose(Estimate(zones.at(options_.zone)),
                  "no other zone can be chosen");
  }
  if (const auto c = ChooseWithoutFreeSlots(zones, request, now)) {
    return choose(*c, "local zone does not serve and no zone is eligible");
  }
  if (earliest_refusal) return *earliest_refusal;
  return refusal{refusal_reason::kNoCapacity, RetryAt(now)};
}

monotonic_time placement::RetryAt(monotonic_time now) {
  const double spread = 1 + std::ldexp(random_(), -32);
  return now + FromSeconds(ToSeconds(kRetryDelay) * spread);
}

}  // namespace citron
