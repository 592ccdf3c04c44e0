#ifndef CITRON_POLICY_CLIENT_TABLE_H_
#define CITRON_POLICY_CLIENT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

#include "citron/base/strong_id.h"

namespace citron {

// A CIDR block of IPv4 addresses; the bits after the prefix are 0.
struct client_block {
  std::uint32_t address = 0;  // Host byte order.
  int prefix_length = 0;      // 0 to 32.

  friend bool operator==(const client_block&, const client_block&) = default;
  // Orders an enclosing block before the blocks inside it.
  friend bool operator<(const client_block& a, const client_block& b) {
    return std::tie(a.address, a.prefix_length) <
           std::tie(b.address, b.prefix_length);
  }
};

// Parses "a.b.c.d/n"; returns nullopt for any other text and if a bit after the
// prefix is set.
std::optional<client_block> ParseClientBlock(std::string_view text);

struct client_site {
  region_id region;
  zone_id zone;  // Empty: any zone of the region.

  friend bool operator==(const client_site&, const client_site&) = default;
  friend bool operator<(const client_site& a, const client_site& b) {
    return std::tie(a.region, a.zone) < std::tie(b.region, b.zone);
  }
};

// An immutable longest-prefix-match table. Readers share the table while a
// client_table_builder builds the next one.
class client_table {
 public:
  using route_map = std::map<client_block, client_site>;

  // Returns the site of the longest matching block, or nullptr if none matches.
  const client_site* Find(std::uint32_t address) const;

  std::size_t RangeCount() const { return range_starts_.size(); }
  std::size_t MemoryBytes() const;

 private:
  friend class client_table_builder;

  client_table();
  // Appends a range. Replaces a range with the same start, as an inner block
  // begins or ends there, and merges adjacent ranges of one site.
  void AddRange(std::uint64_t start, std::uint32_t site_index);
  void IndexRanges();

  std::vector<client_site> sites_;  // The first element means "no site".
  // First address of each range of addresses with the same site, ascending.
  std::vector<std::uint32_t> range_starts_;
  // Index in `sites_` of each range's site.
  std::vector<std::uint32_t> range_sites_;
  // For each value of an address's upper 16 bits, the index of the range that
  // holds the first address with these bits. An additional last element is the
  // index of the last range.
  std::vector<std::uint32_t> range_by_upper_bits_;
};

// Builds a client_table in steps, between which an event loop serves its
// callers. Built in one step, a table of 180,000 blocks would delay all
// requests of the loop by 70 ms whenever an operator changes a single block,
// and the p99 latency would rise with the number of changes.
class client_table_builder {
 public:
  explicit client_table_builder(client_table::route_map routes);

  // Processes at most `blocks` blocks. Returns null until the table is complete
  // and then the table, after which `Step` must not be called again.
  std::shared_ptr<const client_table> Step(std::size_t blocks);

 private:
  struct open_block {
    std::uint64_t end = 0;  // First address after the block.
    std::uint32_t site_index = 0;
  };

  // Closes the open blocks that end at or before `address`.
  void CloseBlocksUntil(std::uint64_t address);

  client_table::route_map routes_;
  std::shared_ptr<client_table> table_;
  std::map<client_site, std::uint32_t> site_indices_;
  // The blocks that enclose the current address, outermost first. The map
  // orders an enclosing block before the blocks inside it.
  std::vector<open_block> open_blocks_;
};

struct client_delta {
  client_block block;
  std::optional<client_site> site;  // Empty: the block is removed.
};

// The mutable routes from which a client_table is built; not used on the
// request path.
class client_routes {
 public:
  void Apply(const client_delta& delta);
  std::size_t Size() const { return routes_.size(); }
  std::shared_ptr<const client_table> Build() const;

 private:
  client_table::route_map routes_;
};

}  // namespace citron

#endif  // CITRON_POLICY_CLIENT_TABLE_H_
