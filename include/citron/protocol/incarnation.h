#ifndef CITRON_PROTOCOL_INCARNATION_H_
#define CITRON_PROTOCOL_INCARNATION_H_

#include <cstdint>

namespace citron {

// Tells one process of a VM from the ones before it; a later process of the
// same VM has a higher number (nanoseconds of the wall clock at its start).
using incarnation_number = std::uint64_t;

}  // namespace citron

#endif  // CITRON_PROTOCOL_INCARNATION_H_
