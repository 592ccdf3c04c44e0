#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "integration/closed_load.h"
#include "integration/node_fleet.h"

namespace citron {
namespace {

using std::chrono::milliseconds;

constexpr int kVms = 3;
constexpr int kUnreachingVm = kVms;
constexpr int kUpstreams = 4;
constexpr int kCallers = 12;
constexpr char kCallerDeadlineMs[] = "600";
constexpr duration kWork = milliseconds(20);
constexpr duration kLookupLifetime = milliseconds(1500);
// The rule holds from here on after a cut began.
constexpr duration kStableWindow = milliseconds(4000);
constexpr duration kObserved = milliseconds(4000);

// Of first tries.
struct try_counts {
  int tries = 0;
  int served = 0;

  int Failed() const { return tries - served; }
};

// The rule: served at least two thirds as often as elsewhere, or at most 10
// and one in 50 of all tries failed.
bool IsServedLikeOthers(const try_counts& here, const try_counts& elsewhere) {
  const bool as_often =
      3 * here.served * elsewhere.tries >= 2 * elsewhere.served * here.tries;
  return as_often || here.Failed() <= 10 + (here.tries + elsewhere.tries) / 50;
}

// Three VMs in regions of their own. The last one reaches the upstreams through
// a proxy, which a store of its own tells it; the records of the VMs stand in
// both stores. Half of the callers ask a look-up page again and again, the
// others keep to the VM of their zone.
class partitioned_fleet : public node_fleet {
 public:
  // `all_behind_proxy`: the other VMs, too, reach the upstreams through it.
  explicit partitioned_fleet(bool all_behind_proxy)
      : all_behind_proxy_(all_behind_proxy),
        load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int caller, const planned_call&, const caller_call& call) {
              OnEnd(caller, call);
            }),
        callers_(kCallers) {
    PutDeclaration(1, {"key"});
    json routes = json::array();
    for (int i = 1; i <= kUpstreams; ++i) {
      const scripted_upstream& upstream =
          AddUpstream(Name(i), [](const std::string& request) {
            scripted_answer answer = Answer(request, "whole");
            answer.after = kWork;
            return answer;
          });
      routes.push_back({{"name", Name(i)},
                        {"listen", Proxied(i).Str()},
                        {"target", upstream.Address().Str()}});
    }
    proxy_ = StartProxy(routes);
    shared_store_ = store_;
    store_ = own_store_ = StartPlatform({{"kv", json::object()}});
    PutDeclaration(1, {"key"});
    for (int i = 1; i <= kUpstreams; ++i) {
      Announce(Name(i), Proxied(i), "ready");
    }
    for (int vm = 1; vm <= kVms; ++vm) {
      store_ = StoreOf(vm);
      StartIn(vm);
      BOOST_REQUIRE(Caller().WaitFor([&] { return IsListed(vm); }));
    }
    for (int vm = 1; vm <= kVms; ++vm) {
      if (all_behind_proxy_) continue;
      Copy(fmt::format("vms/vm{}", vm), StoreOf(vm),
           vm == kUnreachingVm ? shared_store_ : own_store_);
    }
  }

  using action = std::function<void()>;

  // Runs the load before, during and after the fault; `at_stable_window` comes
  // when the fault has lasted so long.
  void Run(const std::vector<json>& faults, const action& at_stable_window) {
    RunFor(kLookupLifetime);
    Print("before");
    for (const json& fault : faults) SetFault(fault);
    RunFor(kStableWindow);
    Print("stable window");
    if (at_stable_window) at_stable_window();
    RunFor(kObserved);
    during_ = {here_, elsewhere_, asked_, lookups_, named_};
    Print("later");
    SetFault({{"route", "*"}});
    RunFor(kStableWindow);
    after_ = {here_, elsewhere_, asked_, lookups_, named_};
    Print("after the end");
    RunFor(kObserved);
    at_end_ = {here_, elsewhere_, asked_, lookups_, named_};
    Print("at the end");
    BOOST_REQUIRE(load_.Stop());
    BOOST_TEST(BookingsThatRanTwice() == 0);
  }

  // The same, and checks the rule.
  void Play(const std::vector<json>& faults,
            const action& at_stable_window = {}) {
    Run(faults, at_stable_window);
    BOOST_TEST(during_.here.tries > 0);
    BOOST_TEST(during_.elsewhere.tries > 0);
    BOOST_TEST(IsServedLikeOthers(during_.here, during_.elsewhere));
    BOOST_TEST(IsServedLikeOthers(after_.here, after_.elsewhere));
    BOOST_TEST(at_end_.named > 0);
  }

  // To all VMs but the last one.
  void CloseStoreOfOthers() {
    BOOST_REQUIRE(
        Caller().PostJson(shared_store_, "/admin/fault", {{"outage", true}}));
  }

  void CheckThatLookupsNameOthers() const {
    BOOST_TEST(during_.lookups > 0);
    BOOST_TEST(during_.named == 0);
  }

  void CheckThatLookupsNameSomebody() const {
    BOOST_TEST(during_.asked > 0);
    BOOST_TEST(during_.lookups == during_.asked);
  }

