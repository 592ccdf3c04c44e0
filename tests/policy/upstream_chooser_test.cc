#include "citron/policy/upstream_chooser.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct chooser_fixture {
  chooser_fixture() : chooser({}) {
    chooser.SetUpstreams({{a, 4}, {b, 4}}, now);
  }

  // Returns how many requests the upstream takes now.
  int CountTaken(const upstream_id& id) {
    int taken = 0;
    const auto only = [&](const upstream_id& u) { return u == id; };
    while (chooser.Choose(now, random, only)) {
      chooser.OnSent(id, now);
      ++taken;
    }
    for (int i = 0; i < taken; ++i) {
      chooser.OnDone(id, upstream_outcome::kCancelled, 0, now);
    }
    return taken;
  }
  void SendAndFinish(const upstream_id& id, upstream_outcome outcome,
                     double slowness = 1) {
    chooser.OnSent(id, now);
    chooser.OnDone(id, outcome, slowness, now);
  }

  const upstream_id a{"a"};
  const upstream_id b{"b"};
  monotonic_time now{seconds(1000)};
  pcg32 random{2};
  upstream_chooser chooser;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Chooser, chooser_fixture)

BOOST_AUTO_TEST_CASE(LeastInFlightFirst) {
  chooser.OnSent(a, now);
  BOOST_TEST((chooser.Choose(now, random) == b));
  chooser.OnSent(b, now);
  chooser.OnSent(b, now);
  BOOST_TEST((chooser.Choose(now, random) == a));
}

// After a change of owner, requests of the old owner still run at the server.
BOOST_AUTO_TEST_CASE(AReportMayLowerButNotRaise) {
  chooser.OnReport(a, {.in_flight = 3}, now);
  BOOST_TEST(CountTaken(a) == 1);
  chooser.OnReport(a, {.in_flight = -5}, now);
  BOOST_TEST(CountTaken(a) == 4);
  // One slot stays, or a server that wrongly reports itself full would never be
  // used again.
  now += seconds(10);
  chooser.OnReport(a, {.in_flight = 900}, now);
  BOOST_TEST(CountTaken(a) == 1);
  now += seconds(4);
  BOOST_TEST(CountTaken(a) == 4);
}

// A late report shows requests of this process that have ended since. Counting
// them as load of other callers would leave the slots empty.
BOOST_AUTO_TEST_CASE(LocalRequestsInALateReportDontCountAsOtherLoad) {
  for (int i = 0; i < 4; ++i) chooser.OnSent(a, now);
  now += milliseconds(500);
  for (int i = 0; i < 4; ++i) {
    chooser.OnDone(a, upstream_outcome::kAnswered, 1, now);
  }
  now += milliseconds(500);
  chooser.OnReport(a, {.in_flight = 4}, now);
  BOOST_TEST(CountTaken(a) == 4);
}

BOOST_AUTO_TEST_CASE(UnhealthyByReportKeepsOneSlot) {
  chooser.OnReport(a, {.healthy = false}, now);
  BOOST_TEST(CountTaken(a) == 1);
  chooser.OnReport(a, {.ready = false}, now);
  BOOST_TEST(CountTaken(a) == 0);
}

// A server refuses as leaving, while its health reports and the list of leaving
// VMs are late and still show it as healthy.
BOOST_AUTO_TEST_CASE(LeavingMarkOutlivesLateReports) {
  SendAndFinish(a, upstream_outcome::kLeavingNotRun);
  chooser.OnReport(a, {}, now + seconds(2));
  now += seconds(3);
  BOOST_TEST(CountTaken(a) == 0);
  now += seconds(10);
  BOOST_TEST(CountTaken(a) == 4);
  chooser.OnReport(a, {.leaving = true}, now);
  now += seconds(60);  // No more reports.
  BOOST_TEST(CountTaken(a) == 0);
}

// Guards against an idle server: its ownership ends and returns within the time
// for which a leaving server gets no requests.
BOOST_AUTO_TEST_CASE(ServerIsUsedAsSoonAsItIsOwnedAgain) {
  chooser.OnSent(a, now);
  chooser.OnSent(a, now);
  chooser.SetUpstreams({{b, 4}}, now);
  chooser.OnDone(a, upstream_outcome::kNotOwnedNotRun, 0, now);
  BOOST_TEST(CountTaken(a) == 0);
  chooser.SetUpstreams({{a, 4}, {b, 4}}, now);
  BOOST_TEST(CountTaken(a) == 3);
  BOOST_TEST(!chooser.IsLeaving(a, now));
}

BOOST_AUTO_TEST_CASE(FailedServerIsReinstatedStepByStep) {
  SendAndFinish(a, upstream_outcome::kConnectFailedNotRun);
  BOOST_TEST(CountTaken(a) == 4);
  SendAndFinish(a, upstream_outcome::kConnectFailedNotRun);
  BOOST_TEST(CountTaken(a) == 0);
  now += seconds(1);
  BOOST_TEST(CountTaken(a) == 1);
  SendAndFinish(a, upstream_outcome::kConnectFailedNotRun);
  now += seconds(1);
  BOOST_TEST(CountTaken(a) == 0);
  now += seconds(1);
  SendAndFinish(a, upstream_outcome::kAnswered);
  SendAndFinish(a, upstream_outcome::kAnswered);
  BOOST_TEST(CountTaken(a) == 1);
  now += seconds(5);
  BOOST_TEST(CountTaken(a) == 2);
  now += seconds(5);
  BOOST_TEST(CountTaken(a) == 4);
}

