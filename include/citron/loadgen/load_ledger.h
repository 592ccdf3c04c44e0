#ifndef CITRON_LOADGEN_LOAD_LEDGER_H_
#define CITRON_LOADGEN_LOAD_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/time.h"
#include "citron/loadgen/latency_histogram.h"
#include "citron/loadgen/load_plan.h"

namespace citron {

enum class call_outcome {
  kWhole,    // Its own answer, each byte checked.
  kRefused,  // An answer that says why not.
  kWrong,    // Bytes that are not the answer to this request.
  kBroken,   // No whole answer.
  kTimedOut,
};

std::string_view CallOutcomeName(call_outcome outcome);

// What became of one request, with its repeats.
struct load_record {
  std::uint64_t number = 0;
  std::size_t workspace = 0;
  std::size_t request = 0;
  double arrival_ms = 0;  // From the start of the load.
  duration latency{};     // From arrival, so that waiting for an id counts.
  call_outcome outcome = call_outcome::kBroken;
  int status = 0;
  std::string reason;   // The error's code, or the problem.
  std::string verdict;  // As answered.
  int attempts = 1;
  // Over the rate by the callers' own count, which is the contract's bucket.
  bool over_rate = false;
};

struct load_summary {
  std::uint64_t requests = 0;
  std::uint64_t whole = 0;
  std::uint64_t wrong = 0;
  // Refused as over the rate although inside it by the callers' count.
  std::uint64_t refused_inside_rate = 0;
  std::map<std::string, std::uint64_t> failures;  // By reason.
  latency_histogram latency;                      // Of whole answers.

  void Add(const load_record& record);
};

// The callers' own account of a load.
class load_ledger {
 public:
  explicit load_ledger(const load_plan& plan) : plan_(plan) {}

  void Add(const load_record& record);

  const std::vector<load_record>& Records() const { return records_; }
  load_summary Total() const;
  std::map<std::string, load_summary> ByService() const;
  std::map<std::string, load_summary> ByWorkspace() const;
  // The one with the smallest part of whole answers; of equal ones the one
  // with the longest p99. Empty without records.
  std::string WorstWorkspace() const;
  // With a header line.
  std::string Csv() const;

 private:
  const load_plan& plan_;
  std::vector<load_record> records_;
};

// A workspace's bucket as its contract gives it, on the callers' side.
class contract_bucket {
 public:
  contract_bucket(double rate_per_s, double burst, monotonic_time start)
      : rate_(rate_per_s), burst_(burst), tokens_(burst), last_(start) {}

  // Takes a token; whether there was one.
  bool Take(monotonic_time now);

 private:
  double rate_;
  double burst_;
  double tokens_;
  monotonic_time last_;
};

}  // namespace citron

#endif  // CITRON_LOADGEN_LOAD_LEDGER_H_
