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

// What a zone's owner of a service said last.
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
  // How long it says something; placement_options::report_lifetime if longer.
  duration lifetime{};

  friend bool operator==(const zone_report&, const zone_report&) = default;
};

struct shift {
  region_id from;
  region_id to;
  double fraction = 1;  // Part of the traffic to move, 0 to 1.
};

struct placement_options {
  zone_id zone;      // Own.
  region_id region;  // Own.
  // One way.
  duration zone_latency = std::chrono::microseconds(500);
  duration region_latency = std::chrono::milliseconds(35);
  // After this long a report says nothing any more.
  duration report_lifetime = std::chrono::seconds(3);
  double link_bytes_per_s = 300e6 / 8;  // To each other region.
  duration link_burst = std::chrono::milliseconds(200);
};

struct place_request {
  service_id service;
  std::string request_class;
  monotonic_time deadline;
  std::uint64_t expected_response_bytes = 0;
  std::vector<zone_id> excluded;  // Tried already.
};

struct passed_over {
  zone_id zone;
  std::string reason;
};

struct place_choice {
  zone_id zone;
  region_id region;
  std::string reason;
  std::vector<passed_over> others;
};

using place_result = std::variant<place_choice, refusal>;

// How many crossings an entry could have used lately; what to ask of the
// receiving region's shift_ramp.
struct permit_want {
  service_id service;
  region_id region;
  int count = 0;
};

// An entry's choice of zone and region for a request.
class placement {
 public:
  placement(placement_options options, std::uint64_t seed);

  void OnReport(const zone_report& report);
  void Forget(const zone_id& zone, const service_id& service);
  void SetShift(const service_id& service, std::optional<shift> s);
  void SetRegionDrained(const region_id& region, bool drained);
  // This process's part of the link to each other region, 0 to 1.
  void SetLinkShare(double fraction, monotonic_time now);

  // Permits from a receiving region's shift_ramp. Without them nothing crosses.
  void OnPermits(const service_id& service, const region_id& region, int count,
                 monotonic_time expires_at);
  // Wants since the last call, so that the driver can ask for permits.
  std::vector<permit_want> TakeWants();

  // A choice in another region takes a permit and link bytes at once.
  place_result Choose(const place_request& request, monotonic_time now);

  void OnSent(const service_id& service, const zone_id& zone,
              monotonic_time now);
  void OnDone(const service_id& service, const zone_id& zone,
              monotonic_time now);
  // The zone refused it as not run.
  void OnRefused(const service_id& service, const zone_id& zone,
                 monotonic_time now);
  // The true size of an answer that crossed from another region.
  void OnCrossed(const region_id& region, std::uint64_t expected_bytes,
                 std::uint64_t used_bytes, monotonic_time now);

 private:
  struct zone_state {
    zone_report report;
    double busy = 0;       // Slots' worth of work, smoothed over reports.
    int in_flight = 0;     // Sent from here, not done.
    int since_report = 0;  // Sent less done since the report.
    monotonic_time avoid_until;
  };
  struct permits {
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

  bool IsUnknown(const zone_state& z, monotonic_time now) const;
  bool IsOwnRegion(const zone_state& z) const;
  duration Latency(const zone_report& report) const;
  duration Wait(const zone_state& z) const;
  candidate Estimate(const zone_state& z) const;
  // Why the zone can't be chosen at all; empty if it can.
  std::string Unfit(const zone_state& z, const place_request& request,
                    monotonic_time now) const;

  bool OwnZoneServes(const service_zones& zones,
                     const place_request& request) const;
  std::optional<candidate> ChooseInRegion(const service_zones& zones,
                                          const place_request& request,
                                          monotonic_time now,
                                          place_choice& choice);
  std::optional<candidate> ChooseAbroad(const service_zones& zones,
                                        const place_request& request,
                                        const region_id& only,
                                        monotonic_time now,
                                        place_choice& choice,
                                        std::optional<refusal>& blocked);
  std::optional<candidate> ChooseWithoutFreeSlots(const service_zones& zones,
                                                  const place_request& request,
                                                  monotonic_time now);
  const candidate& RoomierOfTwo(const candidates& from);
  bool TakesShift(const service_id& service);

  std::optional<refusal> TakeCrossing(const place_request& request,
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
  std::map<service_region, permits> permits_;
  std::map<service_region, int> wants_;
};

}  // namespace citron

#endif  // CITRON_POLICY_PLACEMENT_H_
