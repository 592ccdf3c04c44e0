#ifndef CITRON_LOADGEN_HEADROOM_SERIES_H_
#define CITRON_LOADGEN_HEADROOM_SERIES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace citron {

// Free slots by service and zone.
using headroom_by_zone = std::map<std::string, std::map<std::string, double>>;

// The lines of `citron_zone_headroom` on an entry's page of metrics. Others and
// those that can't be read are left out.
headroom_by_zone ParseHeadroom(std::string_view page);

struct headroom_summary {
  std::size_t rounds = 0;
  double least = 0;  // Of all zones together, in one round.
  double mean = 0;   // Of all zones together, over the rounds.
  double least_in_zone = 0;
  std::string least_zone;
};

// Headroom over a run, in rounds; in each the page of every entry is read.
class headroom_series {
 public:
  void OnPage(const headroom_by_zone& seen);
  // Ends a round; one without a page doesn't count.
  void EndRound();

  std::map<std::string, headroom_summary> ByService() const;

 private:
  headroom_by_zone round_;
  std::map<std::string, headroom_summary> services_;
  std::map<std::string, double> sums_;
};

}  // namespace citron

#endif  // CITRON_LOADGEN_HEADROOM_SERIES_H_
