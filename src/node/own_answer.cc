#include "node/own_answer.h"

#include <fmt/format.h>

namespace citron {

void ReplyOwn(const own_answer& answer, const std::string& request_id,
              const header_names& names, caller_exchange& exchange) {
  http_headers headers{{"Content-Type", "application/json"}};
  if (!request_id.empty()) headers.push_back({names.request_id, request_id});
  if (answer.status == 401) {
    headers.push_back({"WWW-Authenticate", names.key_scheme});
  }
  if (answer.retry_after > duration::zero()) {
    headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", ToSeconds(answer.retry_after))});
  }
  exchange.Reply(answer.status, headers,
                 fmt::format(R"({{"error":"{}","verdict":"{}"}})",
                             answer.reason, VerdictName(answer.ran)));
}

}  // namespace citron
