#include "citron/node/answer_signals.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>

namespace citron {

namespace {

constexpr int kServiceUnavailable = 503;

std::optional<load_report> ReadLoad(std::string_view text) {
  load_report report;
  int* const fields[] = {&report.running, &report.waiting, &report.slots};
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  for (int* field : fields) {
    while (at != end && (*at == ',' || *at == ' ')) ++at;
    const auto [next, failure] = std::from_chars(at, end, *field);
    if (failure != std::errc() || *field < 0) return std::nullopt;
    at = next;
  }
  return report;
}

std::optional<double> ReadDecimal(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failure] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (failure != std::errc() || rest != end) return std::nullopt;
  if (!std::isfinite(value) || std::signbit(value)) return std::nullopt;
  return value;
}

std::optional<bool> ReadFlag(std::string_view text) {
  if (text == "1") return true;
  if (text == "0") return false;
  return std::nullopt;
}

// Two headers of a name contradict each other or are a fault of the upstream.
template <typename T>
header_signal<T> ReadSignal(
    const http1_head& head, const std::string& name,
    const std::function<std::optional<T>(std::string_view)>& read) {
  header_signal<T> found;
  const auto count = std::count_if(
      head.headers.begin(), head.headers.end(),
      [&](const http_header& h) { return HeaderNameIs(h.name, name); });
  if (count == 0) return found;
  found.named = true;
  found.text = *FindHeader(head.headers, name);
  if (count == 1) found.value = read(found.text);
  return found;
}

}  // namespace

std::optional<duration> ReadPause(std::string_view text) {
  const std::optional<double> seconds = ReadDecimal(text);
  if (!seconds) return std::nullopt;
  return FromSeconds(std::min(*seconds, ToSeconds(kLongestPause)));
}

answer_signals ReadAnswerSignals(const http1_head& head,
                                 const header_names& names) {
  answer_signals signals;
  const auto load = FindHeader(head.headers, names.load);
  if (load) signals.load = ReadLoad(*load);
  signals.rate_limit_per_s =
      ReadSignal<double>(head, names.rate_limit, ReadDecimal);
  if (head.status == kServiceUnavailable) {
    signals.pause = ReadSignal<duration>(head, names.pause, ReadPause);
  }
  signals.leaving = ReadSignal<bool>(head, names.leaving, ReadFlag);
  return signals;
}

}  // namespace citron
