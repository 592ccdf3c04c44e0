#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/caller_ledger.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr std::size_t kRequests = 40;
constexpr std::size_t kSlots = 4;

fleet_plan Plan(int vms) {
  fleet_plan plan = SmallPlan(1, vms, 2);
  plan.upstreams_behind_proxy = true;
  return plan;
}

// One zone with two upstreams behind the proxy.
class not_run_fixture : public harness {
 public:
  explicit not_run_fixture(int vms = 2)
      : fleet_(*this, Plan(vms)), ledger_(Caller()) {
    fleet_.Start();
  }

  fleet& Fleet() { return fleet_; }
  caller_ledger& Ledger() { return ledger_; }

  // At both entries in turn, repeatable and not.
  void Begin(std::size_t count, const std::string& target) {
    for (std::size_t i = 0; i < count; ++i) {
      ledger_.Begin(fleet_.Entry(i % 2 == 0 ? "z1vm1" : "z1vm2"),
                    i / 2 % 2 == 0 ? "GET" : "POST", target);
    }
  }

  std::size_t With(const std::string& outcome) {
    const auto all = fleet_.Ledger();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(),
        [&](const auto& entry) { return entry.at("outcome") == outcome; }));
  }

  // A request that was lost at one upstream, then turned away at the other.
  bool HasLostThenShed() {
    const auto all = fleet_.Ledger();
    return std::any_of(all.begin(), all.end(), [&](const auto& lost) {
      return lost.at("ran") == true &&
             std::any_of(all.begin(), all.end(), [&](const auto& shed) {
               return shed.at("outcome") == "shed" &&
                      shed.at("started_ms") > lost.at("ended_ms") &&
                      shed.at("target") == lost.at("target");
             });
    });
  }

  void SetUpstreamFault(const std::string& name, const nlohmann::json& fault) {
    BOOST_REQUIRE(
        Caller().PostJson(fleet_.Upstream(name), "/admin/fault", fault));
  }

  std::string IssueId(const std::string& vm) {
    const caller_call issued = Caller().Call(
        fleet_.Entry(vm), {"POST",
                           "/v1/request-ids?count=1",
                           {{"Authorization", "Bearer key-of-depot"}},
                           ""});
    BOOST_REQUIRE(issued.response.head.status == 200);
    return nlohmann::json::parse(issued.response.body)["ids"][0];
  }

  void CheckNotRun() {
    for (const std::string& record : ledger_.FalselyNotRun(fleet_.Ledger())) {
      BOOST_ERROR("answered as not run, but ran: " + record);
    }
  }

 private:
  fleet fleet_;
  caller_ledger ledger_;
};

// One dispatch owns both upstreams.
class one_owner_fixture : public not_run_fixture {
 public:
  one_owner_fixture() : not_run_fixture(1) {}
};

BOOST_FIXTURE_TEST_SUITE(not_run, not_run_fixture)

// A dispatch is killed while its requests run and wait. A caller that is told
// "not run" sends its booking again, so for one that ran it is booked twice.
BOOST_AUTO_TEST_CASE(DispatchIsKilledUnderLoad) {
  for (const char* vm : {"z1vm1", "z1vm2"}) {
    Begin(kRequests, "/lots?work_ms=300");
    BOOST_REQUIRE(Caller().WaitFor([&] { return With("running") >= kSlots; }));
    Fleet().Daemon(vm, "dispatch").Kill();
    BOOST_REQUIRE(Ledger().WaitForAll());
    CheckNotRun();
    if (vm == std::string("z1vm2")) break;
    BOOST_REQUIRE(Caller().WaitFor([&] {
      return Ledger()
                 .Call(Fleet().Entry("z1vm2"), "GET", "/lots?work_ms=1")
                 .Status() == 200;
    }));
  }
  BOOST_TEST(With("cancelled") > 0u);
}

// The network between dispatch and upstreams loses answers and resets
// connections under load; queues run into their deadlines.
BOOST_AUTO_TEST_CASE(ConnectionsToUpstreamsBreak) {
  const nlohmann::json faults[] = {
      {{"reset", true}},
      {{"lose_answer", true}},
      {{"drop_after_bytes_to_source", 30}},
      {{"delay_ms", 400}},
  };
  for (const nlohmann::json& fault : faults) {
    for (std::size_t i = 0; i < kRequests; ++i) {
      Ledger().Begin(Fleet().Entry("z1vm1"), i % 2 == 0 ? "GET" : "POST",
                     "/lots?work_ms=150", {{"Citron-Deadline-Ms", "900"}});
    }
    BOOST_REQUIRE(Caller().WaitFor([&] { return With("running") > 0u; }));
    Fleet().SetRouteFault("z1", "z1u1", fault);
    BOOST_REQUIRE(Ledger().WaitForAll());
    CheckNotRun();
    Fleet().SetRouteFault("z1", "z1u1", nlohmann::json::object());
    BOOST_REQUIRE(Caller().WaitFor(
        [&] { return Fleet().UsableUpstreams("z1vm1") == 2u; }));
  }
  BOOST_TEST(Ledger().Answered(200) > kRequests);
}

// A repeatable request's answer is lost on its way from the first upstream, and
// the second one, full with work from elsewhere, turns it away. The last thing
// that happened was a "not run", but the request ran.
BOOST_FIXTURE_TEST_CASE(LostAtOneUpstreamAndShedByTheNext, one_owner_fixture) {
  for (std::size_t i = 0; i < kRequests; ++i) {
    Ledger().Call(Fleet().Entry("z1vm1"), "GET", "/lots?work_ms=1");
  }
  SetUpstreamFault("z1u2", {{"lie_idle", true}});
  // One at each upstream.
  for (int i = 0; i < 2; ++i) {
    Ledger().Begin(Fleet().Entry("z1vm1"), "GET", "/lots?work_ms=5000");
  }
  BOOST_REQUIRE(Caller().WaitFor([&] { return With("running") == 2u; }));
  std::vector<std::shared_ptr<caller_call>> elsewhere;
  for (std::size_t i = 1; i < kSlots; ++i) {
    elsewhere.push_back(Caller().Start(
        Fleet().Upstream("z1u2"), {"GET", "/other?work_ms=600000", {}, ""}));
  }
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return With("running") == kSlots + 1; }));
  Fleet().SetRouteFault("z1", "z1u1", {{"reset", true}});
  BOOST_REQUIRE(Ledger().WaitForAll());
  BOOST_TEST(HasLostThenShed());
  CheckNotRun();
}

// A booking with a request id runs, and the entry that issued the id dies. Its
// caller asks again elsewhere. Nobody can tell any more, and "not run" would
// make the caller book once more under a new id.
BOOST_AUTO_TEST_CASE(IssuerOfTheIdDies) {
  const std::string id = IssueId("z1vm2");
  const http_request booking = {
      "POST",
      "/desk/lots?work_ms=1",
      {{"Authorization", "Bearer key-of-depot"}, {"Citron-Request-Id", id}},
      ""};
  const caller_call first = Caller().Call(Fleet().Entry("z1vm1"), booking);
  BOOST_REQUIRE(first.response.head.status == 200);
  Fleet().Daemon("z1vm2", "entry").Kill();
  const caller_call again = Caller().Call(Fleet().Entry("z1vm1"), booking);
  BOOST_TEST(again.answered);
  BOOST_TEST(FindHeader(again.response.head.headers, "Citron-Verdict")
                 .value_or("none") == "may_have_run");
  BOOST_TEST(Fleet().Ledger().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