 protected:
  struct phase_counts {
    try_counts here;
    try_counts elsewhere;
    // By callers in the zone of the VM behind the proxy.
    int asked = 0;
    int lookups = 0;  // That named somebody.
    int named = 0;    // That named this VM first.
  };

  phase_counts during_;
  phase_counts after_;
  phase_counts at_end_;

 private:
  struct caller_state {
    int vm = 0;  // 0: that of its zone.
    bool asks = false;
    bool asking = false;
    monotonic_time asks_at{};
  };

  static std::string Name(int upstream) { return fmt::format("u{}", upstream); }
  static endpoint Proxied(int upstream) { return At(9300 + upstream, 250); }
  static int ZoneOf(int caller) { return 1 + caller % kVms; }
  endpoint StoreOf(int vm) const {
    return all_behind_proxy_ || vm == kUnreachingVm ? own_store_
                                                    : shared_store_;
  }
  int VmOf(int caller) const {
    return callers_[caller].vm == 0 ? ZoneOf(caller) : callers_[caller].vm;
  }

  void StartIn(int vm) {
    std::string text = Settings(vm);
    const auto replace = [&text](const std::string& what,
                                 const std::string& by) {
      text.replace(text.find(what), what.size(), by);
    };
    replace("zone = \"z1\"", fmt::format("zone = \"z{}\"", vm));
    replace("region = \"r1\"", fmt::format("region = \"r{}\"", vm));
    replace("z1 = \"r1\"", "z1 = \"r1\"\nz2 = \"r2\"\nz3 = \"r3\"");
    const std::string name = fmt::format("node{}", vm);
    Start(name, "citron_node", {"--config", WriteFile(name + ".toml", text)});
    BOOST_REQUIRE(Caller().WaitFor([&] { return IsReady(vm); }));
  }

  void Copy(const std::string& key, const endpoint& from, const endpoint& to) {
    const caller_call call =
        Caller().Call(from, {"GET", "/-/kv-key?key=" + key, {}, ""});
    BOOST_REQUIRE(call.answered);
    const json item = json::parse(call.response.body);
    const json put = {
        {"expectedRev", json::array()},
        {"puts", json::array({{{"key", key}, {"value", item.at("value")}}})},
        {"remove", json::array()}};
    BOOST_REQUIRE(Caller().PostJson(to, "/-/kv-txn", put));
  }

  void SetFault(const json& fault) {
    BOOST_REQUIRE(Caller().PostJson(proxy_, "/admin/fault", fault));
  }

  void RunFor(duration time) {
    const monotonic_time until = MonotonicNow() + time;
    BOOST_REQUIRE(load_.RunUntil([&] { return MonotonicNow() >= until; }));
  }

  void Print(const std::string& phase) {
    fmt::print(
        "{}: here {} of {} served, elsewhere {} of {}, named in {} of {}",
        phase, here_.served, here_.tries, elsewhere_.served, elsewhere_.tries,
        named_, lookups_);
    for (const auto& [reason, count] : failures_) {
      fmt::print("; {} {}", reason, count);
    }
    fmt::print("\n");
    here_ = elsewhere_ = {};
    named_ = lookups_ = asked_ = 0;
    failures_.clear();
  }

  planned_call Next(int caller) {
    caller_state& state = callers_[caller];
    const int zone = ZoneOf(caller);
    const int vm = VmOf(caller);
    const monotonic_time now = MonotonicNow();
    const bool keeps_its_answer = caller < kCallers / 2;
    state.asking = !keeps_its_answer && now >= state.asks_at;
    if (state.asking) {
      state.asks_at = now + kLookupLifetime;
      const std::string path = fmt::format(
          "/-/resolve?name={0}&region=r{1}&zone=z{1}", VmAddress(vm), zone);
      return {fmt::format("vm{}", zone), At(8209, zone), {"GET", path, {}, ""}};
    }
    ++sent_;
    const bool books = sent_ % 2 == 0;
    http_request request =
        books ? Request("key", "POST", fmt::format("/book/{}", sent_))
              : Request("key", "GET", fmt::format("/look/{}", sent_));
    for (auto& [name, value] : request.headers) {
      if (name == "X-Deadline-Ms") value = kCallerDeadlineMs;
    }
    return {fmt::format("vm{}", vm), Callers(vm), request};
  }

  void OnEnd(int caller, const caller_call& call) {
    if (callers_[caller].asking) return OnLookup(caller, call);
    try_counts& at = VmOf(caller) == kUnreachingVm ? here_ : elsewhere_;
    ++at.tries;
    const int status = call.answered ? call.response.head.status : 0;
    if (status == 200) {
      ++at.served;
      return;
    }
    const json body = call.answered
                          ? json::parse(call.response.body, nullptr, false)
                          : json();
    ++failures_[fmt::format(
        "{} {}", status,
        body.is_object() ? body.value("error", "none") : "none")];
  }

