#ifndef CITRON_ENTRY_SERVICE_QUALITY_H_
#define CITRON_ENTRY_SERVICE_QUALITY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// How each workspace fares here: the part of its requests that got a whole
// answer, over the last one to two windows. An average over all workspaces
// hides the small one that gets nothing.
class service_quality {
 public:
  explicit service_quality(duration window) : window_(window) {}

  void OnEnded(const workspace_id& workspace, bool is_answered,
               monotonic_time now);

  struct workspace_score {
    workspace_id workspace;
    std::uint64_t requests = 0;
    double answered_part = 1;
  };
  // The workspace with the lowest part; none without requests.
  std::optional<workspace_score> Worst(monotonic_time now);

 private:
  struct counts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
  };
  using window_counts = std::map<workspace_id, counts>;

  void Turn(monotonic_time now);

  duration window_;
  monotonic_time window_ends_at_{};
  window_counts current_;
  window_counts last_;
};

}  // namespace citron

#endif  // CITRON_ENTRY_SERVICE_QUALITY_H_
