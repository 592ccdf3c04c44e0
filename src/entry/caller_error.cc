#include "citron/entry/caller_error.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace citron {

http_response ErrorResponse(const caller_error& problem, const std::string& id,
                            monotonic_time now) {
  nlohmann::json body;
  nlohmann::json& inner = body["error"];
  inner["code"] = problem.code;
  inner["message"] = problem.message;
  inner["verdict"] = VerdictName(problem.ran);
  http_response response;
  response.head.status = problem.status;
  response.head.headers = {
      {"Content-Type", "application/json"},
      {"Citron-Verdict", std::string(VerdictName(problem.ran))}};
  if (!id.empty()) {
    inner["request_id"] = id;
    response.head.headers.push_back({"Citron-Request-Id", id});
  }
  if (problem.retry_at) {
    const duration wait = std::max(duration::zero(), *problem.retry_at - now);
    inner["retry_after_ms"] = std::max(0.0, std::ceil(ToMilliseconds(wait)));
    // The header counts whole seconds; the body is exact.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    response.head.headers.push_back(
        {"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
  }
  // Never by exception: an error's answer may name bytes of the caller's.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace citron
