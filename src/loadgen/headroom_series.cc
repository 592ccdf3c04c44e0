#include "citron/loadgen/headroom_series.h"

#include <charconv>
#include <cmath>
#include <optional>

namespace citron {

namespace {

constexpr std::string_view kMetric = "citron_zone_headroom";

// Of `name="value"` within the braces.
std::string_view LabelOf(std::string_view labels, std::string_view name) {
  for (std::size_t at = labels.find(name); at != std::string_view::npos;
       at = labels.find(name, at + 1)) {
    const bool starts = at == 0 || labels[at - 1] == ',';
    std::string_view rest = labels.substr(at + name.size());
    if (!starts || !rest.starts_with("=\"")) continue;
    rest.remove_prefix(2);
    return rest.substr(0, rest.find('"'));
  }
  return {};
}

std::optional<double> NumberOf(std::string_view text) {
  double number = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (read.ec != std::errc() || !std::isfinite(number)) return std::nullopt;
  return number;
}

void ReadLine(std::string_view line, headroom_by_zone& seen) {
  if (!line.starts_with(kMetric)) return;
  line.remove_prefix(kMetric.size());
  const std::size_t end = line.find("} ");
  if (!line.starts_with('{') || end == std::string_view::npos) return;
  const std::string_view labels = line.substr(1, end - 1);
  const std::string_view service = LabelOf(labels, "service");
  const std::string_view zone = LabelOf(labels, "zone");
  const std::optional<double> slots = NumberOf(line.substr(end + 2));
  if (service.empty() || zone.empty() || !slots) return;
  seen[std::string(service)][std::string(zone)] = *slots;
}

}  // namespace

headroom_by_zone ParseHeadroom(std::string_view page) {
  headroom_by_zone seen;
  while (!page.empty()) {
    const std::size_t end = page.find('\n');
    ReadLine(page.substr(0, end), seen);
    if (end == std::string_view::npos) break;
    page.remove_prefix(end + 1);
  }
  return seen;
}

// Entries hear of a zone at different times. The lowest is taken, as headroom
// is there to be counted on.
void headroom_series::OnPage(const headroom_by_zone& seen) {
  for (const auto& [service, zones] : seen) {
    auto& known = round_[service];
    for (const auto& [zone, slots] : zones) {
      const auto [at, added] = known.try_emplace(zone, slots);
      if (!added && slots < at->second) at->second = slots;
    }
  }
}

void headroom_series::EndRound() {
  for (const auto& [service, zones] : round_) {
    headroom_summary& summary = services_[service];
    const bool first = summary.rounds == 0;
    double all = 0;
    for (const auto& [zone, slots] : zones) {
      all += slots;
      if (summary.least_zone.empty() || slots < summary.least_in_zone) {
        summary.least_in_zone = slots;
        summary.least_zone = zone;
      }
    }
    if (first || all < summary.least) summary.least = all;
    ++summary.rounds;
    sums_[service] += all;
    summary.mean = sums_[service] / static_cast<double>(summary.rounds);
  }
  round_.clear();
}

std::map<std::string, headroom_summary> headroom_series::ByService() const {
  return services_;
}

}  // namespace citron
