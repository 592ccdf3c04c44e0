#include "citron/policy/request_fingerprint.h"

#include <algorithm>
#include <string>

#include "citron/base/digest.h"

namespace citron {

std::uint64_t RequestFingerprint(const workspace_id& workspace,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body) {
  std::string text = workspace.Str();
  text.append("\n").append(method).append("\n");
  text.append(target).append("\n").append(body);
  return std::max<std::uint64_t>(1, HashBytes(text));
}

}  // namespace citron
