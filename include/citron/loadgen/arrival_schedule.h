#ifndef CITRON_LOADGEN_ARRIVAL_SCHEDULE_H_
#define CITRON_LOADGEN_ARRIVAL_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <vector>

#include "citron/base/time.h"
#include "citron/loadgen/load_plan.h"

namespace citron {

// One request that a caller wants to send.
struct arrival {
  monotonic_time at;
  std::size_t workspace = 0;  // Index in the plan.
  std::size_t request = 0;    // Index in the plan.
  std::uint64_t number = 0;   // Counts all arrivals.
};

// Open-loop arrivals: each workspace is a Poisson process of its own, which
// waits for no answer, so that a slow system meets the same load as a fast
// one. The same seed gives the same arrivals.
class arrival_schedule {
 public:
  // `rates` in requests a second, one for each workspace of the plan.
  arrival_schedule(const load_plan& plan, const std::vector<double>& rates,
                   monotonic_time start, std::uint64_t seed);

  // Whether anything will ever arrive.
  bool IsEmpty() const { return upcoming_.empty(); }
  monotonic_time NextTime() const { return upcoming_.top().at; }
  arrival Take();

 private:
  struct upcoming_arrival {
    monotonic_time at;
    std::size_t workspace = 0;
    bool operator>(const upcoming_arrival& other) const {
      return at > other.at;
    }
  };

  struct workspace_stream {
    double rate = 0;
    pcg32 random;
  };

  duration Gap(workspace_stream& stream);
  std::size_t PickRequest(workspace_stream& stream);

  std::vector<double> mix_;
  std::vector<workspace_stream> streams_;
  std::priority_queue<upcoming_arrival, std::vector<upcoming_arrival>,
                      std::greater<>>
      upcoming_;
  std::uint64_t taken_ = 0;
};

}  // namespace citron

#endif  // CITRON_LOADGEN_ARRIVAL_SCHEDULE_H_
