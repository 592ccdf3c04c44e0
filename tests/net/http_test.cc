#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citron/net/http_client.h"
#include "citron/net/http_server.h"
#include "net/loop_fixture.h"
#include "net/raw_caller.h"

namespace citron {
namespace {

const endpoint kAnyPort{"127.0.0.1", 0};

class http_fixture : public loop_fixture {
 public:
  std::unique_ptr<http_server> Serve(http_handler handler,
                                     http_server_limits limits = {}) {
    auto made = http_server::Make(Loop(), kAnyPort, limits, std::move(handler));
    BOOST_REQUIRE(IsOk(made));
    return std::move(ValueOf(made));
  }

  static monotonic_time Soon() {
    return MonotonicNow() + std::chrono::seconds(10);
  }
};

// Takes connections by hand.
class raw_listener {
 public:
  raw_listener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == 0);
    BOOST_REQUIRE(listen(fd_, 1) == 0);
  }
  ~raw_listener() { Close(); }
  raw_listener(const raw_listener&) = delete;
  raw_listener& operator=(const raw_listener&) = delete;

  endpoint Address() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    return {"127.0.0.1", ntohs(address.sin_port)};
  }

  // Resets the connections that were not accepted.
  void Close() { close(std::exchange(fd_, -1)); }

  int Accept() const { return accept(fd_, nullptr, nullptr); }

  void ResetNext() const {
    const int accepted = Accept();
    const linger at_once{1, 0};
    setsockopt(accepted, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(accepted);
  }

 private:
  int fd_;
};

bool IsClosedByPeer(int fd) {
  pollfd waiting{fd, POLLRDHUP, 0};
  return poll(&waiting, 1, 0) == 1;
}

// Keeps what a call reported.
class recorded_call : public http_call_handler {
 public:
  void OnHead(const http_response_head& came) override {
    head = came;
    status = came.status;
    if (on_head) on_head();
  }
  void OnBody(std::string_view bytes) override {
    body.append(bytes);
    if (on_body) on_body();
  }
  void OnDone() override { done = true; }
  void OnFailed(const call_failure& reported) override {
    failed = true;
    failure = reported;
  }

  http_response_head head;
  int status = 0;
  std::string body;
  bool done = false;
  bool failed = false;
  call_failure failure;
  std::function<void()> on_head;
  std::function<void()> on_body;
};

BOOST_FIXTURE_TEST_SUITE(http, http_fixture)

BOOST_AUTO_TEST_CASE(RequestAndAnswerArriveWhole) {
  auto server = Serve([](http_exchange& exchange) {
    const http_request& request = exchange.Request();
    exchange.Reply({{200, {{"X-Method", request.method}}},
                    request.body + "|" + request.Query("a").value_or("none")});
  });
  http_client client(Loop());
  http_response got;
  bool done = false;
  client.Call(server->Address(), {"POST", "/p?a=b%20c", {}, "hello"}, Soon(),
              [&](const http_response* response, call_failure) {
                BOOST_REQUIRE(response != nullptr);
                got = *response;
                done = true;
              });
  BOOST_REQUIRE(RunUntil([&] { return done; }));
  BOOST_TEST(got.head.status == 200);
  BOOST_TEST(got.body == "hello|b c");
  BOOST_TEST((FindHeader(got.head.headers, "x-method") == "POST"));
}

bool IsNotSecret(std::string_view name) {
  return !HeaderNameIs(name, "secret");
}

// A proxy in the middle passes a request and its answer on. Whatever it may not
// tell the far side or the caller must be gone, and the rest arrive whole.
BOOST_AUTO_TEST_CASE(PassedRequestAndAnswerLoseWhatMayNotPass) {
  http_request seen;
  auto server = Serve([&](http_exchange& exchange) {
    seen = exchange.Request();
    const http_response_head head{
        203, {{"Secret", "1"}, {"Kept", "2"}, {"Content-Length", "4"}}};
    exchange.StartPassedReply({head, IsNotSecret, {{"Added", "3"}}});
    exchange.SendBody("body");
    exchange.FinishBody();
  });
  http_connection connection(Loop(), server->Address());
  recorded_call call;
  const http_request came{
      "PUT", "/as/it/came", {{"sEcret", "a"}, {"Kept", "b"}}, "hello"};
  const std::string target = "/for/the/far/side?x=1";
  connection.StartPassed({came, target, IsNotSecret, {{"Added", "c"}}}, Soon(),
                         call);
  BOOST_REQUIRE(RunUntil([&] { return call.done; }));
  BOOST_TEST(seen.method == "PUT");
  BOOST_TEST(seen.target == target);
  BOOST_TEST(seen.body == "hello");
  BOOST_TEST((FindHeader(seen.headers, "Kept") == "b"));
  BOOST_TEST((FindHeader(seen.headers, "Added") == "c"));
  BOOST_TEST((FindHeader(seen.headers, "Host") == server->Address().Str()));
  BOOST_TEST(!FindHeader(seen.headers, "Secret").has_value());
  const http_response_head& got = call.head;
  BOOST_TEST(got.status == 203);
  BOOST_TEST(call.body == "body");
  BOOST_TEST((FindHeader(got.headers, "Kept") == "2"));
  BOOST_TEST((FindHeader(got.headers, "Added") == "3"));
  BOOST_TEST(!FindHeader(got.headers, "Secret").has_value());
}

