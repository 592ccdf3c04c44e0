#include "citron/link/forward_head.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const std::string kSecret = "a secret of the fleet";
const forward_subject kSubject{"POST", "/credit-notes", "{\"lot\":7}"};

forward_head Sample() {
  forward_head head;
  head.id = request_id("scl-a-1.0.77.5");
  head.workspace = workspace_id("lampa");
  head.service = service_id("ledger");
  head.key_digest = std::string(64, 'a');
  head.time_left = FromMilliseconds(250);
  head.weight = 2;
  head.caller_request_id = "scl-a-1.77.9.00";
  return head;
}

http_headers Sealed(const forward_head& head) {
  http_headers headers;
  AddForwardHeaders(head, kSubject, kSecret, headers);
  return headers;
}

BOOST_AUTO_TEST_CASE(HeadRoundTrips) {
  const auto read = ReadForwardHeaders(Sealed(Sample()), kSubject, kSecret);
  BOOST_REQUIRE(IsOk(read));
  const forward_head& head = ValueOf(read);
  BOOST_TEST(head.workspace.Str() == "lampa");
  BOOST_TEST((head.time_left == FromMilliseconds(250)));
  BOOST_TEST(head.weight == 2);
  BOOST_TEST(!head.idempotent);
}

// While a fleet is brought to a new version, entries of the old one send to
// dispatches of the new one. If the text or what its seal covers were another,
// all requests between them would be refused. The seal was computed with
// another implementation of HMAC.
BOOST_AUTO_TEST_CASE(TextOnTheWireStaysTheSame) {
  const http_headers headers = Sealed(Sample());
  BOOST_TEST((FindHeader(headers, "Citron-Forward") ==
              "14:scl-a-1.0.77.55:lampa6:ledger64:" + std::string(64, 'a') +
                  "7:250.0001:21:015:scl-a-1.77.9.00"));
  BOOST_TEST(
      (FindHeader(headers, "Citron-Seal") ==
       "82690956a316ee9794a78d8c66a97427db41e720f6862f7bb5037edd257cceba"));
}

// A caller who reaches a dispatch's port writes the headers itself, or takes
// those of a request that it has seen and changes the workspace, the body or
// the path.
BOOST_AUTO_TEST_CASE(ForgedHeadsAreRefused) {
  BOOST_TEST(!IsOk(ReadForwardHeaders({}, kSubject, kSecret)));
  BOOST_TEST(!IsOk(ReadForwardHeaders(Sealed(Sample()), kSubject, "a guess")));
  const http_headers good = Sealed(Sample());
  for (std::size_t i = 0; i < good.size(); ++i) {
    http_headers changed = good;
    changed[i].value += "1";
    BOOST_TEST(!IsOk(ReadForwardHeaders(changed, kSubject, kSecret)));
  }
  for (const forward_subject& other :
       {forward_subject{"GET", kSubject.target, kSubject.body},
        forward_subject{kSubject.method, "/other", kSubject.body},
        forward_subject{kSubject.method, kSubject.target, "{}"}}) {
    BOOST_TEST(!IsOk(ReadForwardHeaders(good, other, kSecret)));
  }
}

// A forwarded request is recorded on the network and sent again. A booking
// would be made twice.
BOOST_AUTO_TEST_CASE(RepeatedIdsAreRefused) {
  forward_replay_window window;
  const auto id = [](int incarnation, int number) {
    return request_id("vm.with.dots.0." + std::to_string(incarnation) + "." +
                      std::to_string(number));
  };
  BOOST_TEST(window.Accept(id(7, 2)));
  BOOST_TEST(!window.Accept(id(7, 2)));
  // Overtaken on the way, but new.
  BOOST_TEST(window.Accept(id(7, 1)));
  BOOST_TEST(!window.Accept(id(7, 1)));
  BOOST_TEST(window.Accept(id(7, 20000)));
  // Too old to tell.
  BOOST_TEST(!window.Accept(id(7, 3)));
  BOOST_TEST(window.Accept(id(8, 1)));
  BOOST_TEST(!window.Accept(id(7, 20001)));
  BOOST_TEST(!window.Accept(request_id("no number")));
  BOOST_TEST(!window.Accept(request_id("")));
}

BOOST_AUTO_TEST_CASE(KeysAndForgedNamesStayBehind) {
  for (const char* name :
       {"Authorization", "authorization", "Proxy-Authorization",
        "Citron-Workspace", "citron-anything", "Upstream-Status", "Cookie",
        "Connection", "Transfer-Encoding", "X-Forwarded-For", "Host"}) {
    BOOST_TEST(!MayForwardHeader(name), name);
  }
  BOOST_TEST(MayForwardHeader("Content-Type"));
  BOOST_TEST(MayForwardHeader("Accept"));
  BOOST_TEST(MayForwardHeader("X-Depot"));
  BOOST_TEST(!MayReturnHeader("Citron-Verdict"));
  BOOST_TEST(MayReturnHeader("Content-Length"));
}

// A sender counts its incarnations from 0. Its first request wrote beyond a
// window that was never made, which ends the process or spoils its memory.
BOOST_AUTO_TEST_CASE(IncarnationZeroHasAWindowToo) {
  forward_replay_window window;
  BOOST_TEST(window.Accept(request_id("vm.0.0.1771")));
  BOOST_TEST(!window.Accept(request_id("vm.0.0.1771")));
  BOOST_TEST(window.Accept(request_id("vm.0.0.1772")));
}

}  // namespace
}  // namespace citron
