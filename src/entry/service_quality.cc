#include "citron/entry/service_quality.h"

#include <utility>

namespace citron {

void service_quality::OnEnded(const workspace_id& workspace, bool is_answered,
                              monotonic_time now) {
  Turn(now);
  counts& sums = current_[workspace];
  ++sums.requests;
  if (is_answered) ++sums.answered;
}

std::optional<service_quality::workspace_score> service_quality::Worst(
    monotonic_time now) {
  Turn(now);
  window_counts both = last_;
  for (const auto& [workspace, sums] : current_) {
    both[workspace].requests += sums.requests;
    both[workspace].answered += sums.answered;
  }
  std::optional<workspace_score> worst;
  for (const auto& [workspace, sums] : both) {
    const double part =
        static_cast<double>(sums.answered) / static_cast<double>(sums.requests);
    if (!worst || part < worst->answered_part) {
      worst = workspace_score{workspace, sums.requests, part};
    }
  }
  return worst;
}

void service_quality::Turn(monotonic_time now) {
  if (now < window_ends_at_) return;
  const bool is_next = now < window_ends_at_ + window_;
  last_ = is_next ? std::exchange(current_, {}) : window_counts{};
  if (!is_next) current_.clear();
  window_ends_at_ = now + window_;
}

}  // namespace citron
