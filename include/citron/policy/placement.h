#ifndef CITRON_POLICY_PLACEMENT_H_
#define CITRON_POLICY_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/policy/link_budget.h"
#include "citron/policy/overflow_control.h"
#include "citron/policy/refusal.h"
#include "citron/policy/shift_ramp.h"

namespace citron {

// The last report about a service from the owner of the service in one zone.
struct zone_report {
  zone_id zone;
  region_id region;
  service_id service;
  int slots = 0;
  int in_flight = 0;
  int queued = 0;
  duration expected_wait{};
  duration mean_service_time{};
  monotonic_time received_at;
  bool leaving = false;
  // How long the report is valid; placement_options::report_lifetime applies if
  // that is longer.
  duration lifetime{};

  friend bool operator==(const zone_report&, const zone_report&) = default;
};

// A planned move of a fraction of a service's traffic between two regions.
struct shift {
  region_id from;
  region_id to;
  double fraction = 1;  // Fraction of the traffic to move, 0 to 1.
};

struct placement_options {
  zone_id zone;      // Local zone.
  region_id region;  // Local region.
  // One-way network delays.
  duration zone_latency = std::chrono::microseconds(500);
  duration region_latency = std::chrono::milliseconds(35);
  // Minimum age at which a report expires; see zone_report::lifetime.
  duration report_lifetime = std::chrono::seconds(3);
  double link_bytes_per_s = 300e6 / 8;  // To each remote region.
  // Time for which unused link budget accumulates.
  duration link_burst = std::chrono::milliseconds(200);
};

struct placement_request {
  service_id service;
  std::string request_class;
  monotonic_time deadline;
  std::uint64_t expected_response_bytes = 0;
  std::vector<zone_id> excluded;  // Zones that were already tried.
};

struct skipped_zone {
  zone_id zone;
  std::string reason;
};

struct placement_decision {
  zone_id zone;
  region_id region;
  std::string reason;
  std::vector<skipped_zone> skipped_zones;
};

using placement_result = std::variant<placement_decision, refusal>;

// The number of attempts to send a request of the service to the region since
// the last call of TakePermitDemand, with or without a permit. The entry
// requests this many permits from the receiving region's shift_ramp.
struct permit_demand {
  service_id service;
  region_id region;
  int count = 0;
};

// Chooses the zone and region of each request at an entry.
class placement {
 public:
  placement(placement_options options, std::uint64_t seed);

  void OnReport(const zone_report& report);
  void RemoveZone(const zone_id& zone, const service_id& service);
  void SetShift(const service_id& service, std::optional<shift> s);
  void SetRegionDrained(const region_id& region, bool drained);
  // Sets this process's share of the link to each remote region, 0 to 1.
  void SetLinkShare(double fraction, monotonic_time now);

  // Replaces the permits for a remote region by those that its shift_ramp
  // granted. Without permits no request is sent to that region.
  void OnPermits(const service_id& service, const region_id& region, int count,
                 monotonic_time expires_at);
  // Returns the demand for permits since the last call and clears it, so that
  // the caller can request permits.
  std::vector<permit_demand> TakePermitDemand();

  // Chooses a zone. Choosing a zone in a remote region consumes a permit and
  // link bytes at once.
  placement_result Choose(const placement_request& request, monotonic_time now);

  void OnSent(const service_id& service, const zone_id& zone,
              monotonic_time now);
  void OnDone(const service_id& service, const zone_id& zone,
              monotonic_time now);
  // Records that the zone refused a request without running it. Includes
  // OnDone.
  void OnRefused(const service_id& service, const zone_id& zone,
                 monotonic_time now);
  // Corrects the link budget to the actual size of a response from a remote
  // region.
  void OnRemoteResponse(const region_id& region, std::uint64_t expected_bytes,
                        std::uint64_t used_bytes, monotonic_time now);

 private:
  struct zone_state {
    zone_report report;
    double smoothed_load = 0;  // Requests at the zone, smoothed over reports.
    int in_flight = 0;         // Sent from this entry and not done.
    int net_sent_since_report = 0;  // Sent minus done since the report.
    monotonic_time avoid_until;
  };
  struct permit_grant {
    int count = 0;
    monotonic_time expires_at;
  };
  struct candidate {
    zone_id zone;
    region_id region;
    double free_slots = 0;
    duration completion{};
  };
  using service_zones = std::map<zone_id, zone_state>;
  using service_region = std::pair<service_id, region_id>;
  using candidates = std::vector<candidate>;

  bool IsReportExpired(const zone_state& z, monotonic_time now) const;
  bool IsLocalRegion(const zone_state& z) const;
  duration RoundTripTime(const zone_report& report) const;
  duration ExpectedWait(const zone_state& z) const;
  candidate Estimate(const zone_state& z) const;
  // Returns why the zone is not eligible, or an empty string if it is. Callers
  // check free slots; the local zone is chosen without this check.
  std::string IneligibleReason(const zone_state& z,
                               const placement_request& request,
                               monotonic_time now) const;

  bool LocalZoneServes(const service_zones& zones,
                       const placement_request& request) const;
  std::optional<candidate> ChooseInRegion(const service_zones& zones,
                                          const placement_request& request,
                                          monotonic_time now,
                                          placement_decision& choice);
  std::optional<candidate> ChooseInRemoteRegion(
      const service_zones& zones, const placement_request& request,
      const region_id& only, monotonic_time now, placement_decision& choice,
      std::optional<refusal>& earliest_refusal);
  std::optional<candidate> ChooseWithoutFreeSlots(
      const service_zones& zones, const placement_request& request,
      monotonic_time now);
  const candidate& ChooseOfTwo(const candidates& from);
  bool ShouldShift(const service_id& service);

  std::optional<refusal> ReserveCrossRegion(const placement_request& request,
                                            const region_id& region,
                                            monotonic_time now);
  link_budget& Link(const region_id& region);
  monotonic_time RetryAt(monotonic_time now);

  placement_options options_;
  pcg32 random_;
  std::map<service_id, service_zones> zones_;
  std::map<service_id, shift> shifts_;
  std::map<service_id, double> shift_credit_;
  std::map<service_id, overflow_control> overflow_;
  std::set<region_id> drained_;
  std::map<region_id, link_budget> links_;
  double link_share_ = 0;
  monotonic_time link_share_at_;
  std::map<service_region, permit_grant> permits_;
  std::map<service_region, int> wants_;
};

}  // namespace citron

#endif  // CITRON_POLICY_PLACEMENT_H_
