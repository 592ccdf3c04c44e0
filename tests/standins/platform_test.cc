#include <boost/test/unit_test.hpp>
#include <string>

#include "integration/harness.h"

namespace citron {
namespace {

class platform_fixture : public harness {
 public:
  platform_fixture()
      : platform_(StartPlatform({{"kv", {{"first", {{"a", 1}}}}}},
                                {"--history", "5"})) {}

  const endpoint& Platform() const { return platform_; }

  caller_call Call(const std::string& method, const std::string& target,
                   const std::string& body = "") {
    return Caller().Call(platform_, {method, target, {}, body});
  }

  int Status(const std::string& method, const std::string& target,
             const std::string& body = "") {
    return Call(method, target, body).response.head.status;
  }

  nlohmann::json Json(const std::string& method, const std::string& target,
                      const std::string& body = "") {
    return nlohmann::json::parse(Call(method, target, body).response.body);
  }

  void SetFault(const nlohmann::json& fault) {
    BOOST_REQUIRE(Caller().PostJson(platform_, "/admin/fault", fault));
  }

 private:
  endpoint platform_;
};

BOOST_FIXTURE_TEST_SUITE(platform, platform_fixture)

BOOST_AUTO_TEST_CASE(InitialDataIsThere) {
  const nlohmann::json item = Json("GET", "/v1/kv?key=first");
  BOOST_TEST(item["value"] == "{\"a\":1}");
  BOOST_TEST(item["revision"] == 1);
  BOOST_TEST(Status("GET", "/v1/kv?key=second") == 404);
}

// Two operators change the same key from the same revision. The second must
// lose, and learn what it lost to.
BOOST_AUTO_TEST_CASE(CompareAndSwapHasOneWinner) {
  BOOST_TEST(Status("PUT", "/v1/kv?key=k&expect=0&write_id=w1", "one") == 200);
  const caller_call lost =
      Call("PUT", "/v1/kv?key=k&expect=0&write_id=w2", "two");
  BOOST_TEST(lost.response.head.status == 409);
  const auto present = nlohmann::json::parse(lost.response.body);
  BOOST_TEST(present["value"] == "one");
  BOOST_TEST(present["write_id"] == "w1");
  BOOST_TEST(present["revision"] == 2);
  BOOST_TEST(Status("PUT", "/v1/kv?key=k&expect=2", "three") == 200);
  BOOST_TEST(Status("DELETE", "/v1/kv?key=k&expect=2") == 409);
  BOOST_TEST(Status("DELETE", "/v1/kv?key=k&expect=3") == 200);
  BOOST_TEST(Status("DELETE", "/v1/kv?key=k&expect=3") == 404);
}

// The answer to a write is lost after the write has taken effect. The writer
// can't tell, and finds its write id when it reads back.
BOOST_AUTO_TEST_CASE(LostAnswerComesAfterTheEffect) {
  SetFault({{"lose_answers", 1}});
  BOOST_TEST(Call("PUT", "/v1/kv?key=k&expect=0&write_id=w1", "one").failed);
  const nlohmann::json conflict =
      Json("PUT", "/v1/kv?key=k&expect=0&write_id=w1", "one");
  BOOST_TEST(conflict["write_id"] == "w1");
}

BOOST_AUTO_TEST_CASE(OutageClosesConnectionsAndWatches) {
  const auto watch = Caller().Start(
      Platform(), {"GET", "/v1/watch?prefix=k&after=1&wait_ms=60000", {}, ""});
  BOOST_REQUIRE(Caller().WaitFor([&] {
    return Caller().GetJson(Platform(), "/admin/counts")["waiting_watches"] ==
           1;
  }));
  SetFault({{"outage", true}});
  BOOST_REQUIRE(Caller().WaitFor([&] { return watch->IsDone(); }));
  BOOST_TEST(watch->failed);
  BOOST_TEST(Call("PUT", "/v1/kv?key=k", "lost").failed);
  SetFault({{"outage", false}});
  BOOST_TEST(Status("GET", "/v1/kv?key=k") == 404);
}

// A caller gives up on a slow write, which takes effect all the same, later.
BOOST_AUTO_TEST_CASE(SlowWriteTakesEffectWithoutItsCaller) {
  SetFault({{"delay_ms", 1000}});
  const caller_call call =
      Caller().Call(Platform(), {"PUT", "/v1/kv?key=k", {}, "late"},
                    std::chrono::milliseconds(50));
  BOOST_TEST(call.failed);
  SetFault({{"delay_ms", 0}});
  BOOST_TEST(
      Caller().WaitFor([&] { return Status("GET", "/v1/kv?key=k") == 200; }));
}

BOOST_AUTO_TEST_CASE(WatchBringsEventsAndTellsOfForgottenOnes) {
  const auto watch = Caller().Start(
      Platform(), {"GET", "/v1/watch?prefix=k&after=1&wait_ms=60000", {}, ""});
  BOOST_REQUIRE(Status("PUT", "/v1/kv?key=other", "x") == 200);
  BOOST_REQUIRE(Status("PUT", "/v1/kv?key=k1", "y") == 200);
  BOOST_REQUIRE(Caller().WaitFor([&] { return watch->IsDone(); }));
  const auto answer = nlohmann::json::parse(watch->response.body);
  BOOST_TEST(answer["revision"] == 3);
  BOOST_REQUIRE(answer["events"].size() == 1u);
  BOOST_TEST(answer["events"][0]["key"] == "k1");
  for (int i = 0; i < 6; ++i) Status("PUT", "/v1/kv?key=k1", "z");
  BOOST_TEST(Json("GET", "/v1/watch?after=1&wait_ms=0")["compacted"] == true);
  BOOST_TEST(Json("GET", "/v1/watch?after=9&wait_ms=0")["events"].empty());
}

// A holder doesn't renew its lease. Its keys go, and watchers hear of it.
BOOST_AUTO_TEST_CASE(LapsedLeaseTakesItsKeys) {
  const auto lease = Json("POST", "/v1/lease?ttl_ms=1000")["lease"];
  BOOST_REQUIRE(Status("PUT", "/v1/kv?key=k&lease=" + lease.dump(), "held") ==
                200);
  const nlohmann::json answer =
      Json("GET", "/v1/watch?prefix=k&after=2&wait_ms=60000");
  BOOST_REQUIRE(answer["events"].size() == 1u);
  BOOST_TEST(answer["events"][0]["removed"] == true);
  BOOST_TEST(Status("POST", "/v1/lease/renew?id=" + lease.dump()) == 404);
  BOOST_TEST(Status("PUT", "/v1/kv?key=k&lease=" + lease.dump(), "x") == 404);
}

BOOST_AUTO_TEST_CASE(ListOfVmsLags) {
  const nlohmann::json vms = {{{"vm", "a"}, {"state", "live"}}};
  SetFault({{"list_lag_ms", 3600000}});
  BOOST_REQUIRE(Caller().PostJson(Platform(), "/admin/vms", vms));
  BOOST_TEST(Json("GET", "/v1/vms")["vms"].empty());
  SetFault({{"list_lag_ms", 10}});
  BOOST_REQUIRE(Caller().PostJson(Platform(), "/admin/vms", vms));
  BOOST_TEST(
      Caller().WaitFor([&] { return Json("GET", "/v1/vms")["vms"] == vms; }));
}

BOOST_AUTO_TEST_CASE(CallsAreCountedAndLargeValuesRefused) {
  BOOST_TEST(Status("PUT", "/v1/kv?key=big", std::string(1048577, 'x')) == 413);
  Status("GET", "/v1/kv?key=k");
  Status("GET", "/v1/range?prefix=");
  Status("GET", "/v1/watch?after=1&wait_ms=0");
  const nlohmann::json counts = Caller().GetJson(Platform(), "/admin/counts");
  BOOST_TEST(counts["writes"] == 1);
  BOOST_TEST(counts["reads"] == 2);
  BOOST_TEST(counts["watches"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
