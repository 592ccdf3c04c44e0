#ifndef TESTS_SOAK_SOAK_UPSTREAM_H_
#define TESTS_SOAK_SOAK_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/net/event_loop.h"
#include "soak/soak_ledger.h"

struct evconnlistener;

namespace citron {

// Faults of an upstream, each for a part of its requests.
struct upstream_behaviour {
  bool fails = false;
  bool sheds = false;
  bool loses_answers = false;
  bool answers_late = false;
  bool cuts_answers = false;
  bool asks_for_pauses = false;
  bool says_it_leaves = false;
};

// An upstream of the published protocol in this process: slots, a queue, and
// what goes wrong with upstreams. Reports what it runs to the ledger.
class soak_upstream {
 public:
  // `address`: of this process alone, so that no connection of another takes
  // the port while the upstream is down.
  soak_upstream(event_loop& loop, std::string id, const std::string& address,
                int zone, std::uint64_t seed, soak_ledger& ledger);
  ~soak_upstream();
  soak_upstream(const soak_upstream&) = delete;
  soak_upstream& operator=(const soak_upstream&) = delete;

  const std::string& Id() const { return id_; }
  int Zone() const { return zone_; }
  const endpoint& Address() const { return address_; }
  upstream_behaviour& Behaviour() { return behaviour_; }
  std::int64_t BornMs() const { return born_ms_; }
  bool IsUp() const { return listener_ != nullptr; }

  // Ends with all that it knows; Start brings it back under the same id.
  void Crash();
  void Start();
  // Both, a moment apart: a process that is being started may hold the port
  // until then.
  void Restart();

 private:
  class connection;
  struct job {
    std::weak_ptr<connection> from;
    soak_run run;
  };

  void OnAccept(int descriptor);
  void Retire(connection* ended);
  void OnRequest(const std::shared_ptr<connection>& from, soak_run run,
                 const std::string& expected);
  void Begin(job next);
  void End(const job& done);
  bool IsDrawn(double part);
  std::string Answer(const std::string& id);
  std::string NotRun(int status, const std::string& id, const char* reason,
                     const std::string& more = "");
  std::string Pause(const std::string& id);
  // The header that says that it leaves, or nothing.
  std::string LeavingHeader(const std::string& id);

  event_loop& loop_;
  std::string id_;
  int zone_;
  pcg32 random_;
  soak_ledger& ledger_;
  upstream_behaviour behaviour_;
  endpoint address_;
  evconnlistener* listener_ = nullptr;
  std::int64_t born_ms_ = 0;
  std::uint64_t start_ = 0;  // Work of an earlier start is not answered.
  int running_ = 0;
  std::deque<job> waiting_;
  std::vector<std::shared_ptr<connection>> connections_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
};

}  // namespace citron

#endif  // TESTS_SOAK_SOAK_UPSTREAM_H_
