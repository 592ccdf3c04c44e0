#include "citron/node/upstream_pool.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>

#include "citron/node/tunnel_messages.h"
#include "net/loop_fixture.h"
#include "node/scripted_upstream.h"

namespace citron {
namespace {

class counting_listener : public upstream_call_listener {
 public:
  void OnConnected() override {}
  void OnAnswerHead(http1_head) override {}
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerEnd() override { ++ended_; }
  void OnCallFailed(upstream_fault fault) override {
    ++failed_;
    last_fault_ = fault;
  }
  bool WantsToSend() override { return wants_to_send_; }
  void OnRequestDrained() override {}

  int Ended() const { return ended_; }
  int Failed() const { return failed_; }
  upstream_fault LastFault() const { return last_fault_; }
  void Withdraw() { wants_to_send_ = false; }

 private:
  int ended_ = 0;
  int failed_ = 0;
  upstream_fault last_fault_ = upstream_fault::kConnectFailed;
  bool wants_to_send_ = true;
};

class ignoring_connect_listener : public connect_listener {
 public:
  void OnConnectEnd(const upstream_connection&, connect_result) override {}
};

class upstream_pool_fixture : public loop_fixture {
 public:
  upstream_pool_fixture()
      : upstream_(Loop(), [](const std::string& request) {
          return scripted_answer{GoodAnswer(request, "whole"), false};
        }) {}

  // Every handshake counts as slow, or none does.
  upstream_pool MakePool(bool handshakes_are_slow) {
    upstream_pool_options options;
    options.slow_handshake =
        handshakes_are_slow ? duration::zero() : std::chrono::hours(1);
    return {Loop(), "X-Id", connects_, options};
  }

  std::unique_ptr<upstream_connection> Take(upstream_pool& pool,
                                            monotonic_time now) {
    return pool.Take(kUpstream, {upstream_.Address()}, std::chrono::seconds(10),
                     duration::zero(), now);
  }

  std::unique_ptr<upstream_connection> TakeThrough(
      const scripted_upstream& relay, upstream_pool& pool) {
    connection_path path;
    path.address = upstream_.Address();
    path.relay = vm_id("vm2");
    path.relay_address = relay.Address();
    return pool.Take(kUpstream, path, std::chrono::seconds(10),
                     duration::zero(), MonotonicNow());
  }

  // One request from its start to its end.
  void Call(upstream_pool& pool, monotonic_time now) {
    std::unique_ptr<upstream_connection> connection = Take(pool, now);
    Start(*connection);
    const int before = listener_.Ended();
    BOOST_REQUIRE(RunUntil([&] { return listener_.Ended() > before; }));
    pool.Give(kUpstream, std::move(connection), now);
  }

  // How a request fails whose relay sends these two answers in turn.
  upstream_fault FaultThroughARelay(const std::string& tunnel_answer,
                                    const scripted_answer& answer) {
    scripted_upstream relay(Loop(), [&](const std::string& request) {
      return HeaderIn(request, "X-Id").empty() ? scripted_answer{tunnel_answer}
                                               : answer;
    });
    upstream_pool pool = MakePool(false);
    std::unique_ptr<upstream_connection> connection = TakeThrough(relay, pool);
    Start(*connection);
    const int ended = listener_.Ended();
    const int failed = listener_.Failed();
    BOOST_REQUIRE(RunUntil([&] {
      return listener_.Failed() > failed || listener_.Ended() > ended;
    }));
    BOOST_TEST(listener_.Ended() == ended);
    return listener_.LastFault();
  }

  void Start(upstream_connection& connection) {
    connection.Start("GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n", true, "1",
                     listener_);
  }

  scripted_upstream& Upstream() { return upstream_; }
  counting_listener& Listener() { return listener_; }

  const upstream_id kUpstream{"u1"};

 protected:
  scripted_upstream upstream_;

