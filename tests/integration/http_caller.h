#ifndef TESTS_INTEGRATION_HTTP_CALLER_H_
#define TESTS_INTEGRATION_HTTP_CALLER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "citron/base/endpoint.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_client.h"
#include "citron/net/http_types.h"

namespace citron {

// A call under way or ended; exactly one of answered and failed at its end.
struct caller_call {
  bool answered = false;
  bool failed = false;
  http_response response;
  call_failure failure;
  monotonic_time started{};
  monotonic_time ended{};

  bool IsDone() const { return answered || failed; }
};

// The test's side of HTTP: callers, operators and conditions to wait for, on
// one loop.
class http_caller {
 public:
  http_caller();

  event_loop& Loop() { return *loop_; }

  // Starts a call; it goes on while the test waits for something.
  std::shared_ptr<caller_call> Start(const endpoint& server,
                                     const http_request& request,
                                     duration limit = std::chrono::seconds(30));
  // One call to its end.
  caller_call Call(const endpoint& server, const http_request& request,
                   duration limit = std::chrono::seconds(30));

  // Reads or sends JSON; an empty value if there was no answer with 200.
  nlohmann::json GetJson(const endpoint& server, const std::string& target);
  bool PostJson(const endpoint& server, const std::string& target,
                const nlohmann::json& body);

  // Lets calls go on until the condition holds; false if it never does.
  bool WaitFor(const std::function<bool()>& condition);

 private:
  std::unique_ptr<event_loop> loop_ = event_loop::Make();
  http_client client_;
  loop_timer tick_;
};

}  // namespace citron

#endif  // TESTS_INTEGRATION_HTTP_CALLER_H_
