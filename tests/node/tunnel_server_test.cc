#include "citron/node/tunnel_server.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "citron/node/tunnel_messages.h"
#include "citron/node/vm_listing.h"
#include "net/held_bytes.h"
#include "node/node_fixture.h"

namespace citron {
namespace {

constexpr char kOpen[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

class tunnel_fixture : public node_fixture {
 public:
  scripted_upstream& StartWithUpstream(scripted_upstream::script script) {
    scripted_upstream& upstream = AddUpstream("u1", std::move(script));
    Start();
    BOOST_REQUIRE(RunUntil([this] { return store_.Has("vms/vm1"); }));
    return upstream;
  }
  // What this VM lists for the others.
  vm_listing Listing() {
    const result<vm_listing> read =
        DecodeVmListing(vm_id("vm1"), store_.ValueOf("vms/vm1"));
    BOOST_REQUIRE(IsOk(read));
    return ValueOf(read);
  }
  std::string AskFor(const std::string& upstream, const std::string& secret) {
    return MakeTunnelRequest({upstream_id(upstream), {"127.0.0.1", 9}}, secret);
  }
  bool Receives(raw_caller& caller, const std::string& text) {
    return RunUntil([&] { return caller.Received() == text; });
  }
};

BOOST_FIXTURE_TEST_SUITE(tunnels, tunnel_fixture)

BOOST_AUTO_TEST_CASE(ATunnelCarriesRequestsAndAnswers) {
  StartWithUpstream([](const std::string& request) {
    return scripted_answer{GoodAnswer(request, "whole"), false};
  });
  const vm_listing listing = Listing();
  BOOST_REQUIRE(listing.tunnels.has_value());
  raw_caller caller(*listing.tunnels);
  caller.Send(AskFor("u1", listing.secret));
  BOOST_REQUIRE(Receives(caller, kOpen));
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n";
  const std::string answer = GoodAnswer(request, "whole");
  caller.Send(request);
  BOOST_TEST(Receives(caller, kOpen + answer));
  caller.Send(request);
  BOOST_TEST(Receives(caller, kOpen + answer + answer));
}

// Guards against a stranger who reaches upstreams past the checks of keys.
BOOST_AUTO_TEST_CASE(AStrangerGetsNoTunnel) {
  scripted_upstream& upstream = StartWithUpstream([](const std::string&) {
    return scripted_answer{"", true};
  });
  raw_caller caller(settings_.tunnels);
  caller.Send(AskFor("u1", "guess"));
  BOOST_TEST(Wait(caller).starts_with("HTTP/1.1 401 "));
  raw_caller sloppy(settings_.tunnels);
  sloppy.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(Wait(sloppy).starts_with("HTTP/1.1 401 "));
  BOOST_TEST(upstream.Accepted() == 0);
}

BOOST_AUTO_TEST_CASE(NoTunnelToAnUnknownUpstream) {
  StartWithUpstream([](const std::string&) {
    return scripted_answer{"", true};
  });
  raw_caller caller(settings_.tunnels);
  caller.Send(AskFor("u9", Listing().secret));
  BOOST_TEST(Wait(caller).starts_with("HTTP/1.1 503 "));
}

// Guards against requests of other VMs that reach an upstream from this one
// while it has asked this one for a pause.
BOOST_AUTO_TEST_CASE(NoTunnelToAPausedUpstream) {
  scripted_upstream& upstream = StartWithUpstream([](const std::string& sent) {
    return scripted_answer{
        fmt::format("HTTP/1.1 503 Full\r\nX-Id: {}\r\nX-Not-Run: full\r\n"
                    "Retry-After: 60\r\nContent-Length: 0\r\n\r\n",
                    HeaderIn(sent, "X-Id"))};
  });
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "503");
  const int accepted = upstream.Accepted();
  raw_caller caller(settings_.tunnels);
  caller.Send(AskFor("u1", Listing().secret));
  const std::string refusal = Wait(caller);
  BOOST_TEST(refusal.starts_with("HTTP/1.1 429 "));
  BOOST_TEST(std::stod(HeaderIn(refusal, "Retry-After")) > 50);
  BOOST_TEST(upstream.Accepted() == accepted);
}

// Guards against an asking VM that can't tell a dead upstream from a dead
// relay.
BOOST_AUTO_TEST_CASE(ARefusalOfTheUpstreamIsTold) {
  upstream_record record;
  record.service = service_id("s");
  record.zone = zone_id("z1");
  record.address = {"127.0.0.1", 1};
  codec_.upstreams["dead"] = record;
  store_.Set("upstreams/dead", "dead");
  StartWithUpstream([](const std::string&) {
    return scripted_answer{"", true};
  });
  raw_caller caller(settings_.tunnels);
  caller.Send(AskFor("dead", Listing().secret));
  BOOST_TEST(Wait(caller).starts_with("HTTP/1.1 502 "));
}

// Guards against an answer that loses its last bytes where it ends with its
// connection.
BOOST_AUTO_TEST_CASE(TheEndOfAnAnswerComesAfterItsBytes) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(300000, 'x');
  StartWithUpstream([&](const std::string&) {
    return scripted_answer{answer, true};
  });
  raw_caller caller(settings_.tunnels);
  caller.Send(AskFor("u1", Listing().secret));
  BOOST_REQUIRE(Receives(caller, kOpen));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return caller.IsClosed(); }));
  BOOST_TEST(caller.Received().size() == sizeof(kOpen) - 1 + answer.size());
}

