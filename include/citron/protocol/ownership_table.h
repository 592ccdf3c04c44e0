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

// A dispatch process of the zone. Only that process, or a later process of the
// same VM that replaces it, changes its row; other members may only remove the
// row.
struct ownership_member {
  incarnation_number incarnation = 0;
  endpoint address;           // Bound before the process joined.
  std::uint64_t counter = 0;  // Increases with each of its writes.
  std::uint64_t joined = 0;   // Table epoch when it joined.
  std::uint64_t seen = 0;     // Table epoch at its last write.
  bool leaving = false;

  friend bool operator==(const ownership_member&,
                         const ownership_member&) = default;
};

struct ownership_assignment {
  vm_id owner;
  // The previous owner, while it still has requests in flight at the upstream.
  // The new owner doesn't use `draining_count` slots.
  vm_id draining_at;
  int draining_count = 0;

  friend bool operator==(const ownership_assignment&,
                         const ownership_assignment&) = default;
};

// The owners of one zone's upstreams: the value of the key `owners/<zone>`.
struct ownership_table {
  std::uint64_t epoch = 0;  // Increases with each join.
  std::map<vm_id, ownership_member> members;
  std::map<upstream_id, ownership_assignment> assignments;

  // Returns whether `by` knew at its last write that `other` is a member. If
  // so, `by` can't extend its ownership without the store unless `other`
  // promises.
  bool Acknowledged(const vm_id& by, const vm_id& other) const;
  // Returns whether `vm` is a member and has acknowledged no other member: it
  // may go on without promises.
  bool IsSole(const vm_id& vm) const;

  friend bool operator==(const ownership_table&,
                         const ownership_table&) = default;
};

std::string WriteOwnershipTable(const ownership_table& table);

// Parses strictly: an unknown field, a missing required one, an assignment to a
// VM that is not a member, or an epoch out of order is an error.
result<ownership_table> ParseOwnershipTable(std::string_view json);

}  // namespace citron

#endif  // CITRON_PROTOCOL_OWNERSHIP_TABLE_H_
