#ifndef TOOLS_CITRON_LOAD_HEADROOM_SAMPLER_H_
#define TOOLS_CITRON_LOAD_HEADROOM_SAMPLER_H_

#include <vector>

#include "citron/base/endpoint.h"
#include "citron/loadgen/headroom_series.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_client.h"

namespace citron {

// Reads the entries' pages of metrics over the run.
class headroom_sampler {
 public:
  headroom_sampler(event_loop& loop, std::vector<endpoint> pages);

  void Start();
  // Reads nothing more; a round that isn't whole is left out.
  void Stop();

  const headroom_series& Series() const { return series_; }

 private:
  void RoundDue();

  std::vector<endpoint> pages_;
  headroom_series series_;
  http_client client_;
  loop_timer timer_;
  bool running_ = false;
};

}  // namespace citron

#endif  // TOOLS_CITRON_LOAD_HEADROOM_SAMPLER_H_
