#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "integration/declaration_fleet.h"

namespace citron {
namespace {

using std::chrono::milliseconds;

class stalled_watch_fixture : public declaration_fleet {
 public:
  void DeclareWhileWatchesStall(int vms) {
    StartVms(vms);
    Sleep(milliseconds(2000));
    for (const int delay_ms : {0, 200, 500, 900, 1400, 2000, 3000}) {
      SetFault({{"stall_watches", true}});
      Sleep(milliseconds(delay_ms));
      Declare();
      CheckInForceInTime(vms, fmt::format("{} ms into the stall", delay_ms));
      SetFault({{"stall_watches", false}});
      Sleep(milliseconds(3000));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(stalled_watch, stalled_watch_fixture)

// Guards against VMs that wait for one silent call after the other and take a
// declaration into force too late.
BOOST_AUTO_TEST_CASE(DeclarationIsInForceInTimeWhileWatchesStall) {
  DeclareWhileWatchesStall(kMostVms);
}

// The same for a VM that has no other VM to ask.
BOOST_AUTO_TEST_CASE(DeclarationIsInForceInTimeAtASingleVm) {
  DeclareWhileWatchesStall(1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
