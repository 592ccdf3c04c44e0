#ifndef STANDINS_PLATFORM_PUBLISHED_CALLS_H_
#define STANDINS_PLATFORM_PUBLISHED_CALLS_H_

#include <cstdint>
#include <string>

#include "citron/net/http_types.h"
#include "standins/platform/kv_store.h"

namespace citron {

// A watch as the users' platform publishes it.
struct published_watch {
  std::string prefix;
  std::uint64_t after = 0;
  std::uint64_t wait_ms = 0;
};

// The store's calls in the form that the users' platform publishes, over the
// same keys as the stand-in's own calls.
class published_calls {
 public:
  explicit published_calls(kv_store& store) : store_(store) {}

  static bool IsOne(const http_request& request);
  static bool IsWatch(const http_request& request);
  static published_watch ReadWatch(const http_request& request);
  // The answer to a watch that ends now.
  http_response WatchAnswer(const kv_history& history) const;
  // Any other call.
  http_response Answer(const http_request& request);

 private:
  http_response Key(const http_request& request) const;
  http_response Range(const http_request& request) const;
  http_response Transact(const http_request& request);
  http_response Lease(const http_request& request);

  kv_store& store_;
};

}  // namespace citron

#endif  // STANDINS_PLATFORM_PUBLISHED_CALLS_H_
