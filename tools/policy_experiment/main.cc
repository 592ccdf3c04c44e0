#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <string>

#include "experiment.h"

namespace {

using citron::experiment;
using citron::experiment_row;

void PrintCsvRow(const experiment& e, const experiment_row& r) {
  fmt::print("{},{},{},{:.1f},{:.1f},{:.1f},{:.1f},{:.3f},{:.1f},{:.1f},",
             e.name, r.load, r.decision, r.offered_per_s, r.good_per_s,
             r.p50_ms, r.p99_ms, r.worst_part, r.refused_per_s, r.late_per_s);
  fmt::print("{:.3f},{},{}\n", r.sends_for_good, r.sheds, r.crashes);
}

void PrintTableRow(const experiment_row& r) {
  fmt::print("{:<28} {:<26} {:>8.1f} {:>7.1f} {:>7.1f} {:>8.1f} {:>6.2f} ",
             r.load, r.decision, r.offered_per_s, r.good_per_s, r.p50_ms,
             r.p99_ms, r.worst_part);
  fmt::print("{:>9.1f} {:>7.1f} {:>7.3f} {:>6} {:>8}\n", r.refused_per_s,
             r.late_per_s, r.sends_for_good, r.sheds, r.crashes);
}

void PrintTableHead(const experiment& e) {
  fmt::print("\n{}: {}\n", e.name, e.question);
  fmt::print(
      "{:<28} {:<26} {:>8} {:>7} {:>7} {:>8} {:>6} {:>9} {:>7} {:>7} {:>6} "
      "{:>8}\n",
      "load", "decision", "asked/s", "good/s", "p50 ms", "p99 ms", "worst",
      "refused/s", "late/s", "sends", "sheds", "crashes");
}

void Run(const experiment& e, std::uint64_t seed, bool csv) {
  if (!csv) PrintTableHead(e);
  for (const experiment_row& row : e.run(seed)) {
    if (csv) {
      PrintCsvRow(e, row);
    } else {
      PrintTableRow(row);
    }
  }
}

int RunNamed(const std::string& name, std::uint64_t seed, bool csv) {
  if (csv) {
    fmt::print(
        "experiment,load,decision,offered_per_s,good_per_s,p50_ms,p99_ms,"
        "worst_part,refused_per_s,late_per_s,sends_for_good,sheds,crashes\n");
  }
  bool found = false;
  for (const experiment& e : citron::AllExperiments()) {
    if (name != "all" && name != e.name) continue;
    Run(e, seed, csv);
    found = true;
  }
  if (found) return 0;
  fmt::print(stderr, "policy_experiment: no experiment \"{}\"\n", name);
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("policy_experiment",
                           "Plays loads with a decision and without it.");
  options.add_options()                                      //
      ("experiment", "name, or all",                         //
       cxxopts::value<std::string>()->default_value("all"))  //
      ("seed", "of all random numbers",                      //
       cxxopts::value<std::uint64_t>()->default_value("1"))  //
      ("csv", "comma-separated rows instead of tables")      //
      ("help", "this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      fmt::print("{}\n", options.help());
      for (const experiment& e : citron::AllExperiments()) {
        fmt::print("  {:<12} {}\n", e.name, e.question);
      }
      return 0;
    }
    return RunNamed(parsed["experiment"].as<std::string>(),
                    parsed["seed"].as<std::uint64_t>(),
                    parsed.count("csv") > 0);
  } catch (const std::exception& problem) {
    fmt::print(stderr, "policy_experiment: {}\n", problem.what());
    return 2;
  }
}
