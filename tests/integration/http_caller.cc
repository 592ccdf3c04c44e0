#include "integration/http_caller.h"

namespace citron {

namespace {

// How often a condition is looked at again.
constexpr duration kTick = std::chrono::milliseconds(2);
// Far above what any condition takes on a busy machine.
constexpr duration kConditionLimit = std::chrono::seconds(60);

}  // namespace

http_caller::http_caller()
    : client_(*loop_), tick_(*loop_, [this] { loop_->Stop(); }) {}

std::shared_ptr<caller_call> http_caller::Start(const endpoint& server,
                                                const http_request& request,
                                                duration limit) {
  auto call = std::make_shared<caller_call>();
  call->started = MonotonicNow();
  client_.Call(server, request, call->started + limit,
               [call](const http_response* response, call_failure failure) {
                 call->ended = MonotonicNow();
                 call->answered = response != nullptr;
                 call->failed = response == nullptr;
                 call->failure = failure;
                 if (response != nullptr) call->response = *response;
               });
  return call;
}

caller_call http_caller::Call(const endpoint& server,
                              const http_request& request, duration limit) {
  const auto call = Start(server, request, limit);
  WaitFor([&] { return call->IsDone(); });
  return *call;
}

nlohmann::json http_caller::GetJson(const endpoint& server,
                                    const std::string& target) {
  const caller_call call = Call(server, {"GET", target, {}, ""});
  if (!call.answered || call.response.head.status != 200) return {};
  return nlohmann::json::parse(call.response.body, nullptr, false);
}

bool http_caller::PostJson(const endpoint& server, const std::string& target,
                           const nlohmann::json& body) {
  const caller_call call = Call(server, {"POST", target, {}, body.dump()});
  return call.answered && call.response.head.status == 200;
}

bool http_caller::WaitFor(const std::function<bool()>& condition) {
  const monotonic_time limit = MonotonicNow() + kConditionLimit;
  while (!condition()) {
    if (MonotonicNow() > limit) return false;
    tick_.Arm(MonotonicNow() + kTick);
    loop_->Run();
  }
  return true;
}

}  // namespace citron
