#include "citron/base/event_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>

#include "citron/base/log.h"

namespace citron {

namespace {

bool NeedsQuotes(std::string_view text) {
  if (text.empty()) return true;
  return std::any_of(text.begin(), text.end(), [](char c) {
    return c == ' ' || c == '"' || c == '=' || c == '\\';
  });
}

// A caller's bytes may stand in a value; a line break among them would forge a
// second line.
void AppendValue(std::string& line, std::string_view text) {
  const bool quoted = NeedsQuotes(text);
  if (quoted) line.push_back('"');
  for (const char c : text) {
    const bool printable = static_cast<unsigned char>(c) >= 0x20 && c != 0x7f;
    if (quoted && (c == '"' || c == '\\')) line.push_back('\\');
    line.push_back(printable ? c : '?');
  }
  if (quoted) line.push_back('"');
}

}  // namespace

std::string log_value::Number(double value) {
  return fmt::format("{:.4g}", value);
}

event_log::event_log(sink out, const event_log_options& options)
    : out_(std::move(out)), options_(options) {}

event_log::sink event_log::StandardOutput() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return [](std::string_view line) {
    return write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
  };
}

bool event_log::MayWrite(budget& of_event, monotonic_time now) const {
  if (of_event.at == monotonic_time{}) {
    of_event.tokens = options_.burst;
  } else {
    of_event.tokens = std::min(
        options_.burst,
        of_event.tokens + options_.lines_per_s * ToSeconds(now - of_event.at));
  }
  of_event.at = now;
  if (of_event.tokens < 1) {
    ++of_event.dropped;
    return false;
  }
  of_event.tokens -= 1;
  return true;
}

void event_log::Write(std::string_view part, std::string_view event,
                      log_fields fields, monotonic_time now) {
  auto of_part = budgets_.find(part);
  if (of_part == budgets_.end()) {
    of_part = budgets_.emplace(std::string(part), budgets_of_part{}).first;
  }
  auto found = of_part->second.find(event);
  if (found == of_part->second.end()) {
    found = of_part->second.emplace(std::string(event), budget{}).first;
  }
  if (MayWrite(found->second, now)) WriteLine(part, event, fields);
}

void event_log::WriteLine(std::string_view part, std::string_view event,
                          log_fields fields) {
  std::string line =
      fmt::format("ts={} part={} event={}", UnixTimestamp(), part, event);
  for (const auto& [name, value] : fields) {
    line.append(" ").append(name).append("=");
    AppendValue(line, value.Text());
  }
  line.push_back('\n');
  if (!out_(line)) ++unwritten_;
}

void event_log::Summarize(monotonic_time now) {
  if (now - summarized_at_ < options_.summary_interval) return;
  summarized_at_ = now;
  for (auto& [part, events] : budgets_) {
    for (auto& [event, of_event] : events) {
      if (of_event.dropped == 0) continue;
      WriteLine("log", "suppressed",
                {{"of_part", part},
                 {"of_event", event},
                 {"lines", of_event.dropped}});
      of_event.dropped = 0;
    }
  }
  if (unwritten_ == 0) return;
  const std::uint64_t lost = unwritten_;
  unwritten_ = 0;
  WriteLine("log", "unwritten", {{"lines", lost}});
}

}  // namespace citron
