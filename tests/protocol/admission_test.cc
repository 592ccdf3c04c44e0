#include "citron/protocol/admission.h"

#include <boost/test/unit_test.hpp>

namespace {

using citron::admission;
using citron::admitted;
using citron::FromSeconds;
using citron::monotonic_time;
using citron::no_contract;
using citron::over_rate;
using citron::vm_share;
using citron::workspace_id;

const monotonic_time kStart{std::chrono::seconds(1000)};
const workspace_id kShop("shop");

monotonic_time After(double seconds) { return kStart + FromSeconds(seconds); }

vm_share Share(int floor_ppm, int leased_ppm, double leased_seconds) {
  return {floor_ppm, leased_ppm, After(leased_seconds), After(10'000), 1};
}

int CountAdmitted(admission& limits, int requests, monotonic_time at) {
  int count = 0;
  for (int i = 0; i < requests; ++i) {
    count += std::holds_alternative<admitted>(limits.Admit(kShop, at));
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_CASE(LoopsTogetherAdmitTheShare) {
  int count = 0;
  for (int loop = 0; loop < 3; ++loop) {
    admission limits(kStart);
    limits.SetShare(Share(400'000, 200'000, 1000), 3, kStart);
    limits.SetContract(kShop, 100, 50, kStart);
    count += CountAdmitted(limits, 1000, After(10));
  }
  BOOST_TEST(count <= 30);
  BOOST_TEST(count >= 27);
}

BOOST_AUTO_TEST_CASE(RefusalGivesTimeOfNextToken) {
  admission limits(kStart);
  limits.SetShare(Share(100'000, 0, 0), 1, kStart);
  limits.SetContract(kShop, 100, 100, kStart);
  const auto answer = limits.Admit(kShop, After(0.05));
  const auto* refused = std::get_if<over_rate>(&answer);
  BOOST_REQUIRE(refused != nullptr);
  const monotonic_time early = refused->retry_at - FromSeconds(0.001);
  BOOST_TEST(CountAdmitted(limits, 1, early) == 0);
  BOOST_TEST(CountAdmitted(limits, 1, refused->retry_at) == 1);
}

// An entry process restarts within a second and has lost the record of its
// loans, which the borrower still uses. With its whole share at once the entry
// would admit the lent share a second time.
BOOST_AUTO_TEST_CASE(RestartedEntryWaitsUntilOldLoansHaveEnded) {
  admission limits(After(2));
  limits.SetShare(Share(500'000, 500'000, 1000), 1, kStart);
  limits.SetContract(kShop, 100, 100, kStart);
  BOOST_TEST(CountAdmitted(limits, 100, After(1.9)) == 0);
  BOOST_TEST(limits.OwnPpbUntil(After(1.9), After(3)) == 0);
  BOOST_TEST(CountAdmitted(limits, 100, After(2.1)) == 10);
}

// An operator withdraws a contract and grants it again while a share of it is
// lent to another entry.
BOOST_AUTO_TEST_CASE(WithdrawnContractKeepsItsLoans) {
  admission limits(kStart);
  limits.SetShare(Share(1'000'000, 0, 0), 1, kStart);
  limits.SetContract(kShop, 100, 100, kStart);
  limits.Find(kShop)->bucket.SetPart({20, -citron::kWholePpb / 2, After(5)},
                                     kStart);
  limits.RemoveContract(kShop, After(1));
  BOOST_TEST(
      std::holds_alternative<no_contract>(limits.Admit(kShop, After(2))));
  limits.SetContract(kShop, 100, 100, After(2));
  BOOST_TEST(limits.Find(kShop)->bucket.Capacity() == 50.0);
  limits.RemoveContract(kShop, After(6));
  BOOST_TEST((limits.Find(kShop) == nullptr));
}

// The store is unreachable; the leased share ends and the floor goes on
// serving.
BOOST_AUTO_TEST_CASE(FloorOutlivesTheLease) {
  admission limits(kStart);
  limits.SetShare(Share(200'000, 300'000, 9), 1, kStart);
  limits.SetContract(kShop, 100, 100, kStart);
  BOOST_TEST(CountAdmitted(limits, 100, After(8.9)) == 50);
  CountAdmitted(limits, 100, After(9));
  BOOST_TEST(CountAdmitted(limits, 100, After(10)) == 20);
  BOOST_TEST(limits.OwnPpbUntil(After(8), After(8.9)) == 500'000'000);
  BOOST_TEST(limits.OwnPpbUntil(After(8), After(10)) == 200'000'000);
}