// A caller hangs up while its request runs. The request may still have to be
// sent elsewhere or be looked at afterwards, when its exchange is gone.
BOOST_AUTO_TEST_CASE(SharedRequestOutlivesItsExchange) {
  std::shared_ptr<const http_request> kept;
  bool gone = false;
  auto server = Serve([&](http_exchange& exchange) {
    kept = exchange.ShareRequest();
    BOOST_TEST(kept.get() == &exchange.Request());
    exchange.OnGone([&gone] { gone = true; });
  });
  auto connection =
      std::make_unique<http_connection>(Loop(), server->Address());
  recorded_call call;
  connection->Start({"POST", "/a", {{"Kept", "b"}}, "hello"}, Soon(), call);
  BOOST_REQUIRE(RunUntil([&] { return kept != nullptr; }));
  connection.reset();
  BOOST_REQUIRE(RunUntil([&] { return gone; }));
  BOOST_REQUIRE(RunUntil([&] { return server->OpenExchanges() == 0; }));
  BOOST_TEST(kept->target == "/a");
  BOOST_TEST(kept->body == "hello");
  BOOST_TEST((FindHeader(kept->headers, "Kept") == "b"));
}

BOOST_AUTO_TEST_CASE(ConnectionIsReused) {
  int requests = 0;
  auto server = Serve([&](http_exchange& exchange) {
    ++requests;
    exchange.Reply({{200, {}}, "ok"});
  });
  http_connection connection(Loop(), server->Address());
  for (int i = 0; i < 3; ++i) {
    recorded_call call;
    connection.Start({"GET", "/", {}, ""}, Soon(), call);
    BOOST_REQUIRE(RunUntil([&] { return call.done; }));
    BOOST_TEST(connection.IsReusable());
  }
  BOOST_TEST(requests == 3);
  BOOST_TEST(server->OpenConnections() == 1);
}

// Nobody listens at the address. The caller may be told that its request did
// not run, since no byte of it left.
BOOST_AUTO_TEST_CASE(RefusedConnectSendsNothing) {
  endpoint nobody;
  {
    auto server = Serve([](http_exchange&) {});
    nobody = server->Address();
  }
  http_connection connection(Loop(), nobody);
  recorded_call call;
  connection.Start({"POST", "/", {}, "body"}, Soon(), call);
  BOOST_REQUIRE(RunUntil([&] { return call.failed; }));
  BOOST_TEST((call.failure.problem == call_problem::kConnectFailed));
  BOOST_TEST(!call.failure.bytes_sent);
  BOOST_TEST(!connection.IsReusable());
}

// Guards against a request that is told as sent, and not tried elsewhere,
// though the far side was gone before its first byte could leave.
BOOST_AUTO_TEST_CASE(ConnectionResetBeforeTheFirstByteSentNothing) {
  raw_listener listener;
  http_connection connection(Loop(), listener.Address());
  recorded_call call;
  // Asked when the connection stands and nothing has left.
  connection.Start({"POST", "/", {}, "body"}, Soon(), call, [&listener] {
    listener.ResetNext();
    return true;
  });
  BOOST_REQUIRE(RunUntil([&] { return call.failed; }));
  BOOST_TEST(!call.failure.bytes_sent);
}

