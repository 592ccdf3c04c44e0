#include "citron/protocol/demand_history.h"

#include <algorithm>

namespace citron {

void demand_history::Add(double per_s, monotonic_time now) {
  if (per_s != Newest()) values_.push_back({per_s, now});
}

void demand_history::DropReplacedBefore(monotonic_time before) {
  const auto first_kept =
      std::find_if(values_.begin() + 1, values_.end(),
                   [before](const value& value) { return value.at > before; });
  values_.erase(values_.begin(), first_kept - 1);
}

double demand_history::MinimumSince(monotonic_time at) const {
  double minimum = Newest();
  for (auto value = values_.rbegin(); value != values_.rend(); ++value) {
    minimum = std::min(minimum, value->per_s);
    if (value->at <= at) break;
  }
  return minimum;
}

}  // namespace citron
