#ifndef CITRON_POLICY_PROCESSOR_GAUGE_H_
#define CITRON_POLICY_PROCESSOR_GAUGE_H_

#include <optional>

#include "citron/base/time.h"

namespace citron {

struct processor_gauge_options {
  // Parts of the processor that this process may use: above the first it is
  // strained, until it is below the second. What is left above carries requests
  // until callers have heard of it, which takes them a few seconds.
  double strained_use = 0.6;
  double easy_use = 0.35;
  // The use is a mean over about so long.
  duration horizon = FromMilliseconds(1000);
};

// Tells when this process comes near the end of its part of the processor.
class processor_gauge {
 public:
  // `share`: the part of one core that it may use; 0: not known.
  explicit processor_gauge(double share,
                           const processor_gauge_options& options = {});

  // `used`: all processor time since the start of the process.
  void OnSample(duration used, monotonic_time now);
  bool IsStrained() const { return strained_; }

 private:
  struct sample {
    duration used{};
    monotonic_time at;
  };

  processor_gauge_options options_;
  double share_;
  double use_ = 0;
  bool strained_ = false;
  std::optional<sample> last_;
};

}  // namespace citron

#endif  // CITRON_POLICY_PROCESSOR_GAUGE_H_
