#ifndef CITRON_BASE_VERDICT_H_
#define CITRON_BASE_VERDICT_H_

#include <optional>
#include <string_view>

namespace citron {

// Whether a request may have had its effect at an upstream. kNotRun is a
// promise: no byte of the request reached an upstream, or the upstream's
// protocol says that it ran nothing.
enum class verdict { kNotRun, kMayHaveRun, kRan };

// "not_run", "may_have_run" or "ran", as callers see it.
std::string_view VerdictName(verdict v);

std::optional<verdict> ParseVerdict(std::string_view name);

}  // namespace citron

#endif  // CITRON_BASE_VERDICT_H_
