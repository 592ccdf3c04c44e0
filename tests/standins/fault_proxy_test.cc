#include <boost/test/unit_test.hpp>
#include <string>

#include "integration/harness.h"
#include "standins/upstream/answer_body.h"

namespace citron {
namespace {

// An upstream behind a proxy.
class proxy_fixture : public harness {
 public:
  proxy_fixture() {
    upstream_ =
        StartUpstreams({{{"id", "u1"}, {"listen", Address(2) + ":0"}}}).front();
    admin_ = StartProxy({{{"name", "up"},
                          {"listen", Address(3) + ":0"},
                          {"target", upstream_.Str()}}});
    const nlohmann::json routes = Caller().GetJson(admin_, "/admin/routes");
    route_ = *ParseEndpoint(routes["routes"][0]["listen"].get<std::string>());
  }

  std::shared_ptr<caller_call> Begin(const std::string& target) {
    return Caller().Start(route_, {"GET", target, {}, ""});
  }

  caller_call Call(const std::string& target) {
    return Caller().Call(route_, {"GET", target, {}, ""});
  }

  void SetFault(nlohmann::json fault) {
    fault["route"] = "up";
    BOOST_REQUIRE(Caller().PostJson(admin_, "/admin/fault", fault));
  }

  // What the upstream says itself, by a way round the proxy.
  nlohmann::json Ledger() {
    return Caller().GetJson(upstream_, "/admin/ledger?after=0");
  }

 protected:
  endpoint route_;

 private:
  endpoint upstream_;
  endpoint admin_;
};

BOOST_FIXTURE_TEST_SUITE(fault_proxy, proxy_fixture)

BOOST_AUTO_TEST_CASE(PassesBytesOnWhole) {
  const std::string target = "/a?work_ms=1&bytes=5000000";
  const caller_call call = Call(target);
  BOOST_TEST(call.response.body.size() == 5000000u);
  BOOST_TEST(IsAnswer(RequestDigest("GET", target, ""), 0, call.response.body));
}

// Two zones lose each other for a while. Nothing passes, no connection ends,
// and what was under way goes on afterwards.
BOOST_AUTO_TEST_CASE(CutHoldsBytesUntilItHeals) {
  SetFault({{"cut", true}});
  const auto call = Begin("/a?work_ms=1");
  const auto other = Begin("/b?work_ms=1");
  SetFault({{"cut", true}, {"cut_direction", "to_source"}});
  BOOST_TEST(!call->IsDone());
  // Accepted only now, the requests pass; their answers are still held.
  SetFault({});
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return call->IsDone() && other->IsDone(); }));
  BOOST_TEST(call->response.head.status == 200);
}

// The way to the target works and the way back does not: the request runs and
// its caller can't know.
BOOST_AUTO_TEST_CASE(CutOfOneDirectionLetsTheRequestRun) {
  BOOST_REQUIRE(Call("/warm?work_ms=1").answered);
  SetFault({{"cut", true}, {"cut_direction", "to_source"}});
  // On the connection that is open already.
  const auto call = Begin("/a?work_ms=1");
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return Ledger()["entries"].size() == 2u; }));
  BOOST_TEST(!call->IsDone());
  SetFault({});
  BOOST_REQUIRE(Caller().WaitFor([&] { return call->IsDone(); }));
  BOOST_TEST(call->answered);
}

BOOST_AUTO_TEST_CASE(CutMayRefuseNewConnections) {
  SetFault({{"cut", true}, {"refuse", true}});
  const caller_call refused = Call("/a");
  BOOST_TEST((refused.failure.problem == call_problem::kConnectFailed));
  SetFault({});
  BOOST_TEST(Call("/a").answered);
}

// Guards against a proxy that hangs itself when a connection waits to be
// accepted as connects begin to be dropped.
BOOST_AUTO_TEST_CASE(ConnectsAreDroppedBehindOneThatWaits) {
  SetFault({{"cut", true}});
  const auto waiting = Begin("/a?work_ms=1");
  // The connection stands once the proxy has answered again.
  SetFault({{"cut", true}});
  SetFault({{"cut", true}, {"drop_connects", true}});
  const caller_call dropped = Caller().Call(route_, {"GET", "/b", {}, ""},
                                            std::chrono::milliseconds(200));
  BOOST_TEST(dropped.failed);
  BOOST_TEST(!dropped.failure.bytes_sent);
  SetFault({});
  BOOST_REQUIRE(Caller().WaitFor([&] { return waiting->IsDone(); }));
  BOOST_TEST(waiting->answered);
}

// The answer breaks off. Whoever reads it must not take it for a whole one.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsIncomplete) {
  SetFault({{"truncate_answer_at", 1000}});
  const caller_call call = Call("/a?work_ms=1&bytes=10000");
  BOOST_TEST(call.failed);
  BOOST_TEST((call.failure.problem == call_problem::kIncomplete));
}

BOOST_AUTO_TEST_CASE(ResetAfterSomeBytesIsIncomplete) {
  SetFault({{"drop_after_bytes_to_source", 1000}});
  BOOST_TEST(Call("/a?work_ms=1&bytes=10000").failed);
}

// The request ran and its answer is lost on the way.
BOOST_AUTO_TEST_CASE(LostAnswerComesAfterTheEffect) {
  SetFault({{"lose_answer", true}});
  const caller_call call = Call("/a?work_ms=1");
  BOOST_TEST(call.failed);
  BOOST_TEST(call.failure.bytes_sent);
  BOOST_TEST(Ledger()["entries"].at(0)["ran"] == true);
}

BOOST_AUTO_TEST_CASE(ResetEndsOpenConnections) {
  const auto call = Begin("/a?work_ms=600000");
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return Ledger()["running"].size() == 1u; }));
  SetFault({{"reset", true}});
  BOOST_REQUIRE(Caller().WaitFor([&] { return call->IsDone(); }));
  BOOST_TEST(call->failed);
  BOOST_TEST(Caller().WaitFor([&] { return Ledger()["running"].empty(); }));
}

BOOST_AUTO_TEST_CASE(DelayKeepsBytesInOrder) {
  SetFault({{"delay_ms", 20}});
  const std::string target = "/a?work_ms=1&bytes=1000000";
  const caller_call call = Call(target);
  BOOST_TEST(ToMilliseconds(call.ended - call.started) >= 40);
  BOOST_TEST(IsAnswer(RequestDigest("GET", target, ""), 0, call.response.body));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
