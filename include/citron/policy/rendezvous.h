#ifndef CITRON_POLICY_RENDEZVOUS_H_
#define CITRON_POLICY_RENDEZVOUS_H_

#include <cmath>
#include <cstdint>

namespace citron {

// Mixes two hashes into one that depends on each bit of both.
inline std::uint64_t MixHashes(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// From 0, exclusive, to 1, inclusive.
inline double UnitOf(std::uint64_t hash) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return (static_cast<double>(hash >> 11) + 1.0) * kScale;
}

// Weighted rendezvous hashing: of several nodes, the one with the lowest cost
// has the key. Each gets keys in proportion to its weight, all who know the
// same nodes agree, and a node that comes or goes moves its own keys only.
inline double RendezvousCost(std::uint64_t key, std::uint64_t node,
                             double weight) {
  return -std::log(UnitOf(MixHashes(key, node))) / weight;
}

}  // namespace citron

#endif  // CITRON_POLICY_RENDEZVOUS_H_
