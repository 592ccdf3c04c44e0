#include "citron/policy/rank_reserve.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <climits>
#include <map>

namespace citron {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr request_rank kUrgent{0, 0};
constexpr request_rank kMiddle{0, 1};
constexpr request_rank kLast{0, 2};

// A resource of which two units a second come back.
class reserve_fixture {
 public:
  bool Ask(const request_rank& rank) {
    reserve_.OnDemand(rank, now_);
    const bool may_take = reserve_.MayTake(rank, available_, kRefillPerS, now_);
    if (may_take) {
      available_ -= 1;
      ++taken_[rank];
    }
    return may_take;
  }

  void Wait(duration time) {
    now_ += time;
    available_ = std::min(kMost, available_ + kRefillPerS * ToSeconds(time));
  }

  // Lets each rank ask at its rate for a time.
  void Run(duration time, const std::map<request_rank, int>& per_s) {
    constexpr duration kStep = milliseconds(1);
    constexpr int kSteps = seconds(1) / kStep;
    std::map<request_rank, int> due;
    for (duration left = time; left > duration::zero(); left -= kStep) {
      Wait(kStep);
      for (const auto& [rank, rate] : per_s) {
        for (due[rank] += rate; due[rank] >= kSteps; due[rank] -= kSteps) {
          Ask(rank);
        }
      }
    }
  }

