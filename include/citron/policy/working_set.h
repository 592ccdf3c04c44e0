#ifndef CITRON_POLICY_WORKING_SET_H_
#define CITRON_POLICY_WORKING_SET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "citron/base/time.h"

namespace citron {

struct working_set_options {
  // An object that is not asked for within this time is no longer counted.
  duration memory = std::chrono::seconds(10);
  // Objects that are remembered; of more, a sample by hash is kept and the
  // number is extrapolated.
  std::size_t max_remembered = 512;
  // Repeated requests for remembered objects from which on the number of
  // objects that were not seen can be estimated.
  int min_repeats = 12;
};

// Estimates how many distinct objects the callers of one service ask for. A VM
// sees only a part of the requests, so the objects it has not seen are
// estimated too.
class working_set {
 public:
  explicit working_set(const working_set_options& options = {});

  void OnRequest(std::uint64_t object, monotonic_time now);
  // Returns the estimated number of objects, rather too high than too low.
  double Objects(monotonic_time now) const;
  // Returns whether enough requests have come for an estimate.
  bool IsKnown(monotonic_time now) const;

 private:
  // Times of the last requests, the latest first.
  using request_times = std::array<monotonic_time, 3>;
  struct counts {
    int seen = 0;   // Objects asked for within the memory.
    int once = 0;   // Of these, the ones asked for once.
    int twice = 0;  // And twice.
    int repeats = 0;
  };

  counts Count(monotonic_time now) const;
  void Forget(monotonic_time now);
  void ShrinkSample();
  void GrowSample(monotonic_time now);

  working_set_options options_;
  // Objects whose hash is at most the sampling threshold.
  std::map<std::uint64_t, request_times> asked_;
  std::uint64_t threshold_ = ~std::uint64_t{0};
  monotonic_time forget_at_{};
  // Until then the sample lacks objects of a threshold that was raised.
  monotonic_time sample_whole_at_{};
};

}  // namespace citron

#endif  // CITRON_POLICY_WORKING_SET_H_
