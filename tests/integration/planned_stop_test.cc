#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "citron/base/digest.h"
#include "citron/base/log.h"
#include "integration/closed_load.h"
#include "integration/fleet.h"
#include "integration/harness.h"
#include "standins/upstream/answer_body.h"

namespace citron {
namespace {

constexpr std::uint64_t kSeed = 9;
constexpr int kCallers = 12;
constexpr int kUpstreams = 3;
const std::vector<std::string> kVms = {"z1vm1", "z1vm2", "z1vm3"};
const std::vector<std::string> kRoles = {"entry", "dispatch", "control"};

// A short request, a longer one, or a download that goes on for a while.
struct kind {
  std::string target;
  std::size_t bytes;
};
const std::vector<kind> kKinds = {{"/lots?work_ms=5&bytes=100", 100},
                                  {"/lots?work_ms=200&bytes=5000", 5000},
                                  {"/film?work_ms=50&bytes=6000000", 6000000}};

// What became of the requests, as the callers saw it.
struct tally {
  int whole = 0;
  int refused = 0;   // With an honest JSON refusal.
  int not_sent = 0;  // The VM took no connection; nothing left the caller.
  int cut = 0;       // Sent, and neither of these came back.
  std::string first_cut;
};

class planned_stop_fixture : public harness {
 public:
  planned_stop_fixture() : fleet_(*this, Plan()), random_(kSeed) {
    fleet_.Start();
  }

  static fleet_plan Plan() {
    fleet_plan plan = SmallPlan(1, 3, kUpstreams);
    // Far above what the test waits for: what ends in time ends by itself.
    plan.entry_settings["drain_limit_ms"] = 300000;
    plan.dispatch_settings["drain_limit_ms"] = 300000;
    return plan;
  }

  fleet& Fleet() { return fleet_; }
  const tally& Tally() const { return tally_; }

  planned_call Next() {
    planned_call next;
    next.vm = kVms[random_(static_cast<std::uint32_t>(kVms.size()))];
    next.server = fleet_.Entry(next.vm);
    const kind& k = kKinds[random_(static_cast<std::uint32_t>(kKinds.size()))];
    next.request = {"GET",
                    "/desk" + k.target,
                    {{"Authorization", "Bearer key-of-depot"}},
                    ""};
    return next;
  }

  void OnEnd(const planned_call& planned, const caller_call& call) {
    if (call.failed && !call.failure.bytes_sent) {
      ++tally_.not_sent;
    } else if (IsWhole(planned, call)) {
      ++tally_.whole;
    } else if (IsRefusal(call)) {
      ++tally_.refused;
    } else {
      ++tally_.cut;
      const std::string cut = Describe(planned, call);
      fmt::print("{} cut: {}\n", UnixTimestamp(), cut);
      if (tally_.first_cut.empty()) tally_.first_cut = cut;
    }
  }

  void Stop(const std::string& vm, const std::string& role, closed_load& load) {
    child_process& daemon = Fleet().Daemon(vm, role);
    daemon.Signal(SIGTERM);
    BOOST_REQUIRE_MESSAGE(
        load.RunUntil([&] { return daemon.Exit().has_value(); }),
        daemon.Name() << " does not end");
    BOOST_TEST(daemon.Exit()->status == 0, daemon.Name());
    BOOST_TEST(daemon.Exit()->signal == 0, daemon.Name());
  }

 private:
  static bool IsWhole(const planned_call& planned, const caller_call& call) {
    if (!call.answered || call.response.head.status != 200) return false;
    const std::string target =
        planned.request.target.substr(std::string("/desk").size());
    for (const kind& k : kKinds) {
      if (k.target != target) continue;
      return call.response.body.size() == k.bytes &&
             IsAnswer(RequestDigest("GET", target, ""), 0, call.response.body);
    }
    return false;
  }

  static bool IsRefusal(const caller_call& call) {
    if (!call.answered || call.response.head.status < 400) return false;
    const auto body = nlohmann::json::parse(call.response.body, nullptr, false);
    return body.is_object() && body.contains("error") &&
           body["error"].contains("verdict");
  }

  static std::string Describe(const planned_call& planned,
                              const caller_call& call) {
    return fmt::format(
        "{} {}: {} status {}, {} bytes, after {:.1f} ms", planned.vm,
        planned.request.target,
        call.failed ? CallProblemName(call.failure.problem) : "answered",
        call.response.head.status, call.response.body.size(),
        ToMilliseconds(call.ended - call.started));
  }

  fleet fleet_;
  pcg32 random_;
  tally tally_;
};

BOOST_FIXTURE_TEST_SUITE(planned_stop, planned_stop_fixture)

// A new version is brought out: the daemons of one VM after the other are
// stopped, entry first, and started again, while callers go on asking and
// downloads are on their way. No caller sees a connection end in the middle.
BOOST_AUTO_TEST_CASE(RollingReplacementCutsNothing) {
  closed_load load(
      Caller(), kCallers, [this](int) { return Next(); },
      [this](int, const planned_call& planned, const caller_call& call) {
        OnEnd(planned, call);
      });
  for (const std::string& vm : kVms) {
    BOOST_REQUIRE(
        load.RunUntil([&] { return Fleet().OwnedUpstreams(vm) > 0; }));
    for (const std::string& role : kRoles) Stop(vm, role, load);
    Fleet().StartVm(vm);
    BOOST_REQUIRE(load.RunUntil(
        [&] { return Fleet().UsableUpstreams(vm) == kUpstreams; }));
  }
  BOOST_REQUIRE(load.Stop());
  fmt::print("{} whole, {} refused, {} found no door, {} cut\n", Tally().whole,
             Tally().refused, Tally().not_sent, Tally().cut);
  BOOST_TEST(Tally().cut == 0, Tally().first_cut);
  // Of what was sent to a VM that takes requests.
  BOOST_TEST(Tally().refused * 20 < Tally().whole);
}

// The platform is down when VMs are stopped, so that neither shares nor
// ownership can be given back. A stop that waits for the platform lasts as
// long as its outage, and whoever stops the VMs kills them in the end.
BOOST_AUTO_TEST_CASE(StopEndsWhileThePlatformIsDown) {
  for (const std::string& vm : kVms) {
    BOOST_REQUIRE(
        Caller().WaitFor([&] { return Fleet().OwnedUpstreams(vm) > 0; }));
  }
  Fleet().SetPlatformFault({{"outage", true}});
  for (const std::string& vm : kVms) {
    for (const std::string& role : kRoles) {
      Fleet().Daemon(vm, role).Signal(SIGTERM);
    }
  }
  for (const std::string& vm : kVms) {
    for (const std::string& role : kRoles) {
      child_process& daemon = Fleet().Daemon(vm, role);
      BOOST_REQUIRE_MESSAGE(
          Caller().WaitFor([&] { return daemon.Exit().has_value(); }),
          daemon.Name() << " does not end");
      BOOST_TEST(daemon.Exit()->status == 0, daemon.Name());
      BOOST_TEST(daemon.Exit()->signal == 0, daemon.Name());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
