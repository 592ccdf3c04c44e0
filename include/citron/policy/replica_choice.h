#ifndef CITRON_POLICY_REPLICA_CHOICE_H_
#define CITRON_POLICY_REPLICA_CHOICE_H_

#include <cstddef>
#include <optional>
#include <span>

#include "citron/base/time.h"

namespace citron {

struct replica_choice_options {
  // Upstreams that may serve an object, the preferred one included.
  int max_replicas = 3;
  // Probability that a replica other than the preferred one has to load the
  // object, before anything is learnt, and the weight of each outcome.
  double initial_cold_probability = 0.5;
  double outcome_weight = 0.05;
  // Ratio of a service time to the median of warm ones from which on the object
  // counts as loaded anew.
  double cold_ratio = 1.8;
  // Service time of a cold object in warm ones, before any was seen.
  double initial_cold_factor = 3;
};

// One upstream that may serve the object.
struct replica_state {
  int load = 0;  // Requests there.
  int slots = 1;
  bool known_warm = false;  // This VM had the object answered there lately.
  duration host_delay{};    // What its host is expected to add now.
};

// Chooses among the replicas of an object by expected completion. Load pattern:
// few objects with much demand each, so that the preferred upstream of one is
// full while others stand idle; hosts that slow down for a moment.
class replica_choice {
 public:
  explicit replica_choice(const replica_choice_options& options = {});

  // `replicas`: the preferred one first. `max_load`: requests per slot up to
  // which one takes requests. `service_time`: median of warm requests, zero if
  // not known. Returns the index, or nothing if no replica has room.
  std::optional<std::size_t> Choose(std::span<const replica_state> replicas,
                                    double max_load,
                                    duration service_time) const;

  // Takes the service time of a request that found a free slot at a replica
  // that was not known to be warm.
  void OnServed(duration service_time, duration warm_service_time);
  double ColdProbability() const { return cold_probability_; }
  int MaxReplicas() const { return options_.max_replicas; }

 private:
  replica_choice_options options_;
  double cold_probability_;
  double cold_factor_;
};

}  // namespace citron

#endif  // CITRON_POLICY_REPLICA_CHOICE_H_
