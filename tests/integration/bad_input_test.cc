#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "citron/base/digest.h"
#include "integration/fleet.h"
#include "integration/harness.h"
#include "net/raw_caller.h"

namespace citron {
namespace {

constexpr char kKey[] = "key-of-depot";
constexpr int kMaxHeaderBytes = 4096;
constexpr int kMaxBodyBytes = 65536;
// Above this the library answers a body that is too large, with a page.
constexpr int kBodyMargin = 65536;
constexpr int kReadLimitMs = 1000;

fleet_plan BadInputPlan() {
  fleet_plan plan = SmallPlan(1, 1, 1);
  plan.entry_settings = {{"max_header_bytes", kMaxHeaderBytes},
                         {"max_body_bytes", kMaxBodyBytes}};
  return plan;
}

http_request Request(const std::string& method, const std::string& target) {
  return {
      method, target, {{"Authorization", std::string("Bearer ") + kKey}}, ""};
}

http_request With(http_request request, const std::string& name,
                  const std::string& value) {
  request.headers.push_back({name, value});
  return request;
}

// One VM with one upstream. Whatever came in, the entry lives on and serves
// the next good request.
class bad_input_fixture : public harness {
 public:
  explicit bad_input_fixture(fleet_plan plan = BadInputPlan())
      : fleet_(*this, std::move(plan)) {
    fleet_.Start();
  }

  fleet& Fleet() { return fleet_; }
  endpoint Entry() const { return fleet_.Entry("z1vm1"); }

  caller_call Call(const http_request& request) {
    return Caller().Call(Entry(), request);
  }

  bool IsAlive() {
    return !Fleet().Daemon("z1vm1", "entry").Exit() &&
           Call(Request("GET", "/desk/lots?work_ms=1")).response.head.status ==
               200;
  }

  // The request is refused with JSON, nothing ran, and the next one is served.
  void ExpectRefused(const http_request& request, int status,
                     const std::string& code) {
    const std::size_t ran = Fleet().Ledger().size();
    const caller_call call = Call(request);
    BOOST_TEST(call.answered);
    BOOST_TEST(call.response.head.status == status);
    ExpectErrorBody(call.response.body, code);
    BOOST_TEST((FindHeader(call.response.head.headers, "Content-Type") ==
                "application/json"));
    BOOST_TEST((FindHeader(call.response.head.headers, "Citron-Verdict") ==
                "not_run"));
    BOOST_TEST(Fleet().Ledger().size() == ran);
    BOOST_TEST(IsAlive());
  }

  static void ExpectErrorBody(const std::string& body,
                              const std::string& code) {
    const auto page = nlohmann::json::parse(body, nullptr, false);
    BOOST_REQUIRE_MESSAGE(page.is_object() && page.contains("error"), body);
    BOOST_TEST(page["error"]["code"] == code);
    BOOST_TEST(page["error"]["verdict"] == "not_run");
    BOOST_TEST(!page["error"]["message"].get<std::string>().empty());
  }

