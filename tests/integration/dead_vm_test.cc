#include <boost/test/unit_test.hpp>
#include <string>

#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr int kRequests = 20;

// One zone with two VMs and three upstreams.
class dead_vm_fixture : public harness {
 public:
  dead_vm_fixture() : fleet_(*this, SmallPlan(1, 2, 3)) { fleet_.Start(); }

  fleet& Fleet() { return fleet_; }

  bool IsServed(const std::string& vm) {
    const http_request request = {"GET",
                                  "/desk/lots?work_ms=1",
                                  {{"Authorization", "Bearer key-of-depot"}},
                                  ""};
    return Caller().Call(fleet_.Entry(vm), request).response.head.status == 200;
  }

  // Upstreams that the VM owns and can use, by its own control.
  int OwnedUpstreams(const std::string& vm) {
    const nlohmann::json status = Fleet().Status(vm);
    for (const auto& member : status.at("members")) {
      if (member.at("vm") != vm || !member.contains("services")) continue;
      return member["services"]["desk"]["usable_upstreams"].get<int>();
    }
    return 0;
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(dead_vm, dead_vm_fixture)

// All daemons of a VM die at once. Its upstreams get another owner, and the
// other VM goes on to serve.
BOOST_AUTO_TEST_CASE(DeadVmIsReplacedByItsNeighbour) {
  // Before a member knows of the other it holds its upstreams for much longer.
  for (const char* vm : {"z1vm1", "z1vm2"}) {
    BOOST_REQUIRE(Caller().WaitFor([&] { return OwnedUpstreams(vm) > 0; }));
  }
  Fleet().KillVm("z1vm1");
  BOOST_TEST(Caller().WaitFor([&] { return OwnedUpstreams("z1vm2") == 3; }));
  // Each, also one that is sent to the dead VM's dispatch first: nothing of it
  // ran there, and the neighbour has free slots.
  int served = 0;
  for (int i = 0; i < kRequests; ++i) served += IsServed("z1vm2") ? 1 : 0;
  BOOST_TEST(served == kRequests);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
