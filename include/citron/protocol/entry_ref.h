#ifndef CITRON_PROTOCOL_ENTRY_REF_H_
#define CITRON_PROTOCOL_ENTRY_REF_H_

#include <compare>
#include <cstdint>

#include "citron/base/strong_id.h"

namespace citron {

// Identifies one event loop of an entry process. A restarted process has
// another incarnation and ignores messages to or from an earlier one.
struct entry_ref {
  vm_id vm;
  int loop = 0;
  std::uint64_t incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default <=>.
  friend auto operator<=>(const entry_ref&, const entry_ref&) = default;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_ENTRY_REF_H_
