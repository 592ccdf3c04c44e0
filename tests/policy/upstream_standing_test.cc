#include "citron/policy/upstream_tracker.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class standing_fixture {
 public:
  standing_fixture() {
    record_.id = upstream_id("u1");
    record_.address = {"10.0.0.1", 80};
    record_.slots = 4;
    record_.born_ms = 1000;
  }

  upstream_tracker MakeStanding() {
    upstream_tracker standing(record_, region_id("north"), now_);
    standing.SetColdAllowance({2, 1});
    return standing;
  }

  // Sends one request that ends with the given outcome.
  void CompleteRequest(upstream_tracker& upstream, upstream_outcome outcome) {
    upstream.OnSent(now_);
    upstream.OnDone(outcome, now_);
  }

  upstream_record record_;
  monotonic_time now_{std::chrono::hours(1)};
};

BOOST_FIXTURE_TEST_SUITE(standing, standing_fixture)

BOOST_AUTO_TEST_CASE(LoadOfOtherVmsExpires) {
  upstream_tracker upstream = MakeStanding();
  upstream.OnSent(now_);
  upstream.OnSent(now_);
  upstream.OnReport({3, 2, 4}, now_);
  upstream.OnDone(upstream_outcome::kAnswered, now_);
  // One local request is left. The report counts five requests without the
  // answered one.
  BOOST_TEST(upstream.Load(now_) == 5);
  now_ += seconds(2);
  BOOST_TEST(upstream.Load(now_) == 1);
}

// An upstream crashes. It must be avoided at once, longer with each failure,
// and then take one request at a time.
BOOST_AUTO_TEST_CASE(ConsecutiveConnectFailuresExtendTheBackoff) {
  upstream_tracker upstream = MakeStanding();
  CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  BOOST_TEST(upstream.IsInBackoff(now_ + milliseconds(399)));
  BOOST_TEST(!upstream.IsInBackoff(now_ + milliseconds(400)));
  CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  BOOST_TEST(upstream.IsInBackoff(now_ + milliseconds(799)));
  for (int i = 0; i < 20; ++i) {
    CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  }
  BOOST_TEST(!upstream.IsInBackoff(now_ + seconds(4)));
  BOOST_TEST(upstream.IsOnProbation());
  CompleteRequest(upstream, upstream_outcome::kAnswered);
  BOOST_TEST(!upstream.IsOnProbation());
}

// An upstream passes its health checks but fails half of its requests. The
// outcomes must eject it, and it must be tried again later.
BOOST_AUTO_TEST_CASE(ManyFailedAnswersEjectAnUpstream) {
  upstream_tracker upstream = MakeStanding();
  for (int i = 0; i < 20; ++i) {
    CompleteRequest(upstream, i % 2 == 0 ? upstream_outcome::kServerError
                                         : upstream_outcome::kAnswered);
  }
  BOOST_TEST(upstream.IsEjected(now_));
  BOOST_TEST(!upstream.IsEjected(now_ + seconds(3)));
}

BOOST_AUTO_TEST_CASE(FewFailedAnswersDoNotEjectAnUpstream) {
  upstream_tracker upstream = MakeStanding();
  for (int i = 0; i < 100; ++i) {
    CompleteRequest(upstream, i % 10 == 0 ? upstream_outcome::kServerError
                                          : upstream_outcome::kAnswered);
    BOOST_TEST(!upstream.IsEjected(now_));
  }
}

// A cancelled request says nothing about the upstream.
BOOST_AUTO_TEST_CASE(CancelledRequestsAreNotFailures) {
  upstream_tracker upstream = MakeStanding();
  for (int i = 0; i < 50; ++i)
    CompleteRequest(upstream, upstream_outcome::kCancelled);
  BOOST_TEST(upstream.FailureRate() == 0);
  BOOST_TEST(upstream.InFlight() == 0);
}

// A cold upstream fails under more load than it can take. This VM sends no more
// than its allowance.
BOOST_AUTO_TEST_CASE(AColdUpstreamGetsNoMoreThanItsAllowance) {
  record_.cold_left = seconds(3);
  upstream_tracker upstream = MakeStanding();
  upstream.MarkCold(seconds(3), now_);
  int sent = 0;
  for (int ms = 0; ms < 3000; ms += 10) {
    const monotonic_time at = now_ + milliseconds(ms);
    if (!upstream.IsCold(at) || !upstream.CanTakeColdRequest(at)) continue;
    upstream.OnSent(at);
    ++sent;
  }
  // A burst of one and two requests per second.
  BOOST_TEST(sent <= 7);
  BOOST_TEST(sent >= 5);
  BOOST_TEST(!upstream.IsCold(now_ + seconds(3)));
}

// After a connect failure the upstream may have restarted and be cold. The
// entry of the upstream changes only after a restart, so that an answer
// followed by `restart_report_delay` without a new entry must rule out the
// restart. A VM that waited for a new entry would treat a healthy upstream as
// cold forever.
BOOST_AUTO_TEST_CASE(AConnectFailureMayMeanARestart) {
  upstream_tracker upstream = MakeStanding();
  CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  BOOST_TEST(upstream.IsCold(now_ + seconds(10)));
  now_ += seconds(5);
  CompleteRequest(upstream, upstream_outcome::kAnswered);
  BOOST_TEST(upstream.IsCold(now_ + milliseconds(2499)));
  BOOST_TEST(!upstream.IsCold(now_ + milliseconds(2500)));
}

// Guards against upstreams that are left alone and taken for cold after a
// partition between this VM and all of them.
BOOST_AUTO_TEST_CASE(FailuresOfThePathAreTakenBack) {
  upstream_tracker upstream = MakeStanding();
  const monotonic_time partition = now_;
  for (int i = 0; i < 8; ++i) {
    CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  }
  upstream.ForgetConnectFailures(partition);
  BOOST_TEST(!upstream.IsInBackoff(now_));
  BOOST_TEST(!upstream.IsOnProbation());
  BOOST_TEST(!upstream.IsEjected(now_));
  BOOST_TEST(!upstream.IsCold(now_));
}

// Guards against a restarted upstream that gets all of its load while it is
// cold, since a partition came after its crash.
BOOST_AUTO_TEST_CASE(FailuresBeforeThePartitionStand) {
  upstream_tracker upstream = MakeStanding();
  CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  now_ += milliseconds(100);
  const monotonic_time partition = now_;
  CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  upstream.ForgetConnectFailures(partition);
  BOOST_TEST(upstream.IsInBackoff(now_));
  BOOST_TEST(upstream.IsCold(now_));
}

// A healthy upstream loses answers. Treating it as cold would leave most of its
// slots unused.
BOOST_AUTO_TEST_CASE(ALostAnswerIsNotARestart) {
  upstream_tracker upstream = MakeStanding();
  CompleteRequest(upstream, upstream_outcome::kConnectionLost);
  BOOST_TEST(!upstream.IsCold(now_));
  BOOST_TEST(!upstream.IsInBackoff(now_));
}

BOOST_AUTO_TEST_CASE(ARestartResetsFailures) {
  upstream_tracker upstream = MakeStanding();
  for (int i = 0; i < 20; ++i) {
    CompleteRequest(upstream, upstream_outcome::kConnectFailedNotRun);
  }
  record_.born_ms = 2000;
  record_.cold_left = seconds(3);
  upstream.OnRecord(record_, now_);
  BOOST_TEST(!upstream.IsInBackoff(now_));
  BOOST_TEST(!upstream.IsEjected(now_));
  BOOST_TEST(upstream.IsCold(now_));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
