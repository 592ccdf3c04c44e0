#ifndef CITRON_PROTOCOL_OWNERSHIP_TABLE_H_
#define CITRON_PROTOCOL_OWNERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/protocol/incarnation.h"

namespace citron {

// One dispatch of the zone. Only that process changes its own row; the others
// may only take it out.
struct ownership_member {
  incarnation_number incarnation = 0;
  endpoint address;           // Bound by the process before it joined.
  std::uint64_t counter = 0;  // Grows with every write of that process.
  std::uint64_t joined = 0;   // The table's epoch at its joining.
  std::uint64_t seen = 0;     // The table's epoch at its last write.
  bool leaving = false;

  friend bool operator==(const ownership_member&,
                         const ownership_member&) = default;
};

struct ownership_assignment {
  vm_id owner;
  // The owner before, when it still has requests in flight there; the new
  // owner leaves so many slots alone.
  vm_id draining_at;
  int draining_count = 0;

  friend bool operator==(const ownership_assignment&,
                         const ownership_assignment&) = default;
};

// Who owns the upstreams of one zone: the value of `owners/<zone>`.
struct ownership_table {
  std::uint64_t epoch = 0;  // Grows with every joining.
  std::map<vm_id, ownership_member> members;
  std::map<upstream_id, ownership_assignment> assignments;

  // `by` knew that `other` is a member when it last wrote: it won't go on
  // without the other's promise.
  bool Acknowledged(const vm_id& by, const vm_id& other) const;
  // No other member has been acknowledged by this one: it may go on by itself.
  bool IsSole(const vm_id& vm) const;

  friend bool operator==(const ownership_table&,
                         const ownership_table&) = default;
};

std::string WriteOwnershipTable(const ownership_table& table);

// Strict: an unknown or missing field, an assignment to no member, or an epoch
// out of order is an error.
result<ownership_table> ParseOwnershipTable(std::string_view json);

}  // namespace citron

#endif  // CITRON_PROTOCOL_OWNERSHIP_TABLE_H_