 private:
  ignoring_connect_listener connects_;
  counting_listener listener_;
};

BOOST_FIXTURE_TEST_SUITE(upstream_pools, upstream_pool_fixture)

// Guards against a request that is sent although its upstream asked for none
// while the connection was being opened.
BOOST_AUTO_TEST_CASE(ARequestWithdrawnDuringTheHandshakeIsNotSent) {
  upstream_pool pool = MakePool(false);
  const monotonic_time now = MonotonicNow();
  std::unique_ptr<upstream_connection> connection = Take(pool, now);
  Start(*connection);
  Listener().Withdraw();
  BOOST_REQUIRE(RunUntil([&] { return Listener().Failed() > 0; }));
  BOOST_TEST(connection->IsReusable(duration::zero(), MonotonicNow()));
  pool.Give(kUpstream, std::move(connection), MonotonicNow());
  BOOST_TEST(pool.IdleConnections() == 1);
  BOOST_TEST(Upstream().Requests().empty());
}

// Guards against a relay that keeps to a pause and is taken for one that
// failed, or an upstream that is asked again and again.
BOOST_AUTO_TEST_CASE(ARelayTellsForHowLongTheUpstreamIsPaused) {
  scripted_upstream relay(Loop(), [](const std::string&) {
    return scripted_answer{
        MakeTunnelAnswer({kTunnelUpstreamPaused, std::chrono::seconds(7)})};
  });
  upstream_pool pool = MakePool(false);
  std::unique_ptr<upstream_connection> connection = TakeThrough(relay, pool);
  Start(*connection);
  BOOST_REQUIRE(RunUntil([&] { return Listener().Failed() > 0; }));
  BOOST_TEST((Listener().LastFault() == upstream_fault::kPausedAtRelay));
  BOOST_TEST((connection->RelayPause() == std::chrono::seconds(7)));
}

// Guards against the beginning of an answer without a length that is taken for
// the whole one as its relay dies.
BOOST_AUTO_TEST_CASE(TheEndOfARelayIsNoEndOfAnAnswer) {
  scripted_upstream relay(Loop(), [](const std::string& request) {
    if (!HeaderIn(request, "X-Id").empty()) {
      return scripted_answer{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nthe beginning",
                             true};
    }
    return scripted_answer{MakeTunnelAnswer(kTunnelOpen)};
  });
  upstream_pool pool = MakePool(false);
  std::unique_ptr<upstream_connection> connection = TakeThrough(relay, pool);
  Start(*connection);
  BOOST_REQUIRE(
      RunUntil([&] { return Listener().Failed() + Listener().Ended() > 0; }));
  BOOST_TEST(Listener().Ended() == 0);
  BOOST_TEST((Listener().LastFault() == upstream_fault::kLost));
}

// Guards against a malformed answer that passes through a relay.
BOOST_AUTO_TEST_CASE(AMalformedAnswerFailsThroughARelay) {
  const std::string open = MakeTunnelAnswer(kTunnelOpen);
  const std::string rest = "X-Id: 1\r\nContent-Length: 2\r\n\r\nok";
  for (const char* line : {"HTTP/1.1 000 X\r\n", "HTTP/1.1 200\tOK\r\n",
                           "HTTP/1.1 200 OK\r\nX A: b\r\n"}) {
    BOOST_TEST((FaultThroughARelay(open, {line + rest}) ==
                upstream_fault::kBadAnswer));
  }
}

// Guards against an answer without end that comes through a relay.
BOOST_AUTO_TEST_CASE(AnEndlessAnswerFailsThroughARelay) {
  const std::string open = MakeTunnelAnswer(kTunnelOpen);
  scripted_answer answer{"HTTP/1.1 200 OK\r\n"};
  answer.endless = "X-A: b\r\n";
  BOOST_TEST(
      (FaultThroughARelay(open, answer) == upstream_fault::kEndlessHeads));
  answer = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"};
  answer.endless = "a";
  BOOST_TEST(
      (FaultThroughARelay(open, answer) == upstream_fault::kEndlessFraming));
}

// Guards against a relay's malformed answer that counts as an open tunnel.
BOOST_AUTO_TEST_CASE(AMalformedAnswerOfARelayOpensNoTunnel) {
  BOOST_TEST((FaultThroughARelay("HTTP/1.1 0200 OK\r\n\r\n", {}) ==
              upstream_fault::kRelayFailed));
}

// A second request to a far upstream waits for a handshake while the first one
// uses the only connection.
BOOST_AUTO_TEST_CASE(AnOverlappingRequestFindsAConnection) {
  upstream_pool pool = MakePool(true);
  const monotonic_time now = MonotonicNow();
  Call(pool, now);
  const auto first = Take(pool, now);
  BOOST_REQUIRE(RunUntil([&] { return Upstream().Accepted() == 2; }));
  BOOST_REQUIRE(RunUntil([&] { return pool.IdleConnections() == 1; }));
  const auto second = Take(pool, now);
  BOOST_REQUIRE(RunUntil([&] { return !second->IsConnecting(); }));
  BOOST_TEST(second->IsReusable({}, now));
  Start(*second);
  BOOST_TEST(RunUntil([&] { return Listener().Ended() == 2; }));
}

// A request that takes a spare connection before it is connected fails.
BOOST_AUTO_TEST_CASE(ARequestMayStartOnASpareThatIsConnecting) {
  upstream_pool pool = MakePool(true);
  const monotonic_time now = MonotonicNow();
  Call(pool, now);
  const auto first = Take(pool, now);
  const auto second = Take(pool, now);
  BOOST_REQUIRE(second->IsConnecting());
  Start(*second);
  BOOST_TEST(RunUntil([&] { return Listener().Ended() == 2; }));
  BOOST_TEST(Listener().Failed() == 0);
}

// Connections are opened that nobody uses: to upstreams near by, and to those
// that get a request now and then.
BOOST_AUTO_TEST_CASE(NoSpareWhereItIsNotWorthIt) {
  upstream_pool near_pool = MakePool(false);
  const monotonic_time now = MonotonicNow();
  Call(near_pool, now);
  Call(near_pool, now);
  BOOST_TEST(near_pool.IdleConnections() == 1);
  upstream_pool far_pool = MakePool(true);
  Call(far_pool, now);
  Call(far_pool, now + std::chrono::seconds(3));
  BOOST_TEST(far_pool.IdleConnections() == 1);
}

// A spare connection that can't be opened stays in the pool and is handed out.
BOOST_AUTO_TEST_CASE(AFailedSpareIsDropped) {
  upstream_pool pool = MakePool(true);
  const monotonic_time now = MonotonicNow();
  Call(pool, now);
  const connection_path nobody{{"127.0.0.1", 1}};
  const auto first = pool.Take(kUpstream, nobody, std::chrono::seconds(10),
                               duration::zero(), now);
  BOOST_TEST(RunUntil([&] { return pool.IdleConnections() == 0; }));
}

// Guards against requests that wait for a probe that began before the path came
// back, and is bound to fail.
BOOST_AUTO_TEST_CASE(NoRequestWaitsForAProbe) {
  upstream_pool pool = MakePool(false);
  const monotonic_time now = MonotonicNow();
  pool.Probe(kUpstream, {upstream_.Address()}, std::chrono::seconds(10));
  const auto taken = Take(pool, now);
  BOOST_REQUIRE(RunUntil([&] { return Upstream().Accepted() == 2; }));
  BOOST_REQUIRE(RunUntil([&] { return pool.IdleConnections() == 1; }));
  BOOST_TEST(!Take(pool, now)->IsConnecting());
}

// A probe that fails is not kept, and the next one is begun.
BOOST_AUTO_TEST_CASE(AFailedProbeMakesWayForTheNext) {
  upstream_pool pool = MakePool(false);
  pool.Probe(kUpstream, {{"127.0.0.1", 1}}, std::chrono::seconds(10));
  BOOST_REQUIRE(RunUntil([&] {
    pool.Probe(kUpstream, {upstream_.Address()}, std::chrono::seconds(10));
    return pool.IdleConnections() == 1;
  }));
  BOOST_TEST(Upstream().Accepted() == 1);
}

// Guards against requests that are refused while an open connection could carry
// them, and against connects that are known to fail.
BOOST_AUTO_TEST_CASE(APathThatCannotOpenTakesIdleConnectionsOnly) {
  upstream_pool pool = MakePool(false);
  const monotonic_time now = MonotonicNow();
  connection_path path{upstream_.Address()};
  path.can_open = false;
  const auto take = [&] {
    return pool.Take(kUpstream, path, std::chrono::seconds(10),
                     duration::zero(), now);
  };
  BOOST_TEST(take() == nullptr);
  Call(pool, now);
  const auto taken = take();
  BOOST_TEST(taken != nullptr);
  BOOST_TEST(take() == nullptr);
  BOOST_TEST(Upstream().Accepted() == 1);
}

// One of two connections is used all the time, and the upstream closes the
// other one before a request needs it.
BOOST_AUTO_TEST_CASE(IdleConnectionsAreUsedInTurn) {
  upstream_pool pool = MakePool(false);
  const monotonic_time now = MonotonicNow();
  auto first = Take(pool, now);
  auto second = Take(pool, now);
  Start(*first);
  Start(*second);
  BOOST_REQUIRE(RunUntil([&] { return Listener().Ended() == 2; }));
  const upstream_connection* const given_first = first.get();
  pool.Give(kUpstream, std::move(first), now);
  pool.Give(kUpstream, std::move(second), now);
  BOOST_TEST(Take(pool, now).get() == given_first);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
