#ifndef CITRON_BASE_EVENT_LOG_H_
#define CITRON_BASE_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "citron/base/time.h"

namespace citron {

// A value of a log line, as text.
class log_value {
 public:
  // NOLINTBEGIN(google-explicit-constructor): made where a line is written.
  log_value(std::string_view text) : text_(text) {}
  log_value(const char* text) : text_(text) {}
  log_value(const std::string& text) : text_(text) {}
  template <class T, class = std::enable_if_t<std::is_arithmetic_v<T>>>
  log_value(T number) : owned_(Number(number)), text_(owned_) {}
  // NOLINTEND(google-explicit-constructor)

  std::string_view Text() const { return owned_.empty() ? text_ : owned_; }

 private:
  static std::string Number(bool value) { return value ? "true" : "false"; }
  static std::string Number(double value);
  template <class T>
  static std::string Number(T value) {
    if constexpr (std::is_floating_point_v<T>) {
      return Number(static_cast<double>(value));
    } else {
      return std::to_string(value);
    }
  }

  std::string owned_;
  std::string_view text_;
};

using log_fields =
    std::initializer_list<std::pair<std::string_view, log_value>>;

struct event_log_options {
  // Lines a second of one part and event, and how many at once. At 40 requests
  // a second each has its lines; a flood costs a bounded part of the processor.
  double lines_per_s = 120;
  double burst = 240;
  // How often dropped lines are reported.
  duration summary_interval = std::chrono::seconds(5);
};

// Writes structured lines, "ts=... part=... event=... name=value ...". The
// number of lines is bounded for each event, what is dropped is counted and
// told, and writing never waits.
class event_log {
 public:
  // Takes one whole line; false if it was not written.
  using sink = std::function<bool(std::string_view line)>;

  explicit event_log(sink out, const event_log_options& options = {});

  // Lines to standard output; those that it can't take at once are dropped.
  static sink StandardOutput();

  void Write(std::string_view part, std::string_view event, log_fields fields,
             monotonic_time now);
  // Reports what was dropped, if it is time to.
  void Summarize(monotonic_time now);

 private:
  struct budget {
    double tokens = 0;
    monotonic_time at{};
    std::uint64_t dropped = 0;
  };

  bool MayWrite(budget& of_event, monotonic_time now) const;
  void WriteLine(std::string_view part, std::string_view event,
                 log_fields fields);

  sink out_;
  event_log_options options_;
  using budgets_of_part = std::map<std::string, budget, std::less<>>;
  std::map<std::string, budgets_of_part, std::less<>> budgets_;
  std::uint64_t unwritten_ = 0;
  monotonic_time summarized_at_{};
};

}  // namespace citron

#endif  // CITRON_BASE_EVENT_LOG_H_
