#ifndef CITRON_NODE_PLACEMENT_NEWS_H_
#define CITRON_NODE_PLACEMENT_NEWS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "citron/node/region_report.h"

namespace citron {

// Placements of objects that are still to be told to the VMs of the region.
class placement_news {
 public:
  // `listener` is called for the first one after none.
  void OnNews(std::function<void()> listener);

  // Of too many the oldest are dropped.
  void Add(placement_line line);
  bool IsEmpty() const { return lines_.empty(); }
  // Returns the oldest ones, at most `max_lines`.
  std::vector<placement_line> Take(std::size_t max_lines);

 private:
  std::function<void()> on_news_;
  std::deque<placement_line> lines_;
};

}  // namespace citron

#endif  // CITRON_NODE_PLACEMENT_NEWS_H_
