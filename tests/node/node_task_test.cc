#include "citron/node/node_task.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "node/node_fixture.h"

namespace citron {
namespace {

scripted_answer Good(const std::string& request) {
  return {GoodAnswer(request, "whole"), false};
}

BOOST_FIXTURE_TEST_SUITE(node, node_fixture)

BOOST_AUTO_TEST_CASE(IsReadyAndListedOnceItKnowsTheDeclaration) {
  AddUpstream("u1", Good);
  Start();
  BOOST_TEST(StatusOf(Page(settings_.readiness, "/ready")) == "200");
  BOOST_REQUIRE(RunUntil([this] { return store_.Has("vms/vm1"); }));
  BOOST_REQUIRE(RunUntil([this] {
    return Page(settings_.lookup, "/lookup?zone=z1&region=r1")
               .find(settings_.callers.Str()) != std::string::npos;
  }));
}

// A VM that has just started and knows nothing yet must not say that a route or
// a key doesn't exist: callers would give up what they may ask for.
BOOST_AUTO_TEST_CASE(WithoutADeclarationItRefusesForAMoment) {
  StartNode();
  BOOST_TEST(StatusOf(Page(settings_.readiness, "/ready")) == "503");
  const std::string answer = Ask(Request("GET", "/look/1"));
  BOOST_TEST(StatusOf(answer) == "503");
  BOOST_TEST(!HeaderIn(answer, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(RequestsThatAreNotAllowedGetAClearAnswer) {
  scripted_upstream& upstream = AddUpstream("u1", Good);
  Start();
  BOOST_TEST(StatusOf(Ask(Request("GET", "/none/1"))) == "404");
  BOOST_TEST(StatusOf(Ask("GET /look/1 HTTP/1.1\r\nHost: a.example\r\n"
                          "Authorization: Bearer nobody\r\n\r\n")) == "401");
  BOOST_TEST(StatusOf(Ask("GET /look/1 HTTP/1.1\r\nHost: a.example\r\n\r\n")) ==
             "401");
  BOOST_TEST(StatusOf(Ask("GET /look/1 HTTP/1.1\r\n\r\n")) == "400");
  BOOST_TEST(StatusOf(Ask("POST /book/1 HTTP/1.1\r\nHost: a.example\r\n"
                          "Content-Length: 1\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n0\r\n\r\n")) == "400");
  BOOST_TEST(upstream.Requests().empty());
}

BOOST_AUTO_TEST_CASE(WhatIsTooLargeIsRefused) {
  routing_.limits.max_head_bytes = 2000;
  routing_.limits.max_body_bytes = 100;
  AddUpstream("u1", Good);
  Start();
  BOOST_TEST(StatusOf(Ask(
                 Request("GET", "/look/1",
                         "X-L: " + std::string(3000, 'a') + "\r\n"))) == "431");
  BOOST_TEST(StatusOf(Ask(Request("POST", "/book/1", "",
                                  std::string(200, 'b')))) == "413");
}

// A key is withdrawn while its caller's connection stays open.
BOOST_AUTO_TEST_CASE(AWithdrawnKeyStopsWorking) {
  AddUpstream("u1", Good);
  Start();
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "200");
  routing_.version = 2;
  routing_.workspaces[0].keys = {"key2"};
  PutRouting();
  BOOST_TEST(RunUntil(
      [this] { return StatusOf(Ask(Request("GET", "/look/1"))) == "401"; }));
}

// The store answers this VM no more, and a key may be withdrawn at any moment.
// The VM must refuse what needs a key in time, say that it isn't ready, and
// serve again as soon as the store is back.
BOOST_AUTO_TEST_CASE(AVmThatLostTheStoreLetsNoKeyIn) {
  settings_.bounds.revocation = FromSeconds(2);
  scripted_upstream& upstream = AddUpstream("u1", Good);
  Start();
  store_.SetDown(true);
  BOOST_REQUIRE(RunUntil([this] { return !node_->IsReady(); }));
  BOOST_TEST(RunUntil([this] {
    return Ask(Request("GET", "/look/1")).find("keys_not_current") !=
           std::string::npos;
  }));
  const std::size_t before = upstream.Requests().size();
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "503");
  BOOST_TEST(upstream.Requests().size() == before);
  store_.SetDown(false);
  BOOST_REQUIRE(RunUntil([this] { return node_->IsReady(); }));
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "200");
  BOOST_TEST(HasLine("part=store event=lost"));
}

// One caller sends far more than its workspace's rate and burst.
BOOST_AUTO_TEST_CASE(AWorkspaceIsHeldToItsRate) {
  routing_.workspaces[0].rate_per_s = 2;
  routing_.workspaces[0].burst = 2;
  scripted_upstream& upstream = AddUpstream("u1", Good);
  Start();
  int refused = 0;
  std::string last;
  for (int i = 0; i < 60; ++i) {
    const std::string answer = Ask(Request("GET", "/look/1"));
    if (StatusOf(answer) != "429") continue;
    ++refused;
    last = answer;
  }
  BOOST_TEST(refused > 20);
  BOOST_TEST(upstream.Requests().size() + refused == 60u);
  BOOST_TEST(!HeaderIn(last, "Retry-After").empty());
}

// A planned stop while a request is at its upstream. It must be answered, and
// callers must go elsewhere.
BOOST_AUTO_TEST_CASE(APlannedStopCutsNothing) {
  std::string held;
  AddUpstream("u1", [&](const std::string& request) {
    held = request;
    return scripted_answer{"", false};
  });
  routing_.routes[0].timeout = FromMilliseconds(600);
  Start();
  BOOST_REQUIRE(RunUntil([this] { return store_.Has("vms/vm1"); }));
  raw_caller caller(settings_.callers);
  caller.Send(Request("GET", "/look/1"));
  BOOST_REQUIRE(RunUntil([&] { return !held.empty(); }));
  bool stopped = false;
  node_->Stop([&] { stopped = true; });
  BOOST_TEST(!node_->IsReady());
  BOOST_TEST(StatusOf(Page(settings_.readiness, "/ready")) == "503");
  BOOST_TEST(RunUntil([this] { return !store_.Has("vms/vm1"); }));
  // A caller with an older list still comes, is served and told to leave.
  const std::string late = Ask(Request("GET", "/look/2"));
  BOOST_TEST(HeaderIn(late, "Connection") == "close");
  BOOST_TEST(StatusOf(Wait(caller)) == "504");
  BOOST_TEST(RunUntil([&] { return stopped; }));
}

// A zone is closed by the operator. Nothing may go to its upstreams.
BOOST_AUTO_TEST_CASE(AClosedZoneGetsNothing) {
  scripted_upstream& upstream = AddUpstream("u1", Good);
  Start();
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "200");
  store_.Set("closed/z1", "{}");
  BOOST_REQUIRE(RunUntil([this] { return HasLine("event=zone_closed"); }));
  const std::size_t before = upstream.Requests().size();
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "503");
  BOOST_TEST(upstream.Requests().size() == before);
}