  // What a caller that writes these bytes gets until it sees `end`, or the
  // connection is closed.
  std::string Exchange(const std::string& bytes, const std::string& end) {
    raw_caller caller(Entry());
    caller.TrySend(bytes);
    BOOST_TEST(Caller().WaitFor([&] {
      return caller.IsClosed() ||
             caller.Received().find(end) != std::string::npos;
    }));
    return caller.Received();
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(bad_input, bad_input_fixture)

BOOST_AUTO_TEST_CASE(BadKeyIsRefused) {
  const http_request bare = {"GET", "/desk/lots", {}, ""};
  const auto with_key = [&](const std::string& value) {
    return With(bare, "Authorization", value);
  };
  ExpectRefused(bare, 401, "key_missing");
  for (const std::string& value :
       {std::string("Basic abc"), std::string("Bearer"), std::string("x"),
        "Bearer " + std::string(300, 'k')}) {
    ExpectRefused(with_key(value), 401, "key_malformed");
  }
  ExpectRefused(with_key("Bearer key-of-nobody"), 401, "key_refused");
  ExpectRefused(with_key("Bearer \xff\xfe"), 401, "key_refused");
  ExpectRefused(With(bare, "Authorization", Sha256Hex(kKey)), 401,
                "key_malformed");
}

// An operator withdraws a key while its caller goes on asking.
BOOST_AUTO_TEST_CASE(WithdrawnKeyIsNamedAsSuch) {
  const std::string target =
      std::string("/v1/kv?key=config/key/") + Sha256Hex(kKey);
  Caller().Call(Fleet().Platform(), {"DELETE", target, {}, ""});
  caller_call call;
  BOOST_REQUIRE(Caller().WaitFor([&] {
    call = Call(Request("GET", "/desk/lots?work_ms=1"));
    return call.response.head.status == 401;
  }));
  ExpectErrorBody(call.response.body, "key_refused");
}

BOOST_AUTO_TEST_CASE(BadDeadlineIsRefused) {
  const http_request good = Request("GET", "/desk/lots?work_ms=1");
  for (const char* value : {"0", "-5", "-1e9", "-inf"}) {
    ExpectRefused(With(good, "Citron-Deadline-Ms", value), 400,
                  "deadline_passed");
  }
  for (const char* value :
       {"soon", "", "5x", "0x10", "nan", "inf", "1e300", "86400001"}) {
    ExpectRefused(With(good, "Citron-Deadline-Ms", value), 400, "bad_deadline");
  }
}

// A caller sends ids that no entry issued: noise, bytes that are no text, and
// one that was issued with a digit changed. A booking under a forged id could
// run twice.
BOOST_AUTO_TEST_CASE(BadRequestIdIsRefused) {
  const http_request booking = Request("POST", "/desk/bookings?work_ms=1");
  const caller_call issued = Call(Request("POST", "/v1/request-ids"));
  BOOST_REQUIRE(issued.response.head.status == 200);
  const std::string id = nlohmann::json::parse(issued.response.body)["ids"][0];
  std::string forged = id;
  forged.back() = forged.back() == '0' ? '1' : '0';
  for (const std::string& bad :
       {std::string("x"), std::string("a.b.c.d.e"), std::string(1000, '1'),
        std::string("\xff\xfe\x80"), std::string("\x1b[2J"), forged, id + "0",
        id + "."}) {
    ExpectRefused(With(booking, "Citron-Request-Id", bad), 400,
                  "bad_request_id");
  }
  const caller_call good = Call(With(booking, "Citron-Request-Id", id));
  BOOST_TEST(good.response.head.status == 200);
}

BOOST_AUTO_TEST_CASE(IdsAreIssuedByPostAndInNumbersOnly) {
  for (const char* method : {"GET", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    ExpectRefused(Request(method, "/v1/request-ids"), 405, "method");
  }
  for (const char* count : {"0", "101", "-1", "abc", "5abc", "", "%00",
                            "4294967297", "99999999999999999999"}) {
    ExpectRefused(
        Request("POST", std::string("/v1/request-ids?count=") + count), 400,
        "bad_count");
  }
}

BOOST_AUTO_TEST_CASE(BadClientOfALookUpIsRefused) {
  for (const char* client : {"", "me", "1.2.3", "1.2.3.4.5", "::1", "%ff"}) {
    ExpectRefused({"GET", std::string("/v1/lookup?client=") + client, {}, ""},
                  400, "bad_client");
  }
}

BOOST_AUTO_TEST_CASE(UnknownServiceIsRefused) {
  for (const char* target :
       {"/", "/?", "//", "/nodesk/lots", "/desk%2flots", "/%64esk/lots",
        "/../desk/lots", "/.", "/desk%00/lots", "/%ff%fe/lots",
        "/v1/request-ids/", "/v2/lookup"}) {
    ExpectRefused(Request("GET", target), 404, "unknown_service");
  }
  ExpectRefused(Request("GET", "/" + std::string(3000, 'x')), 404,
                "unknown_service");
}

// What comes after the service's name is the upstream's own business and
// reaches it as it was written.
BOOST_AUTO_TEST_CASE(OddPathReachesTheUpstreamUnchanged) {
  for (const std::string& rest :
       {std::string("//lots?work_ms=1"), std::string("/a%2fb?work_ms=1"),
        std::string("/../lots?work_ms=1"), std::string("/%00%0a?work_ms=1"),
        std::string("/lots?work_ms=1&q=%ff//?"),
        "/" + std::string(3000, 'y') + "?work_ms=1"}) {
    const caller_call call = Call(Request("GET", "/desk" + rest));
    BOOST_TEST(call.response.head.status == 200, rest);
    const auto ledger = Fleet().Ledger();
    BOOST_REQUIRE(!ledger.empty());
    BOOST_TEST(ledger.back()["target"] == rest);
  }
}

BOOST_AUTO_TEST_CASE(LargestBodyIsServedAndALargerOneRefused) {
  http_request request = Request("POST", "/desk/lots?work_ms=1");
  request.body = std::string(kMaxBodyBytes, 'b');
  BOOST_TEST(Call(request).response.head.status == 200);
  request.body += 'b';
  ExpectRefused(request, 413, "body_too_large");
  request.body = std::string(kMaxBodyBytes + kBodyMargin, 'b');
  ExpectRefused(request, 413, "body_too_large");
}

// Above the margin the library answers before the body has come.
BOOST_AUTO_TEST_CASE(MuchTooLargeBodyIsNotTakenIn) {
  const std::string head =
      "POST /desk/lots HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n"
      "\r\n";
  const std::string answer = Exchange(head, "</HTML>");
  BOOST_TEST(answer.starts_with("HTTP/1.1 413"));
  BOOST_TEST(Fleet().Ledger().empty());
  BOOST_TEST(IsAlive());
}

BOOST_AUTO_TEST_CASE(TooLargeHeadIsNotTakenIn) {
  std::string head = "GET /desk/lots HTTP/1.1\r\nHost: x\r\nX-Long: ";
  head.append(kMaxHeaderBytes, 'h').append("\r\n\r\n");
  const std::string answer = Exchange(head, "</HTML>");
  BOOST_TEST(!answer.starts_with("HTTP/1.1 2"));
  BOOST_TEST(Fleet().Ledger().empty());
  BOOST_TEST(IsAlive());
}

// Bytes that are no HTTP: each connection ends with an error or is closed.
BOOST_DATA_TEST_CASE_F(
    bad_input_fixture, MalformedHttpRunsNothing,
    boost::unit_test::data::make(std::vector<std::string>{
        "nonsense\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "GET /desk/a\x01z HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /desk HTTP/1.1\r\nno colon here\r\n\r\n",
        "BREW /desk HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /desk HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /desk HTTP/1.1\r\nContent-Length: 1x\r\n\r\n",
        "POST /desk HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        std::string("\x16\x03\x01\x00\xa5\x01\x00\r\n\r\n", 11)}),
    bytes) {
  const std::string answer = Exchange(bytes, "\r\n\r\n");
  BOOST_TEST(!answer.starts_with("HTTP/1.1 2"));
  BOOST_TEST(Fleet().Ledger().empty());
  BOOST_TEST(IsAlive());
}

// A caller sends three requests at once; the second is refused. Each gets its
// own answer, in order.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  const std::string head =
      std::string(" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ") + kKey +
      "\r\n\r\n";
  raw_caller caller(Entry());
  caller.Send("GET /desk/one?work_ms=20" + head + "GET /nodesk/two" + head +
              "GET /desk/three?work_ms=1" + head);
  const auto answers = [&] {
    std::vector<std::string> statuses;
    const std::string& all = caller.Received();
    const std::string mark = "HTTP/1.1 ";
    for (std::size_t at = all.find(mark); at != std::string::npos;
         at = all.find(mark, at + 1)) {
      statuses.push_back(all.substr(at + mark.size(), 3));
    }
    return statuses;
  };
  BOOST_TEST(Caller().WaitFor([&] { return answers().size() == 3; }));
  BOOST_TEST((answers() == std::vector<std::string>{"200", "404", "200"}));
  BOOST_TEST(Fleet().Ledger().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

// A caller has little time to send a whole request.
class slow_caller_fixture : public bad_input_fixture {
 public:
  slow_caller_fixture() : bad_input_fixture(ImpatientPlan()) {}

  static fleet_plan ImpatientPlan() {
    fleet_plan plan = BadInputPlan();
    plan.entry_settings["request_read_limit_ms"] = kReadLimitMs;
    return plan;
  }

  // Sends one more byte whenever the test looks, which is never late enough
  // for a limit on silence; whether the entry closes the connection.
  bool IsClosedWhileDribbling(const std::string& begin) {
    raw_caller caller(Entry());
    caller.Send(begin);
    return Caller().WaitFor(
        [&] { return caller.IsClosed() || !caller.TrySend("a"); });
  }
};

BOOST_FIXTURE_TEST_SUITE(slow_caller, slow_caller_fixture)

// Callers send their requests a byte at a time. Many of them would hold every
// connection, and others would find none.
BOOST_AUTO_TEST_CASE(DribblingCallersAreClosed) {
  BOOST_TEST(IsClosedWhileDribbling("GET /desk/lots HTTP/1.1\r\nX-Slow: "));
  BOOST_TEST(IsClosedWhileDribbling(
      "POST /desk/lots HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n"));
  BOOST_TEST(Fleet().Ledger().empty());
  BOOST_TEST(Caller().WaitFor([&] { return IsAlive(); }));
}

// A caller that stays connected and says nothing is closed in the same time.
BOOST_AUTO_TEST_CASE(SilentCallerIsClosed) {
  raw_caller caller(Entry());
  BOOST_TEST(Caller().WaitFor([&] { return caller.IsClosed(); }));
  BOOST_TEST(caller.Received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
