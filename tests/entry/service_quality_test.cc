#include "citron/entry/service_quality.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

const monotonic_time kStart{FromSeconds(1000)};

// A large workspace is served well and a small one not at all. Over all
// requests the service looks fine.
BOOST_AUTO_TEST_CASE(WorstWorkspaceIsNamed) {
  service_quality quality(FromSeconds(10));
  for (int i = 0; i < 1000; ++i) {
    quality.OnEnded(workspace_id("large"), true, kStart);
  }
  quality.OnEnded(workspace_id("small"), false, kStart);
  quality.OnEnded(workspace_id("small"), true, kStart);
  const auto worst = quality.Worst(kStart);
  BOOST_REQUIRE(worst.has_value());
  BOOST_TEST(worst->workspace.Str() == "small");
  BOOST_TEST(worst->requests == 2u);
  BOOST_TEST(worst->answered_part == 0.5);
}

BOOST_AUTO_TEST_CASE(OldWindowsAreForgotten) {
  service_quality quality(FromSeconds(10));
  quality.OnEnded(workspace_id("a"), false, kStart);
  BOOST_TEST(quality.Worst(kStart + FromSeconds(11)).has_value());
  BOOST_TEST(!quality.Worst(kStart + FromSeconds(40)).has_value());
}

}  // namespace
}  // namespace citron