// Guards against a daemon that ends by an assertion of the library: a server
// that leaves writes its closing response to an idle connection, and the next
// connection to that server is reset before it stands.
BOOST_AUTO_TEST_CASE(ConnectionClosedWhileIdleIsNotUsedAgain) {
  raw_listener listener;
  http_client client(Loop());
  recorded_call first;
  auto connection = client.Take(listener.Address());
  connection->Start({"GET", "/", {}, ""}, Soon(), first);
  const int server = listener.Accept();
  constexpr std::string_view kAnswer =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  constexpr std::string_view kClosing =
      "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n";
  BOOST_REQUIRE(write(server, kAnswer.data(), kAnswer.size()) > 0);
  BOOST_REQUIRE(RunUntil([&] { return first.done; }));
  client.Give(std::move(connection));
  BOOST_REQUIRE(write(server, kClosing.data(), kClosing.size()) > 0);
  BOOST_REQUIRE(RunUntil([&] { return IsClosedByPeer(server); }));
  recorded_call second;
  connection = client.Take(listener.Address());
  connection->Start({"GET", "/", {}, ""}, Soon(), second);
  listener.Close();
  BOOST_REQUIRE(RunUntil([&] { return second.failed; }));
  BOOST_TEST(!second.failure.bytes_sent);
  close(server);
}

// The far side takes the request and then goes away. A caller who was told
// "not run" would book twice.
BOOST_AUTO_TEST_CASE(LostAnswerCountsAsSent) {
  auto server = Serve([](http_exchange& exchange) { exchange.Abort(); });
  http_connection connection(Loop(), server->Address());
  recorded_call call;
  connection.Start({"POST", "/", {}, "body"}, Soon(), call);
  BOOST_REQUIRE(RunUntil([&] { return call.failed; }));
  BOOST_TEST((call.failure.problem == call_problem::kConnectionLost));
  BOOST_TEST(call.failure.bytes_sent);
}

// The far side dies in the middle of its answer. What has come looks like an
// answer, but the caller must not take it for a whole one.
BOOST_AUTO_TEST_CASE(ShortBodyIsAnError) {
  for (const bool with_length : {true, false}) {
    auto server = Serve([&](http_exchange& exchange) {
      http_headers headers;
      if (with_length) headers.push_back({"Content-Length", "100"});
      exchange.StartReply({200, headers});
      exchange.SendBody("only this");
      // After the bytes have left, so that they arrive before the end.
      exchange.OnDrained([&exchange] { exchange.Abort(); });
    });
    http_connection connection(Loop(), server->Address());
    recorded_call call;
    connection.Start({"GET", "/", {}, ""}, Soon(), call);
    BOOST_REQUIRE(RunUntil([&] { return call.failed || call.done; }));
    BOOST_TEST(call.failed);
    BOOST_TEST((call.failure.problem == call_problem::kIncomplete));
  }
}

// Guards against the end of the process: an answer is broken off while a part
// of it waits to be written, and the connection writes it before it is freed.
BOOST_AUTO_TEST_CASE(BrokenAnswerIsNotDrained) {
  bool is_aborted = false;
  bool is_drained_later = false;
  auto server = Serve([&](http_exchange& exchange) {
    exchange.OnDrained([&] { is_drained_later = is_aborted; });
    // The loop runs posted work before a write that it finds due with it.
    Loop().Post([&] {
      exchange.StartReply({200, {{"Content-Length", "100"}}});
      exchange.SendBody("only this");
      Loop().Post([&] {
        is_aborted = true;
        exchange.Abort();
      });
    });
  });
  http_connection connection(Loop(), server->Address());
  recorded_call call;
  connection.Start({"GET", "/", {}, ""}, Soon(), call);
  BOOST_REQUIRE(RunUntil([&] { return call.failed || call.done; }));
  BOOST_TEST(call.failed);
  BOOST_TEST(!is_drained_later);
}

// The answer to a request that timed out arrives after all, while the next
// request waits on the same connection. Whoever waits must not get it.
BOOST_AUTO_TEST_CASE(TimedOutConnectionIsNotUsedAgain) {
  http_exchange* held = nullptr;
  auto server = Serve([&](http_exchange& exchange) {
    held = &exchange;
    exchange.OnGone([&] { held = nullptr; });
  });
  http_connection connection(Loop(), server->Address());
  recorded_call call;
  connection.Start({"GET", "/", {}, ""},
                   MonotonicNow() + std::chrono::milliseconds(50), call);
  BOOST_REQUIRE(RunUntil([&] { return call.failed; }));
  BOOST_TEST((call.failure.problem == call_problem::kTimedOut));
  BOOST_TEST(!connection.IsReusable());
}

BOOST_AUTO_TEST_CASE(CancelReachesTheServer) {
  bool started = false;
  bool gone = false;
  auto server = Serve([&](http_exchange& exchange) {
    started = true;
    exchange.OnGone([&] { gone = true; });
  });
  http_connection connection(Loop(), server->Address());
  recorded_call call;
  connection.Start({"GET", "/", {}, ""}, Soon(), call);
  BOOST_REQUIRE(RunUntil([&] { return started; }));
  connection.Cancel();
  BOOST_REQUIRE(RunUntil([&] { return gone; }));
  BOOST_TEST(!call.failed);
}

