#include "citron/loadgen/load_ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace citron {

namespace {

constexpr char kOverRate[] = "over_rate";
constexpr double kP99 = 0.99;

}  // namespace

std::string_view CallOutcomeName(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kWhole:
      return "whole";
    case call_outcome::kRefused:
      return "refused";
    case call_outcome::kWrong:
      return "wrong";
    case call_outcome::kBroken:
      return "broken";
    case call_outcome::kTimedOut:
      return "timed_out";
  }
  return "";
}

void load_summary::Add(const load_record& record) {
  ++requests;
  if (record.outcome == call_outcome::kWhole) {
    ++whole;
    latency.Add(record.latency);
    return;
  }
  if (record.outcome == call_outcome::kWrong) ++wrong;
  if (record.reason == kOverRate && !record.over_rate) ++refused_inside_rate;
  ++failures[record.reason.empty()
                 ? std::string(CallOutcomeName(record.outcome))
                 : record.reason];
}

void load_ledger::Add(const load_record& record) { records_.push_back(record); }

load_summary load_ledger::Total() const {
  load_summary total;
  for (const load_record& record : records_) total.Add(record);
  return total;
}

std::map<std::string, load_summary> load_ledger::ByService() const {
  std::map<std::string, load_summary> found;
  for (const load_record& record : records_) {
    found[plan_.requests[record.request].service].Add(record);
  }
  return found;
}

std::map<std::string, load_summary> load_ledger::ByWorkspace() const {
  std::map<std::string, load_summary> found;
  for (const load_record& record : records_) {
    found[plan_.workspaces[record.workspace].name].Add(record);
  }
  return found;
}

std::string load_ledger::WorstWorkspace() const {
  std::string worst;
  std::tuple<double, duration> worst_rank;
  for (const auto& [name, summary] : ByWorkspace()) {
    const double failed = 1.0 - static_cast<double>(summary.whole) /
                                    static_cast<double>(summary.requests);
    const std::tuple<double, duration> rank{failed,
                                            summary.latency.Percentile(kP99)};
    if (!worst.empty() && rank <= worst_rank) continue;
    worst = name;
    worst_rank = rank;
  }
  return worst;
}

std::string load_ledger::Csv() const {
  std::string text =
      "number,workspace,service,class,arrival_ms,latency_ms,outcome,status,"
      "reason,verdict,attempts,over_rate\n";
  for (const load_record& r : records_) {
    const planned_request& request = plan_.requests[r.request];
    text += fmt::format("{},{},{},{},{:.3f},{:.3f},{},{},{},{},{},{}\n",
                        r.number, plan_.workspaces[r.workspace].name,
                        request.service, request.class_name, r.arrival_ms,
                        ToMilliseconds(r.latency), CallOutcomeName(r.outcome),
                        r.status, r.reason, r.verdict, r.attempts, r.over_rate);
  }
  return text;
}

bool contract_bucket::Take(monotonic_time now) {
  tokens_ = std::min(
      burst_,
      tokens_ + rate_ * ToSeconds(std::max(now - last_, duration::zero())));
  last_ = std::max(last_, now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace citron
