#include "citron/policy/service_split.h"

#include <algorithm>

#include "citron/policy/rendezvous.h"

namespace citron {

namespace {

// Requests by which a service may deviate from its share before objects move.
// With two services, each VM deviates by at most this number, so that ten VMs
// deviate by at most a tenth of 300 requests.
constexpr double kMaxDeficit = 2.0;
// Seeds the hashes of the services. All VMs use the same seed and thus prefer
// the same service for an object.
constexpr std::uint64_t kSplitSalt = 0x5b1d0f3a92c4e687ULL;

bool SameServices(const std::vector<service_weight>& a,
                  const std::vector<service_weight>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const service_weight& x, const service_weight& y) {
                      return x.service == y.service && x.weight == y.weight;
                    });
}

}  // namespace

void service_split::SetServices(const std::vector<service_weight>& services) {
  std::vector<service_weight> current;
  for (const service_share& s : shares_) current.push_back(s.service);
  if (SameServices(current, services)) return;
  shares_.clear();
  double sum = 0;
  for (const service_weight& s : services) sum += s.weight;
  for (const service_weight& s : services) {
    const double share =
        sum > 0 ? s.weight / sum : 1.0 / static_cast<double>(services.size());
    shares_.push_back({s, share, 0});
  }
}

// Load pattern: few objects with most of the requests. By object hash alone, a
// hot object puts its whole load on one service, and the configured weights are
// missed. Round robin keeps the weights but leaves every object cold at every
// service. So the hash decides until a service deviates by more than
// `kMaxDeficit`.
const service_id& service_split::Choose(std::uint64_t object) {
  if (shares_.size() == 1) return shares_.front().service.service;
  std::size_t chosen = 0;
  double best_cost = 0;
  std::size_t most_underserved = 0;
  for (std::size_t i = 0; i < shares_.size(); ++i) {
    service_share& s = shares_[i];
    s.deficit += s.share;
    if (s.deficit > shares_[most_underserved].deficit) most_underserved = i;
    if (s.share <= 0) continue;
    const double cost =
        RendezvousCost(object, MixHashes(kSplitSalt, i), s.share);
    if (best_cost != 0 && cost >= best_cost) continue;
    best_cost = cost;
    chosen = i;
  }
  const bool deviates = shares_[most_underserved].deficit > kMaxDeficit ||
                        shares_[chosen].deficit < -kMaxDeficit;
  if (deviates) chosen = most_underserved;
  shares_[chosen].deficit -= 1;
  return shares_[chosen].service.service;
}

}  // namespace citron