// The sender may send when it opens a connection, is frozen while it opens, and
// may not any more when it wakes. The server must get nothing.
BOOST_AUTO_TEST_CASE(CheckIsAskedWhenTheConnectionStands) {
  int requests = 0;
  auto server = Serve([&](http_exchange& exchange) {
    ++requests;
    exchange.Reply({{200, {}}, "ok"});
  });
  for (const bool allowed : {false, true, false}) {
    http_connection connection(Loop(), server->Address());
    recorded_call call;
    connection.Start({"POST", "/", {}, "body"}, Soon(), call,
                     [allowed] { return allowed; });
    BOOST_REQUIRE(RunUntil([&] { return call.done || call.failed; }));
    BOOST_TEST(call.done == allowed);
    if (!allowed) {
      BOOST_TEST((call.failure.problem == call_problem::kNotAllowed));
      BOOST_TEST(!call.failure.bytes_sent);
    }
  }
  BOOST_TEST(requests == 1);
}

BOOST_AUTO_TEST_CASE(CancelInsideCallbacksIsSafe) {
  auto server = Serve([](http_exchange& exchange) {
    exchange.Reply({{200, {}}, std::string(100000, 'x')});
  });
  for (const bool in_head : {true, false}) {
    http_connection connection(Loop(), server->Address());
    recorded_call call;
    bool cancelled = false;
    const auto cancel = [&] {
      connection.Cancel();
      cancelled = true;
    };
    if (in_head) {
      call.on_head = cancel;
    } else {
      call.on_body = cancel;
    }
    connection.Start({"GET", "/", {}, ""}, Soon(), call);
    BOOST_REQUIRE(RunUntil([&] { return cancelled; }));
    BOOST_TEST(!connection.IsReusable());
    BOOST_TEST(!call.done);
  }
}

// A caller that reads slowly must not make the sender hold a whole download:
// bytes wait at their source while the reader pauses.
BOOST_AUTO_TEST_CASE(PausedReaderHoldsTheSenderBack) {
  constexpr std::size_t kBodySize = 32u << 20;
  std::size_t sent = 0;
  std::function<void(http_exchange&)> send_more = [&](http_exchange& exchange) {
    if (sent == kBodySize) {
      exchange.FinishBody();
      return;
    }
    const std::string chunk(std::size_t{64} << 10, 'x');
    sent += chunk.size();
    exchange.SendBody(chunk);
  };
  auto server = Serve([&](http_exchange& exchange) {
    exchange.StartReply({200, {{"Content-Length", std::to_string(kBodySize)}}});
    exchange.OnDrained([&] { send_more(exchange); });
    send_more(exchange);
  });
  http_connection connection(Loop(), server->Address());
  recorded_call call;
  call.on_head = [&] { connection.PauseReading(); };
  connection.Start({"GET", "/", {}, ""}, Soon(), call);
  std::size_t before = 1;
  BOOST_REQUIRE(RunUntil([&] { return call.status == 200; }));
  // Until the kernel's buffers are full and nothing more moves.
  while (before != sent) {
    before = sent;
    for (int i = 0; i < 2000; ++i) Loop().RunOnce();
  }
  BOOST_TEST(sent < kBodySize);
  connection.ResumeReading();
  BOOST_REQUIRE(RunUntil([&] { return call.done; }));
  BOOST_TEST(call.body.size() == kBodySize);
}

// A task ends when it has its answer, in the callback itself or right after,
// and its client with it. What the client had put off for later must not touch
// it any more, or the daemon crashes.
BOOST_AUTO_TEST_CASE(ClientMayBeDestroyedWithAnAnswer) {
  auto server = Serve([](http_exchange& exchange) {
    exchange.Reply({{200, {}}, "ok"});
  });
  const endpoint nobody{"127.0.0.1", 1};
  for (const bool answered : {true, false}) {
    for (const bool in_callback : {true, false}) {
      auto client = std::make_unique<http_client>(Loop());
      bool done = false;
      client->Call(answered ? server->Address() : nobody, {"GET", "/", {}, ""},
                   Soon(), [&](const http_response* response, call_failure) {
                     BOOST_TEST((response != nullptr) == answered);
                     done = true;
                     if (in_callback) client.reset();
                   });
      BOOST_REQUIRE(RunUntil([&] { return done; }));
      client.reset();
      for (int i = 0; i < 20; ++i) Loop().RunOnce();
    }
  }
}

