#ifndef CITRON_BASE_LOG_H_
#define CITRON_BASE_LOG_H_

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

namespace citron {

// The time of day for log lines, in seconds with three decimals.
std::string UnixTimestamp();

// Writes "part: sentence" as one line to standard error, in one write; for what
// a command tells the one who gave it.
void WriteErrorLine(std::string_view part, std::string_view sentence);
// The same with the time of day in front.
void WriteLogLine(std::string_view part, std::string_view sentence);

template <class... Args>
void Log(std::string_view part, fmt::format_string<Args...> format,
         Args&&... args) {
  WriteLogLine(part, fmt::format(format, std::forward<Args>(args)...));
}

// Switches the lines for each decision on or off; errors and state changes are
// always written.
void SetDecisionLog(bool enabled);
bool DecisionLogEnabled();

template <class... Args>
void LogDecision(std::string_view part, fmt::format_string<Args...> format,
                 Args&&... args) {
  if (!DecisionLogEnabled()) return;
  WriteLogLine(part, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace citron

#endif  // CITRON_BASE_LOG_H_
