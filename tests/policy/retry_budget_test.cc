#include "citron/policy/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace {

using citron::request_rank;
using citron::retry_decision;

constexpr request_rank kUrgent{0, 0};
constexpr request_rank kLast{0, 2};

struct overload_result {
  std::map<request_rank, int> asked;
  std::map<request_rank, int> served;
  int requests = 0;
  int retries = 0;

  double Served(const request_rank& rank) const {
    return static_cast<double>(served.at(rank)) / asked.at(rank);
  }
};

// Replays an overload of nine seconds at several VMs: upstreams reject 55 of
// 100 requests that reach them, and a request may reach three.
overload_result ReplayOverload(bool with_ranks, double urgent_part) {
  overload_result result;
  std::mt19937 random(7);
  std::uniform_real_distribution<double> unit;
  for (int vm = 0; vm < 40; ++vm) {
    citron::retry_budget budget(0.14);
    citron::monotonic_time now(std::chrono::hours(1));
    for (int i = 0; i < 270; ++i) {
      now += std::chrono::milliseconds(33);
      const request_rank rank = unit(random) < urgent_part ? kUrgent : kLast;
      ++result.asked[rank];
      ++result.requests;
      budget.OnRequest(now);
      for (int reached = 1; unit(random) < 0.55; ++reached) {
        const bool granted =
            with_ranks ? budget.TryTake(rank, now) == retry_decision::kGranted
                       : budget.TryTake();
        if (reached == 3 || !granted) {
          --result.served[rank];
          break;
        }
        ++result.retries;
      }
      ++result.served[rank];
    }
  }
  return result;
}

}  // namespace

// Every first attempt fails for a while. Retries must not multiply the load of
// the upstreams.
BOOST_AUTO_TEST_CASE(RetriesAreAShareOfTheTraffic) {
  citron::retry_budget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest();
    while (budget.TryTake()) ++retries;
  }
  BOOST_TEST(retries <= 1011);
  BOOST_TEST(retries >= 1000);
}

// Guards against an urgent kind that is refused for want of retries which a
// less urgent one has used.
BOOST_AUTO_TEST_CASE(InAnOverloadTheUrgentRankIsServedMore) {
  const overload_result before = ReplayOverload(false, 0.5);
  const overload_result after = ReplayOverload(true, 0.5);
  BOOST_TEST(after.Served(kUrgent) > before.Served(kUrgent) + 0.03);
  BOOST_TEST(after.Served(kLast) > 0.75 * after.Served(kUrgent));
  BOOST_TEST(after.retries <= 0.14 * after.requests + 40 * 10);
  BOOST_TEST(after.retries > 0.97 * before.retries);
}

// Guards against a change where all requests have one rank.
BOOST_AUTO_TEST_CASE(OneRankAloneHasTheWholeBudget) {
  const overload_result before = ReplayOverload(false, 1);
  const overload_result after = ReplayOverload(true, 1);
  BOOST_TEST(after.served.at(kUrgent) == before.served.at(kUrgent));
  BOOST_TEST(after.retries == before.retries);
}

// Guards against a budget that grants more because ranks ask in turn.
BOOST_AUTO_TEST_CASE(RanksShareOneBound) {
  citron::retry_budget budget(0.1, 5);
  const citron::monotonic_time start(std::chrono::hours(1));
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    const auto now = start + std::chrono::milliseconds(10) * i;
    budget.OnRequest(now);
    for (const request_rank& rank : {kLast, kUrgent}) {
      if (budget.TryTake(rank, now) == retry_decision::kGranted) ++retries;
    }
  }
  BOOST_TEST(retries <= 1006);
  BOOST_TEST(retries >= 1000);
}
