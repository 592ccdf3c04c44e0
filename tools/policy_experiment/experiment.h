#ifndef CITRON_POLICY_EXPERIMENT_EXPERIMENT_H_
#define CITRON_POLICY_EXPERIMENT_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace citron {

// What callers got under one load with one way to decide.
struct experiment_row {
  std::string load;
  std::string decision;
  double offered_per_s = 0;
  double good_per_s = 0;
  double p50_ms = 0;  // Of look-ups answered in time.
  double p99_ms = 0;
  double worst_part = 0;     // Worst-served workspace, of its fair part.
  double refused_per_s = 0;  // Callers that gave up after a refusal.
  double late_per_s = 0;     // Callers that got an error or nothing in time.
  double sends_for_good = 0;
  int sheds = 0;
  int crashes = 0;
};

using experiment_rows = std::vector<experiment_row>;

struct experiment {
  std::string name;
  std::string question;
  experiment_rows (*run)(std::uint64_t seed);
};

const std::vector<experiment>& AllExperiments();

}  // namespace citron

#endif  // CITRON_POLICY_EXPERIMENT_EXPERIMENT_H_