// A client is destroyed while a call waits for its answer.
BOOST_AUTO_TEST_CASE(ClientMayBeDestroyedDuringACall) {
  http_exchange* open = nullptr;
  bool gone = false;
  auto server = Serve([&](http_exchange& exchange) {
    open = &exchange;
    exchange.OnGone([&] { gone = true; });
  });
  auto client = std::make_unique<http_client>(Loop());
  bool called = false;
  client->Call(server->Address(), {"GET", "/", {}, ""}, Soon(),
               [&](const http_response*, call_failure) { called = true; });
  BOOST_REQUIRE(RunUntil([&] { return open != nullptr; }));
  client.reset();
  BOOST_TEST(RunUntil([&] { return gone; }));
  BOOST_TEST(!called);
}

// A server answers with far more than was asked for, with a length and in
// chunks. The client's memory stays bounded and the call fails by value.
BOOST_AUTO_TEST_CASE(TooLargeWholeAnswerIsAFailure) {
  constexpr std::size_t kLimit = 100000;
  std::size_t size = 0;
  bool in_chunks = false;
  auto server = Serve([&](http_exchange& exchange) {
    if (!in_chunks) {
      return exchange.Reply({{200, {}}, std::string(size, 'x')});
    }
    exchange.StartReply({200, {}});
    exchange.SendBody(std::string(size, 'x'));
    exchange.FinishBody();
  });
  http_client client(Loop(), {}, kLimit);
  const auto call = [&](std::size_t bytes, bool chunks) {
    size = bytes;
    in_chunks = chunks;
    std::optional<call_problem> problem;
    std::size_t got = 0;
    bool done = false;
    client.Call(server->Address(), {"GET", "/", {}, ""}, Soon(),
                [&](const http_response* response, call_failure failure) {
                  done = true;
                  if (response == nullptr) problem = failure.problem;
                  if (response != nullptr) got = response->body.size();
                });
    BOOST_REQUIRE(RunUntil([&] { return done; }));
    BOOST_TEST((problem.has_value() || got == bytes));
    return problem;
  };
  for (const bool chunks : {false, true}) {
    BOOST_TEST(!call(kLimit, chunks).has_value());
    BOOST_TEST((call(kLimit + 1, chunks) == call_problem::kTooLarge));
    // The connection of a failed call is not used again.
    BOOST_TEST(!call(10, chunks).has_value());
  }
}

// A caller opens a connection and sends its request a byte at a time. Many
// such callers would hold every connection, so each is closed at a deadline.
BOOST_AUTO_TEST_CASE(DribblingCallerIsClosed) {
  http_server_limits limits;
  limits.request_deadline_after = std::chrono::milliseconds(300);
  auto server = Serve([](http_exchange&) {}, limits);
  http_connection connection(Loop(), server->Address());
  // A request whose announced body never comes.
  recorded_call call;
  connection.Start({"POST", "/", {{"Content-Length", "10"}}, ""}, Soon(), call);
  BOOST_REQUIRE(RunUntil([&] { return call.failed; }));
  BOOST_TEST((call.failure.problem == call_problem::kConnectionLost));
}

// A caller sends its second request before it has the answer to the first.
// Each must get its own answer, in order, and the server must live on.
BOOST_AUTO_TEST_CASE(EarlySecondRequestWaitsItsTurn) {
  std::vector<http_exchange*> open;
  auto server = Serve([&](http_exchange& exchange) {
    open.push_back(&exchange);
    exchange.OnGone([] {});
  });
  raw_caller caller(server->Address());
  caller.Send("GET /one HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return open.size() == 1; }));
  caller.Send("GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
  for (int i = 0; i < 200; ++i) Loop().RunOnce();
  BOOST_TEST(open.size() == 1u);
  open[0]->Reply({{200, {}}, "first"});
  BOOST_REQUIRE(RunUntil([&] { return open.size() == 2; }));
  BOOST_TEST(open[1]->Request().target == "/two");
  open[1]->Reply({{200, {}}, "second"});
  BOOST_REQUIRE(RunUntil(
      [&] { return caller.Received().find("second") != std::string::npos; }));
  BOOST_TEST(caller.Received().find("first") <
             caller.Received().find("second"));
}

BOOST_AUTO_TEST_CASE(BoundAddressIsAnError) {
  auto server = Serve([](http_exchange&) {});
  const auto second =
      http_server::Make(Loop(), server->Address(), {}, [](http_exchange&) {});
  BOOST_REQUIRE(!IsOk(second));
  BOOST_TEST(ErrorOf(second).message.find("in use") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