  static constexpr double kRefillPerS = 2;
  static constexpr double kMost = 10;
  monotonic_time now_{hours(1)};
  double available_ = kMost;
  std::map<request_rank, int> taken_;
  rank_reserve reserve_;
};

BOOST_FIXTURE_TEST_SUITE(ranks, reserve_fixture)

// Guards against an urgent request that fails for a less urgent one.
BOOST_AUTO_TEST_CASE(TheMoreUrgentRankGoesFirst) {
  Run(seconds(5), {{kUrgent, 8}, {kLast, 8}});
  taken_.clear();
  Run(seconds(20), {{kUrgent, 8}, {kLast, 8}});
  BOOST_TEST(taken_[kUrgent] + taken_[kLast] >= 38);
  BOOST_TEST(taken_[kUrgent] >= 34);
}

// Guards against a flood of the most urgent rank that leaves nothing to others.
BOOST_AUTO_TEST_CASE(AFloodOfTheMostUrgentRankLeavesAQuarterOfTheEvenShares) {
  Run(seconds(5), {{kUrgent, 200}, {kMiddle, 2}, {kLast, 2}});
  taken_.clear();
  Run(seconds(60), {{kUrgent, 200}, {kMiddle, 2}, {kLast, 2}});
  const int quarter = static_cast<int>(60 * kRefillPerS / 3 / 4);
  BOOST_TEST(taken_[kMiddle] >= quarter - 1);
  BOOST_TEST(taken_[kLast] >= quarter - 1);
  BOOST_TEST(taken_[kUrgent] >= 95);
}

// Guards against a rank that asks most and is served less than a quarter as
// often as all.
BOOST_AUTO_TEST_CASE(ARankThatAsksMostKeepsAQuarterOfItsShareByDemand) {
  Run(seconds(5), {{kUrgent, 10}, {kLast, 90}});
  taken_.clear();
  Run(seconds(60), {{kUrgent, 10}, {kLast, 90}});
  const double all = (taken_[kUrgent] + taken_[kLast]) / (60 * 100.0);
  BOOST_TEST(taken_[kLast] / (60 * 90.0) >= 0.24 * all);
}

// Guards against units that are kept though there are enough for all.
BOOST_AUTO_TEST_CASE(NothingIsKeptOfAResourceThatIsNotShort) {
  available_ = 1;
  Wait(seconds(5));
  Run(seconds(20), {{kUrgent, 1}, {kLast, 1}});
  BOOST_TEST(taken_[kUrgent] + taken_[kLast] == 40);
}

BOOST_AUTO_TEST_CASE(ARankThatAsksAloneTakesAllThereIs) {
  for (int i = 0; i < static_cast<int>(kMost); ++i) BOOST_TEST(Ask(kLast));
  BOOST_TEST(!Ask(kLast));
  Wait(milliseconds(500));
  BOOST_TEST(Ask(kLast));
}

// Guards against a VM that starts and keeps units for ranks that nobody uses.
BOOST_AUTO_TEST_CASE(WithoutKnownDemandNothingIsKept) {
  BOOST_TEST(reserve_.MayTake(kLast, 1, kRefillPerS, now_));
  BOOST_TEST(reserve_.MoreUrgentDemand(kLast, now_) == 0);
}

// Guards against units that are kept for a rank that no longer asks.
BOOST_AUTO_TEST_CASE(ARankThatStopsAskingIsForgotten) {
  Run(seconds(5), {{kUrgent, 50}, {kLast, 50}});
  available_ = 0;
  Wait(seconds(10));
  for (int i = 0; i < static_cast<int>(kMost); ++i) BOOST_TEST(Ask(kLast));
}

// Guards against a refill of zero, as it is before the first requests, that
// keeps everything from the less urgent.
BOOST_AUTO_TEST_CASE(AnUnknownRefillKeepsNothing) {
  for (int i = 0; i < 50; ++i) reserve_.OnDemand(kUrgent, now_);
  reserve_.OnDemand(kLast, now_);
  BOOST_TEST(reserve_.MayTake(kLast, 1, 0, now_));
  BOOST_TEST(!reserve_.MayTake(kLast, 0.5, 0, now_));
}

// Guards against ranks that no declaration should hold: they order like others.
BOOST_AUTO_TEST_CASE(NegativeAndHugeRanksOnlyOrder) {
  const request_rank lowest{INT_MAX, INT_MAX};
  const request_rank highest{INT_MIN, -7};
  Run(seconds(5), {{highest, 8}, {lowest, 8}});
  taken_.clear();
  Run(seconds(20), {{highest, 8}, {lowest, 8}});
  BOOST_TEST(taken_[highest] >= 34);
  BOOST_TEST(taken_[lowest] >= 2);
}

BOOST_AUTO_TEST_CASE(TheWorkspacesRankGoesBeforeTheRoutes) {
  BOOST_TEST((request_rank{0, 9} < request_rank{1, 0}));
  reserve_.OnDemand({0, 9}, now_);
  BOOST_TEST(reserve_.MoreUrgentDemand({1, 0}, now_) > 0);
}

// Guards against credit or demand that is made by a clock that stands still.
BOOST_AUTO_TEST_CASE(AClockThatStandsStillGivesNoCredit) {
  Run(seconds(5), {{kUrgent, 50}, {kLast, 50}});
  available_ = 1;
  int taken = 0;
  for (int i = 0; i < 100; ++i) {
    reserve_.OnDemand(kLast, now_);
    if (reserve_.MayTake(kLast, 1, kRefillPerS, now_)) ++taken;
  }
  BOOST_TEST(taken <= 1);
}

// Guards against a jump of the clock that gives a rank more than a unit, or
// leaves the reserve stuck.
BOOST_AUTO_TEST_CASE(AJumpOfTheClockGivesAtMostOneUnit) {
  Run(seconds(5), {{kUrgent, 50}, {kLast, 50}});
  for (const duration jump : {duration(hours(2)), duration(-hours(1))}) {
    now_ += jump;
    for (int i = 0; i < 50; ++i) reserve_.OnDemand(kUrgent, now_);
    int taken = 0;
    for (int i = 0; i < 50; ++i) {
      reserve_.OnDemand(kLast, now_);
      if (reserve_.MayTake(kLast, 1, kRefillPerS, now_)) ++taken;
    }
    BOOST_TEST(taken <= 1);
  }
  available_ = kMost;
  taken_.clear();
  Run(seconds(20), {{kUrgent, 8}, {kLast, 8}});
  BOOST_TEST(taken_[kUrgent] >= 34);
  BOOST_TEST(taken_[kLast] >= 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
