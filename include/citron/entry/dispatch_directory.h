#ifndef CITRON_ENTRY_DISPATCH_DIRECTORY_H_
#define CITRON_ENTRY_DISPATCH_DIRECTORY_H_

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/policy/placement.h"
#include "citron/wire/messages.h"

namespace citron {

// Which dispatches serve a service in a zone, from what the VMs say, and the
// choice among those of one zone.
class dispatch_directory {
 public:
  explicit dispatch_directory(std::uint64_t seed);

  void Update(const std::map<vm_id, vm_seen>& vms);

  // One report for each zone and service: its dispatches' queues together.
  const std::vector<zone_report>& ZoneReports() const { return reports_; }

  struct choice {
    vm_id vm;
    endpoint http;
  };
  // A dispatch of the zone that serves the service: the less loaded of two
  // random ones. `excluded` were tried already.
  std::optional<choice> Choose(const zone_id& zone, const service_id& service,
                               const std::set<endpoint>& excluded,
                               monotonic_time now);
  // Where to ask for permits to send to the region; spread over its zones.
  std::optional<endpoint> PermitPeer(const region_id& region,
                                     const service_id& service);

  void OnSent(const endpoint& http) { ++in_flight_[http]; }
  void OnDone(const endpoint& http);
  // A connection to it failed or was lost.
  void OnUnreachable(const endpoint& http, monotonic_time now);

 private:
  struct candidate {
    vm_id vm;
    region_id region;
    endpoint http;
    endpoint peer;
    scheduler_load load;
  };
  using place = std::pair<zone_id, service_id>;

  double Score(const candidate& c) const;

  pcg32 random_;
  std::map<place, std::vector<candidate>> candidates_;
  std::vector<zone_report> reports_;
  std::map<endpoint, int> in_flight_;
  std::map<endpoint, monotonic_time> avoid_until_;
};

}  // namespace citron

#endif  // CITRON_ENTRY_DISPATCH_DIRECTORY_H_
