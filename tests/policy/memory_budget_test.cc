#include "citron/policy/memory_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace citron {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kUsual = 256 * kKilobyte;
constexpr std::size_t kLeast = 16 * kKilobyte;
constexpr std::size_t kLimit = 4096 * kKilobyte;

// A load of 400 bodies of 200 KB that come in pieces and go on slowly. Guards
// against a sum of fair parts that is larger than the limit by far.
BOOST_AUTO_TEST_CASE(ManyLargeBodiesStayNearTheLimit) {
  memory_budget budget({.limit_bytes = kLimit});
  memory_budget unlimited({});
  std::vector<std::unique_ptr<memory_budget::account>> held;
  for (memory_budget* each : {&budget, &unlimited}) {
    for (int i = 0; i < 400; ++i) {
      if (!each->Admits(200 * kKilobyte)) continue;
      held.push_back(std::make_unique<memory_budget::account>(*each));
      held.back()->Set(std::min(200 * kKilobyte, each->Allowance(kUsual)));
    }
  }
  BOOST_TEST(budget.Peak() >= kLimit);
  BOOST_TEST(budget.Peak() < kLimit + 2 * kLeast);
  BOOST_TEST(unlimited.Peak() == kKilobyte * 200 * 400);
}

// Guards against large holders that crowd out the small requests.
BOOST_AUTO_TEST_CASE(SmallRequestsNoticeNothingAtTheLimit) {
  memory_budget budget({.limit_bytes = kLimit});
  memory_budget::account all(budget);
  all.Set(2 * kLimit);
  BOOST_TEST(budget.Admits(kLeast));
  BOOST_TEST(!budget.Admits(kLeast + 1));
  BOOST_TEST(budget.Allowance(kUsual) == kLeast);
  BOOST_TEST(budget.Allowance(kLeast / 2) == kLeast / 2);
}

BOOST_AUTO_TEST_CASE(TheAllowanceShrinksAboveTheFreeHalfOnly) {
  memory_budget budget({.limit_bytes = kLimit});
  memory_budget::account some(budget);
  some.Set(kLimit / 2);
  BOOST_TEST(budget.Allowance(kUsual) == kUsual);
  some.Set(kLimit / 4 * 3);
  BOOST_TEST(budget.Allowance(kUsual) == (kUsual + kLeast) / 2);
  some.Set(kLimit - 1);
  BOOST_TEST(budget.Admits(kUsual));
  some.Set(kLimit);
  BOOST_TEST(!budget.Admits(kUsual));
}

// Guards against bytes that stay counted when their request is gone.
BOOST_AUTO_TEST_CASE(AnAccountGivesBackWhatItHeld) {
  memory_budget budget({.limit_bytes = kLimit});
  {
    memory_budget::account one(budget);
    one.Set(100);
    one.Set(40);
    BOOST_TEST(budget.Held() == 40u);
  }
  BOOST_TEST(budget.Held() == 0u);
  BOOST_TEST(budget.Peak() == 100u);
}

// Guards against a change for deployments that name no limit.
BOOST_AUTO_TEST_CASE(WithoutALimitAllIsAllowed) {
  memory_budget budget({});
  memory_budget::account all(budget);
  all.Set(std::size_t{1} << 40);
  BOOST_TEST(budget.Allowance(kUsual) == kUsual);
  BOOST_TEST(budget.Admits(std::size_t{1} << 40));
}

}  // namespace
}  // namespace citron
