#ifndef TOOLS_CITRON_LOAD_LOAD_RUN_H_
#define TOOLS_CITRON_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "citron/loadgen/arrival_schedule.h"
#include "citron/loadgen/load_ledger.h"
#include "citron/loadgen/load_plan.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_client.h"

namespace citron {

struct load_limits {
  // Arrivals end here; what is under way may still finish.
  duration length = std::chrono::seconds(10);
  std::uint64_t max_requests = 100000;
  int max_in_flight = 4000;
  duration request_limit = std::chrono::seconds(20);
  // Repeats of a request that the answer allows; 0 for none.
  int max_repeats = 0;
  // Part of each contract's rate that is offered.
  double load = 0.7;
  // Workspace whose callers send `heavy_factor` times as much.
  std::string heavy_workspace;
  double heavy_factor = 1;
  std::uint64_t seed = 1;
};

// Callers of all workspaces on one loop.
class load_run {
 public:
  load_run(event_loop& loop, const load_plan& plan, const load_limits& limits);
  ~load_run();
  load_run(const load_run&) = delete;
  load_run& operator=(const load_run&) = delete;

  void Start(std::function<void()> done);
  // Sends nothing new; `done` comes when nothing is under way.
  void StopSending();

  const load_ledger& Ledger() const { return ledger_; }
  // Arrivals that were not sent because too many were under way.
  std::uint64_t Skipped() const { return skipped_; }
  // From the first arrival's clock to the end of sending.
  duration Length() const {
    return schedule_ ? sending_ended_ - start_ : duration::zero();
  }

 private:
  class call;
  friend class call;

  // Callers of one place, who look up at the entry next to them.
  struct site {
    std::size_t number = 0;
    std::size_t attempts = 0;
    std::vector<ranked_entry> entries;
    std::unique_ptr<loop_timer> timer;
  };

  void LookUp(site& asking);
  void OnLookup(site& asking, const http_response* response);
  void BeginArrivals();
  void SendDue();
  void Send(const arrival& due);
  // One of the entries that the place's last look-up gave.
  const endpoint& PickEntry(std::uint64_t arrival_number);
  void Finish(call& finished);
  void CheckDone();

  event_loop& loop_;
  const load_plan& plan_;
  load_limits limits_;
  load_ledger ledger_;
  http_client client_;
  pcg32 random_;
  monotonic_time start_;
  monotonic_time sending_ended_;
  std::optional<arrival_schedule> schedule_;
  std::vector<contract_bucket> buckets_;
  std::vector<site> sites_;
  std::list<std::unique_ptr<call>> calls_;
  std::function<void()> done_;
  std::uint64_t sent_ = 0;
  std::uint64_t skipped_ = 0;
  bool sending_ = false;
  loop_timer arrival_timer_;
};

}  // namespace citron

#endif  // TOOLS_CITRON_LOAD_LOAD_RUN_H_
