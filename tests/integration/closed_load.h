#ifndef TESTS_INTEGRATION_CLOSED_LOAD_H_
#define TESTS_INTEGRATION_CLOSED_LOAD_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/net/http_types.h"
#include "integration/http_caller.h"

namespace citron {

// One request of a worker, and where it goes.
struct planned_call {
  std::string vm;
  endpoint server;
  http_request request;
  duration limit = std::chrono::seconds(30);
};

// A number of callers that each have one request under way, until told to
// stop. Give `Pump` to http_caller::WaitFor as part of the condition.
class closed_load {
 public:
  using plan_next = std::function<planned_call(int worker)>;
  using on_end = std::function<void(int worker, const planned_call& planned,
                                    const caller_call& call)>;

  closed_load(http_caller& caller, int workers, plan_next next, on_end ended);

  // Takes what has ended and begins the next; always true.
  bool Pump();
  // Lets the load go on until the condition holds.
  bool RunUntil(const std::function<bool()>& condition);
  // Begins nothing more, and waits for what is under way.
  bool Stop();

  int Ended() const { return ended_count_; }

 private:
  struct worker {
    planned_call planned;
    std::shared_ptr<caller_call> call;
  };

  http_caller& caller_;
  plan_next next_;
  on_end ended_;
  std::vector<worker> workers_;
  bool stopping_ = false;
  int ended_count_ = 0;
};

}  // namespace citron

#endif  // TESTS_INTEGRATION_CLOSED_LOAD_H_
