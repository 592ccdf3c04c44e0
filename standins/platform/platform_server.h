#ifndef STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_server.h"
#include "standins/platform/kv_store.h"
#include "standins/platform/published_calls.h"
#include "standins/timer_queue.h"

namespace citron {

struct platform_faults {
  bool outage = false;
  duration delay{};  // Before a call takes effect.
  int lose_answers = 0;
  duration list_lag{};
  // Watches hear of no change and end with the newest revision. When this ends
  // the history is dropped and the watches are cut.
  bool mute_watches = false;
  // Watches are held and never answered; other calls are.
  bool stall_watches = false;
};

// The platform's service over HTTP, with faults on command; README.md has the
// protocol.
class platform_server {
 public:
  static result<std::unique_ptr<platform_server>> Make(
      event_loop& loop, const endpoint& listen, std::size_t history_bound);

  const endpoint& Address() const { return server_->Address(); }
  // {"kv": {...}, "vms": [...]}
  status Load(const nlohmann::json& data);

 private:
  struct waiting_watch {
    http_exchange* exchange = nullptr;
    std::string prefix;
    std::uint64_t after = 0;
    std::uint64_t id = 0;
    bool is_published = false;
  };
  // A call that waits before it takes effect; its caller may go meanwhile.
  struct delayed_call {
    http_exchange* exchange = nullptr;
    http_request request;
  };

  platform_server(event_loop& loop, std::size_t history_bound);

  void OnRequest(http_exchange& exchange);
  void Delay(http_exchange& exchange);
  // `exchange` is null if the caller is gone; a write takes effect all the
  // same.
  void Handle(const http_request& request, http_exchange* exchange);
  void Watch(const http_request& request, http_exchange& exchange);
  void AnswerWatches();
  bool AnswerWatch(const waiting_watch& watch, bool even_if_empty);
  void EndWatch(std::uint64_t id);
  void CutWatches();

  http_response Answer(const http_request& request);
  http_response Get(const http_request& request) const;
  http_response Put(const http_request& request);
  http_response Remove(const http_request& request);
  http_response Range(const http_request& request) const;
  http_response Lease(const http_request& request);
  http_response Conflict(const std::string& key) const;
  http_response Admin(const http_request& request);
  status SetFaults(const nlohmann::json& faults);
  void SetVms(const nlohmann::json& vms);
  void Count(const http_request& request);
  nlohmann::json Counts() const;
  void ArmExpiry();

  event_loop& loop_;
  kv_store store_;
  published_calls published_;
  timer_queue timers_;
  platform_faults faults_;
  nlohmann::json shown_vms_ = nlohmann::json::array();
  std::map<std::string, std::uint64_t> counts_;
  std::list<waiting_watch> watches_;
  std::uint64_t last_watch_ = 0;
  std::optional<monotonic_time> armed_expiry_;
  std::unique_ptr<http_server> server_;
};

}  // namespace citron

#endif  // STANDINS_PLATFORM_PLATFORM_SERVER_H_
