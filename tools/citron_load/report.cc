#include "tools/citron_load/report.h"

#include <fmt/format.h>

namespace citron {

namespace {

double PercentileMs(const load_summary& summary, double part) {
  return ToMilliseconds(summary.latency.Percentile(part));
}

std::string Row(const std::string& name, const load_summary& summary) {
  return fmt::format("{:<16}{:>9}{:>9}{:>8}{:>10.1f}{:>10.1f}{:>10.1f}\n", name,
                     summary.requests, summary.whole, summary.wrong,
                     PercentileMs(summary, 0.5), PercentileMs(summary, 0.99),
                     ToMilliseconds(summary.latency.Max()));
}

nlohmann::json SummaryJson(const load_summary& summary) {
  return {{"requests", summary.requests},
          {"whole", summary.whole},
          {"wrong", summary.wrong},
          {"refused_inside_rate", summary.refused_inside_rate},
          {"failures", summary.failures},
          {"p50_ms", PercentileMs(summary, 0.5)},
          {"p99_ms", PercentileMs(summary, 0.99)},
          {"max_ms", ToMilliseconds(summary.latency.Max())}};
}

}  // namespace

std::string LoadTable(const load_result& result) {
  const load_summary total = result.ledger.Total();
  std::string text =
      fmt::format("{:<16}{:>9}{:>9}{:>8}{:>10}{:>10}{:>10}\n", "service",
                  "requests", "whole", "wrong", "p50 ms", "p99 ms", "max ms");
  for (const auto& [name, summary] : result.ledger.ByService()) {
    text += Row(name, summary);
  }
  text += Row("all", total);
  for (const auto& [reason, count] : total.failures) {
    text += fmt::format("not answered, {}: {}\n", reason, count);
  }
  text +=
      fmt::format("refused inside the rate: {}\n", total.refused_inside_rate);
  const std::string worst = result.ledger.WorstWorkspace();
  if (!worst.empty()) {
    const load_summary summary = result.ledger.ByWorkspace().at(worst);
    text += fmt::format(
        "worst-served workspace: {}, {} of {} whole, p99 {:.1f} "
        "ms\n",
        worst, summary.whole, summary.requests, PercentileMs(summary, 0.99));
  }
  for (const auto& [name, summary] : result.headroom) {
    text += fmt::format(
        "headroom of {}: least {:.0f}, mean {:.1f} slots; least of a zone "
        "{:.0f} ({})\n",
        name, summary.least, summary.mean, summary.least_in_zone,
        summary.least_zone);
  }
  text += fmt::format("length {:.1f} s, not sent {}\n",
                      ToSeconds(result.length), result.skipped);
  return text;
}

nlohmann::json LoadJson(const load_result& result) {
  nlohmann::json services;
  for (const auto& [name, summary] : result.ledger.ByService()) {
    services[name] = SummaryJson(summary);
  }
  nlohmann::json workspaces;
  for (const auto& [name, summary] : result.ledger.ByWorkspace()) {
    workspaces[name] = SummaryJson(summary);
  }
  nlohmann::json headroom = nlohmann::json::object();
  for (const auto& [name, summary] : result.headroom) {
    headroom[name] = {{"least", summary.least},
                      {"mean", summary.mean},
                      {"least_in_zone", summary.least_in_zone},
                      {"least_zone", summary.least_zone},
                      {"rounds", summary.rounds}};
  }
  return {{"headroom", headroom},
          {"total", SummaryJson(result.ledger.Total())},
          {"services", services},
          {"workspaces", workspaces},
          {"worst_workspace", result.ledger.WorstWorkspace()},
          {"length_s", ToSeconds(result.length)},
          {"not_sent", result.skipped}};
}

}  // namespace citron
