#ifndef CITRON_POLICY_CLIENT_TABLE_H_
#define CITRON_POLICY_CLIENT_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citron/base/strong_id.h"

namespace citron {

// A block of IPv4 addresses; the bits after the prefix are 0.
struct client_block {
  std::uint32_t address = 0;  // Host byte order.
  int prefix_length = 0;      // 0 to 32.

  friend auto operator<=>(const client_block&, const client_block&) = default;
};

// Accepts "a.b.c.d/n" without bits after the prefix.
std::optional<client_block> ParseClientBlock(std::string_view text);

struct client_site {
  region_id region;
  zone_id zone;  // May be empty: any zone of the region.

  friend auto operator<=>(const client_site&, const client_site&) = default;
};

// An immutable longest-prefix-match table. Readers share it while the next one
// is built.
class client_table {
 public:
  struct route {
    client_block block;
    client_site site;
  };

  explicit client_table(const std::vector<route>& routes);

  // The site of the longest matching block; nullptr without one.
  const client_site* Find(std::uint32_t address) const {
    const std::uint32_t first = first_[address >> 16];
    if ((first & kChunkBit) == 0) return SiteAt(first);
    const std::uint32_t chunk = first & ~kChunkBit;
    const std::uint32_t second =
        chunks_[(std::size_t{chunk} << 8) + ((address >> 8) & 0xff)];
    if ((second & kChunkBit) == 0) return SiteAt(second);
    const std::uint32_t last = second & ~kChunkBit;
    return SiteAt(chunks_[(std::size_t{last} << 8) + (address & 0xff)]);
  }

  std::size_t MemoryBytes() const;

 private:
  static constexpr std::uint32_t kChunkBit = 0x80000000u;

  const client_site* SiteAt(std::uint32_t value) const {
    return value == 0 ? nullptr : &sites_[value - 1];
  }
  void Insert(const client_block& block, std::uint32_t value);
  void Fill(std::vector<std::uint32_t>& level, std::size_t from,
            std::size_t count, std::uint32_t value);
  std::uint32_t ChunkBelow(std::uint32_t value);

  std::vector<client_site> sites_;
  std::vector<std::uint32_t> first_;   // By the first 16 bits.
  std::vector<std::uint32_t> chunks_;  // 256 values each.
};

struct client_delta {
  client_block block;
  std::optional<client_site> site;  // Nothing removes the block.
};

// The routes behind a client_table; kept off the request path.
class client_routes {
 public:
  void Apply(const client_delta& delta);
  std::size_t Size() const { return routes_.size(); }
  std::shared_ptr<const client_table> Build() const;

 private:
  std::map<client_block, client_site> routes_;
};

}  // namespace citron

#endif  // CITRON_POLICY_CLIENT_TABLE_H_
