#ifndef TESTS_SOAK_SOAK_LEDGER_H_
#define TESTS_SOAK_SOAK_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "citron/base/time.h"

namespace citron {

// One request as its caller saw it.
struct soak_attempt {
  std::string id;
  std::string path;
  int vm = -1;
  bool once = false;  // Must not run twice.
  int workspace = 0;
  std::string key;
  bool route_is_new = false;  // Of a route that was added during the run.
  monotonic_time sent{};
  std::optional<monotonic_time> ended;
  int status = 0;  // 0: no whole answer.
  bool was_sent = false;
  bool is_own_answer = false;  // Signed, whole and of this request.
};

// One request as an upstream saw it.
struct soak_run {
  std::string id;
  std::string upstream;
  int zone = 0;
  std::string workspace;
  std::string path;
  bool body_is_whole = true;
  bool has_key = false;  // The caller's key was passed on.
  monotonic_time at{};
};

// What callers, upstreams and the operator have seen, and what of it breaks a
// promise of the system. It knows nothing of what goes on inside.
class soak_ledger {
 public:
  struct bounds {
    double rate_per_s = 30;  // Of the workspace that floods.
    double burst = 30;
    int attempts = 2;
    duration revocation = FromSeconds(3);
    duration drain = FromSeconds(2.5);
    duration pause_settling = FromSeconds(0.5);
    int in_a_pause = 2;
    duration config = FromSeconds(2.5);
    duration evacuation = FromSeconds(5);
    duration stable = FromSeconds(4);
  };

  explicit soak_ledger(const bounds& limits) : bounds_(limits) {}

  // The attempt must get its end by OnEnded.
  void OnSent(const soak_attempt& attempt);
  void OnEnded(const soak_attempt& attempt);
  void OnRun(const soak_run& run);
  // An upstream has written its whole answer.
  void OnAnswered(const std::string& id) { answered_.insert(id); }

  // A request has reached an upstream, whatever becomes of it.
  void OnReached(const std::string& upstream, const std::string& id,
                 monotonic_time at);
  // An upstream has answered a request that it wants none of that VM for so
  // long.
  void OnPauseAsked(const std::string& upstream, const std::string& id,
                    monotonic_time at, duration pause);
  // An upstream says with its answer to a request that it leaves. It counts
  // once the caller has the answer.
  void OnSaidLeaving(const std::string& upstream, const std::string& id);
  // What it said holds no more.
  void OnUpstreamEnded(const std::string& upstream);
  // The VM was ended or stood still: what it was told before doesn't count.
  void OnVmInterrupted(int vm);

  // From now on the key may be refused.
  void OnWithdrawing(const std::string& key) { withdrawing_.insert(key); }
  // Acknowledged by the store.
  void OnKeyWithdrawn(const std::string& key, monotonic_time at);
  void OnRouteAdded(monotonic_time at);
  void OnLeaving(const std::string& upstream, monotonic_time at);
  void OnBack(const std::string& upstream) { leaving_.erase(upstream); }
  void OnZoneClosed(int zone, monotonic_time at) { closed_[zone] = at; }
  void OnZoneOpened(int zone) { closed_.erase(zone); }

  // Bounds of time hold for what wasn't disturbed lately. In place of a VM's
  // number: the store, or the ways between VMs and upstreams.
  static constexpr int kStore = -1;
  static constexpr int kWays = -2;
  void OnDisturbed(int vm, monotonic_time at);
  void OnCalmAgain(int vm, monotonic_time at);
  // A planned stop: it excuses no request that is cut.
  void OnPlanned(int vm, monotonic_time at);
  void OnPlannedEnd(int vm, monotonic_time at);

  // What can only be told at the end.
  void CheckAll(monotonic_time calm_from);
  const std::vector<std::string>& Broken() const { return broken_; }
  std::string Summary() const;
  std::size_t Served() const { return served_; }

 private:
  struct trouble {
    int open = 0;
    monotonic_time last_end{};
  };

  struct pause {
    monotonic_time asked_at{};
    monotonic_time until{};
    int reached = 0;
  };
  // What an upstream said to a VM.
  struct word {
    std::vector<pause> pauses;
    std::optional<monotonic_time> leaving_since;
  };

  // Returns null if the caller's VM isn't known.
  word* WordTo(const std::string& upstream, const std::string& id);
  void Break(const char* rule, const std::string& id, const std::string& what);
  bool IsUndisturbed(int vm, monotonic_time at) const;
  // Nor stopped as planned.
  bool IsCalm(int vm, monotonic_time at) const;
  bool IsQuiet(const std::map<int, trouble>& troubles, int vm,
               monotonic_time at) const;
  void CheckLost(const soak_attempt& attempt);
  const soak_attempt* Find(const std::string& id) const;
  void CheckQuota();
  void CheckRecovery(monotonic_time calm_from);

  bounds bounds_;
  std::map<std::string, soak_attempt> attempts_;
  std::map<std::string, std::vector<soak_run>> runs_;
  std::vector<monotonic_time> limited_runs_;
  std::set<std::string> withdrawing_;
  std::map<std::string, monotonic_time> withdrawn_;
  std::map<std::string, monotonic_time> leaving_;
  std::map<std::string, std::map<int, word>> words_;    // By upstream and VM.
  std::map<std::string, std::string> leaving_answers_;  // Upstream, by id.
  std::map<int, monotonic_time> closed_;
  std::optional<monotonic_time> route_added_;
  std::map<int, trouble> troubles_;
  std::map<int, trouble> planned_;
  std::set<std::string> answered_;
  std::map<int, int> statuses_;
  std::size_t served_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace citron

#endif  // TESTS_SOAK_SOAK_LEDGER_H_
