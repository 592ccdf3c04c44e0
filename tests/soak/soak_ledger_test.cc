#include "soak/soak_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Each rule is broken once, so that a soak that finds nothing has looked.
class ledger_fixture {
 public:
  soak_attempt Attempt(bool once = false) const {
    soak_attempt attempt;
    attempt.id = "1";
    attempt.path = "/look/1";
    attempt.vm = 0;
    attempt.once = once;
    attempt.workspace = 1;
    attempt.key = "key";
    attempt.sent = now_;
    return attempt;
  }
  soak_run Run() const {
    soak_run run;
    run.id = "1";
    run.upstream = "u1";
    run.workspace = "w1";
    run.path = "/look/1";
    run.at = now_;
    return run;
  }
  void End(soak_attempt attempt, int status, bool is_own_answer = true) {
    attempt.status = status;
    attempt.was_sent = true;
    attempt.is_own_answer = is_own_answer;
    attempt.ended = now_;
    ledger_.OnEnded(attempt);
  }
  // What was broken, by the names of the rules.
  std::string Broken() const {
    std::string names;
    for (const std::string& broken : ledger_.Broken()) {
      names += broken.substr(0, broken.find(':')) + " ";
    }
    return names;
  }

  monotonic_time now_{std::chrono::hours(1)};
  soak_ledger ledger_{soak_ledger::bounds{}};
};

BOOST_FIXTURE_TEST_SUITE(rules, ledger_fixture)

BOOST_AUTO_TEST_CASE(AnOrdinaryRequestBreaksNothing) {
  ledger_.OnSent(Attempt());
  ledger_.OnRun(Run());
  ledger_.OnAnswered("1");
  End(Attempt(), 200);
  ledger_.CheckAll(now_ - seconds(1));
  BOOST_TEST(Broken() == "");
}

BOOST_AUTO_TEST_CASE(AnothersAnswerIsMixed) {
  ledger_.OnSent(Attempt());
  End(Attempt(), 200, false);
  BOOST_TEST(Broken() == "MIXED ");
}

BOOST_AUTO_TEST_CASE(WhatNobodySentIsUnasked) {
  ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "UNASKED ");
}

BOOST_AUTO_TEST_CASE(AnotherWorkspacePathOrAKeyIsUnasked) {
  ledger_.OnSent(Attempt());
  soak_run run = Run();
  run.workspace = "w2";
  ledger_.OnRun(run);
  run = Run();
  run.path = "/book/1";
  ledger_.OnRun(run);
  BOOST_TEST(Broken() == "UNASKED UNASKED ");
  run = Run();
  run.has_key = true;
  ledger_.OnRun(run);
  BOOST_TEST(Broken().starts_with("UNASKED UNASKED UNASKED "));
}

BOOST_AUTO_TEST_CASE(WhatMustNotRunTwiceDid) {
  ledger_.OnSent(Attempt(true));
  ledger_.OnRun(Run());
  ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "TWICE ");
}

BOOST_AUTO_TEST_CASE(MoreUpstreamsThanAllowed) {
  ledger_.OnSent(Attempt());
  for (int i = 0; i < 3; ++i) ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "BUDGET ");
}

BOOST_AUTO_TEST_CASE(ARefusalThatIsNotTrue) {
  ledger_.OnSent(Attempt(true));
  ledger_.OnRun(Run());
  End(Attempt(true), 503);
  BOOST_TEST(Broken() == "REFUSED ");
}

BOOST_AUTO_TEST_CASE(ARunAfterTheRefusal) {
  ledger_.OnSent(Attempt(true));
  End(Attempt(true), 503);
  ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "REFUSED ");
}

BOOST_AUTO_TEST_CASE(AGoodKeyIsDenied) {
  ledger_.OnSent(Attempt());
  End(Attempt(), 401);
  BOOST_TEST(Broken() == "DENIED ");
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyMayBeDeniedAndMustNotRunLater) {
  ledger_.OnWithdrawing("key");
  ledger_.OnSent(Attempt());
  End(Attempt(), 401);
  BOOST_TEST(Broken() == "");
  ledger_.OnKeyWithdrawn("key", now_);
  now_ += seconds(4);
  ledger_.OnSent(Attempt());
  ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "CONFIG ");
}

BOOST_AUTO_TEST_CASE(ARouteIsNotInForceInTime) {
  ledger_.OnRouteAdded(now_);
  now_ += seconds(3);
  soak_attempt attempt = Attempt();
  attempt.route_is_new = true;
  ledger_.OnSent(attempt);
  End(attempt, 404);
  BOOST_TEST(Broken() == "CONFIG ");
}

BOOST_AUTO_TEST_CASE(ALeavingUpstreamIsReached) {
  ledger_.OnLeaving("u1", now_);
  now_ += seconds(3);
  ledger_.OnSent(Attempt());
  ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "DRAIN ");
}

