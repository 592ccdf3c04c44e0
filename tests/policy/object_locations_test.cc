#include "citron/policy/object_locations.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kObject = 7;
constexpr std::uint64_t kUpstreams[] = {101, 102};
const monotonic_time kStart{std::chrono::hours(1)};

std::uint64_t UpstreamOf(object_locations& locations) {
  const auto found = locations.Find(kObject);
  return found ? found->upstream : 0;
}

BOOST_AUTO_TEST_CASE(ALaterPlacementReplacesTheEarlier) {
  object_locations locations;
  BOOST_TEST(UpstreamOf(locations) == 0u);
  locations.OnPlaced({kObject, kUpstreams[0], kStart});
  BOOST_TEST(UpstreamOf(locations) == kUpstreams[0]);
  locations.OnPlacedByPeer(
      {kObject, kUpstreams[1], kStart + milliseconds(500)});
  BOOST_TEST(UpstreamOf(locations) == kUpstreams[1]);
  locations.OnPlaced({kObject, kUpstreams[0], kStart + milliseconds(501)});
  BOOST_TEST(UpstreamOf(locations) == kUpstreams[0]);
}

// Guards against two VMs that exchange their placements of an object for ever,
// or that keep two.
BOOST_AUTO_TEST_CASE(PlacementsThatCrossEndAtOneUpstream) {
  object_locations one;
  object_locations other;
  one.OnPlaced({kObject, kUpstreams[0], kStart});
  other.OnPlaced({kObject, kUpstreams[1], kStart + milliseconds(5)});
  one.OnPlacedByPeer({kObject, kUpstreams[1], kStart + milliseconds(17)});
  other.OnPlacedByPeer({kObject, kUpstreams[0], kStart + milliseconds(12)});
  BOOST_TEST(UpstreamOf(one) == UpstreamOf(other));
  BOOST_TEST(UpstreamOf(one) != 0u);
}

// Guards against a VM whose memory grows with the objects of a long day.
BOOST_AUTO_TEST_CASE(TheLeastRecentlyUsedIsForgotten) {
  object_locations locations({.max_objects = 3});
  for (std::uint64_t object = 1; object <= 3; ++object) {
    locations.OnPlaced({object, kUpstreams[0], kStart});
  }
  locations.Find(1);
  locations.OnPlaced({4, kUpstreams[0], kStart});
  BOOST_TEST(locations.Count() == 3u);
  BOOST_TEST(locations.Find(1).has_value());
  BOOST_TEST(!locations.Find(2).has_value());
}

BOOST_AUTO_TEST_CASE(PlacementsOfOtherVmsAreNotItsOwn) {
  object_locations locations;
  locations.OnPlaced({1, kUpstreams[0], kStart});
  locations.OnPlacedByPeer({2, kUpstreams[0], kStart});
  BOOST_REQUIRE(locations.OwnPlacements().size() == 1u);
  BOOST_TEST(locations.OwnPlacements()[0].object == 1u);
}

}  // namespace
}  // namespace citron
