#include "citron/dispatch/upstream_probe.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr int kMaxReportedWork = 1000000;

bool FlagOr(const nlohmann::json& page, const char* name, bool otherwise) {
  const auto found = page.find(name);
  if (found == page.end() || !found->is_boolean()) return otherwise;
  return found->get<bool>();
}

int CountOr(const nlohmann::json& page, const char* name, int otherwise) {
  const auto found = page.find(name);
  if (found == page.end() || !found->is_number_integer()) return otherwise;
  const auto count = found->get<std::int64_t>();
  return count < 0 || count > kMaxReportedWork ? otherwise
                                               : static_cast<int>(count);
}

}  // namespace

upstream_report ParseUpstreamReport(std::string_view body) {
  upstream_report report;
  const result<nlohmann::json> parsed = ParseJson(body);
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) {
    report.healthy = false;
    return report;
  }
  const nlohmann::json& page = ValueOf(parsed);
  report.healthy = FlagOr(page, "healthy", false);
  report.ready = FlagOr(page, "ready", true);
  report.leaving = FlagOr(page, "leaving", false);
  report.in_flight = CountOr(page, "in_flight", 0);
  report.queued = CountOr(page, "queued", 0);
  return report;
}

upstream_probe::upstream_probe(event_loop& loop, duration interval,
                               duration timeout, on_report report)
    : interval_(interval),
      timeout_(timeout),
      report_(std::move(report)),
      client_(loop),
      timer_(loop, [this] { ProbeDue(); }) {
  timer_.Arm(MonotonicNow());
}

void upstream_probe::SetTargets(
    const std::map<upstream_id, endpoint>& targets) {
  // A new target is asked at once: it may be leaving.
  for (const auto& [id, address] : targets) {
    if (!targets_.contains(id)) Probe(id, address);
  }
  targets_ = targets;
}

void upstream_probe::ProbeDue() {
  timer_.Arm(MonotonicNow() + interval_);
  for (const auto& [id, address] : targets_) Probe(id, address);
}

void upstream_probe::Probe(const upstream_id& id, const endpoint& address) {
  bool& out = out_[id];
  if (out) return;
  out = true;
  client_.Call(address, {"GET", "/health", {}, ""}, MonotonicNow() + timeout_,
               [this, id](const http_response* response, const call_failure&) {
                 out_[id] = false;
                 upstream_report report;
                 report.healthy = false;
                 if (response != nullptr) {
                   report = ParseUpstreamReport(response->body);
                 }
                 report_(id, report);
               });
}

}  // namespace citron
