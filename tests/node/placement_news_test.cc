#include "citron/node/placement_news.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

placement_line Line(std::uint64_t object) {
  return {object, upstream_id("u1")};
}

BOOST_AUTO_TEST_CASE(TheListenerIsCalledForTheFirstOneAfterNone) {
  placement_news news;
  int calls = 0;
  news.OnNews([&] { ++calls; });
  news.Add(Line(1));
  news.Add(Line(2));
  BOOST_TEST(calls == 1);
  BOOST_TEST(news.Take(1).at(0).object == 1u);
  BOOST_TEST(news.Take(10).at(0).object == 2u);
  BOOST_TEST(news.IsEmpty());
  news.Add(Line(3));
  BOOST_TEST(calls == 2);
}

// Guards against a VM without readers whose news grow for ever.
BOOST_AUTO_TEST_CASE(OfTooManyTheOldestAreDropped) {
  placement_news news;
  constexpr std::uint64_t kAdded = 5000;
  for (std::uint64_t object = 1; object <= kAdded; ++object) {
    news.Add(Line(object));
  }
  const std::vector<placement_line> kept = news.Take(kAdded);
  BOOST_TEST(kept.size() < 2000u);
  BOOST_TEST(kept.back().object == kAdded);
}

}  // namespace
}  // namespace citron
