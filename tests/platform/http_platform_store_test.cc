#include "citron/platform/http_platform_store.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "citron/net/http_server.h"
#include "net/loop_fixture.h"

namespace citron {
namespace {

class store_fixture : public loop_fixture {
 public:
  // Answers each call with `answer`; keeps the request.
  void ServeAnswer(int status, const std::string& body) {
    Serve([this, status, body](http_exchange& exchange) {
      request_ = exchange.Request();
      exchange.Reply({{status, {}}, body});
    });
  }

  void Serve(http_handler handler) {
    auto made =
        http_server::Make(Loop(), {"127.0.0.1", 0}, {}, std::move(handler));
    BOOST_REQUIRE(IsOk(made));
    server_ = std::move(ValueOf(made));
    store_.emplace(Loop(), server_->Address());
  }

  write_result Put(const store_write& write) {
    std::optional<write_result> got;
    store_->Put(write, Soon(), [&](const write_result& r) { got = r; });
    BOOST_REQUIRE(RunUntil([&] { return got.has_value(); }));
    return *got;
  }

  static error_code CodeOf(const write_result& r) {
    const auto* problem = std::get_if<error>(&r);
    BOOST_REQUIRE(problem != nullptr);
    return problem->code;
  }

  static monotonic_time Soon() {
    return MonotonicNow() + std::chrono::seconds(10);
  }

 protected:
  std::unique_ptr<http_server> server_;
  std::optional<http_platform_store> store_;
  http_request request_;
};

BOOST_FIXTURE_TEST_SUITE(http_store, store_fixture)

BOOST_AUTO_TEST_CASE(PutCarriesAllOfTheWrite) {
  ServeAnswer(200, R"({"revision":12})");
  const auto done = Put({"config/contract/a b&c", "{}", 11, "w/1", {}});
  BOOST_REQUIRE(std::holds_alternative<write_done>(done));
  BOOST_TEST(std::get<write_done>(done).revision == 12u);
  BOOST_TEST(request_.method == "PUT");
  BOOST_TEST(request_.body == "{}");
  BOOST_TEST(request_.Query("key").value() == "config/contract/a b&c");
  BOOST_TEST(request_.Query("expect").value() == "11");
  BOOST_TEST(request_.Query("write_id").value() == "w/1");
  BOOST_TEST(!request_.Query("lease"));
}

BOOST_AUTO_TEST_CASE(LostRaceSaysToWhat) {
  ServeAnswer(409, R"({"revision":5,"value":"theirs","write_id":"w2"})");
  const auto lost = Put({"k", "mine", 4, "w1", {}});
  BOOST_REQUIRE(std::holds_alternative<write_conflict>(lost));
  BOOST_TEST(std::get<write_conflict>(lost).value == "theirs");
  BOOST_TEST(std::get<write_conflict>(lost).write_id == "w2");
}

// The store took the write and its answer got lost. Whoever is told "nothing
// took effect" writes again over somebody else's change.
BOOST_AUTO_TEST_CASE(LostAnswerIsUnknown) {
  Serve([](http_exchange& exchange) { exchange.Abort(); });
  BOOST_TEST((CodeOf(Put({"k", "v", 1, "w", {}})) == error_code::kUnknown));
  ServeAnswer(500, "");
  BOOST_TEST((CodeOf(Put({"k", "v", 1, "w", {}})) == error_code::kUnknown));
  ServeAnswer(200, "garbage");
  BOOST_TEST((CodeOf(Put({"k", "v", 1, "w", {}})) == error_code::kUnknown));
}

BOOST_AUTO_TEST_CASE(UnreachedStoreChangedNothing) {
  ServeAnswer(200, "");
  server_.reset();
  BOOST_TEST((CodeOf(Put({"k", "v", 1, "w", {}})) == error_code::kUnavailable));
}

BOOST_AUTO_TEST_CASE(AbsentKeyIsNoError) {
  ServeAnswer(404, R"({"revision":40})");
  std::optional<result<store_lookup>> got;
  store_->Get("k", Soon(), [&](const result<store_lookup>& r) { got = r; });
  BOOST_REQUIRE(RunUntil([&] { return got.has_value(); }));
  BOOST_REQUIRE(IsOk(*got));
  BOOST_TEST(!ValueOf(*got).item.has_value());
  BOOST_TEST(ValueOf(*got).revision == 40u);
}

// A holder that was paused renews a lease that has lapsed. It must hear that
// its keys are gone, not that the platform is away.
BOOST_AUTO_TEST_CASE(LapsedLeaseIsNotFound) {
  ServeAnswer(404, "{}");
  std::optional<status> got;
  store_->RenewLease(lease_id("l"), Soon(), [&](const status& s) { got = s; });
  BOOST_REQUIRE(RunUntil([&] { return got.has_value(); }));
  BOOST_REQUIRE(!IsOk(*got));
  BOOST_TEST((ErrorOf(*got).code == error_code::kNotFound));
  BOOST_TEST(request_.target == "/v1/lease/renew?id=l");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
