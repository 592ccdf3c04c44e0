#include "citron/base/verdict.h"

namespace citron {

std::string_view VerdictName(verdict v) {
  switch (v) {
    case verdict::kNotRun:
      return "not_run";
    case verdict::kMayHaveRun:
      return "may_have_run";
    case verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

std::optional<verdict> ParseVerdict(std::string_view name) {
  for (verdict v : {verdict::kNotRun, verdict::kMayHaveRun, verdict::kRan}) {
    if (VerdictName(v) == name) return v;
  }
  return std::nullopt;
}

}  // namespace citron
