#include <boost/test/unit_test.hpp>

#include "citron/protocol/workspace_quota.h"
#include "protocol/quota_simulation.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A workspace floods before anybody notices that VMs are cut off.
BOOST_AUTO_TEST_CASE(AFloodStaysWithinTheContractAsACutBegins) {
  constexpr double kRate = 358;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    for (const std::size_t cut : {1, 4, 9}) {
      for (const int after_ms : {0, 200, 600, 1000, 1500}) {
        BOOST_TEST_CONTEXT("seed " << seed << ", " << cut << " cut off, flood "
                                   << after_ms << " ms later") {
          quota_fleet fleet(10, kRate, kRate, seed);
          fleet.SetEvenDemand(0.4 * kRate);
          fleet.Run(seconds(5) + milliseconds(37 * static_cast<int>(seed)));
          for (std::size_t vm = 0; vm < cut; ++vm) fleet.Cut(vm);
          fleet.Run(milliseconds(after_ms));
          fleet.SetEvenDemand(3.2 * kRate);
          fleet.Run(seconds(8));
          BOOST_TEST(fleet.MostInWindow() <= fleet.Bound());
        }
      }
    }
  }
}

}  // namespace
}  // namespace citron
