#ifndef STANDINS_UPSTREAM_UPSTREAM_SERVER_H_
#define STANDINS_UPSTREAM_UPSTREAM_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

#include "citron/base/result.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_server.h"
#include "standins/timer_queue.h"
#include "standins/upstream/ledger.h"
#include "standins/upstream/upstream_settings.h"

namespace citron {

// One upstream: slots, shedding, cold start, drain, lagging reports, crashes
// on a marked request, and a ledger of what it ran; README.md says how each is
// brought about.
class upstream_server {
 public:
  static result<std::unique_ptr<upstream_server>> Make(
      event_loop& loop, const upstream_settings& settings);

  const endpoint& Address() const { return settings_.listen; }

 private:
  // A request until its answer is out.
  struct work {
    http_exchange* exchange = nullptr;
    ledger_entry entry;
    std::uint64_t digest = 0;
    std::uint64_t answer_size = 0;
    std::uint64_t answer_sent = 0;
    bool holds_slot = false;
    std::optional<monotonic_time> deadline;
  };

  struct load_report {
    monotonic_time at{};
    bool healthy = true;
    bool leaving = false;
    int in_flight = 0;
    int connections = 0;
  };

  upstream_server(event_loop& loop, const upstream_settings& settings);

  status Listen();
  void OnRequest(http_exchange& exchange);

  void Accept(http_exchange& exchange);
  void Begin(std::uint64_t id);
  // Why the request is not run at all.
  std::optional<work_outcome> ReasonToRefuse(const work& item);
  void Refuse(std::uint64_t id, work_outcome reason);
  void Run(std::uint64_t id);
  void Complete(std::uint64_t id);
  void StartAnswer(std::uint64_t id);
  void SendMore(std::uint64_t id);
  // Adds what the upstream says of itself with the answer.
  void AddSignals(work_outcome outcome, http_headers& headers) const;
  void ReplyAndEnd(std::uint64_t id, int status, std::string_view reason,
                   work_outcome outcome);
  void OnGone(std::uint64_t id);
  void End(std::uint64_t id, work_outcome outcome);
  void ReleaseSlot(work& item);
  work* FindWork(std::uint64_t id);
  duration ServiceTime(const http_request& request);
  void Crash();

  void Probe(http_exchange& exchange);
  void RecordLoad();
  load_report LaggingLoad();
  int Connections() const;
  http_response LoadResponse();
  http_response Admin(const http_request& request);
  http_response LedgerResponse(const http_request& request);

  event_loop& loop_;
  upstream_settings settings_;
  upstream_faults faults_;
  timer_queue timers_;
  pcg32 random_;
  ledger ledger_;
  std::map<std::uint64_t, work> work_;
  std::uint64_t last_work_ = 0;
  int in_flight_ = 0;
  int max_in_flight_ = 0;
  int max_connections_seen_ = 0;
  std::deque<load_report> reports_;
  monotonic_time up_since_{};
  bool crashing_ = false;
  std::unique_ptr<http_server> server_;
};

}  // namespace citron

#endif  // STANDINS_UPSTREAM_UPSTREAM_SERVER_H_
