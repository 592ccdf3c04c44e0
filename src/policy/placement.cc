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
// The own zone serves while it has a slot free: going elsewhere costs time and
// link, and caches are warm at home. When it has none, the zone of the region
// with the least expected completion takes the request, and only if no zone of
// the region can end it in time, another region with slots free does. A report
// is up to a second old, and by then every entry has acted on it; so each one
// counts what it sent since, picks the better of two at random instead of the
// best of all, and the owner at the far side has the last word.

// A zone that refused is full or behind; its next report is about this far
// away. It goes behind the others meanwhile, but isn't shut: it refused one
// workspace's request, and another one's may still be in its fair part.
constexpr duration kAvoidAfterRefusal = std::chrono::milliseconds(200);

constexpr duration kRetry = std::chrono::milliseconds(200);

bool Contains(const std::vector<zone_id>& zones, const zone_id& zone) {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

}  // namespace

placement::placement(placement_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void placement::OnReport(const zone_report& report) {
  zone_state& z = zones_[report.service][report.zone];
  z.report = report;
  z.since_report = 0;
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
}

void placement::OnCrossed(const region_id& region, std::uint64_t expected_bytes,
                          std::uint64_t used_bytes, monotonic_time now) {
  Link(region).Settle(expected_bytes, used_bytes, now);
}

bool placement::IsUnknown(const zone_state& z, monotonic_time now) const {
  return now - z.report.received_at > options_.report_lifetime;
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
  const duration wait = Wait(z);
  return {z.report.zone, z.report.region, wait,
          Latency(z.report) + wait + z.report.mean_service_time};
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

// The better of two picked at random: the best of all would be everybody's
// choice until its next report.
const placement::candidate& placement::BetterOfTwo(const candidates& from) {
  const auto count = static_cast<std::uint32_t>(from.size());
  if (count == 1) return from.front();
  const std::uint32_t first = random_(count);
  const std::uint32_t second = (first + 1 + random_(count - 1)) % count;
  return from[first].completion <= from[second].completion ? from[first]
                                                           : from[second];
}

std::optional<placement::candidate> placement::ChooseLocal(
    const service_zones& zones, const place_request& request,
    monotonic_time now, place_choice& choice) {
  std::optional<candidate> own;
  candidates others;
  for (const auto& [id, z] : zones) {
    if (!IsOwnRegion(z)) continue;
    std::string unfit = Unfit(z, request, now);
    if (!unfit.empty()) {
      choice.others.push_back({id, std::move(unfit)});
    } else if (id == options_.zone) {
      own = Estimate(z);
    } else {
      others.push_back(Estimate(z));
    }
  }
  if (own && own->wait == duration()) {
    choice.reason = "own zone has a slot free";
    return own;
  }
  if (others.empty()) {
    choice.reason = "own zone ends it in time";
    return own;
  }
  const candidate& other = BetterOfTwo(others);
  if (own && own->completion <= other.completion) {
    choice.reason = "own zone is expected to end it first";
    return own;
  }
  if (own) choice.others.push_back({own->zone, "expected to end it later"});
  choice.reason = "zone of the region expected to end it first";
  return other;
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
    const candidate c = Estimate(z);
    // Work from outside must not queue in front of the region's own.
    if (unfit.empty() && c.wait > duration()) unfit = "no slot free";
    if (unfit.empty()) {
      abroad.push_back(c);
    } else {
      choice.others.push_back({id, std::move(unfit)});
    }
  }
  while (!abroad.empty()) {
    const candidate c = BetterOfTwo(abroad);
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
bool placement::TakesShift(const service_id& service, monotonic_time) {
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

// Nothing is expected to do; but reports lag, and a lone zone without reports
// still has to serve itself. The owner refuses what it can't do.
std::optional<placement::candidate> placement::LastResort(
    const service_zones& zones, const place_request& request,
    monotonic_time now) const {
  std::optional<candidate> best;
  for (const auto& [id, z] : zones) {
    if (!IsOwnRegion(z) || z.report.leaving) continue;
    if (Contains(request.excluded, id)) continue;
    if (id == options_.zone) return Estimate(z);
    if (now < z.avoid_until) continue;
    const candidate c = Estimate(z);
    if (!best || c.completion < best->completion) best = c;
  }
  return best;
}

place_result placement::Choose(const place_request& request,
                               monotonic_time now) {
  const auto found = zones_.find(request.service);
  if (found == zones_.end()) {
    return refusal{refusal_reason::kUnknownService, RetryAt(now)};
  }
  const service_zones& zones = found->second;
  const auto chosen = [](const candidate& c, place_choice choice) {
    choice.zone = c.zone;
    choice.region = c.region;
    return place_result(std::move(choice));
  };
  place_choice choice;
  std::optional<refusal> blocked;
  const bool drained = drained_.contains(options_.region);
  const bool shifted = TakesShift(request.service, now);
  if (shifted || drained) {
    const region_id only =
        shifted ? shifts_.at(request.service).to : region_id();
    const auto c = ChooseAbroad(zones, request, only, now, choice, blocked);
    choice.reason = shifted ? "planned shift" : "own region is drained";
    if (c) return chosen(*c, std::move(choice));
  }
  // What can't move yet is served here: a drain must not turn requests away
  // that the region can still carry.
  if (const auto c = ChooseLocal(zones, request, now, choice)) {
    return chosen(*c, std::move(choice));
  }
  if (!drained && !shifted) {
    const auto c =
        ChooseAbroad(zones, request, region_id(), now, choice, blocked);
    choice.reason = "no zone of the own region ends it in time";
    if (c) return chosen(*c, std::move(choice));
  }
  if (const auto c = LastResort(zones, request, now)) {
    choice.reason = "nothing better is known";
    return chosen(*c, std::move(choice));
  }
  if (blocked) return *blocked;
  return refusal{refusal_reason::kNoCapacity, RetryAt(now)};
}

monotonic_time placement::RetryAt(monotonic_time now) {
  const double spread = 1 + std::ldexp(random_(), -32);
  return now + FromSeconds(ToSeconds(kRetry) * spread);
}

}  // namespace citron
