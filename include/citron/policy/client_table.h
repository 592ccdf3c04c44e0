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

// A block of IPv4 addresses; the bits after the prefix are 0.
struct client_block {
  std::uint32_t address = 0;  // Host byte order.
  int prefix_length = 0;      // 0 to 32.

  friend bool operator==(const client_block&, const client_block&) = default;
  // An enclosing block comes before those inside it.
  friend bool operator<(const client_block& a, const client_block& b) {
    return std::tie(a.address, a.prefix_length) <
           std::tie(b.address, b.prefix_length);
  }
};

// Accepts "a.b.c.d/n" without bits after the prefix.
std::optional<client_block> ParseClientBlock(std::string_view text);

struct client_site {
  region_id region;
  zone_id zone;  // May be empty: any zone of the region.

  friend bool operator==(const client_site&, const client_site&) = default;
  friend bool operator<(const client_site& a, const client_site& b) {
    return std::tie(a.region, a.zone) < std::tie(b.region, b.zone);
  }
};

// An immutable longest-prefix-match table. Readers share it while the next one
// is built, by a client_table_builder.
class client_table {
 public:
  using route_map = std::map<client_block, client_site>;

  // The site of the longest matching block; nullptr without one.
  const client_site* Find(std::uint32_t address) const;

  std::size_t RangeCount() const { return starts_.size(); }
  std::size_t MemoryBytes() const;

 private:
  friend class client_table_builder;

  client_table();
  void AddRange(std::uint64_t start, std::uint32_t site);
  void IndexRanges();

  std::vector<client_site> sites_;     // The first one means "no site".
  std::vector<std::uint32_t> starts_;  // Of ranges of one site, ascending.
  std::vector<std::uint32_t> values_;  // Index of each range's site.
  // By an address's upper 16 bits: the range that holds their first address.
  std::vector<std::uint32_t> index_;
};

// Builds a table in steps, between which a loop serves its callers. Built in
// one piece, 180,000 blocks would keep all of a loop's requests waiting for 70
// ms whenever an operator changes a single block; one would notice by a p99
// that rises with the changes of the day.
class client_table_builder {
 public:
  explicit client_table_builder(client_table::route_map routes);

  // Goes over as many blocks at most; the table once it is complete, and null
  // before.
  std::shared_ptr<const client_table> Step(std::size_t blocks);

 private:
  struct open_block {
    std::uint64_t end = 0;  // First address after it.
    std::uint32_t site = 0;
  };

  void CloseUntil(std::uint64_t address);

  client_table::route_map routes_;
  std::shared_ptr<client_table> table_;
  std::map<client_site, std::uint32_t> numbers_;
  // The blocks around the present one; the map's order brings an enclosing
  // block before those inside it.
  std::vector<open_block> open_;
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
  client_table::route_map routes_;
};

}  // namespace citron

#endif  // CITRON_POLICY_CLIENT_TABLE_H_