  void OnLookup(int caller, const caller_call& call) {
    const bool counts = ZoneOf(caller) == kUnreachingVm;
    if (counts) ++asked_;
    if (!call.answered || call.response.head.status != 200) return;
    const json body = json::parse(call.response.body);
    const std::string first = body.at("addresses").at(0);
    for (int vm = 1; vm <= kVms; ++vm) {
      if (first == Callers(vm).Str()) callers_[caller].vm = vm;
    }
    if (!counts) return;
    ++lookups_;
    named_ += callers_[caller].vm == kUnreachingVm ? 1 : 0;
  }

  int BookingsThatRanTwice() const {
    std::map<std::string, int> runs;
    for (const auto& upstream : upstreams_) {
      for (const std::string& request : upstream->Requests()) {
        if (request.starts_with("POST ")) {
          ++runs[HeaderIn(request, "X-Request-Id")];
        }
      }
    }
    return static_cast<int>(
        std::count_if(runs.begin(), runs.end(),
                      [](const auto& run) { return run.second > 1; }));
  }

  bool all_behind_proxy_;
  endpoint proxy_;
  endpoint shared_store_;
  endpoint own_store_;
  closed_load load_;
  std::vector<caller_state> callers_;
  std::map<std::string, int> failures_;
  try_counts here_;
  try_counts elsewhere_;
  int asked_ = 0;
  int lookups_ = 0;
  int named_ = 0;
  int sent_ = 0;
};

class unreachable_upstreams_fixture : public partitioned_fleet {
 public:
  unreachable_upstreams_fixture() : partitioned_fleet(false) {}
};

class no_reachable_upstreams_fixture : public partitioned_fleet {
 public:
  no_reachable_upstreams_fixture() : partitioned_fleet(true) {}

  // From the stable window after the end on.
  void CheckThatAllAreServedAtTheEnd() const {
    for (const try_counts& tries : {at_end_.here, at_end_.elsewhere}) {
      BOOST_TEST(tries.tries > 0);
      BOOST_TEST(tries.Failed() == 0);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(unreachable_upstreams, unreachable_upstreams_fixture)

// Guards against callers of a VM that reaches no upstream, as connections are
// reset and refused, who are served worse than those of other VMs.
BOOST_AUTO_TEST_CASE(ResetConnections) {
  Play({{{"route", "*"}, {"cut", true}, {"refuse", true}, {"reset", true}}});
  CheckThatLookupsNameOthers();
}

// The same, while connections hang.
BOOST_AUTO_TEST_CASE(HangingConnections) {
  Play({{{"route", "*"}, {"cut", true}, {"drop_connects", true}}});
  CheckThatLookupsNameOthers();
}

// The same, while some old connections live on and new ones are refused.
BOOST_AUTO_TEST_CASE(RefusedNewConnections) {
  Play({{{"route", "*"}, {"refuse", true}},
        {{"route", "u1"}, {"refuse", true}, {"reset", true}},
        {{"route", "u2"}, {"refuse", true}, {"reset", true}},
        {{"route", "u3"}, {"refuse", true}, {"reset", true}}});
}

// Guards against requests that are cut as the VM that carries them stops.
BOOST_AUTO_TEST_CASE(AStoppingRelay) {
  Play({{{"route", "*"}, {"cut", true}, {"refuse", true}, {"reset", true}}},
       [this] { Process("node1").Signal(SIGTERM); });
  BOOST_TEST(during_.here.Failed() == 0);
}

// Guards against refusals while the VMs that reach upstreams have lost the
// store, and are not ready for callers of their own.
BOOST_AUTO_TEST_CASE(RelaysWithoutTheStore) {
  Play({{{"route", "*"}, {"cut", true}, {"refuse", true}, {"reset", true}}},
       [this] { CloseStoreOfOthers(); });
  BOOST_TEST(during_.here.Failed() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(no_reachable_upstreams, no_reachable_upstreams_fixture)

// Guards against look-ups that name nobody, and VMs that go on refusing, when
// all VMs were partitioned from all upstreams.
BOOST_AUTO_TEST_CASE(ResetEverywhere) {
  Run({{{"route", "*"}, {"cut", true}, {"refuse", true}, {"reset", true}}}, {});
  CheckThatLookupsNameSomebody();
  CheckThatAllAreServedAtTheEnd();
}

// Guards against refusals of what old connections that live on could carry.
BOOST_AUTO_TEST_CASE(RefusedNewConnectionsEverywhere) {
  Run({{{"route", "*"}, {"refuse", true}},
       {{"route", "u1"}, {"refuse", true}, {"reset", true}},
       {{"route", "u2"}, {"refuse", true}, {"reset", true}},
       {{"route", "u3"}, {"refuse", true}, {"reset", true}}},
      {});
  BOOST_TEST(during_.here.served > 0);
  BOOST_TEST(during_.elsewhere.served > 0);
  CheckThatLookupsNameSomebody();
  CheckThatAllAreServedAtTheEnd();
}

// The same as ResetEverywhere, while connections hang.
BOOST_AUTO_TEST_CASE(HangingEverywhere) {
  Run({{{"route", "*"}, {"cut", true}, {"drop_connects", true}}}, {});
  CheckThatLookupsNameSomebody();
  CheckThatAllAreServedAtTheEnd();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
