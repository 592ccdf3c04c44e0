#include "citron/loadgen/headroom_series.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

constexpr char kPage[] =
    "# TYPE citron_zone_headroom gauge\n"
    "citron_zone_headroom{service=\"desk\",zone=\"a\"} 12\n"
    "citron_zone_headroom{zone=\"b\",service=\"desk\"} -3\n"
    "citron_zone_headroom{service=\"maps\",zone=\"a\"} 4.5\n"
    "citron_zone_headroom_of_old{service=\"desk\",zone=\"c\"} 1\n"
    "citron_zone_headroom{service=\"desk\"} 7\n"
    "citron_zone_headroom{service=\"desk\",zone=\"d\"} nan\n"
    "citron_zone_headroom{service=\"desk\",zone=\"e\"";

BOOST_AUTO_TEST_CASE(PageIsReadByServiceAndZone) {
  const headroom_by_zone seen = ParseHeadroom(kPage);
  BOOST_REQUIRE(seen.size() == 2u);
  BOOST_TEST(seen.at("desk").size() == 2u);
  BOOST_TEST(seen.at("desk").at("a") == 12);
  BOOST_TEST(seen.at("desk").at("b") == -3);
  BOOST_TEST(seen.at("maps").at("a") == 4.5);
  BOOST_TEST(ParseHeadroom("").empty());
}

// One entry still shows free slots in a zone that another has just heard to be
// full. A table that took the higher would show headroom that isn't there.
BOOST_AUTO_TEST_CASE(LowestViewOfARoundCounts) {
  headroom_series series;
  series.OnPage({{"desk", {{"a", 10}, {"b", 8}}}});
  series.OnPage({{"desk", {{"a", 0}, {"b", 9}}}});
  series.EndRound();
  series.OnPage({{"desk", {{"a", 6}, {"b", 6}}}});
  series.EndRound();
  series.EndRound();  // No page came; not a round without headroom.
  const headroom_summary desk = series.ByService().at("desk");
  BOOST_TEST(desk.rounds == 2u);
  BOOST_TEST(desk.least == 8);
  BOOST_TEST(desk.mean == 10);
  BOOST_TEST(desk.least_in_zone == 0);
  BOOST_TEST(desk.least_zone == "a");
}

// A zone without a single usable slot has a headroom below zero once its
// upstreams went while they worked; it is the least from the first round on.
BOOST_AUTO_TEST_CASE(HeadroomBelowZeroIsKept) {
  headroom_series series;
  series.OnPage({{"desk", {{"a", -2}, {"b", 1}}}});
  series.EndRound();
  const headroom_summary desk = series.ByService().at("desk");
  BOOST_TEST(desk.least == -1);
  BOOST_TEST(desk.mean == -1);
  BOOST_TEST(desk.least_in_zone == -2);
}

}  // namespace
}  // namespace citron
