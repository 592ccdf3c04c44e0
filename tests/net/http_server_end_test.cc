#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "citron/net/http_client.h"
#include "citron/net/http_server.h"
#include "net/loop_fixture.h"
#include "net/raw_caller.h"

namespace citron {
namespace {

const http_response kClosingResponse{{503, {{"Retry-After", "2"}}}, "leaving"};
constexpr char kRequest[] =
    "POST /book HTTP/1.1\r\nHost: a\r\n"
    "Content-Length: 4\r\n\r\nroom";

// This process's socket that listens at the address.
int ListeningSocket(const endpoint& address) {
  for (int fd = 0; fd < 1024; ++fd) {
    int listens = 0;
    socklen_t size = sizeof(listens);
    if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0) {
      continue;
    }
    sockaddr_in bound{};
    size = sizeof(bound);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    if (listens != 0 && ntohs(bound.sin_port) == address.port) return fd;
  }
  return -1;
}

class ending_server_fixture : public loop_fixture {
 public:
  ending_server_fixture() {
    auto made = http_server::Make(Loop(), {"127.0.0.1", 0}, {},
                                  [this](http_exchange& exchange) {
                                    ++requests_;
                                    exchange.Reply({{200, {}}, "whole"});
                                  });
    BOOST_REQUIRE(IsOk(made));
    server_ = std::move(ValueOf(made));
  }

  http_server& Server() { return *server_; }
  int Requests() const { return requests_; }

  // A connection that is kept open after its first answer.
  std::unique_ptr<raw_caller> IdleCaller() {
    auto caller = std::make_unique<raw_caller>(server_->Address());
    caller->Send(kRequest);
    BOOST_REQUIRE(
        RunUntil([&] { return caller->Received().ends_with("whole"); }));
    return caller;
  }

  void CheckClosingResponse(raw_caller& caller) {
    BOOST_REQUIRE(
        RunUntil([&] { return caller.Received().ends_with("leaving"); }));
    const std::string& got = caller.Received();
    BOOST_TEST(got.find("HTTP/1.1 503 ") != std::string::npos);
    BOOST_TEST(got.find("Connection: close\r\n") != std::string::npos);
    // The end of the stream before the caller's would lose what it still
    // writes.
    BOOST_TEST(!caller.IsClosed());
    BOOST_TEST(got.find("Retry-After: 2\r\n") != std::string::npos);
    BOOST_TEST(got.ends_with("\r\n\r\nleaving"));
  }

 private:
  int requests_ = 0;
  std::unique_ptr<http_server> server_;
};

BOOST_FIXTURE_TEST_SUITE(http_server_end, ending_server_fixture)

// A VM is replaced. A caller's next request is on its way at the moment at
// which the entry ends the idle connection: the caller saw its connection lost,
// and did not know whether its booking stood.
BOOST_AUTO_TEST_CASE(RequestThatCrossesTheEndIsAnswered) {
  const auto caller = IdleCaller();
  const int before = Requests();
  Server().EndIdle(kClosingResponse);
  caller->Send(kRequest);
  CheckClosingResponse(*caller);
  BOOST_TEST(Requests() == before);
}

// Answered, and the server waits for the caller to close; a reset on the heels
// of the closing response would take it out of the caller's hands.
BOOST_AUTO_TEST_CASE(ServerHasEndedWhenItsCallersHave) {
  auto caller = IdleCaller();
  Server().StopAccepting(kClosingResponse);
  Server().EndIdle(kClosingResponse);
  BOOST_TEST(!Server().HasEnded());
  caller->Send(kRequest);
  CheckClosingResponse(*caller);
  caller.reset();
  BOOST_TEST(RunUntil([&] { return Server().HasEnded(); }));
}

// A caller has connected and sent its request, but the server has not come to
// accept it when it stops. The kernel would reset it with the server's socket.
BOOST_AUTO_TEST_CASE(CallerInTheAcceptQueueIsAnswered) {
  raw_caller caller(Server().Address());
  caller.Send(kRequest);
  Server().StopAccepting(kClosingResponse);
  CheckClosingResponse(caller);
  BOOST_TEST(Requests() == 0);
}

// A caller's side of the handshake is complete and the server's isn't when the
// server stops: the caller sends its request and is reset.
BOOST_AUTO_TEST_CASE(CallerInTheHandshakeIsAnswered) {
  // Leaves a connection half open until its first bytes come.
  const int wait_s = 5;
  BOOST_REQUIRE(setsockopt(ListeningSocket(Server().Address()), IPPROTO_TCP,
                           TCP_DEFER_ACCEPT, &wait_s, sizeof(wait_s)) == 0);
  raw_caller caller(Server().Address());
  Server().StopAccepting(kClosingResponse);
  caller.Send(kRequest);
  CheckClosingResponse(caller);
  BOOST_TEST(Requests() == 0);
}

// A request that has come in is answered as ever, and its connection ends.
BOOST_AUTO_TEST_CASE(RequestThatIsThereIsServed) {
  const auto caller = IdleCaller();
  Server().StopAccepting(kClosingResponse);
  caller->Send(kRequest);
  BOOST_TEST(RunUntil([&] { return caller->IsClosed(); }));
  BOOST_TEST(Requests() == 2);
  BOOST_TEST(caller->Received().find("Connection: close") != std::string::npos);
}

// A client of ours with an idle connection takes the closing response for no
// answer, and its next call finds that nobody is there.
BOOST_AUTO_TEST_CASE(IdleClientIsNotConfused) {
  http_client client(Loop());
  int answers = 0;
  call_failure failed;
  const auto call = [&] {
    client.Call(Server().Address(), {"GET", "/", {}, ""},
                MonotonicNow() + std::chrono::seconds(10),
                [&](const http_response* response, call_failure failure) {
                  ++answers;
                  if (response == nullptr) failed = failure;
                });
  };
  call();
  BOOST_REQUIRE(RunUntil([&] { return answers == 1; }));
  Server().StopAccepting(kClosingResponse);
  Server().EndIdle(kClosingResponse);
  BOOST_REQUIRE(RunUntil([&] { return Server().HasEnded(); }));
  call();
  BOOST_REQUIRE(RunUntil([&] { return answers == 2; }));
  BOOST_TEST((failed.problem == call_problem::kConnectFailed));
  BOOST_TEST(!failed.bytes_sent);
}

// Guards against a caller who is told that its request may have run, though the
// server that ends took no connection for it: the connection that it had is
// closed with the answer before, and the new one is not taken.
BOOST_AUTO_TEST_CASE(CallThatMeetsTheEndOfListeningSentNothing) {
  http_client client(Loop());
  int answers = 0;
  std::optional<call_failure> failed;
  const auto call = [&] {
    client.Call(Server().Address(), {"GET", "/", {}, ""},
                MonotonicNow() + std::chrono::seconds(10),
                [&](const http_response* response, call_failure failure) {
                  ++answers;
                  if (response == nullptr) failed = failure;
                });
  };
  call();
  BOOST_REQUIRE(RunUntil([&] { return answers == 1; }));
  Server().StopAccepting(kClosingResponse);
  call();
  BOOST_REQUIRE(RunUntil([&] { return answers == 2; }));
  BOOST_TEST(!failed.has_value());
  call();
  BOOST_REQUIRE(RunUntil([&] { return answers == 3; }));
  BOOST_REQUIRE(failed.has_value());
  BOOST_TEST(!failed->bytes_sent);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
