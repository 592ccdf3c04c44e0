#include "citron/policy/upstream_reach.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

constexpr std::size_t kKnown = 20;

upstream_id Id(int number) { return upstream_id(std::to_string(number)); }

std::vector<upstream_id> Ids(int count) {
  std::vector<upstream_id> ids;
  for (int i = 0; i < count; ++i) ids.push_back(Id(i));
  return ids;
}

monotonic_time At(int ms) {
  return monotonic_time(std::chrono::seconds(10)) +
         std::chrono::milliseconds(ms);
}

BOOST_AUTO_TEST_CASE(FailuresAtFourUpstreamsAreAPartition) {
  upstream_reach reach;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(!reach.OnConnectFailed(Id(i), At(i), kKnown, At(i)));
  }
  BOOST_TEST(reach.IsReachable());
  BOOST_TEST(reach.OnConnectFailed(Id(3), At(3), kKnown, At(3)));
  BOOST_TEST(!reach.IsReachable());
  BOOST_TEST((reach.FailingSince() == At(0)));
  BOOST_TEST(!reach.OnConnectFailed(Id(4), At(4), kKnown, At(4)));
}

// Guards against a VM that takes one crashed upstream for a partition.
BOOST_AUTO_TEST_CASE(OneUpstreamThatFailsAgainAndAgainIsNoPartition) {
  upstream_reach reach;
  for (int i = 0; i < 50; ++i)
    reach.OnConnectFailed(Id(0), At(i), kKnown, At(i));
  BOOST_TEST(reach.IsReachable());
  BOOST_TEST(!reach.WantsProbes(kKnown, At(100)));
}

// Guards against a VM that takes upstreams that crash together for a partition.
BOOST_AUTO_TEST_CASE(OneSuccessRefutesTheSuspicion) {
  upstream_reach reach;
  for (int i = 0; i < 3; ++i)
    reach.OnConnectFailed(Id(i), At(i), kKnown, At(i));
  reach.OnConnected(At(3));
  for (int i = 3; i < 6; ++i)
    reach.OnConnectFailed(Id(i), At(i), kKnown, At(i));
  BOOST_TEST(reach.IsReachable());
}

BOOST_AUTO_TEST_CASE(OneSuccessEndsThePartition) {
  upstream_reach reach;
  for (int i = 0; i < 4; ++i)
    reach.OnConnectFailed(Id(i), At(i), kKnown, At(i));
  BOOST_REQUIRE(!reach.IsReachable());
  reach.OnConnected(At(3));
  BOOST_TEST(reach.IsReachable());
  BOOST_TEST(!reach.WantsProbes(kKnown, At(1000)));
}

// Guards against attempts from before the end of a partition that fail after it
// and are taken for another one.
BOOST_AUTO_TEST_CASE(AttemptsThatBeganBeforeASuccessSayNothing) {
  upstream_reach reach;
  reach.OnConnected(At(100));
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(!reach.OnConnectFailed(Id(i), At(99), kKnown, At(500)));
  }
  BOOST_TEST(reach.IsReachable());
  BOOST_TEST(!reach.WantsProbes(kKnown, At(500)));
}

BOOST_AUTO_TEST_CASE(AllOfAFewUpstreamsAreAPartition) {
  upstream_reach reach;
  BOOST_TEST(!reach.OnConnectFailed(Id(0), At(0), 2, At(0)));
  BOOST_TEST(reach.OnConnectFailed(Id(1), At(1), 2, At(1)));
}

// Guards against a VM that learns of hanging connections only as requests need
// new ones.
BOOST_AUTO_TEST_CASE(RequestsWithoutAnAnswerStartProbes) {
  upstream_reach reach;
  reach.OnUnanswered(Id(0), At(0));
  BOOST_TEST(!reach.WantsProbes(kKnown, At(0)));
  reach.OnUnanswered(Id(1), At(1));
  BOOST_TEST(reach.WantsProbes(kKnown, At(1)));
  reach.OnAnswered();
  BOOST_TEST(!reach.WantsProbes(kKnown, At(2)));
}

// Guards against a VM whose old connections live on, and that takes their
// answers for a proof that it can open new ones.
BOOST_AUTO_TEST_CASE(AnswersOnOldConnectionsDontEndThePartition) {
  upstream_reach reach;
  for (int i = 0; i < 4; ++i) {
    reach.OnConnectFailed(Id(i), At(i), kKnown, At(i));
    reach.OnAnswered();
  }
  BOOST_TEST(!reach.IsReachable());
  reach.OnAnswered();
  BOOST_TEST(!reach.IsReachable());
}

// Guards against a VM that gets no requests and never learns that the
// partition has ended.
BOOST_AUTO_TEST_CASE(ProbesGoOnAndReachEachUpstreamInTurn) {
  upstream_reach reach;
  for (int i = 0; i < 4; ++i)
    reach.OnConnectFailed(Id(i), At(i), kKnown, At(i));
  std::vector<upstream_id> probed;
  for (int round = 0; round < 4; ++round) {
    const monotonic_time now = At(1000 + 250 * round);
    BOOST_REQUIRE(reach.WantsProbes(kKnown, now));
    for (const upstream_id& id : reach.TakeProbes(Ids(10), now)) {
      probed.push_back(id);
    }
    BOOST_TEST(!reach.WantsProbes(kKnown, now));
  }
  BOOST_TEST((probed == Ids(10)));
  BOOST_TEST(!reach.TakeProbes(Ids(10), At(2000)).empty());
}

}  // namespace
}  // namespace citron
