#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <string>

#include "integration/harness.h"
#include "standins/upstream/answer_body.h"

namespace citron {
namespace {

class upstream_fixture : public harness {
 public:
  // One upstream with 2 slots and the given other settings.
  void StartWith(nlohmann::json settings) {
    settings["id"] = "u1";
    settings["listen"] = Address(2) + ":0";
    settings["slots"] = 2;
    upstream_ = StartUpstreams(nlohmann::json::array({settings})).front();
  }

  const endpoint& Upstream() const { return upstream_; }

  std::shared_ptr<caller_call> Begin(const std::string& target,
                                     const http_headers& headers = {}) {
    return Caller().Start(upstream_, {"GET", target, headers, ""});
  }

  caller_call Call(const std::string& target, const http_headers& headers = {},
                   const std::string& body = "") {
    return Caller().Call(upstream_, {"POST", target, headers, body});
  }

  nlohmann::json Ledger() {
    return Caller().GetJson(upstream_, "/admin/ledger?after=0");
  }

  nlohmann::json Load() { return Caller().GetJson(upstream_, "/load"); }

  void SetFault(const nlohmann::json& fault) {
    BOOST_REQUIRE(Caller().PostJson(upstream_, "/admin/fault", fault));
  }

  bool WaitForInFlight(int count) {
    return Caller().WaitFor([&] { return Ledger()["in_flight"] == count; });
  }

  // Outcomes of the ended requests, by count.
  std::map<std::string, int> Outcomes() {
    std::map<std::string, int> outcomes;
    const nlohmann::json ledger = Ledger();
    for (const auto& entry : ledger["entries"]) {
      ++outcomes[entry["outcome"].get<std::string>()];
    }
    return outcomes;
  }

 private:
  endpoint upstream_;
};

std::string HeaderOf(const caller_call& call, const std::string& name) {
  return std::string(
      FindHeader(call.response.head.headers, name).value_or("none"));
}

BOOST_FIXTURE_TEST_SUITE(upstream, upstream_fixture)

BOOST_AUTO_TEST_CASE(AnswerIsAFunctionOfItsRequest) {
  StartWith({});
  const std::string target = "/lots?work_ms=1&bytes=300001";
  const caller_call call = Call(target, {}, "a body");
  const std::uint64_t digest = RequestDigest("POST", target, "a body");
  BOOST_TEST(call.response.head.status == 200);
  BOOST_TEST(std::stoull(HeaderOf(call, "X-Request-Digest"), nullptr, 16) ==
             digest);
  BOOST_TEST(call.response.body.size() == 300001u);
  BOOST_TEST(IsAnswer(digest, 0, call.response.body));
  BOOST_TEST(!IsAnswer(digest + 1, 0, call.response.body));
  BOOST_TEST(!IsAnswer(digest, 1, call.response.body));
}

// More work comes than the upstream has slots. What is above them is refused
// as not run, and the ledger shows that it did not run.
BOOST_AUTO_TEST_CASE(ShedsAboveItsSlots) {
  StartWith({});
  const auto first = Begin("/a?work_ms=600000");
  const auto second = Begin("/b?work_ms=600000");
  BOOST_REQUIRE(WaitForInFlight(2));
  const caller_call third = Call("/c?work_ms=1");
  BOOST_TEST(third.response.head.status == 503);
  BOOST_TEST(HeaderOf(third, "Upstream-Status") == "shed");
  const nlohmann::json ledger = Ledger();
  BOOST_TEST(ledger["max_in_flight"] == 2);
  BOOST_TEST(ledger["running"].size() == 2u);
  BOOST_TEST(ledger["entries"].at(0)["outcome"] == "shed");
  BOOST_TEST(ledger["entries"].at(0)["ran"] == false);
}

BOOST_AUTO_TEST_CASE(LedgerKeepsEveryHeaderAsReceived) {
  StartWith({});
  Call("/a?work_ms=1",
       {{"Citron-Workspace", "depot"},
        {"Citron-Request-Id", "r-7"},
        {"X-Odd", "one"},
        {"X-Odd", "two"}},
       "text");
  const nlohmann::json entry = Ledger()["entries"].at(0);
  BOOST_TEST(entry["workspace"] == "depot");
  BOOST_TEST(entry["request_id"] == "r-7");
  BOOST_TEST(entry["method"] == "POST");
  BOOST_TEST(entry["target"] == "/a?work_ms=1");
  BOOST_TEST(entry["headers"]["X-Odd"] == "one, two");
  BOOST_TEST(entry["outcome"] == "answered");
  BOOST_TEST(entry["ran"] == true);
}

BOOST_AUTO_TEST_CASE(ClosedConnectionCancelsTheWork) {
  StartWith({});
  const caller_call call =
      Caller().Call(Upstream(), {"GET", "/a?work_ms=600000", {}, ""},
                    std::chrono::milliseconds(500));
  BOOST_TEST(call.failed);
  BOOST_REQUIRE(WaitForInFlight(0));
  BOOST_TEST(Outcomes()["cancelled"] == 1);
}

BOOST_AUTO_TEST_CASE(WorkIsCutAtItsDeadline) {
  StartWith({});
  const caller_call cut =
      Call("/a?work_ms=600000", {{"Citron-Deadline-Ms", "20"}});
  BOOST_TEST(cut.response.head.status == 504);
  const caller_call late = Call("/a", {{"Citron-Deadline-Ms", "0"}});
  BOOST_TEST(HeaderOf(late, "Upstream-Status") == "expired");
  BOOST_TEST(Outcomes()["deadline"] == 1);
  BOOST_TEST(Outcomes()["expired"] == 1);
}

BOOST_AUTO_TEST_CASE(DrainingRefusesNewWorkAndFinishesOld) {
  StartWith({});
  const auto old = Begin("/a?work_ms=300");
  BOOST_REQUIRE(WaitForInFlight(1));
  SetFault({{"drain", true}});
  BOOST_TEST(HeaderOf(Call("/b"), "Upstream-Status") == "leaving");
  BOOST_TEST(Load()["leaving"] == true);
  BOOST_TEST(Load()["ready"] == false);
  BOOST_REQUIRE(Caller().WaitFor([&] { return old->IsDone(); }));
  BOOST_TEST(old->response.head.status == 200);
}

// One request crashes the upstream and takes its neighbours along.
BOOST_AUTO_TEST_CASE(MarkedRequestCrashesAndTheUpstreamReturns) {
  StartWith({{"restart_after_ms", 50}});
  const auto neighbour = Begin("/a?work_ms=600000");
  BOOST_REQUIRE(WaitForInFlight(1));
  BOOST_TEST(Call("/b?crash=1&work_ms=1").failed);
  BOOST_REQUIRE(Caller().WaitFor([&] { return neighbour->IsDone(); }));
  BOOST_TEST(neighbour->failed);
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return Call("/c?work_ms=1").answered; }));
  BOOST_TEST(Outcomes()["crashed"] == 2);
}

