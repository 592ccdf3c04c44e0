#include "citron/policy/poison_registry.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using standing = poison_registry::standing;
using std::chrono::seconds;

const upstream_id kA("a");
const upstream_id kB("b");
const monotonic_time kNow{seconds(10)};

}  // namespace

BOOST_AUTO_TEST_CASE(TwoCrashesMakePoison) {
  poison_registry registry(seconds(60));
  BOOST_TEST((registry.OnCrash(7, kA, kNow, kNow) == standing::kSuspect));
  BOOST_TEST((registry.OnCrash(7, kB, kNow, kNow) == standing::kPoison));
  BOOST_TEST((registry.Of(7, kNow + seconds(59)) == standing::kPoison));
  BOOST_TEST((registry.Of(7, kNow + seconds(60)) == standing::kClear));
}

// Two copies of a look-up were in flight when one server crashed. That is one
// crash; the same server crashing again is another.
BOOST_AUTO_TEST_CASE(TwoCopiesAtOneCrashAreOne) {
  poison_registry registry(seconds(60));
  registry.OnCrash(7, kA, kNow, kNow);
  BOOST_TEST((registry.OnCrash(7, kA, kNow, kNow) == standing::kSuspect));
  const monotonic_time later = kNow + seconds(5);
  BOOST_TEST((registry.OnCrash(7, kA, later, later) == standing::kPoison));
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsASuspectOnly) {
  poison_registry registry(seconds(60));
  registry.OnCrash(7, kA, kNow, kNow);
  registry.OnAnswered(7);
  BOOST_TEST((registry.Of(7, kNow) == standing::kClear));
  registry.OnPoison(8, kNow + seconds(5));
  registry.OnAnswered(8);
  BOOST_TEST((registry.Of(8, kNow) == standing::kPoison));
  registry.Expire(kNow + seconds(5));
  BOOST_TEST(registry.IsEmpty());
}

BOOST_AUTO_TEST_CASE(ASuspectOfAnotherOwnerNeedsOneMoreCrash) {
  poison_registry registry(seconds(60));
  registry.OnSuspect(7, kNow + seconds(60));
  BOOST_TEST((registry.OnCrash(7, kA, kNow, kNow) == standing::kPoison));
}

BOOST_AUTO_TEST_CASE(OneSuspectAnUpstreamAndOneCopyAnywhere) {
  poison_registry registry(seconds(60));
  registry.OnSuspectSent(7, kA);
  BOOST_TEST(!registry.MaySend(7));
  BOOST_TEST(registry.MaySend(8));
  BOOST_TEST(registry.HoldsSuspect(kA));
  BOOST_TEST(!registry.HoldsSuspect(kB));
  registry.OnSuspectDone(7, kA);
  BOOST_TEST(registry.MaySend(7));
  BOOST_TEST(!registry.HoldsSuspect(kA));
}

}  // namespace citron
