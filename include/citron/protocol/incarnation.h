#ifndef CITRON_PROTOCOL_INCARNATION_H_
#define CITRON_PROTOCOL_INCARNATION_H_

#include <cstdint>

namespace citron {

// Identifies a process of a VM among its successive processes. A later process
// of the same VM has a higher number: its start time in wall-clock nanoseconds.
using incarnation_number = std::uint64_t;

}  // namespace citron

#endif  // CITRON_PROTOCOL_INCARNATION_H_
