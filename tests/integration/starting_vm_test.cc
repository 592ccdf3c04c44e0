#include <boost/test/unit_test.hpp>
#include <string>

#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr int kRequests = 20;
constexpr int kOk = 200;
constexpr int kOverRate = 429;

// Two zones with one VM and two upstreams each.
class starting_vm_fixture : public harness {
 public:
  starting_vm_fixture() : fleet_(*this, SmallPlan(2, 1, 2)) { fleet_.Start(); }

  fleet& Fleet() { return fleet_; }

  int Status(const std::string& vm) {
    const http_request request = {"GET",
                                  "/desk/lots?work_ms=1",
                                  {{"Authorization", "Bearer key-of-depot"}},
                                  ""};
    return Caller().Call(fleet_.Entry(vm), request).response.head.status;
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(starting_vm, starting_vm_fixture)

// Guards against callers of an entry that has just started who are refused
// inside their contract, since its share has yet to begin and nobody can lend.
BOOST_AUTO_TEST_CASE(StartedEntryRefusesNobodyInsideTheContract) {
  BOOST_REQUIRE(Caller().WaitFor([&] { return Fleet().HasOwnShare("z2vm1"); }));
  Fleet().Cut("z1vm1", "z2vm1", true);
  Fleet().Daemon("z2vm1", "entry").Kill();
  Fleet().StartDaemon("z2vm1", "entry");
  int first = 0;
  // Until the entry has its configuration it knows no key.
  BOOST_REQUIRE(Caller().WaitFor([&] {
    first = Status("z2vm1");
    return first == kOk || first == kOverRate;
  }));
  int served = first == kOk ? 1 : 0;
  for (int i = 1; i < kRequests; ++i) {
    served += Status("z2vm1") == kOk ? 1 : 0;
  }
  BOOST_TEST(served == kRequests);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