// Guards against a relay that ends with bytes of an answer in its memory.
BOOST_AUTO_TEST_CASE(AnAnswerOutlivesItsRelay) {
  std::string answer;
  StartWithUpstream([&](const std::string& request) {
    answer = GoodAnswer(request, std::string(300'000, 'x'));
    return scripted_answer{answer};
  });
  raw_caller caller(settings_.tunnels, raw_caller::buffers::kSmall);
  caller.Send(AskFor("u1", Listing().secret));
  BOOST_REQUIRE(Receives(caller, kOpen));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n");
  EndNode();
  BOOST_REQUIRE(RunUntil([&] { return caller.IsClosed(); }));
  BOOST_TEST(caller.Received().size() == sizeof(kOpen) - 1 + answer.size());
}

// Guards against a close under bytes of the other VM, which would reset the
// connection and take along what is left of the answer.
BOOST_AUTO_TEST_CASE(BytesBehindARequestLeaveItsAnswerWhole) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(60'000, 'x');
  scripted_upstream& upstream = StartWithUpstream([&](const std::string&) {
    return scripted_answer{answer, true};
  });
  raw_caller caller(settings_.tunnels, raw_caller::buffers::kSmall);
  caller.Send(AskFor("u1", Listing().secret));
  BOOST_REQUIRE(Receives(caller, kOpen));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] {
    return !upstream.Requests().empty() && upstream.OpenConnections() == 0;
  }));
  Pass(std::chrono::milliseconds(100));
  BOOST_TEST(caller.TrySend("more"));
  BOOST_REQUIRE(RunUntil([&] { return caller.IsClosed(); }));
  BOOST_TEST(caller.Received().size() == sizeof(kOpen) - 1 + answer.size());
}

// Guards against a relay that keeps an answer without end for a VM that reads
// nothing of it.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndFillsNoMemory) {
  constexpr std::size_t kMostHeld = std::size_t{8} << 20;
  StartWithUpstream([](const std::string&) {
    scripted_answer answer{"HTTP/1.1 200 OK\r\n\r\n"};
    answer.endless = std::string(1000, 'x');
    return answer;
  });
  raw_caller caller(settings_.tunnels, raw_caller::buffers::kSmall);
  caller.Send(AskFor("u1", Listing().secret));
  BOOST_REQUIRE(Receives(caller, kOpen));
  const std::size_t before = HeldBytes();
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n");
  Pass(std::chrono::milliseconds(500));
  BOOST_TEST(HeldBytes() < before + kMostHeld);
}

// Guards against work that goes on after the other VM gave the request up.
BOOST_AUTO_TEST_CASE(ACloseReachesTheUpstream) {
  scripted_upstream& upstream = StartWithUpstream([](const std::string&) {
    return scripted_answer{"late", false, std::chrono::seconds(60)};
  });
  {
    raw_caller caller(settings_.tunnels);
    caller.Send(AskFor("u1", Listing().secret));
    BOOST_REQUIRE(Receives(caller, kOpen));
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n");
    BOOST_REQUIRE(RunUntil([&] { return upstream.Requests().size() == 1; }));
  }
  BOOST_TEST(RunUntil([&] { return upstream.OpenConnections() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