BOOST_AUTO_TEST_CASE(MarkedRequestEndsTheProcessWithoutRestart) {
  StartWith({});
  BOOST_TEST(Call("/b?crash=1&work_ms=1").failed);
  child_process& process = Process("upstreams_0");
  BOOST_REQUIRE(Caller().WaitFor([&] { return process.Exit().has_value(); }));
  BOOST_TEST(process.Exit()->signal == SIGABRT);
}

// The load that an upstream reports is old, or a lie; callers who believe it
// all go to the same place.
BOOST_AUTO_TEST_CASE(ReportsLagAndLie) {
  StartWith({{"report_lag_ms", 3600000}});
  const auto first = Begin("/a?work_ms=600000");
  BOOST_REQUIRE(WaitForInFlight(1));
  BOOST_TEST(Load()["in_flight"] == 0);
  BOOST_TEST(Load()["slots"] == 2);
}

BOOST_AUTO_TEST_CASE(LiesOnCommand) {
  StartWith({});
  const auto first = Begin("/a?work_ms=600000");
  BOOST_REQUIRE(WaitForInFlight(1));
  BOOST_TEST(Load()["in_flight"] == 1);
  SetFault({{"lie_idle", true}, {"unhealthy", true}});
  BOOST_TEST(Load()["in_flight"] == 0);
  BOOST_TEST(Load()["healthy"] == false);
  SetFault({{"lie_healthy", true}});
  BOOST_TEST(Load()["healthy"] == true);
}

BOOST_AUTO_TEST_CASE(FastErrorsTakeNoSlot) {
  StartWith({});
  SetFault({{"error_rate", 1}, {"error_fast", true}});
  BOOST_TEST(Call("/a?work_ms=600000").response.head.status == 500);
  SetFault({{"error_fast", false}});
  BOOST_TEST(Call("/a?work_ms=1").response.head.status == 500);
  const nlohmann::json entries = Ledger()["entries"];
  BOOST_TEST(entries.at(0)["ran"] == false);
  BOOST_TEST(entries.at(1)["ran"] == true);
}

BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitAreClosed) {
  StartWith({{"max_connections", 2}});
  const auto first = Begin("/a?work_ms=600000");
  const auto second = Begin("/b?work_ms=600000");
  const auto third = Begin("/c?work_ms=1");
  BOOST_REQUIRE(Caller().WaitFor(
      [&] { return first->failed || second->failed || third->failed; }));
  BOOST_TEST(Outcomes()["over_connections"] >= 1);
}

BOOST_AUTO_TEST_CASE(ItSaysThatItIsFullAndThatItLeaves) {
  StartWith({});
  SetFault({{"pause_ms", 1500}, {"say_leaving", true}});
  const auto header = [](const caller_call& call, const char* name) {
    return std::string(
        FindHeader(call.response.head.headers, name).value_or(""));
  };
  const auto one = Begin("/a?work_ms=3000");
  const auto two = Begin("/a?work_ms=3000");
  BOOST_REQUIRE(WaitForInFlight(2));
  const caller_call shed = Call("/a");
  BOOST_TEST(shed.response.head.status == 503);
  BOOST_TEST(header(shed, "Retry-After") == "1.500");
  BOOST_TEST(header(shed, "Server-Leaving") == "1");
  BOOST_REQUIRE(Caller().WaitFor([&] { return one->IsDone(); }));
  BOOST_TEST(header(*one, "Server-Leaving") == "1");
  BOOST_TEST(header(*one, "Retry-After") == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
