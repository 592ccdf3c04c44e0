#ifndef CITRON_POLICY_REQUEST_FINGERPRINT_H_
#define CITRON_POLICY_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

#include "citron/base/strong_id.h"

namespace citron {

// Returns a hash that is equal for requests of one workspace with the same
// method, target and body. Never returns 0.
std::uint64_t RequestFingerprint(const workspace_id& workspace,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body);

}  // namespace citron

#endif  // CITRON_POLICY_REQUEST_FINGERPRINT_H_