// Bounds of time hold for VMs in touch: not while the store is disturbed, nor
// shortly after it.
BOOST_AUTO_TEST_CASE(ADisturbedStoreExcusesADrain) {
  ledger_.OnLeaving("u1", now_);
  ledger_.OnDisturbed(soak_ledger::kStore, now_);
  now_ += seconds(3);
  ledger_.OnSent(Attempt());
  ledger_.OnRun(Run());
  ledger_.OnCalmAgain(soak_ledger::kStore, now_);
  now_ += seconds(3);
  ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "");
  now_ += seconds(2);
  soak_attempt later = Attempt();
  later.id = "2";
  ledger_.OnSent(later);
  soak_run run = Run();
  run.id = "2";
  ledger_.OnRun(run);
  BOOST_TEST(Broken() == "DRAIN ");
}

BOOST_AUTO_TEST_CASE(AClosedZoneIsReached) {
  ledger_.OnZoneClosed(0, now_);
  now_ += seconds(6);
  ledger_.OnSent(Attempt());
  ledger_.OnRun(Run());
  BOOST_TEST(Broken() == "EVAC ");
}

BOOST_AUTO_TEST_CASE(AnAnsweredRequestIsCut) {
  ledger_.OnSent(Attempt());
  ledger_.OnRun(Run());
  ledger_.OnAnswered("1");
  // A planned stop is no excuse.
  ledger_.OnPlanned(0, now_);
  now_ += milliseconds(200);
  soak_attempt attempt = Attempt();
  attempt.sent -= milliseconds(200);
  End(attempt, 0);
  BOOST_TEST(Broken() == "LOST ");
}

BOOST_AUTO_TEST_CASE(AKilledVmMayCut) {
  ledger_.OnDisturbed(0, now_);
  ledger_.OnSent(Attempt());
  ledger_.OnRun(Run());
  ledger_.OnAnswered("1");
  End(Attempt(), 0);
  BOOST_TEST(Broken() == "");
}

// Of the workspace with a rate of 30 a second and a burst of 30.
BOOST_AUTO_TEST_CASE(MoreThanTheContractRuns) {
  soak_attempt attempt = Attempt();
  attempt.workspace = 0;
  for (int i = 0; i < 230; ++i) {
    attempt.id = std::to_string(i);
    ledger_.OnSent(attempt);
    soak_run run = Run();
    run.id = attempt.id;
    run.workspace = "w0";
    run.at = now_ + milliseconds(20) * i;
    ledger_.OnRun(run);
  }
  ledger_.CheckAll(now_ + std::chrono::hours(1));
  BOOST_TEST(Broken() == "QUOTA ");
}

BOOST_AUTO_TEST_CASE(CallersAreNotServedInTheEnd) {
  for (int i = 0; i < 10; ++i) {
    soak_attempt attempt = Attempt();
    attempt.id = std::to_string(i);
    ledger_.OnSent(attempt);
    End(attempt, i < 8 ? 200 : 504);
  }
  ledger_.CheckAll(now_ - seconds(1));
  BOOST_TEST(Broken() == "RECOVER ");
}

BOOST_AUTO_TEST_CASE(AThirdRequestInAPauseIsSeen) {
  ledger_.OnSent(Attempt());
  ledger_.OnPauseAsked("u1", "1", now_, seconds(3));
  const auto reach = [this](duration later) {
    ledger_.OnReached("u1", "1", now_ + later);
  };
  reach(milliseconds(400));
  reach(milliseconds(600));
  reach(milliseconds(2900));
  reach(milliseconds(3100));
  BOOST_TEST(Broken() == "");
  ledger_.OnPauseAsked("u1", "1", now_, seconds(3));
  for (const int ms : {600, 700, 800}) reach(milliseconds(ms));
  BOOST_TEST(Broken() == "BUDGET ");
}

BOOST_AUTO_TEST_CASE(AnInterruptionOfTheVmExcusesRequestsInAPause) {
  ledger_.OnSent(Attempt());
  ledger_.OnPauseAsked("u1", "1", now_, seconds(3));
  ledger_.OnVmInterrupted(0);
  for (const int ms : {600, 700, 800}) {
    ledger_.OnReached("u1", "1", now_ + milliseconds(ms));
  }
  BOOST_TEST(Broken() == "");
}

BOOST_AUTO_TEST_CASE(ARequestAfterAnAnswerThatSaysLeavingIsSeen) {
  ledger_.OnSent(Attempt());
  ledger_.OnSaidLeaving("u1", "1");
  End(Attempt(), 200);
  now_ += seconds(2);
  ledger_.OnSent(Attempt());
  ledger_.OnReached("u1", "1", now_ + seconds(2));
  BOOST_TEST(Broken() == "");
  now_ += seconds(1);
  ledger_.OnSent(Attempt());
  ledger_.OnReached("u1", "1", now_);
  BOOST_TEST(Broken() == "DRAIN ");
}

BOOST_AUTO_TEST_CASE(ANewStartOfAnUpstreamIsFreeOfWhatItSaid) {
  ledger_.OnSent(Attempt());
  ledger_.OnSaidLeaving("u1", "1");
  End(Attempt(), 200);
  ledger_.OnUpstreamEnded("u1");
  now_ += seconds(9);
  ledger_.OnSent(Attempt());
  ledger_.OnReached("u1", "1", now_);
  BOOST_TEST(Broken() == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
