#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>

#include "citron/base/digest.h"
#include "integration/fleet.h"
#include "integration/harness.h"
#include "standins/upstream/answer_body.h"

namespace citron {
namespace {

constexpr char kKey[] = "key-of-depot";

http_request Request(const std::string& method, const std::string& target,
                     const std::string& key = kKey) {
  return {method, target, {{"Authorization", "Bearer " + key}}, ""};
}

std::string HeaderOf(const caller_call& call, const std::string& name) {
  return std::string(
      FindHeader(call.response.head.headers, name).value_or("none"));
}

// One zone with two VMs and three upstreams.
class end_to_end_fixture : public harness {
 public:
  end_to_end_fixture() : fleet_(*this, SmallPlan(1, 2, 3)) { fleet_.Start(); }

  fleet& Fleet() { return fleet_; }

  caller_call Call(const std::string& vm, const http_request& request) {
    return Caller().Call(fleet_.Entry(vm), request);
  }

  bool IsServed(const std::string& vm) {
    return Call(vm, Request("GET", "/desk/lots?work_ms=1"))
               .response.head.status == 200;
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(end_to_end, end_to_end_fixture)

BOOST_AUTO_TEST_CASE(AnswerComesBackWhole) {
  for (const char* vm : {"z1vm1", "z1vm2"}) {
    const caller_call call =
        Call(vm, Request("GET", "/desk/lots?work_ms=5&bytes=300000"));
    BOOST_TEST(call.response.head.status == 200);
    BOOST_TEST(HeaderOf(call, "Citron-Verdict") == "ran");
    const std::uint64_t digest =
        RequestDigest("GET", "/lots?work_ms=5&bytes=300000", "");
    BOOST_TEST(call.response.body.size() == 300000u);
    BOOST_TEST(IsAnswer(digest, 0, call.response.body));
  }
}

// A caller sends headers that name another workspace, and its key in a place
// of its own choice. The upstream must see neither.
BOOST_AUTO_TEST_CASE(UpstreamSeesNoKeyAndNoForgedHeader) {
  http_request request = Request("POST", "/desk/lots?work_ms=1");
  request.headers.push_back({"Citron-Workspace", "another"});
  request.headers.push_back({"Citron-Seal", "forged"});
  request.headers.push_back({"Cookie", "theme=dark"});
  request.body = "a body";
  const caller_call call = Call("z1vm1", request);
  BOOST_TEST(call.response.head.status == 200);
  const auto ledger = Fleet().Ledger();
  BOOST_REQUIRE(ledger.size() == 1u);
  BOOST_TEST(ledger[0]["headers"]["Citron-Workspace"] == "depot");
  BOOST_TEST(!ledger[0]["headers"].contains("Citron-Seal"));
  const std::string headers = ledger[0]["headers"].dump();
  BOOST_TEST(headers.find(kKey) == std::string::npos);
  BOOST_TEST(headers.find(Sha256Hex(kKey)) == std::string::npos);
  BOOST_TEST(headers.find("another") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnknownKeyRunsNothing) {
  const caller_call call =
      Call("z1vm1", Request("GET", "/desk/lots", "key-of-nobody"));
  BOOST_TEST(call.response.head.status == 401);
  BOOST_TEST(HeaderOf(call, "Citron-Verdict") == "not_run");
  BOOST_TEST(Fleet().Ledger().empty());
}

// An operator withdraws the key of a caller that goes on asking.
BOOST_AUTO_TEST_CASE(WithdrawnKeyStopsWorkingEverywhere) {
  BOOST_REQUIRE(IsServed("z1vm1"));
  const std::string target =
      std::string("/v1/kv?key=config/key/") + Sha256Hex(kKey);
  const caller_call removed =
      Caller().Call(Fleet().Platform(), {"DELETE", target, {}, ""});
  BOOST_REQUIRE(removed.response.head.status == 200);
  for (const char* vm : {"z1vm1", "z1vm2"}) {
    BOOST_TEST(Caller().WaitFor([&] {
      return Call(vm, Request("GET", "/desk/lots?work_ms=1"))
                 .response.head.status == 401;
    }));
  }
}

// The platform's service goes down. Callers notice nothing.
BOOST_AUTO_TEST_CASE(OutageOfThePlatformIsNotNoticed) {
  Fleet().SetPlatformFault({{"outage", true}});
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(IsServed(i % 2 == 0 ? "z1vm1" : "z1vm2"));
  }
}

// A VM is stopped as planned while it answers a request. The request's caller
// gets its whole answer, and the daemons end by themselves.
BOOST_AUTO_TEST_CASE(PlannedStopCutsNothingOff) {
  const auto call = Caller().Start(Fleet().Entry("z1vm1"),
                                   Request("GET", "/desk/lots?work_ms=1500"));
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return Fleet().Ledger().size() == 1u; }));
  for (const char* role : {"entry", "dispatch", "control"}) {
    Fleet().Daemon("z1vm1", role).Signal(SIGTERM);
  }
  BOOST_REQUIRE(Caller().WaitFor([&] { return call->IsDone(); }));
  BOOST_TEST(call->response.head.status == 200);
  for (const char* role : {"entry", "dispatch", "control"}) {
    child_process& daemon = Fleet().Daemon("z1vm1", role);
    BOOST_REQUIRE_MESSAGE(
        Caller().WaitFor([&] { return daemon.Exit().has_value(); }), role);
    BOOST_TEST(daemon.Exit()->status == 0);
    BOOST_TEST(daemon.Exit()->signal == 0);
  }
  BOOST_TEST(Caller().WaitFor([&] { return IsServed("z1vm2"); }));
}

// A caller gives up. Its work at the upstream is cancelled, so that the slot
// is free for others.
BOOST_AUTO_TEST_CASE(CallerThatGoesFreesTheSlot) {
  const caller_call call = Caller().Call(
      Fleet().Entry("z1vm1"), Request("GET", "/desk/lots?work_ms=600000"),
      std::chrono::milliseconds(500));
  BOOST_TEST(call.failed);
  BOOST_TEST(Caller().WaitFor([&] {
    const auto ledger = Fleet().Ledger();
    return ledger.size() == 1 && ledger[0]["outcome"] == "cancelled";
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
