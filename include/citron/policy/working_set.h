#ifndef CITRON_POLICY_WORKING_SET_H_
#define CITRON_POLICY_WORKING_SET_H_

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
};

// Estimates how many distinct objects the callers of one service ask for.
class working_set {
 public:
  explicit working_set(const working_set_options& options = {});

  void OnRequest(std::uint64_t object, monotonic_time now);
  // Returns the estimated number of objects.
  double Objects(monotonic_time now) const;
  // Returns whether requests have come for long enough for an estimate.
  bool IsKnown(monotonic_time now) const;

 private:
  void Forget(monotonic_time now);

  working_set_options options_;
  // Objects whose hash is below the sampling threshold, with the time of the
  // last request.
  std::map<std::uint64_t, monotonic_time> last_asked_;
  std::uint64_t threshold_ = ~std::uint64_t{0};
  monotonic_time first_request_at_ = monotonic_time::max();
};

}  // namespace citron

#endif  // CITRON_POLICY_WORKING_SET_H_
