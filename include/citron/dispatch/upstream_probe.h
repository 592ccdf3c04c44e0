#ifndef CITRON_DISPATCH_UPSTREAM_PROBE_H_
#define CITRON_DISPATCH_UPSTREAM_PROBE_H_

#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/net/http_client.h"
#include "citron/policy/upstream_chooser.h"

namespace citron {

// Reads what an upstream's /health page says. Bytes that are no such page make
// an unhealthy report.
upstream_report ParseUpstreamReport(std::string_view body);

// Asks owned upstreams for their health and load, one probe at a time each.
class upstream_probe {
 public:
  using on_report =
      std::function<void(const upstream_id&, const upstream_report&)>;

  upstream_probe(event_loop& loop, duration interval, duration timeout,
                 on_report report);

  // The upstreams to probe from now on.
  void SetTargets(const std::map<upstream_id, endpoint>& targets);

 private:
  void ProbeDue();
  void Probe(const upstream_id& id, const endpoint& address);

  duration interval_;
  duration timeout_;
  on_report report_;
  http_client client_;
  std::map<upstream_id, endpoint> targets_;
  std::map<upstream_id, bool> out_;  // A probe without an answer yet.
  loop_timer timer_;
};

}  // namespace citron

#endif  // CITRON_DISPATCH_UPSTREAM_PROBE_H_
