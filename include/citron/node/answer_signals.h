#ifndef CITRON_NODE_ANSWER_SIGNALS_H_
#define CITRON_NODE_ANSWER_SIGNALS_H_

#include <optional>
#include <string>
#include <string_view>

#include "citron/base/time.h"
#include "citron/net/http1_reader.h"
#include "citron/node/header_names.h"
#include "citron/policy/upstream_tracker.h"

namespace citron {

// A header that at most one value makes sense of. `text` is as it came, empty
// if the header is not there; `value` is empty if it can't be read.
template <typename T>
struct header_signal {
  bool named = false;
  std::string text;
  std::optional<T> value;

  bool IsUnreadable() const { return named && !value; }
};

// What an upstream says of itself in the head of an answer.
struct answer_signals {
  std::optional<load_report> load;
  header_signal<double> rate_limit_per_s;
  header_signal<duration> pause;  // Of a 503: it wants no requests for so long.
  header_signal<bool> leaving;
};

// The longest pause that is kept; a longer one would be longer than any
// upstream's life, and added to a time could exceed what a time holds.
inline constexpr duration kLongestPause = std::chrono::hours(24);

answer_signals ReadAnswerSignals(const http1_head& head,
                                 const header_names& names);

// Reads plain decimal seconds. Returns nothing for a date, a sign or an
// exponent.
std::optional<duration> ReadPause(std::string_view text);

}  // namespace citron

#endif  // CITRON_NODE_ANSWER_SIGNALS_H_
