#include "citron/policy/service_split.h"

#include <algorithm>

#include "citron/policy/rendezvous.h"

namespace citron {

namespace {

// Requests by which a part may stray from its share before objects give way.
// Each VM strays by as much at most, so that with ten VMs and 300 requests the
// parts stay within a tenth of their weights.
constexpr double kMostDeficit = 2.0;
constexpr std::uint64_t kSplitSalt = 0x5b1d0f3a92c4e687ULL;

bool SameServices(const std::vector<service_weight>& a,
                  const std::vector<service_weight>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const service_weight& x, const service_weight& y) {
                      return x.service == y.service && x.weight == y.weight;
                    });
}

}  // namespace

// Answers: few objects with most of the requests. Objects divided by hash alone
// keep upstreams warm, but a hot one takes its whole load to one part, and the
// operator's weights are missed; requests dealt in turn keep the weights and
// leave every object cold at every part. So objects decide, until a part has
// strayed.

void service_split::SetServices(const std::vector<service_weight>& services) {
  std::vector<service_weight> present;
  for (const part& p : parts_) present.push_back(p.service);
  if (SameServices(present, services)) return;
  parts_.clear();
  double sum = 0;
  for (const service_weight& s : services) sum += s.weight;
  for (const service_weight& s : services) {
    const double share =
        sum > 0 ? s.weight / sum : 1.0 / static_cast<double>(services.size());
    parts_.push_back({s, share, 0});
  }
}

const service_id& service_split::Choose(std::uint64_t object) {
  if (parts_.size() == 1) return parts_.front().service.service;
  std::size_t chosen = 0;
  double best_cost = 0;
  std::size_t poorest = 0;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    part& p = parts_[i];
    p.deficit += p.share;
    if (p.deficit > parts_[poorest].deficit) poorest = i;
    if (p.share <= 0) continue;
    const double cost =
        RendezvousCost(object, MixHashes(kSplitSalt, i), p.share);
    if (best_cost != 0 && cost >= best_cost) continue;
    best_cost = cost;
    chosen = i;
  }
  const bool strays = parts_[poorest].deficit > kMostDeficit ||
                      parts_[chosen].deficit < -kMostDeficit;
  if (strays) chosen = poorest;
  parts_[chosen].deficit -= 1;
  return parts_[chosen].service.service;
}

}  // namespace citron