// All servers return errors alike, so the requests are at fault. Ejecting
// servers would reject requests that might be answered.
BOOST_AUTO_TEST_CASE(ErrorsAtAllServersEjectNone) {
  for (int i = 0; i < 20; ++i) {
    SendAndFinish(a, upstream_outcome::kServerError);
    SendAndFinish(b, upstream_outcome::kServerError);
  }
  BOOST_TEST(chooser.UsableUpstreams(now) == 2);
}

BOOST_AUTO_TEST_CASE(SlowServerIsEjectedAndTheOtherStays) {
  for (int i = 0; i < 10; ++i) {
    SendAndFinish(a, upstream_outcome::kAnswered, 6);
    SendAndFinish(b, upstream_outcome::kAnswered, 0.6);
  }
  BOOST_TEST(CountTaken(a) == 0);
  for (int i = 0; i < 10; ++i) SendAndFinish(b, upstream_outcome::kServerError);
  BOOST_TEST(CountTaken(b) == 4);
}

// Guards against ejecting a sound server because chance gave it the long
// requests of a class and its only peer the short ones.
BOOST_AUTO_TEST_CASE(SpreadOfServiceTimesEjectsNoSoundServer) {
  constexpr double kShort = 0.05;
  constexpr double kLong = 1.95;
  pcg32 kinds(9);
  for (int i = 0; i < 20000; ++i) {
    const upstream_id& id = i % 2 == 0 ? a : b;
    SendAndFinish(id, upstream_outcome::kAnswered,
                  kinds(2) == 0 ? kShort : kLong);
    BOOST_TEST_REQUIRE(chooser.UsableUpstreams(now) == 2, "at request " << i);
  }
}

// The same mix at a server that has turned slow: it must still be found.
BOOST_AUTO_TEST_CASE(SlowServerIsEjectedDespiteTheSpread) {
  constexpr double kShort = 0.05;
  constexpr double kLong = 1.95;
  constexpr int kMaxRequestsAtASlowServer = 60;
  pcg32 kinds(9);
  for (int i = 0; i < 200; ++i) {
    for (const upstream_id& id : {a, b}) {
      SendAndFinish(id, upstream_outcome::kAnswered,
                    kinds(2) == 0 ? kShort : kLong);
    }
  }
  int requests = 0;
  while (chooser.UsableUpstreams(now) == 2 &&
         requests < kMaxRequestsAtASlowServer) {
    SendAndFinish(a, upstream_outcome::kAnswered,
                  10 * (kinds(2) == 0 ? kShort : kLong));
    SendAndFinish(b, upstream_outcome::kAnswered,
                  kinds(2) == 0 ? kShort : kLong);
    ++requests;
  }
  BOOST_TEST(chooser.UsableUpstreams(now) == 1);
  BOOST_TEST(CountTaken(a) == 0);
}

BOOST_AUTO_TEST_CASE(FullServerGetsNoRequestsForOneStep) {
  for (int i = 0; i < 3; ++i) chooser.OnSent(a, now);
  chooser.OnDone(a, upstream_outcome::kShedNotRun, 0, now);
  BOOST_TEST(CountTaken(a) == 0);
  now += milliseconds(250);
  BOOST_TEST(CountTaken(a) == 1);
}

// Each of the three signs alone marks a server as leaving. A server that is
// only full or not ready isn't leaving: its drain time would be the time for
// which it was busy.
BOOST_AUTO_TEST_CASE(ServerLeavesByEachOfThreeSigns) {
  BOOST_TEST(!chooser.IsLeaving(a, now));
  chooser.SetDraining(a, true);
  BOOST_TEST(chooser.IsLeaving(a, now));
  chooser.SetDraining(a, false);
  BOOST_TEST(!chooser.IsLeaving(a, now));
  chooser.OnReport(a, {.leaving = true}, now);
  BOOST_TEST(chooser.IsLeaving(a, now));
  chooser.OnReport(a, {.ready = false}, now);
  BOOST_TEST(!chooser.IsLeaving(a, now));
  chooser.OnSent(a, now);
  chooser.OnDone(a, upstream_outcome::kShedNotRun, 0, now);
  BOOST_TEST(!chooser.IsLeaving(a, now));
  chooser.OnSent(a, now);
  chooser.OnDone(a, upstream_outcome::kLeavingNotRun, 0, now);
  BOOST_TEST(chooser.IsLeaving(a, now));
  BOOST_TEST(!chooser.IsLeaving(a, now + std::chrono::seconds(10)));
  BOOST_TEST(!chooser.IsLeaving(upstream_id("nobody"), now));
}

BOOST_AUTO_TEST_CASE(StartedServerRampsUp) {
  const upstream_id c("c");
  chooser.SetUpstreams({{a, 4}, {b, 4}, {.id = c, .slots = 4, .cold = true}},
                       now);
  BOOST_TEST(CountTaken(c) == 1);
  now += milliseconds(7600);
  BOOST_TEST(CountTaken(c) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace citron
