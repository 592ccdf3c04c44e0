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

// Maps a hash to a number from 0, exclusive, to 1, inclusive.
inline double HashToUnitInterval(std::uint64_t hash) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return (static_cast<double>(hash >> 11) + 1.0) * kScale;
}

// Weighted rendezvous hashing: the node with the lowest cost for a key holds
// the key. Each node gets keys in proportion to its weight, all processes that
// know the same nodes agree, and adding or removing a node moves only the keys
// of that node.
inline double RendezvousCost(std::uint64_t key, std::uint64_t node,
                             double weight) {
  return -std::log(HashToUnitInterval(MixHashes(key, node))) / weight;
}

}  // namespace citron

#endif  // CITRON_POLICY_RENDEZVOUS_H_
