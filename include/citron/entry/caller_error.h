#ifndef CITRON_ENTRY_CALLER_ERROR_H_
#define CITRON_ENTRY_CALLER_ERROR_H_

#include <optional>
#include <string>

#include "citron/base/time.h"
#include "citron/base/verdict.h"
#include "citron/net/http_types.h"

namespace citron {

// Why a caller's request gets an error of the entry's own.
struct caller_error {
  int status = 500;  // HTTP.
  std::string code;
  std::string message;
  verdict ran = verdict::kNotRun;
  // When asking again makes sense; none if it doesn't.
  std::optional<monotonic_time> retry_at;
};

// The answer in JSON, with Retry-After where it helps. `id` is the request's;
// may be empty.
http_response ErrorResponse(const caller_error& problem, const std::string& id,
                            monotonic_time now);

}  // namespace citron

#endif  // CITRON_ENTRY_CALLER_ERROR_H_
