#include "citron/policy/region_balance.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <pcg_random.hpp>
#include <vector>

#include "citron/base/digest.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLeastWeight = 4;

region_room Room(int upstreams, int slots_each, double load_per_slot) {
  const double slots = upstreams * slots_each;
  return {upstreams, slots, slots, load_per_slot * slots};
}

// One VM of a region, with requests for few objects.
class balance_fixture {
 public:
  void Run(double run_s, double requests_per_s) {
    const auto steps = std::lround(run_s * 4);
    for (int i = 0; i < steps; ++i) {
      due_ += requests_per_s / 4;
      for (; due_ >= 1; --due_) {
        const auto object = random_(static_cast<std::uint32_t>(objects_));
        balance_.OnRequest(HashBytes(std::to_string(object)), now_);
      }
      now_ += milliseconds(250);
      balance_.Update(own_, others_, now_);
      parts_.push_back(balance_.HomePart());
    }
  }
  double Weight() const { return balance_.SameRegionWeight(); }
  // Returns the largest change between the means of windows of two seconds.
  double LargestShift() const {
    constexpr std::size_t kWindow = 8;
    double largest = 0;
    for (std::size_t at = 0; at + 2 * kWindow <= parts_.size(); ++at) {
      double change = 0;
      for (std::size_t i = at; i < at + kWindow; ++i) {
        change += (parts_[i + kWindow] - parts_[i]) / kWindow;
      }
      largest = std::max(largest, std::abs(change));
    }
    return largest;
  }

  monotonic_time now_{std::chrono::hours(1)};
  pcg32 random_{1};
  int objects_ = 254;
  region_room own_ = Room(116, 3, 0.3);
  region_room others_ = Room(166, 3, 0.3);
  double due_ = 0;
  region_balance balance_;
  std::vector<double> parts_;
};

BOOST_FIXTURE_TEST_SUITE(balance, balance_fixture)

// Guards against requests that travel though their region has room for them.
BOOST_AUTO_TEST_CASE(ARegionWithRoomKeepsItsRequests) {
  Run(1, 20);
  BOOST_TEST(balance_.HomePart() < 0.75);
  Run(20, 20);
  BOOST_TEST(balance_.HomePart() > 0.95);
  BOOST_TEST(LargestShift() < 0.1);
}

// Guards against a region that gets more objects than it can keep warm.
BOOST_AUTO_TEST_CASE(AShortWarmRoomIsServedAsBefore) {
  objects_ = 600;
  Run(30, 100);
  BOOST_TEST(Weight() == kLeastWeight);
}

// Guards against a small region that takes all its objects.
BOOST_AUTO_TEST_CASE(ASmallRegionKeepsWhatItHasRoomFor) {
  own_ = Room(28, 3, 0.3);
  others_ = Room(254, 3, 0.3);
  Run(30, 100);
  BOOST_TEST(balance_.HomePart() > 0.37);
  BOOST_TEST(balance_.HomePart() < 0.46);
}

// Guards against VMs with few requests that move ahead of the others.
BOOST_AUTO_TEST_CASE(AVmThatSeesFewRequestsHolds) {
  Run(30, 2);
  BOOST_TEST(Weight() == kLeastWeight);
}

// Guards against VMs of a region that end at different weights.
BOOST_AUTO_TEST_CASE(VmsWithDifferentSamplesAgree) {
  own_ = Room(28, 3, 0.3);
  others_ = Room(254, 3, 0.3);
  balance_fixture sampled;
  sampled.own_ = own_;
  sampled.others_ = others_;
  sampled.random_ = pcg32(2);
  Run(30, 100);
  sampled.Run(30, 15);
  BOOST_TEST(std::abs(balance_.HomePart() - sampled.balance_.HomePart()) <
             0.12);
}

// Guards against a VM that starts and moves all its requests at once.
BOOST_AUTO_TEST_CASE(AVmThatRestartsFollowsAtTheBoundedSpeed) {
  Run(20, 100);
  const double before = balance_.HomePart();
  balance_ = region_balance();
  parts_.clear();
  Run(15, 100);
  BOOST_TEST(std::abs(balance_.HomePart() - before) < 0.02);
  BOOST_TEST(LargestShift() < 0.1);
}

// Guards against a region that swings with the waves of its demand.
BOOST_AUTO_TEST_CASE(WavesOfDemandDoNotOscillate) {
  Run(20, 100);
  parts_.clear();
  for (int quarter = 0; quarter < 400; ++quarter) {
    const double load = 0.55 + 0.3 * std::sin(quarter / 144.0 * 6.283);
    own_ = Room(116, 3, load);
    others_ = Room(166, 3, load);
    Run(0.25, 100);
  }
  const auto [least, most] = std::minmax_element(parts_.begin(), parts_.end());
  BOOST_TEST(*most - *least < 0.02);
}

// Guards against callers who wait in a full region while others have room.
BOOST_AUTO_TEST_CASE(ALoadedRegionFallsBack) {
  Run(20, 100);
  own_ = Room(116, 3, 1.1);
  parts_.clear();
  Run(30, 100);
  BOOST_TEST(Weight() < kLeastWeight * 1.0001);
  BOOST_TEST(LargestShift() < 0.1);
}

// Guards against requests that move to regions that are as full.
BOOST_AUTO_TEST_CASE(WhereAllAreLoadedNothingMoves) {
  Run(20, 100);
  const double before = Weight();
  own_ = Room(116, 3, 1.1);
  others_ = Room(166, 3, 1.3);
  Run(20, 100);
  BOOST_TEST(Weight() == before);
}

// Guards against growth into a region that tells no load.
BOOST_AUTO_TEST_CASE(ASilentRegionHoldsItsWeight) {
  Run(4, 100);
  const double before = Weight();
  own_.heard_slots = own_.load = 0;
  others_.heard_slots = others_.load = 0;
  Run(20, 100);
  BOOST_TEST(Weight() == before);
}

// Guards against objects that stay in a region that lost its room for them.
BOOST_AUTO_TEST_CASE(ARegionThatLosesUpstreamsGivesObjectsAway) {
  Run(20, 100);
  const double before = Weight();
  own_ = Room(20, 3, 0.5);
  Run(0.25, 100);
  BOOST_TEST(Weight() <= before);
  Run(30, 100);
  BOOST_TEST(balance_.HomePart() < 0.47);
}

// Guards against a weight that is lost while the other regions are.
BOOST_AUTO_TEST_CASE(LostRegionsLeaveTheWeight) {
  Run(20, 100);
  const double before = Weight();
  others_ = {};
  Run(20, 100);
  BOOST_TEST(Weight() == before);
  BOOST_TEST(balance_.HomePart() == 1);
}

// Guards against a change where a deployment has one region or no requests.
BOOST_AUTO_TEST_CASE(WithoutOtherRegionsOrRequestsAllIsAsBefore) {
  Run(20, 0);
  BOOST_TEST(Weight() == kLeastWeight);
  others_ = {};
  Run(20, 100);
  BOOST_TEST(Weight() == kLeastWeight);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
