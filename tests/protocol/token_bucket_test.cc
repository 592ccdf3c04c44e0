#include "citron/protocol/token_bucket.h"

#include <boost/test/unit_test.hpp>

namespace {

using citron::FromSeconds;
using citron::kWholePpb;
using citron::monotonic_time;
using citron::token_bucket;

const monotonic_time kStart{std::chrono::seconds(1000)};

monotonic_time After(double seconds) { return kStart + FromSeconds(seconds); }

}  // namespace

BOOST_AUTO_TEST_CASE(StartsEmptyAndFillsToItsShareOfTheBurst) {
  token_bucket bucket(100, 50, kStart);
  BOOST_TEST(!bucket.TryTake(kStart));
  bucket.SetPart({1, kWholePpb / 10, After(1000)}, kStart);
  BOOST_TEST(!bucket.TryTake(kStart));
  bucket.Advance(After(0.25));
  BOOST_TEST(bucket.Tokens() == 2.5, boost::test_tools::tolerance(1e-9));
  bucket.Advance(After(100));
  BOOST_TEST(bucket.Tokens() == 5.0);
}

// A VM is frozen for a minute and wakes after its lease has gone to another VM.
// Refilled for the whole minute, its bucket would admit what the other VM
// admits as well.
BOOST_AUTO_TEST_CASE(TimeAfterADeadlineRefillsNothing) {
  token_bucket bucket(100, 1000, kStart);
  bucket.SetPart({1, kWholePpb / 10, After(1000)}, kStart);
  bucket.SetPart({2, kWholePpb / 10 * 4, After(2)}, kStart);
  bucket.Advance(After(1));
  BOOST_TEST(bucket.Tokens() == 50.0, boost::test_tools::tolerance(1e-9));
  bucket.Advance(After(2.5));
  // 100 tokens at the deadline, which is the remaining capacity; the refill
  // after it is dropped.
  BOOST_TEST(bucket.Tokens() == 100.0, boost::test_tools::tolerance(1e-9));
  token_bucket late(100, 1000, kStart);
  late.SetPart({2, kWholePpb / 2, After(2)}, kStart);
  BOOST_TEST(!late.TryTake(After(60)));
  BOOST_TEST(late.Tokens() == 0.0);
}

// Shares change during a freeze: the tokens of the larger share must be gone,
// although the capacity is large again when the process resumes.
BOOST_AUTO_TEST_CASE(TokensAreCutAtTheMomentTheCapacityShrinks) {
  token_bucket bucket(1, 100, kStart);
  bucket.SetPart({1, kWholePpb, After(1000)}, kStart);
  bucket.Advance(After(200));
  BOOST_TEST(bucket.Tokens() == 100.0);
  bucket.SetPart({2, -kWholePpb / 10 * 9, After(300)}, After(200));
  BOOST_TEST(bucket.Tokens() == 10.0);
  bucket.Advance(After(310));
  BOOST_TEST(bucket.Tokens() == 20.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(LoweredContractCutsTokensAtOnce) {
  token_bucket bucket(100, 100, kStart);
  bucket.SetPart({1, kWholePpb, After(1000)}, kStart);
  bucket.Advance(After(10));
  bucket.SetContract(10, 5, After(10));
  BOOST_TEST(bucket.Tokens() == 5.0);
  bucket.SetContract(100, 100, After(10));
  BOOST_TEST(bucket.Tokens() == 5.0);
}

BOOST_AUTO_TEST_CASE(NextTokenIsThereAtThePredictedTime) {
  token_bucket bucket(10, 10, kStart);
  bucket.SetPart({1, kWholePpb / 10, After(1000)}, kStart);
  bucket.SetPart({2, kWholePpb / 10 * 4, After(0.1)}, kStart);
  const auto at = bucket.NextTokenAt(kStart);
  BOOST_REQUIRE(at.has_value());
  // 0.5 tokens until the second part ends at 0.1 s, then 0.5 tokens at a tenth
  // of the rate.
  BOOST_TEST(citron::ToSeconds(*at - kStart) == 0.6,
             boost::test_tools::tolerance(0.2));
  BOOST_TEST(!bucket.TryTake(*at - FromSeconds(0.001)));
  BOOST_TEST(bucket.TryTake(*at));
}

// Three requests wait; a fourth gets the time of its own token. The bucket
// never holds four tokens, since each is taken as it comes.
BOOST_AUTO_TEST_CASE(TokenBehindOthersComesLater) {
  token_bucket bucket(100, 10, kStart);
  bucket.SetPart({1, kWholePpb / 5, After(1000)}, kStart);
  for (std::size_t ahead = 0; ahead < 4; ++ahead) {
    const auto at = bucket.NextTokenAt(kStart, ahead);
    BOOST_REQUIRE(at.has_value());
    BOOST_TEST(citron::ToSeconds(*at - kStart) ==
                   0.05 * static_cast<double>(ahead + 1),
               boost::test_tools::tolerance(0.001));
  }
}

BOOST_AUTO_TEST_CASE(NoTokenIsPredictedWhereNoneWillCome) {
  token_bucket bucket(10, 10, kStart);
  BOOST_TEST(!bucket.NextTokenAt(kStart).has_value());
  // Half a token of capacity.
  bucket.SetPart({1, kWholePpb / 20, After(1000)}, kStart);
  BOOST_TEST(!bucket.NextTokenAt(kStart).has_value());
}
