#include "citron/policy/memory_budget.h"

#include <algorithm>

namespace citron {

void memory_budget::account::Set(std::size_t bytes) {
  budget_.held_ = budget_.held_ - bytes_ + bytes;
  bytes_ = bytes;
  budget_.peak_ = std::max(budget_.peak_, budget_.held_);
}

memory_budget::memory_budget(const memory_budget_options& options)
    : options_(options) {}

// Falls in a straight line from the end of the free part to the limit, so that
// no single byte changes much.
std::size_t memory_budget::Allowance(std::size_t usual_bytes) const {
  if (options_.limit_bytes == 0) return usual_bytes;
  const std::size_t least =
      std::min(options_.least_allowance_bytes, usual_bytes);
  const auto limit = static_cast<double>(options_.limit_bytes);
  const double free = limit * options_.free_fraction;
  const auto held = static_cast<double>(held_);
  if (held <= free) return usual_bytes;
  if (held >= limit) return least;
  const double left = (limit - held) / (limit - free);
  return least + static_cast<std::size_t>(
                     left * static_cast<double>(usual_bytes - least));
}

bool memory_budget::Admits(std::size_t body_bytes) const {
  return options_.limit_bytes == 0 || held_ < options_.limit_bytes ||
         body_bytes <= options_.least_allowance_bytes;
}

}  // namespace citron