// Another writer put something unreadable among the upstreams.
BOOST_AUTO_TEST_CASE(AnUnreadableUpstreamIsPassedOverAndLoggedOnce) {
  AddUpstream("u1", Good);
  store_.Set("upstreams/odd", "not a document");
  Start();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "200");
  }
  store_.Set("upstreams/odd", "still not");
  RunUntil(
      [calls = store_.Calls() + 3, this] { return store_.Calls() > calls; });
  int lines = 0;
  for (const std::string& line : lines_) {
    if (line.find("event=upstream_unreadable") != std::string::npos) ++lines;
  }
  BOOST_TEST(lines == 1);
}

BOOST_AUTO_TEST_CASE(MetricsTellWhatBecameOfRequests) {
  AddUpstream("u1", Good);
  Start();
  Ask(Request("GET", "/look/1"));
  BOOST_TEST(
      Page(settings_.metrics, "/metrics").find("citron_requests_total") !=
      std::string::npos);
}

// Two requests are sent without waiting for the first answer. Answers come in
// order, each to its own request.
BOOST_AUTO_TEST_CASE(RequestsInARowAreAnsweredInOrder) {
  AddUpstream("u1", [](const std::string& request) {
    return scripted_answer{
        GoodAnswer(request, request.substr(0, request.find(" HTTP"))), false};
  });
  Start();
  raw_caller caller(settings_.callers);
  caller.Send(Request("GET", "/look/first") + Request("GET", "/look/second"));
  BOOST_REQUIRE(RunUntil([&] {
    return caller.Received().find("GET /look/second") != std::string::npos;
  }));
  BOOST_TEST(caller.Received().find("GET /look/first") <
             caller.Received().find("GET /look/second"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
