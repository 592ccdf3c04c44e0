#include "citron/node/placement_news.h"

#include <algorithm>
#include <utility>

namespace citron {

namespace {

constexpr std::size_t kMaxLines = 1024;

}  // namespace

void placement_news::OnNews(std::function<void()> listener) {
  on_news_ = std::move(listener);
}

void placement_news::Add(placement_line line) {
  const bool is_first = lines_.empty();
  lines_.push_back(std::move(line));
  if (lines_.size() > kMaxLines) lines_.pop_front();
  if (is_first && on_news_) on_news_();
}

std::vector<placement_line> placement_news::Take(std::size_t max_lines) {
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(max_lines, lines_.size()));
  std::vector<placement_line> taken(lines_.begin(), lines_.begin() + count);
  lines_.erase(lines_.begin(), lines_.begin() + count);
  return taken;
}

}  // namespace citron
