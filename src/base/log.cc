#include "citron/base/log.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>

namespace citron {

namespace {

std::atomic<bool> decision_log_enabled{true};

}  // namespace

std::string UnixTimestamp() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  return fmt::format("{}.{:03}", ms.count() / 1000, ms.count() % 1000);
}

void WriteErrorLine(std::string_view part, std::string_view sentence) {
  std::string line;
  line.reserve(part.size() + sentence.size() + 3);
  line.append(part).append(": ");
  // A caller's bytes may stand in a sentence; a line break among them would
  // forge a second line.
  for (char c : sentence) {
    const bool printable = static_cast<unsigned char>(c) >= 0x20 && c != 0x7f;
    line.push_back(printable ? c : '?');
  }
  line.push_back('\n');
  // One write keeps lines of several threads whole. A full or closed standard
  // error loses the line rather than the request.
  [[maybe_unused]] const ssize_t written =
      write(STDERR_FILENO, line.data(), line.size());
}

void WriteLogLine(std::string_view part, std::string_view sentence) {
  WriteErrorLine(UnixTimestamp().append(" ").append(part), sentence);
}

void SetDecisionLog(bool enabled) { decision_log_enabled.store(enabled); }

bool DecisionLogEnabled() {
  return decision_log_enabled.load(std::memory_order_relaxed);
}

}  // namespace citron
